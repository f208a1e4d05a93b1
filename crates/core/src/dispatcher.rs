//! Dispatches the batch tasks of one cell: chooses their workers, sends commands and processes
//! reports.

use super::*;

#[path = "dispatcher_calls.rs"]
mod calls;
#[path = "dispatcher_reliefs.rs"]
mod reliefs;

/// Maximum number of queued tasks examined for a start in one step.
pub const MAX_PLACEMENT_ATTEMPTS: usize = 256;
/// Maximum number of tasks of a cell that are not over.
pub const MAX_OPEN_TASKS: u64 = 100_000;
/// Maximum number of tasks that an explanation lists.
pub const MAX_EXPLAINED_TASKS: usize = 64;
/// Back-off of a task after its first failed run; it doubles up to `MAX_FAILURE_BACKOFF`.
pub const FAILURE_BACKOFF: Duration = Duration::from_secs(1);
/// Longest back-off of a task after a failed run.
pub const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(60);
/// Back-off of a task that its worker refused to start.
pub const REFUSAL_BACKOFF: Duration = Duration::from_secs(1);

/// Dispatches the batch work of one cell under one owner. Every change of the ledger goes through
/// the writer, and takes effect on workers and callers only once it is durable.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    /// Jobs and tasks, with changes that are not durable yet.
    pub ledger: Ledger,
    /// Makes changes durable.
    pub writer: Writer,
    cell: cell::Id,
    config: Arc<Config>,
    contacts: BTreeMap<Name, Contact>,
    faults: Faults,
    health: Health,
    open_tasks: u64,
    placer: placement::Placer,
    queue: Queue,
    /// Reason why the next task of each job waits, by the job's serial.
    wait_reasons: BTreeMap<u128, String>,
}

impl Dispatcher {
    /// Returns a dispatcher for the restored state. Leases of the previous owner's runs may last
    /// until `previous_leases_end`.
    pub fn new(
        cell: &cell::Id,
        ledger: Ledger,
        writer: Writer,
        seed: u64,
        previous_leases_end: Instant,
        faults: Faults,
    ) -> Self {
        let mut dispatcher = Self {
            cell: cell.clone(),
            config: Arc::default(),
            contacts: BTreeMap::new(),
            faults,
            health: Health::new(),
            ledger,
            open_tasks: 0,
            placer: placement::Placer::new(seed),
            queue: Queue::default(),
            wait_reasons: BTreeMap::new(),
            writer,
        };
        dispatcher.adopt_runs(previous_leases_end);
        dispatcher
    }

    /// Applies a configuration, of which `vms` belong to the cell.
    pub fn configure(&mut self, config: &Config, vms: &[config::Vm]) {
        self.writer.set_cell_count(Layout::new(config).cells.len() as u32);
        let config = Layout::config_for_cell(config, vms);
        self.queue.quotas.apply(&config.teams);
        self.health.apply(vms);
        self.config = Arc::new(config);
        let workers: Vec<placement::Worker> =
            vms.iter().map(|vm| self.placement_worker(vm)).collect();
        self.placer.apply(&workers);
        self.contacts.retain(|name, contact| {
            !contact.assignments.is_empty() || vms.iter().any(|vm| vm.name == *name)
        });
        for vm in vms {
            self.contacts.entry(vm.name.clone()).or_default();
        }
        self.book_runs();
        for vm in self.contacts.keys().cloned().collect::<Vec<_>>() {
            self.update_availability(&vm);
        }
    }

    /// Applies the VM list: closes VMs that are leaving or gone, and evacuates newly leaving ones.
    pub fn apply_vm_list(&mut self, now: Instant, vms: &[Listing]) {
        let listed: BTreeMap<&Name, bool> = vms.iter().map(|vm| (&vm.vm, vm.leaving)).collect();
        let was_staying =
            |name: &Name| self.contacts.get(name).is_some_and(|contact| !contact.leaving);
        let newly_leaving: Vec<Name> = vms
            .iter()
            .filter(|vm| vm.leaving && was_staying(&vm.vm))
            .map(|vm| vm.vm.clone())
            .collect();
        for (name, contact) in &mut self.contacts {
            contact.leaving = listed.get(name).copied().unwrap_or(false);
            contact.gone = match listed.contains_key(name) {
                true => None,
                false => contact.gone.or(Some(now)),
            };
        }
        for vm in self.contacts.keys().cloned().collect::<Vec<_>>() {
            self.update_availability(&vm);
        }
        newly_leaving.iter().for_each(|vm| self.evacuate(vm));
    }

