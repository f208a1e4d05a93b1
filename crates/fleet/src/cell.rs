//! The state of a cell and its owner's event loop: jobs, runs and records. The workers' listings
//! are authoritative for what runs. An end is acknowledged to its worker only after it is recorded
//! in the store, so that a new owner can still read it from the worker.

use super::*;

/// Number of removed jobs kept to ignore stale reads: minutes of removals, while a read of the
/// store is at most seconds old.
const MAX_REMOVED_JOBS: usize = 4_096;

/// The initial state of an owner.
#[derive(Debug)]
pub struct Start {
    /// When it was known that ownership had begun, in milliseconds of the steady clock.
    pub acquired_at: u64,
    /// When the cell's records were read, in milliseconds.
    pub loaded_at: u64,
    /// The configuration in force.
    pub config: Arc<Config>,
    /// The head that this owner wrote when it took the cell.
    pub head: Head,
    /// The revision of that head.
    pub head_revision: u64,
    /// Time limits.
    pub limits: Limits,
    /// Which mechanisms are on.
    pub policy: Policy,
    /// The last owner.
    pub predecessor: Predecessor,
    /// The contention between images that earlier owners have measured.
    pub pressure: pressure::Pressure,
}

/// A cell and its workers, as its current owner sees them.
#[derive(Debug)]
pub struct Cell {
    /// When ownership began, in milliseconds.
    pub(crate) acquired_at: u64,
    pub(crate) actions: Vec<Action>,
    /// Estimated loads of all cells.
    pub(crate) balancer: admission::Balancer,
    /// The number of changes so far that have to be recorded.
    pub(crate) changes: u64,
    pub(crate) commit: Option<cell_record::PendingCommit>,
    /// When the last commit was made, or found to change nothing, in milliseconds.
    pub(crate) committed_at: u64,
    pub(crate) config: Arc<Config>,
    /// When the last call was sent whose answer shows that this ownership had not ended, in milliseconds. No
    /// later owner has polled a worker of the cell before that.
    pub(crate) confirmed_at: u64,
    /// A conclusion waits until the store has confirmed the ownership.
    pub(crate) confirmation_due: bool,
    /// When that was last asked for, in milliseconds.
    pub(crate) confirmation_asked_at: u64,
    /// Lasting jobs that wait for the limit of lasting jobs.
    pub(crate) delays: BTreeMap<job::Id, Delay>,
    /// Jobs with changes that are not in a commit yet, each with the value of `changes` after the first of them.
    pub(crate) dirty: BTreeMap<job::Id, u64>,
    /// The value of `changes` up to which all changes are in the store.
    pub(crate) durable: u64,
    /// When `usable_milli` and `pressure` were last computed, in milliseconds.
    pub(crate) estimated_at: u64,
    /// The zones to be evacuated.
    pub(crate) evacuated_zones: BTreeSet<Arc<str>>,
    /// Runs whose start is planned, by worker.
    pub(crate) planned: BTreeSet<(Arc<str>, task::Name)>,
    /// Workers that fell silent lately, oldest first.
    pub(crate) silences: VecDeque<cell_crashes::Silence>,
    /// The job with which the next placement pass goes on, if the last one stopped before it.
    pub(crate) resume_at: Option<job::Id>,
    /// The same for jobs with lasting tasks that have run.
    pub(crate) resume_restarts_at: Option<job::Id>,
    /// The jobs for which workers' room was held in the last placement pass.
    pub(crate) reserved: BTreeMap<Arc<str>, job::Id>,
    /// Recently removed jobs. A record read at a revision before the removal must not add the job again.
    pub(crate) removed: HashMap<job::Id, Removal>,
    /// The same jobs, oldest first.
    pub(crate) removed_order: VecDeque<job::Id>,
    /// How long runs take compared with their estimates.
    pub(crate) forecast: Forecast,
    pub(crate) head: Head,
    /// How much lasting jobs may hold.
    pub(crate) headroom: Headroom,
    pub(crate) head_revision: u64,
    /// What the workers that get new runs can hold.
    pub(crate) inventory: Inventory,
    /// Workers have come, left or changed since `inventory` was taken.
    pub(crate) inventory_due: bool,
    /// When `inventory` was last taken, in milliseconds.
    pub(crate) inventoried_at: u64,
    pub(crate) jobs: HashMap<job::Id, Job>,
    /// The contention between images measured by the owners of other cells.
    pub(crate) other_pressure: pressure::Pressure,
    /// When every lease that earlier owners granted is over, in milliseconds.
    pub(crate) leases_over_at: u64,
    pub(crate) leaving: bool,
    pub(crate) limits: Limits,
    /// Workers whose `long_lease_until` is not over.
    pub(crate) long_leases: BTreeSet<Arc<str>>,
    /// The loads of serving jobs.
    pub(crate) loads: HashMap<job::Id, Load>,
    /// Unknown jobs whose tickets are being read.
    pub(crate) lookups: BTreeSet<job::Id>,
    pub(crate) lost: bool,
    /// Unfinished jobs by priority, time of acceptance and ID.
    pub(crate) unfinished_jobs: BTreeSet<(u32, u64, job::Id)>,
    /// The contention between images measured by this owner and earlier owners of the cell.
    pub(crate) own_pressure: pressure::Pressure,
    /// Which mechanisms are on.
    pub(crate) policy: Policy,
    /// The measurements of this cell and other cells combined.
    pub(crate) pressure: pressure::Pressure,
    /// When jobs to move to other cells were last searched for, in milliseconds.
    pub(crate) rebalanced_at: u64,
    /// When draining workers were last checked for tasks to move, in milliseconds.
    pub(crate) vacated_at: u64,
    /// When the contention between images was last written to the store, in milliseconds.
    pub(crate) pressure_written_at: u64,
    /// When slowed filling tasks to move were last searched for, in milliseconds.
    pub(crate) relocated_at: u64,
    /// How fast the cell gets through the work of each filling image.
    pub(crate) rates: BTreeMap<String, throughput::Rate>,
    /// Processors that tasks of each filling image could use, in thousandths of a core.
    pub(crate) usable_milli: BTreeMap<String, u64>,
    /// When the use of the cell was last reported, in milliseconds.
    pub(crate) usage_reported_at: u64,
    /// Free resources or waiting tasks have changed since the last placement.
    pub(crate) placement_due: bool,
    /// The last owner.
    pub(crate) predecessor: Predecessor,
    /// Whether enough workers have answered this owner for earlier ones to extend no lease.
    pub(crate) has_quorum: bool,
    /// Whether the store tells of all lasting tasks of this cell that have run.
    pub(crate) records_starts: bool,
    /// Whether it was reported that no order of an earlier owner is left.
    pub(crate) settled: bool,
    /// Workers whose current life first answered after the ownership was last confirmed.
    pub(crate) unconfirmed: BTreeSet<Arc<str>>,
    /// Runs that a worker's answer leaves out, until it is confirmed that no other owner has seen their ends.
    pub(crate) unlisted: BTreeMap<(Arc<str>, task::Name), cell_confirmation::Unlisted>,
    /// Workers that leave `unfenced` once the ownership is confirmed after they had listed all that they know, at
    /// these times in milliseconds.
    pub(crate) fencings: BTreeMap<Arc<str>, u64>,
    /// When the tickets of jobs with unclaimed ends were last read, in milliseconds.
    pub(crate) unclaimed_read_at: u64,
    /// Steps of jobs that no worker can hold, as last reported.
    pub(crate) unheld: BTreeSet<(job::Id, u16)>,
    /// Workers that may run orders of an earlier owner, or hold ends that it did not record: they have not
    /// answered this owner, or not listed all of their ends yet.
    pub(crate) unfenced: BTreeSet<Arc<str>>,
    /// The workers' entries are too old: some worker may drain by now.
    pub(crate) view_stale: bool,
    /// Jobs with lasting tasks that have run and wait, or whose start is planned.
    pub(crate) waits: BTreeMap<job::Id, wait::Wait>,
    /// When such jobs were last searched for, in milliseconds.
    pub(crate) waits_reported_at: u64,
    pub(crate) workers: BTreeMap<Arc<str>, Worker>,
}

