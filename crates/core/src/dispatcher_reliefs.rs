//! What runs are made to do for the sake of services, and of VMs that go.

use super::*;

impl Dispatcher {
    /// Has a run write a checkpoint and stop, or be throttled, for the sake of a service.
    pub fn relieve(&mut self, task: &task::Id, relief: Relief) {
        let key = Key { index: task.index, serial: task.job.serial };
        let Some(vm) = self.ledger.task(key).and_then(|task| task.vm.clone()) else { return };
        let Some(contact) = self.contacts.get_mut(&vm) else { return };
        let Some(held) = contact.runs.get_mut(&key) else { return };
        match relief {
            Relief::Evict => {
                held.evict |= self.ledger.apply_event(key, stage::Event::Evict).is_some();
            }
            Relief::Throttle { share_milli } => held.throttle = Some(share_milli),
        }
        contact.wake();
    }

    /// Lets the runs on a worker make room for its services, as a report advises.
    pub(super) fn protect(&mut self, now: Instant, vm: &Name, report: &worker::Report) {
        let Some(contact) = self.contacts.get(vm) else { return };
        let runs = contact.runs.iter().filter(|(_, held)| held.sent);
        let running: Vec<interference::Running> =
            runs.filter_map(|(key, held)| self.running(*key, held)).collect();
        let orders = self.health.report(now, vm, report, &running);
        for (run, relief) in orders.reliefs {
            self.relieve(&run.task, relief);
        }
        if let Some(contact) = self.contacts.get_mut(vm) {
            contact.held = orders.hold;
        }
    }

    pub(super) fn running(&self, key: Key, held: &contact::Held) -> Option<interference::Running> {
        let spec = &self.ledger.job(key.serial)?.spec;
        let class = self.config.classes.iter().find(|class| class.name == spec.class);
        Some(interference::Running {
            checkpoints: class.is_some_and(|class| class.checkpoints),
            class: spec.class.clone(),
            processors_milli: spec.resources.processors_milli,
            run: worker::Run { attempt: held.attempt, task: key.task(&self.cell) },
            since: held.since,
        })
    }

    /// Evicts the runs that can write a checkpoint from a worker that will go.
    pub(super) fn vacate(&mut self, vm: &Name) {
        let Some(contact) = self.contacts.get(vm) else { return };
        let runs = contact.runs.iter().filter_map(|(key, held)| self.running(*key, held));
        let movable: Vec<task::Id> =
            runs.filter(|running| running.checkpoints).map(|running| running.run.task).collect();
        movable.iter().for_each(|task| self.relieve(task, Relief::Evict));
    }
}