    /// Ends runs that are proven over, and places waiting tasks if `start` is set.
    pub fn step(&mut self, now: Instant, start: bool) {
        self.queue.release_delayed(now);
        self.end_runs_proven_over(now);
        if start {
            self.place_tasks(now);
        }
    }

    /// Returns the batches of commands that are due, by VM.
    pub fn batches(&mut self, now: Instant, mode: &contact::Mode) -> Vec<(Name, worker::Batch)> {
        let mut batches = Vec::new();
        for (vm, contact) in &mut self.contacts {
            let batch = contact.batch(now, &self.cell, mode, &self.ledger);
            batches.extend(batch.map(|batch| (vm.clone(), batch)));
        }
        batches
    }

    /// Processes a worker's report in answer to a batch. A run that was sent and is not in the
    /// report is over.
    pub fn handle_report(&mut self, now: Instant, vm: &Name, report: &worker::Report) {
        let Some(contact) = self.contacts.get_mut(vm) else { return };
        contact.answered(now, report);
        let running: BTreeMap<&worker::Run, u64> =
            report.running.iter().map(|running| (&running.run, running.lease_ms)).collect();
        let over: BTreeMap<&worker::Run, &worker::End> =
            report.over.iter().map(|over| (&over.run, &over.end)).collect();
        for (key, attempt) in contact.sent_runs() {
            let run = worker::Run { attempt, task: key.task(&self.cell) };
            match (running.get(&run), over.get(&run)) {
                (_, Some(end)) => self.end_run(now, key, attempt, (*end).clone()),
                (Some(lease_ms), None) => self.confirm_run(now, vm, key, *lease_ms),
                (None, None) => self.end_run(now, key, attempt, worker::End::Lapsed),
            }
        }
        self.reconcile(now, vm, report);
        self.protect_services(now, vm, report);
        self.update_availability(vm);
    }

    /// Records that a worker did not answer a batch.
    pub fn handle_unreached(&mut self, now: Instant, vm: &Name) {
        let Some(contact) = self.contacts.get_mut(vm) else { return };
        contact.unanswered(now);
        self.update_availability(vm);
    }

    /// Returns whether some worker may still have runs of the previous owner.
    pub fn is_recovering(&self) -> bool {
        self.contacts.values().any(|contact| !contact.is_fenced())
    }

    /// Wakes every contact, so that commands that waited for a commit are sent.
    pub fn wake_all(&mut self) {
        self.contacts.values_mut().for_each(Contact::wake);
    }

    /// Adopts the runs of the previous owner, and queues the tasks that wait.
    fn adopt_runs(&mut self, previous_leases_end: Instant) {
        let open: Vec<(Key, Stage, task::Attempt, Option<Name>)> = self
            .ledger
            .tasks()
            .map(|(key, _, task)| (key, task.stage, task.attempt, task.vm.clone()))
            .collect();
        for (key, stage, attempt, vm) in open {
            if stage == Stage::Queued {
                self.open_tasks += 1;
                self.enqueue(key, None);
            }
            let Some(vm) = vm.filter(|_| stage.may_run()) else { continue };
            self.open_tasks += 1;
            let assignment = contact::Assignment {
                stop: matches!(stage, Stage::Cancelling | Stage::Settling | Stage::Stopping)
                    .then_some(0),
                ..contact::Assignment::adopted(attempt, previous_leases_end)
            };
            self.contacts.entry(vm).or_default().assignments.insert(key, assignment);
            let spec = &self.ledger.content().jobs[&key.serial].spec;
            self.queue.quotas.book(&spec.team, &spec.resources);
        }
    }