impl Cell {
    /// Returns a cell with its member workers and the jobs in the store (ID, record, progress and
    /// revision of the ticket), all of which count as recovered.
    pub fn new(
        start: Start,
        jobs: Vec<(job::Id, job::Record, Progress, u64)>,
        members: BTreeMap<Arc<str>, Option<Registration>>,
    ) -> Self {
        let vacated = start.predecessor.vacated.clone();
        let former = start.predecessor.former.iter().map(|id| Arc::from(id.as_str()));
        let former: Vec<Arc<str>> = former.filter(|id| !members.contains_key(id)).collect();
        let mut cell = Self {
            acquired_at: start.acquired_at,
            actions: Vec::new(),
            balancer: admission::Balancer::default(),
            changes: 0,
            commit: None,
            committed_at: start.acquired_at,
            config: start.config,
            confirmed_at: 0,
            confirmation_due: false,
            confirmation_asked_at: 0,
            delays: BTreeMap::new(),
            dirty: BTreeMap::new(),
            durable: 0,
            estimated_at: 0,
            evacuated_zones: BTreeSet::new(),
            rebalanced_at: 0,
            relocated_at: 0,
            pressure_written_at: 0,
            vacated_at: 0,
            rates: BTreeMap::new(),
            usable_milli: BTreeMap::new(),
            usage_reported_at: 0,
            planned: BTreeSet::new(),
            silences: VecDeque::new(),
            resume_at: None,
            resume_restarts_at: None,
            reserved: BTreeMap::new(),
            removed: HashMap::new(),
            removed_order: VecDeque::new(),
            forecast: Forecast::default(),
            head: start.head,
            headroom: Headroom::default(),
            head_revision: start.head_revision,
            inventory: Inventory::default(),
            inventory_due: true,
            inventoried_at: 0,
            jobs: HashMap::new(),
            other_pressure: pressure::Pressure::default(),
            leases_over_at: start
                .predecessor
                .leases_over_at(start.acquired_at, start.loaded_at, &start.limits)
                .max(start.loaded_at + limits::LISTING_WAIT_MS),
            leaving: false,
            limits: start.limits,
            long_leases: BTreeSet::new(),
            loads: HashMap::new(),
            lookups: BTreeSet::new(),
            lost: false,
            unfinished_jobs: BTreeSet::new(),
            own_pressure: start.pressure.clone(),
            policy: start.policy,
            pressure: start.pressure,
            placement_due: true,
            has_quorum: false,
            records_starts: start.predecessor.records_starts,
            predecessor: start.predecessor,
            settled: false,
            unconfirmed: BTreeSet::new(),
            unlisted: BTreeMap::new(),
            fencings: BTreeMap::new(),
            unclaimed_read_at: 0,
            unheld: BTreeSet::new(),
            unfenced: members.keys().filter(|id| !vacated.contains(&***id)).cloned().collect(),
            view_stale: false,
            waits: BTreeMap::new(),
            waits_reported_at: 0,
            workers: BTreeMap::new(),
        };
        for (id, record, progress, revision) in jobs {
            cell.add_job(id, record, &progress, revision, true);
        }
        let fence = cell.fence();
        let worker = |(id, entry): (Arc<str>, Option<Registration>)| {
            let vacated = vacated.contains(&*id);
            (id, Worker { fence, vacated, ..Worker::new(entry) })
        };
        cell.workers = members.into_iter().map(worker).collect();
        for id in former {
            cell.unfenced.insert(id.clone());
            cell.workers.insert(id, Worker { fence, is_member: false, ..Worker::new(None) });
        }
        cell.inherit_long_leases();
        cell
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, clock: Clock, event: Event) -> Vec<Action> {
        if self.lost {
            return Vec::new();
        }
        match event {
            event if event.is_fenced_off() => self.mark_lost(),
            Event::Accepted { id, record, revision } => {
                self.add_job(id, record, &Progress::default(), revision, false);
                self.claim_ends(clock, id);
            }
            Event::Heads { heads, owners } => {
                self.balancer.set_processes(owners);
                for (head, revision) in heads {
                    self.balancer.observe(clock.now, head, revision);
                }
            }
            Event::Cancelled { id, revision } => self.cancel_job(id, revision),
            Event::Commit(outcome) => self.handle_commit(clock, outcome),
            Event::Configured(config) => self.apply_config(config),
            Event::Pressure(others) => self.other_pressure = others,
            Event::Evacuated(zones) => {
                self.evacuated_zones = zones;
                self.mark_evacuated_workers();
            }
            Event::Leaving => self.leaving = true,
            Event::PredecessorEnded(end) => self.note_end(clock, end),
            Event::Released(release) if release.generation == self.predecessor.generation => {
                self.note_end(clock, release.end(clock.now));
            }
            Event::Released(_) => {}
            Event::Lost => self.mark_lost(),
            Event::Poll { worker, sent, answer } => self.handle_poll(clock, &worker, sent, answer),
            Event::TicketRead { id, ticket } => self.handle_ticket(clock, id, ticket.as_ref()),
            Event::Start { worker, task, run, answer } => {
                self.handle_start_answer(clock, &worker, task, run, answer);
            }
            Event::Stop { worker, task, run, answer } => {
                self.handle_stop_answer(clock, &worker, task, run, answer);
            }
            Event::Tick => {}
            Event::ViewStale(stale) => {
                self.view_stale = stale;
                self.placement_due = true;
            }
            Event::Workers(members) => self.update_members(clock, members),
        }
        self.run_due_work(clock);
        std::mem::take(&mut self.actions)
    }

