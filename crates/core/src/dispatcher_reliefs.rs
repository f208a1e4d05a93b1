//! Eviction and throttling of runs, to protect services and to evacuate VMs that are leaving.

use super::*;

impl Dispatcher {
    /// Evicts or throttles the run of a task.
    pub fn relieve(&mut self, task: &task::Id, relief: Relief) {
        let key = Key { index: task.index, serial: task.job.serial };
        let Some(vm) = self.ledger.task(key).and_then(|task| task.vm.clone()) else { return };
        let Some(contact) = self.contacts.get_mut(&vm) else { return };
        let Some(assignment) = contact.assignments.get_mut(&key) else { return };
        match relief {
            Relief::Evict => {
                assignment.evict |= self.ledger.apply_event(key, stage::Event::Evict).is_some();
            }
            Relief::Throttle { share_milli } => assignment.throttle = Some(share_milli),
        }
        contact.wake();
    }

    /// Evicts, throttles and holds back batch work on a worker, as the interference model advises
    /// after a report.
    pub(super) fn protect_services(&mut self, now: Instant, vm: &Name, report: &worker::Report) {
        let Some(contact) = self.contacts.get(vm) else { return };
        let runs = contact.assignments.iter().filter(|(_, assignment)| assignment.sent);
        let running: Vec<interference::Running> =
            runs.filter_map(|(key, assignment)| self.running(*key, assignment)).collect();
        let measures = self.health.report(now, vm, report, &running);
        for (run, relief) in measures.reliefs {
            self.relieve(&run.task, relief);
        }
        if let Some(contact) = self.contacts.get_mut(vm) {
            contact.starts_held = measures.hold;
        }
    }

    /// Describes a run for the interference model, or returns `None` for an unknown job.
    pub(super) fn running(
        &self,
        key: Key,
        assignment: &contact::Assignment,
    ) -> Option<interference::Running> {
        let spec = &self.ledger.job(key.serial)?.spec;
        let class = self.config.classes.iter().find(|class| class.name == spec.class);
        Some(interference::Running {
            checkpoints: class.is_some_and(|class| class.checkpoints),
            class: spec.class.clone(),
            processors_milli: spec.resources.processors_milli,
            run: worker::Run { attempt: assignment.attempt, task: key.task(&self.cell) },
            since: assignment.since,
        })
    }

    /// Evicts the runs that can write a checkpoint from a VM that is leaving.
    pub(super) fn evacuate(&mut self, vm: &Name) {
        let Some(contact) = self.contacts.get(vm) else { return };
        let runs = contact
            .assignments
            .iter()
            .filter_map(|(key, assignment)| self.running(*key, assignment));
        let evictable: Vec<task::Id> =
            runs.filter(|running| running.checkpoints).map(|running| running.run.task).collect();
        evictable.iter().for_each(|task| self.relieve(task, Relief::Evict));
    }
}