    /// Books the resources of every run; needed after workers were added or the cell was taken
    /// over.
    fn book_runs(&mut self) {
        for (vm, contact) in &self.contacts {
            for key in contact.assignments.keys() {
                if let Some(demand) = demand(&self.cell, &self.ledger, *key) {
                    self.placer.book(&demand, vm);
                }
            }
        }
    }

    /// Extends the lease of a reported run.
    fn confirm_run(&mut self, now: Instant, vm: &Name, key: Key, lease_ms: u64) {
        let lease_end = now + Duration::from_millis(lease_ms) + lease::DRIFT_MARGIN;
        let contact = self.contacts.get_mut(vm);
        if let Some(assignment) = contact.and_then(|contact| contact.assignments.get_mut(&key)) {
            assignment.lease_end = lease_end;
        }
        self.ledger.apply_event(key, stage::Event::Confirm);
    }

    /// Records the end of a run, and fails the jobs that are then known never to succeed.
    fn end_run(&mut self, now: Instant, key: Key, attempt: task::Attempt, end: worker::End) {
        let vm = self.ledger.task(key).and_then(|task| task.vm.clone());
        let job = key.task(&self.cell).job;
        let failed_jobs = vm.map(|vm| {
            let assignment =
                self.contacts.get(&vm).and_then(|contact| contact.assignments.get(&key));
            let started = assignment.map_or(now, |assignment| assignment.since);
            self.health.end_run(now, started, &vm, &job, &end)
        });
        self.apply_record(now, Record::Over { attempt, end, key });
        for (job, reason) in failed_jobs.into_iter().flatten() {
            self.apply_record(now, Record::Fail { reason, serial: job.serial });
        }
    }

    fn enqueue(&mut self, key: Key, ready: Option<Instant>) {
        let Some(job) = self.ledger.job(key.serial) else { return };
        let entry = queue::Entry::new(key, job);
        match ready {
            Some(ready) => self.queue.delay(ready, entry),
            None => self.queue.push(entry),
        }
    }

    /// Ends the runs on unreachable workers that are proven over.
    fn end_runs_proven_over(&mut self, now: Instant) {
        let mut over = Vec::new();
        for contact in self.contacts.values().filter(|contact| !contact.is_reachable()) {
            let keys = contact.proven_over(now, self.faults);
            over.extend(keys.into_iter().map(|key| (key, contact.assignments[&key].attempt)));
        }
        for (key, attempt) in over {
            self.end_run(now, key, attempt, worker::End::Lapsed);
        }
    }

    /// Updates the queue, the quotas and the bookings after a task's transition.
    fn apply_change(&mut self, now: Instant, change: &Transition, sequence: u64, record: &Record) {
        let Some((team, resources)) = self.team_and_resources(change.key) else { return };
        if change.to.is_final() {
            self.open_tasks = self.open_tasks.saturating_sub(1);
            self.wait_reasons.remove(&change.key.serial);
            if self.ledger.job(change.key.serial).is_some_and(|job| job.left == 0) {
                self.health.remove_job(&change.key.task(&self.cell).job);
            }
        }
        match change.action {
            stage::Action::Halt => self.stop_run(now, change, sequence),
            stage::Action::Hold | stage::Action::Keep => (),
            stage::Action::Release => self.release(change, &team, &resources, sequence, record),
            stage::Action::Requeue => {
                self.release(change, &team, &resources, sequence, record);
                let ready = self.retry_at(now, change.key, record);
                self.enqueue(change.key, ready);
            }
            stage::Action::Withdraw => {
                if let Some(job) = self.ledger.job(change.key.serial) {
                    self.queue.remove(&queue::Entry::new(change.key, job));
                }
            }
        }
    }