    /// Runs every periodic and pending duty that is due.
    fn run_due_work(&mut self, clock: Clock) {
        self.forget_lapsed(clock);
        self.settle(clock);
        self.end_long_leases(clock);
        self.take_inventory(clock);
        self.release_unlisted(clock);
        self.release_expired(clock);
        self.look_up_unclaimed(clock);
        self.resend_orders(clock);
        self.relocate_filling_tasks(clock);
        self.vacate_draining_workers(clock);
        self.place_tasks(clock);
        self.update_estimates(clock);
        self.move_jobs(clock);
        self.commit_changes(clock);
        self.order_planned(clock);
        self.poll_workers(clock);
        self.ask_for_confirmation(clock);
        self.report_usage(clock);
        self.report_waits(clock);
    }

    /// Returns whether the next owner can see everything: no commit or start order is in flight and
    /// every change is recorded.
    pub fn is_quiet(&self) -> bool {
        let starting = |run: &Run| matches!(run.phase, run::Phase::Starting { retry_at: None, .. });
        self.commit.is_none()
            && self.dirty.is_empty()
            && !self.workers.values().flat_map(|worker| worker.runs.values()).any(starting)
    }

    /// Returns the head that this owner last wrote, and its revision.
    pub fn head(&self) -> (&Head, u64) {
        (&self.head, self.head_revision)
    }

