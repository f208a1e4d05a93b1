//! The batch work of one cell under one owner: which task starts where, and what became of it.

use super::*;

#[path = "dispatcher_calls.rs"]
mod calls;
#[path = "dispatcher_reliefs.rs"]
mod reliefs;

/// Tasks that are started in one step.
pub const MAX_STARTS: usize = 256;
/// Tasks of a cell that are not over.
pub const MAX_OPEN_TASKS: u64 = 100_000;
/// Tasks that an explanation lists.
pub const MAX_EXPLAINED: usize = 64;
/// Pause of a task after its first failed run; it doubles up to `MAX_FAILURE_PAUSE`.
pub const FAILURE_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause of a task after a failed run.
pub const MAX_FAILURE_PAUSE: Duration = Duration::from_secs(60);
/// Pause of a task that its worker refused.
pub const REFUSAL_PAUSE: Duration = Duration::from_secs(1);

/// The batch work of one cell under one owner. Every change of the ledger goes through the writer,
/// and is acted on only once it is durable.
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
    /// Why the job's next task waits, by serial.
    waits: BTreeMap<u128, String>,
}

impl Dispatcher {
    /// Returns a dispatcher for what was restored. Runs of the previous owner may last until
    /// `proven`.
    pub fn new(
        cell: &cell::Id,
        ledger: Ledger,
        writer: Writer,
        seed: u64,
        proven: Instant,
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
            waits: BTreeMap::new(),
            writer,
        };
        dispatcher.adopt(proven);
        dispatcher
    }

    /// Puts a configuration in force, of which `vms` belong to the cell.
    pub fn configure(&mut self, config: &Config, vms: &[config::Vm]) {
        self.writer.set_cell_count(Partition::new(config).cells.len() as u32);
        let config = Partition::config_for_cell(config, vms);
        self.queue.quotas.apply(&config.teams);
        self.health.apply(vms);
        self.config = Arc::new(config);
        let workers: Vec<placement::Worker> = vms.iter().map(|vm| self.place_of(vm)).collect();
        self.placer.apply(&workers);
        self.contacts.retain(|name, contact| {
            !contact.runs.is_empty() || vms.iter().any(|vm| vm.name == *name)
        });
        for vm in vms {
            self.contacts.entry(vm.name.clone()).or_default();
        }
        self.book_all();
        for vm in self.contacts.keys().cloned().collect::<Vec<_>>() {
            self.judge(&vm);
        }
    }

    /// Takes note of the VM list.
    pub fn listed(&mut self, now: Instant, vms: &[Listing]) {
        let listed: BTreeMap<&Name, bool> = vms.iter().map(|vm| (&vm.vm, vm.leaving)).collect();
        let stays = |name: &Name| self.contacts.get(name).is_some_and(|contact| !contact.leaving);
        let goes: Vec<Name> =
            vms.iter().filter(|vm| vm.leaving && stays(&vm.vm)).map(|vm| vm.vm.clone()).collect();
        for (name, contact) in &mut self.contacts {
            contact.leaving = listed.get(name).copied().unwrap_or(false);
            contact.gone = match listed.contains_key(name) {
                true => None,
                false => contact.gone.or(Some(now)),
            };
        }
        for vm in self.contacts.keys().cloned().collect::<Vec<_>>() {
            self.judge(&vm);
        }
        goes.iter().for_each(|vm| self.vacate(vm));
    }

    /// Places tasks that wait, as far as there is room, and gives up runs that are proven over.
    pub fn step(&mut self, now: Instant, start: bool) {
        self.queue.mature(now);
        self.expire(now);
        if start {
            self.place_all(now);
        }
    }

    /// Returns the batches that are due.
    pub fn batches(&mut self, now: Instant, mode: &contact::Mode) -> Vec<(Name, worker::Batch)> {
        let mut batches = Vec::new();
        for (vm, contact) in &mut self.contacts {
            let batch = contact.batch(now, &self.cell, mode, &self.ledger);
            batches.extend(batch.map(|batch| (vm.clone(), batch)));
        }
        batches
    }

    /// Takes a worker's answer to a batch.
    pub fn report(&mut self, now: Instant, vm: &Name, report: &worker::Report) {
        let Some(contact) = self.contacts.get_mut(vm) else { return };
        contact.answered(now, report);
        let running: BTreeMap<&worker::Run, u64> =
            report.running.iter().map(|running| (&running.run, running.lease_ms)).collect();
        let over: BTreeMap<&worker::Run, &worker::End> =
            report.over.iter().map(|over| (&over.run, &over.end)).collect();
        for (key, attempt) in contact.sent_runs() {
            let run = worker::Run { attempt, task: key.task(&self.cell) };
            match (running.get(&run), over.get(&run)) {
                (_, Some(end)) => self.end(now, key, attempt, (*end).clone()),
                (Some(lease_ms), None) => self.confirm(now, vm, key, *lease_ms),
                (None, None) => self.end(now, key, attempt, worker::End::Lapsed),
            }
        }
        self.tidy(now, vm, report);
        self.protect(now, vm, report);
        self.judge(vm);
    }

    /// Takes note of a batch that a worker did not answer.
    pub fn unreached(&mut self, now: Instant, vm: &Name) {
        let Some(contact) = self.contacts.get_mut(vm) else { return };
        contact.unanswered(now);
        self.judge(vm);
    }

    /// Returns whether some worker may still have runs of the previous owner.
    pub fn is_recovering(&self) -> bool {
        self.contacts.values().any(|contact| !contact.is_fenced())
    }

    /// Lets every worker with commands that waited for a commit be looked at again.
    pub fn wake_all(&mut self) {
        self.contacts.values_mut().for_each(Contact::wake);
    }

    /// Takes the runs of the previous owner over.
    fn adopt(&mut self, proven: Instant) {
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
            let held = contact::Held {
                stop: matches!(stage, Stage::Cancelling | Stage::Settling | Stage::Stopping)
                    .then_some(0),
                ..contact::Held::adopted(attempt, proven)
            };
            self.contacts.entry(vm).or_default().runs.insert(key, held);
            let spec = &self.ledger.content().jobs[&key.serial].spec;
            self.queue.quotas.book(&spec.team, &spec.resources);
        }
    }

    /// Books the room of every run; needed when workers come or a cell is taken over.
    fn book_all(&mut self) {
        for (vm, contact) in &self.contacts {
            for key in contact.runs.keys() {
                if let Some(demand) = demand(&self.cell, &self.ledger, *key) {
                    self.placer.book(&demand, vm);
                }
            }
        }
    }

    fn confirm(&mut self, now: Instant, vm: &Name, key: Key, lease_ms: u64) {
        let lease_end = now + Duration::from_millis(lease_ms) + lease::DRIFT_MARGIN;
        let contact = self.contacts.get_mut(vm);
        if let Some(held) = contact.and_then(|contact| contact.runs.get_mut(&key)) {
            held.lease_end = lease_end;
        }
        self.ledger.apply_event(key, stage::Event::Confirm);
    }

    fn end(&mut self, now: Instant, key: Key, attempt: task::Attempt, end: worker::End) {
        let vm = self.ledger.task(key).and_then(|task| task.vm.clone());
        let job = key.task(&self.cell).job;
        let given_up = vm.map(|vm| {
            let held = self.contacts.get(&vm).and_then(|contact| contact.runs.get(&key));
            let started = held.map_or(now, |held| held.since);
            self.health.ended(now, started, &vm, &job, &end)
        });
        self.record(now, Record::Over { attempt, end, key });
        for (job, reason) in given_up.into_iter().flatten() {
            self.record(now, Record::Fail { reason, serial: job.serial });
        }
    }

    fn enqueue(&mut self, key: Key, ready: Option<Instant>) {
        let Some(job) = self.ledger.job(key.serial) else { return };
        let waiting = queue::Waiting::new(key, job);
        match ready {
            Some(ready) => self.queue.delay(ready, waiting),
            None => self.queue.push(waiting),
        }
    }

    /// Ends the runs that are proven over although their worker is out of reach.
    fn expire(&mut self, now: Instant) {
        let mut over = Vec::new();
        for contact in self.contacts.values().filter(|contact| !contact.is_reachable()) {
            let keys = contact.proven_over(now, self.faults);
            over.extend(keys.into_iter().map(|key| (key, contact.runs[&key].attempt)));
        }
        for (key, attempt) in over {
            self.end(now, key, attempt, worker::End::Lapsed);
        }
    }

    /// Follows a task's step with the queue and the accounts.
    fn follow(&mut self, now: Instant, change: &Transition, sequence: u64, record: &Record) {
        let Some((team, resources)) = self.claim(change.key) else { return };
        if change.to.is_final() {
            self.open_tasks = self.open_tasks.saturating_sub(1);
            self.waits.remove(&change.key.serial);
            if self.ledger.job(change.key.serial).is_some_and(|job| job.left == 0) {
                self.health.close(&change.key.task(&self.cell).job);
            }
        }
        match change.action {
            stage::Action::Halt => self.halt(now, change, sequence),
            stage::Action::Hold | stage::Action::Keep => (),
            stage::Action::Release => self.release(change, &team, &resources, sequence, record),
            stage::Action::Requeue => {
                self.release(change, &team, &resources, sequence, record);
                let ready = self.ready(now, change.key, record);
                self.enqueue(change.key, ready);
            }
            stage::Action::Withdraw => {
                if let Some(job) = self.ledger.job(change.key.serial) {
                    self.queue.remove(&queue::Waiting::new(change.key, job));
                }
            }
        }
    }

    /// Stops a run of a job that is over.
    fn halt(&mut self, now: Instant, change: &Transition, sequence: u64) {
        let contact = change.vm.as_ref().and_then(|vm| self.contacts.get_mut(vm));
        let Some(contact) = contact else { return };
        contact.wake();
        let Some(held) = contact.runs.get_mut(&change.key) else { return };
        held.stop = Some(sequence);
        if !held.sent {
            let attempt = held.attempt;
            self.end(now, change.key, attempt, worker::End::Lapsed);
        }
    }

    /// Lets the placer use a worker, or not.
    fn judge(&mut self, vm: &Name) {
        let open = self.contacts.get(vm).is_some_and(Contact::is_open);
        self.placer.close(vm, !open);
    }

    fn claim(&self, key: Key) -> Option<(Name, Resources)> {
        let spec = &self.ledger.job(key.serial)?.spec;
        Some((spec.team.clone(), spec.resources))
    }

    fn place_all(&mut self, now: Instant) {
        let mut skipped = queue::Skipped::default();
        for _ in 0..MAX_STARTS {
            let Some(waiting) = self.queue.first(&skipped).cloned() else { return };
            self.place(now, &waiting, &mut skipped);
        }
    }

    /// Places a task, or notes who has to wait: its team for its quota, its batch class for room.
    fn place(&mut self, now: Instant, waiting: &queue::Waiting, skipped: &mut queue::Skipped) {
        let key = waiting.key;
        let stage = self.ledger.task(key).map(|task| task.stage);
        let Some(demand) =
            demand(&self.cell, &self.ledger, key).filter(|_| stage == Some(Stage::Queued))
        else {
            self.queue.remove(waiting);
            return;
        };
        if let Err(refusal) = self.queue.quotas.charge(&demand.team, &demand.resources) {
            self.waits.insert(key.serial, refusal.to_string());
            skipped.insert_team(waiting);
            return;
        }
        let (contacts, health) = (&self.contacts, &self.health);
        let busy = |vm: &Name| contacts.get(vm).is_some_and(|contact| !contact.runs.is_empty());
        let judge = |vm: &Name| health.judge(now, vm, busy(vm), &demand);
        match self.placer.place_by(&demand, judge) {
            Ok(vm) => self.start(now, waiting, vm),
            Err(placement::Refusal::NoRoom) => {
                self.queue.quotas.refund(&demand.team, &demand.resources);
                self.waits.insert(key.serial, placement::Refusal::NoRoom.to_string());
                skipped.insert_class(waiting);
            }
            Err(refusal) => {
                self.queue.quotas.refund(&demand.team, &demand.resources);
                let reason = refusal.to_string();
                self.record(now, Record::Fail { reason, serial: key.serial });
            }
        }
    }

    fn place_of(&self, vm: &config::Vm) -> placement::Worker {
        let hosted = self.config.services.iter().filter(|s| vm.services.contains(&s.name));
        placement::Worker {
            capacity: vm.resources,
            rack: vm.rack.clone(),
            reserved: hosted.fold(Resources::default(), |sum, service| sum + service.reserve),
            vm: vm.name.clone(),
        }
    }

    fn ready(&self, now: Instant, key: Key, record: &Record) -> Option<Instant> {
        let Record::Over { end, .. } = record else { return None };
        match end {
            worker::End::Failed { .. } => {
                let failures = self.ledger.task(key).map_or(1, |task| task.failures.max(1));
                let pause = FAILURE_PAUSE * (1 << (failures - 1).min(6));
                Some(now + pause.min(MAX_FAILURE_PAUSE))
            }
            worker::End::Refused { .. } => Some(now + REFUSAL_PAUSE),
            _ => None,
        }
    }

    /// Applies a record, hands it to the writer, and returns its group.
    fn record(&mut self, now: Instant, record: Record) -> u64 {
        let Ok(changes) = self.ledger.apply(&record) else {
            return self.writer.last_sequence();
        };
        let sequence = self.writer.push(record.clone());
        for change in changes {
            self.follow(now, &change, sequence, &record);
        }
        sequence
    }

    /// Gives the room of a run back, and has its worker forget it once its end is durable.
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
        let held = contact.runs.remove(&change.key);
        let Some(held) = held.filter(|held| held.sent) else { return };
        if !matches!(record, Record::Over { end: worker::End::Lapsed, .. }) {
            contact.acks.insert(worker::Run { attempt: held.attempt, task }, sequence);
            contact.wake();
        }
    }

    fn start(&mut self, now: Instant, waiting: &queue::Waiting, vm: Name) {
        let key = waiting.key;
        let attempts = self.ledger.task(key).map_or(0, |task| task.attempt.0);
        let attempt = task::Attempt(attempts + 1);
        self.queue.remove(waiting);
        self.waits.remove(&key.serial);
        let sequence = self.record(now, Record::Start { attempt, key, vm: vm.clone() });
        let mut held = contact::Held::new(now, attempt, sequence);
        let running = self.running(key, &held);
        held.throttle = running.and_then(|running| self.health.begin(now, &vm, &running));
        let contact = self.contacts.entry(vm).or_default();
        contact.runs.insert(key, held);
        contact.wake();
    }

    /// Has a worker forget what is durable, and stop what it should not have.
    fn tidy(&mut self, now: Instant, vm: &Name, report: &worker::Report) {
        let Some(contact) = self.contacts.get(vm) else { return };
        let known = |run: &worker::Run| contact.acks.contains_key(run) || contact.holds(run);
        let late: Vec<&worker::Over> =
            report.over.iter().filter(|over| !known(&over.run)).collect();
        let strays = report.running.iter().map(|running| &running.run);
        let strays: Vec<worker::Run> = strays.filter(|run| !contact.holds(run)).cloned().collect();
        let acks: Vec<(worker::Run, u64)> =
            late.into_iter().map(|over| (over.run.clone(), self.late(now, over))).collect();
        let Some(contact) = self.contacts.get_mut(vm) else { return };
        if !acks.is_empty() || !strays.is_empty() {
            contact.wake();
        }
        contact.acks.extend(acks);
        contact.strays.extend(strays);
    }

    /// Takes the end of a run that was counted as over, and returns the group after which its worker
    /// may forget it: whatever led to counting it as over has to be durable too.
    fn late(&mut self, now: Instant, over: &worker::Over) -> u64 {
        let task = &over.run.task;
        let key = Key { index: task.index, serial: task.job.serial };
        if over.end == worker::End::Finished {
            self.record(now, Record::Overtake { attempt: over.run.attempt, key });
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