    /// Stops a run whose job is over or whose task an earlier run completed, once the group
    /// `sequence` is durable. A run whose start was not sent ends at once.
    fn stop_run(&mut self, now: Instant, change: &Transition, sequence: u64) {
        let contact = change.vm.as_ref().and_then(|vm| self.contacts.get_mut(vm));
        let Some(contact) = contact else { return };
        contact.wake();
        let Some(assignment) = contact.assignments.get_mut(&change.key) else { return };
        assignment.stop = Some(sequence);
        if !assignment.sent {
            let attempt = assignment.attempt;
            self.end_run(now, change.key, attempt, worker::End::Lapsed);
        }
    }

    /// Opens or closes a worker for placement, as its contact state requires.
    fn update_availability(&mut self, vm: &Name) {
        let open = self.contacts.get(vm).is_some_and(Contact::is_open);
        self.placer.set_closed(vm, !open);
    }

    fn team_and_resources(&self, key: Key) -> Option<(Name, Resources)> {
        let spec = &self.ledger.job(key.serial)?.spec;
        Some((spec.team.clone(), spec.resources))
    }

    /// Places waiting tasks, in at most `MAX_PLACEMENT_ATTEMPTS` attempts.
    fn place_tasks(&mut self, now: Instant) {
        let mut excluded = queue::Exclusions::default();
        for _ in 0..MAX_PLACEMENT_ATTEMPTS {
            let Some(entry) = self.queue.first(&excluded).cloned() else { return };
            self.place_task(now, &entry, &mut excluded);
        }
    }

    /// Places a task. If its team's quota is exhausted, the rest of the team is excluded from this
    /// pass; if no worker has room, the rest of the team's batch class.
    fn place_task(&mut self, now: Instant, entry: &queue::Entry, excluded: &mut queue::Exclusions) {
        let key = entry.key;
        let stage = self.ledger.task(key).map(|task| task.stage);
        let Some(demand) =
            demand(&self.cell, &self.ledger, key).filter(|_| stage == Some(Stage::Queued))
        else {
            self.queue.remove(entry);
            return;
        };
        if let Err(refusal) = self.queue.quotas.charge(&demand.team, &demand.resources) {
            self.wait_reasons.insert(key.serial, refusal.to_string());
            excluded.exclude_team(entry);
            return;
        }
        let (contacts, health) = (&self.contacts, &self.health);
        let busy =
            |vm: &Name| contacts.get(vm).is_some_and(|contact| !contact.assignments.is_empty());
        let assess = |vm: &Name| health.assess(now, vm, busy(vm), &demand);
        match self.placer.place_by(&demand, assess) {
            Ok(vm) => self.start_task(now, entry, vm),
            Err(placement::Refusal::NoRoom) => {
                self.queue.quotas.refund(&demand.team, &demand.resources);
                self.wait_reasons.insert(key.serial, placement::Refusal::NoRoom.to_string());
                excluded.exclude_class(entry);
            }
            Err(refusal) => {
                self.queue.quotas.refund(&demand.team, &demand.resources);
                let reason = refusal.to_string();
                self.apply_record(now, Record::Fail { reason, serial: key.serial });
            }
        }
    }

    fn placement_worker(&self, vm: &config::Vm) -> placement::Worker {
        let hosted = self.config.services.iter().filter(|s| vm.services.contains(&s.name));
        placement::Worker {
            capacity: vm.resources,
            rack: vm.rack.clone(),
            reserved: hosted.fold(Resources::default(), |sum, service| sum + service.reserve),
            vm: vm.name.clone(),
        }
    }

    /// Returns when a task may start again after the end of its run, or `None` for at once.
    fn retry_at(&self, now: Instant, key: Key, record: &Record) -> Option<Instant> {
        let Record::Over { end, .. } = record else { return None };
        match end {
            worker::End::Failed { .. } => {
                let failures = self.ledger.task(key).map_or(1, |task| task.failures.max(1));
                let backoff = FAILURE_BACKOFF * (1 << (failures - 1).min(6));
                Some(now + backoff.min(MAX_FAILURE_BACKOFF))
            }
            worker::End::Refused { .. } => Some(now + REFUSAL_BACKOFF),
            _ => None,
        }
    }