    /// Returns the owner's highest fencing token: the latest revision of its head. An owner takes the cell by
    /// replacing the head of the last one, which can't write another one after that.
    pub fn fence(&self) -> u64 {
        self.head_revision
    }

    /// Returns the number of jobs that are not over.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns when the leases are over that this owner, if it stops at `now`, and earlier ones granted,
    /// both in milliseconds.
    pub fn leases_over_at(&self, now: u64) -> u64 {
        let earlier = if self.unfenced.is_empty() { 0 } else { self.leases_over_at };
        earlier.max(now + self.limits.longest_lease_ms())
    }

    /// Shortens the wait for orders of earlier owners to what the end of the last one allows.
    fn note_end(&mut self, clock: Clock, end: predecessor::End) {
        self.predecessor.end = end;
        let listed_at = clock.now + limits::LISTING_WAIT_MS;
        let over_at = self
            .predecessor
            .leases_over_at(self.acquired_at, clock.now, &self.limits)
            .max(listed_at);
        self.leases_over_at = self.leases_over_at.min(over_at);
    }

    /// Returns a worker of the cell.
    pub fn worker(&self, id: &str) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// Returns a job of the cell.
    pub fn job(&self, id: &job::Id) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Adds a job unless it is known or `revision` is not newer than its removal. `recovered` marks
    /// jobs that were accepted before this owner took the cell.
    fn add_job(
        &mut self,
        id: job::Id,
        record: job::Record,
        progress: &Progress,
        revision: u64,
        recovered: bool,
    ) {
        let stale = self.removed.get(&id).is_some_and(|removal| revision <= removal.revision);
        if stale {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            self.placement_due |= job.add_tasks(record, revision);
            return;
        }
        let queue = self.config.queue_of(&record);
        let mut job = Job::new(record, progress, queue, revision);
        job.recovered = recovered;
        let starts_unknown = recovered && !self.records_starts && job.is_lasting();
        if starts_unknown {
            job.mark_ran_before(|_| true);
        }
        self.unfinished_jobs.insert((job.queue.priority, job.accepted_at_ms, id));
        let done = job.is_done();
        self.jobs.insert(id, job);
        if starts_unknown {
            self.mark_dirty(id);
        }
        if done {
            self.set_final_state(id, State::Completed);
        }
        self.placement_due = true;
    }

    /// Applies a version of the configuration, also to the jobs that are there already.
    fn apply_config(&mut self, config: Arc<Config>) {
        let redeclared = |(_, _, id): &(u32, u64, job::Id)| {
            let known = &self.jobs.get(id)?.queue;
            let queue = config.queue_named(&known.name)?;
            (queue.version > known.version).then(|| (*id, queue.clone()))
        };
        let redeclared: Vec<(job::Id, Arc<Queue>)> =
            self.unfinished_jobs.iter().filter_map(redeclared).collect();
        self.config = config;
        for (id, queue) in redeclared {
            self.redeclare_queue(id, queue);
        }
    }

    /// Replaces the declaration of an unfinished job's queue. The job fails if that allows no more attempts.
    fn redeclare_queue(&mut self, id: job::Id, queue: Arc<Queue>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        self.unfinished_jobs.remove(&(job.queue.priority, job.accepted_at_ms, id));
        self.unfinished_jobs.insert((queue.priority, job.accepted_at_ms, id));
        self.placement_due = true;
        job.queue = queue;
        if job.is_exhausted() {
            self.fail_job(id);
        }
    }

    /// Fails a job whose tasks get no more attempts.
    pub(crate) fn fail_job(&mut self, id: job::Id) {
        self.set_final_state(id, State::Failed);
        self.stop_job(id, action::StopReason::Failed);
    }