    /// Applies a record, passes it to the writer, and returns the sequence number of its group. A
    /// record that does not apply is dropped.
    fn apply_record(&mut self, now: Instant, record: Record) -> u64 {
        let Ok(changes) = self.ledger.apply(&record) else {
            return self.writer.last_sequence();
        };
        let sequence = self.writer.push(record.clone());
        for change in changes {
            self.apply_change(now, &change, sequence, &record);
        }
        sequence
    }

    /// Releases the resources of a run, and acknowledges its end to the worker once it is durable.
    fn release(
        &mut self,
        change: &Transition,
        team: &Name,
        resources: &Resources,
        sequence: u64,
        record: &Record,
    ) {
        self.queue.quotas.refund(team, resources);
        let task = change.key.task(&self.cell);
        self.placer.release(&task);
        let Some(contact) = change.vm.as_ref().and_then(|vm| self.contacts.get_mut(vm)) else {
            return;
        };
        let assignment = contact.assignments.remove(&change.key);
        let Some(assignment) = assignment.filter(|assignment| assignment.sent) else { return };
        if !matches!(record, Record::Over { end: worker::End::Lapsed, .. }) {
            contact.acks.insert(worker::Run { attempt: assignment.attempt, task }, sequence);
            contact.wake();
        }
    }

    fn start_task(&mut self, now: Instant, entry: &queue::Entry, vm: Name) {
        let key = entry.key;
        let attempts = self.ledger.task(key).map_or(0, |task| task.attempt.0);
        let attempt = task::Attempt(attempts + 1);
        self.queue.remove(entry);
        self.wait_reasons.remove(&key.serial);
        let sequence = self.apply_record(now, Record::Start { attempt, key, vm: vm.clone() });
        let mut assignment = contact::Assignment::new(now, attempt, sequence);
        let running = self.running(key, &assignment);
        assignment.throttle = running.and_then(|running| self.health.start_run(now, &vm, &running));
        let contact = self.contacts.entry(vm).or_default();
        contact.assignments.insert(key, assignment);
        contact.wake();
    }

    /// Acknowledges runs that are over and not assigned, and stops running ones that are not
    /// assigned.
    fn reconcile(&mut self, now: Instant, vm: &Name, report: &worker::Report) {
        let Some(contact) = self.contacts.get(vm) else { return };
        let known = |run: &worker::Run| contact.acks.contains_key(run) || contact.is_assigned(run);
        let late: Vec<&worker::Over> =
            report.over.iter().filter(|over| !known(&over.run)).collect();
        let strays = report.running.iter().map(|running| &running.run);
        let strays: Vec<worker::Run> =
            strays.filter(|run| !contact.is_assigned(run)).cloned().collect();
        let acks: Vec<(worker::Run, u64)> = late
            .into_iter()
            .map(|over| (over.run.clone(), self.handle_late_end(now, over)))
            .collect();
        let Some(contact) = self.contacts.get_mut(vm) else { return };
        if !acks.is_empty() || !strays.is_empty() {
            contact.wake();
        }
        contact.acks.extend(acks);
        contact.strays.extend(strays);
    }

    /// Processes the end of a run that had already been counted as over, and returns the group
    /// after which it may be acknowledged: the record that counted it as over has to be durable
    /// first.
    fn handle_late_end(&mut self, now: Instant, over: &worker::Over) -> u64 {
        let task = &over.run.task;
        let key = Key { index: task.index, serial: task.job.serial };
        if over.end == worker::End::Finished {
            self.apply_record(now, Record::Overtake { attempt: over.run.attempt, key });
        }
        self.writer.last_sequence()
    }
}

fn demand(cell: &cell::Id, ledger: &Ledger, key: Key) -> Option<placement::Demand> {
    let spec = &ledger.job(key.serial)?.spec;
    Some(placement::Demand {
        class: spec.class.clone(),
        resources: spec.resources,
        task: key.task(cell),
        team: spec.team.clone(),
    })
}