    /// Cancels a job at the request of its caller and stops its runs.
    fn cancel_job(&mut self, id: job::Id, revision: u64) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.cancelled {
            return;
        }
        job.cancelled = true;
        job.ticket_state = State::Cancelled;
        job.ticket_revision = revision;
        self.set_final_state(id, State::Cancelled);
        self.stop_job(id, action::StopReason::Cancelled);
    }

    /// Notes the removal of a job from the cell's records.
    pub(crate) fn mark_removed(&mut self, id: job::Id, removal: Removal) {
        if self.removed.insert(id, removal).is_none() {
            self.removed_order.push_back(id);
        }
        if self.removed_order.len() > MAX_REMOVED_JOBS
            && let Some(oldest) = self.removed_order.pop_front()
        {
            self.removed.remove(&oldest);
        }
    }

    /// Sets the final state of a job, to be recorded in its ticket.
    pub(crate) fn set_final_state(&mut self, id: job::Id, state: State) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.final_state = Some(state);
        self.unfinished_jobs.remove(&(job.queue.priority, job.accepted_at_ms, id));
        self.mark_dirty(id);
    }

    /// Marks a job as changed, to be included in the next commit.
    pub(crate) fn mark_dirty(&mut self, id: job::Id) {
        self.changes += 1;
        self.dirty.entry(id).or_insert(self.changes);
    }

    /// Updates the cell's workers and their entries. A worker that is no longer a member stays
    /// until its runs and those of earlier owners are over.
    fn update_members(&mut self, clock: Clock, members: BTreeMap<Arc<str>, Option<Registration>>) {
        self.placement_due = true;
        self.inventory_due = true;
        for (id, entry) in &members {
            match self.workers.get_mut(id) {
                Some(worker) => {
                    if entry.is_some() {
                        worker.missing_since = None;
                    } else {
                        worker.missing_since.get_or_insert(clock.now);
                    }
                    // While a worker has no entry, its last address and start time stay in use.
                    match entry {
                        Some(entry) => worker.register(clock.now, entry),
                        None => worker.paused_until = clock.now + limits::UNHEALTHY_PAUSE_MS,
                    }
                }
                None => {
                    let worker = Worker { fence: self.head_revision, ..Worker::new(entry.clone()) };
                    self.workers.insert(id.clone(), worker);
                }
            }
        }
        for (id, worker) in &mut self.workers {
            worker.is_member = members.contains_key(id);
        }
        let removed: Vec<Arc<str>> = self
            .workers
            .iter()
            .filter(|(id, worker)| {
                !worker.is_member && worker.runs.is_empty() && !self.unfenced.contains(*id)
            })
            .filter(|(id, _)| !self.long_leases.contains(*id))
            // Whether it has crashed is still to be learned.
            .filter(|(_, worker)| worker.lapsed_runs.is_empty() || worker.missing_since.is_none())
            .map(|(id, _)| id.clone())
            .collect();
        for id in removed {
            self.workers.remove(&id);
            self.unconfirmed.remove(&id);
        }
        self.mark_evacuated_workers();
    }

    /// Takes the inventory of the workers that get new runs. Those that don't answer drop out of it with time.
    fn take_inventory(&mut self, clock: Clock) {
        if !self.inventory_due && clock.now < self.inventoried_at + cell_record::LOAD_INTERVAL_MS {
            return;
        }
        self.inventory_due = false;
        self.inventoried_at = clock.now;
        let available = self.workers.values().filter(|worker| worker.is_available(clock.now));
        let inventory = Inventory::new(available.filter_map(|worker| worker.registration.as_ref()));
        if inventory != self.inventory {
            self.inventory = inventory;
            self.placement_due = true;
        }
    }

    /// Returns whether the workers that get new runs can hold a step of a job, however busy they are now.
    pub(crate) fn holds(&self, job: &Job, step: &Step) -> bool {
        !self.policy.inventory || self.inventory.holds(&job.queue.service, step)
    }

    /// Marks the workers whose zone is to be evacuated, and reports each zone of this cell that has
    /// changed.
    fn mark_evacuated_workers(&mut self) {
        let mut changed: BTreeMap<(Arc<str>, bool), (usize, usize)> = BTreeMap::new();
        for worker in self.workers.values_mut() {
            let Some(entry) = &worker.registration else { continue };
            let evacuated = self.evacuated_zones.contains(entry.zone.as_str());
            if worker.evacuated != evacuated {
                worker.evacuated = evacuated;
                let (workers, runs) =
                    changed.entry((entry.zone.as_str().into(), evacuated)).or_default();
                *workers += 1;
                *runs += worker.runs.len();
            }
        }
        self.placement_due |= !changed.is_empty();
        self.inventory_due |= !changed.is_empty();
        for ((zone, evacuated), (workers, runs)) in changed {
            self.report(action::Report::Zone { zone, evacuated, workers, runs });
        }
    }

    /// Stops every run of a job.
    pub(crate) fn stop_job(&mut self, id: job::Id, reason: action::StopReason) {
        let names = task::Name::all_of(id);
        let runs: Vec<(Arc<str>, task::Name)> = self
            .workers
            .iter()
            .flat_map(|(id, worker)| {
                worker.runs.range(names.clone()).map(|(name, _)| (id.clone(), *name))
            })
            .collect();
        for (worker, name) in runs {
            self.stop(&worker, name, reason);
        }
    }

    pub(crate) fn report(&mut self, report: action::Report) {
        self.actions.push(Action::Report(report));
    }
}
