//! The owner of a cell of workers: jobs, runs and records. The worker's lists are the truth on
//! what runs; an end is acknowledged to the worker only after its record is in the store.

use super::*;

/// Removed jobs that are remembered: minutes of them, against seconds that a read is old.
const GONE: usize = 4_096;

/// What an owner starts from.
#[derive(Debug)]
pub struct Start {
    /// When ownership began, in milliseconds.
    pub acquired_at: u64,
    /// The configuration in force.
    pub config: Arc<Config>,
    /// The head that this owner wrote when it took the cell.
    pub head: Head,
    /// The revision of that head.
    pub head_revision: u64,
    /// Times and sizes.
    pub limits: Limits,
    /// What earlier owners learned of images that press each other.
    pub pressure: pressure::Pressure,
}

/// A cell under this owner.
#[derive(Debug)]
pub struct Cell {
    pub(crate) acquired_at: u64,
    pub(crate) actions: Vec<Action>,
    /// The cells as their owners last told.
    pub(crate) board: admission::Board,
    /// Counts changes that have to be recorded.
    pub(crate) changes: u64,
    pub(crate) commit: Option<cell_record::Pending>,
    pub(crate) committed_at: u64,
    pub(crate) config: Arc<Config>,
    /// Jobs with changes that are in no commit.
    pub(crate) dirty: BTreeSet<job::Id>,
    /// Changes up to this count are recorded.
    pub(crate) durable: u64,
    /// When `usable` was worked out, in milliseconds.
    pub(crate) gauged_at: u64,
    /// Jobs that were removed of late and the revisions at which they were: a record read before
    /// does not bring them back.
    pub(crate) gone: HashMap<job::Id, u64>,
    /// The same jobs, oldest first.
    pub(crate) gone_order: VecDeque<job::Id>,
    pub(crate) head: Head,
    pub(crate) head_revision: u64,
    pub(crate) jobs: HashMap<job::Id, Job>,
    /// What owners of other cells learned of images that press each other.
    pub(crate) learned_elsewhere: pressure::Pressure,
    pub(crate) leaving: bool,
    pub(crate) limits: Limits,
    /// Unknown jobs whose tickets are being read.
    pub(crate) lookups: BTreeSet<job::Id>,
    pub(crate) lost: bool,
    /// Jobs in the order in which their tasks are placed.
    pub(crate) order: BTreeSet<(u32, u64, job::Id)>,
    /// What this owner, and earlier ones of the cell, learned of images that press each other.
    pub(crate) learned: pressure::Pressure,
    /// The same with what owners of other cells learned.
    pub(crate) pressure: pressure::Pressure,
    /// When jobs to pass on were last looked for, in milliseconds.
    pub(crate) rebalanced_at: u64,
    /// When leaving workers were last looked at, in milliseconds.
    pub(crate) evacuated_at: u64,
    /// When what is known of images was last recorded, in milliseconds.
    pub(crate) told_at: u64,
    /// When tasks to move were last looked for, in milliseconds.
    pub(crate) relocated_at: u64,
    /// Processors that tasks of a filling image would find, in thousandths of a core.
    pub(crate) usable: BTreeMap<String, u64>,
    /// Room or work has changed since the last placement.
    pub(crate) unplaced: bool,
    /// Workers that may still run what an earlier owner ordered.
    pub(crate) unfenced: BTreeSet<Arc<str>>,
    pub(crate) workers: BTreeMap<Arc<str>, Worker>,
}

impl Cell {
    /// Returns a cell with the jobs that its store holds, all of them recovered, and its members.
    pub fn new(
        start: Start,
        jobs: Vec<(job::Id, job::Record, Progress, u64)>,
        members: BTreeMap<Arc<str>, Option<Registration>>,
    ) -> Self {
        let mut cell = Self {
            acquired_at: start.acquired_at,
            actions: Vec::new(),
            board: admission::Board::default(),
            changes: 0,
            commit: None,
            committed_at: start.acquired_at,
            config: start.config,
            dirty: BTreeSet::new(),
            durable: 0,
            gauged_at: 0,
            rebalanced_at: 0,
            relocated_at: 0,
            told_at: 0,
            evacuated_at: 0,
            usable: BTreeMap::new(),
            gone: HashMap::new(),
            gone_order: VecDeque::new(),
            head: start.head,
            head_revision: start.head_revision,
            jobs: HashMap::new(),
            learned_elsewhere: pressure::Pressure::default(),
            leaving: false,
            limits: start.limits,
            lookups: BTreeSet::new(),
            lost: false,
            order: BTreeSet::new(),
            learned: start.pressure.clone(),
            pressure: start.pressure,
            unplaced: true,
            unfenced: members.keys().cloned().collect(),
            workers: BTreeMap::new(),
        };
        for (id, record, progress, revision) in jobs {
            cell.add(id, record, &progress, revision, true);
        }
        cell.workers = members.into_iter().map(|(id, entry)| (id, Worker::new(entry))).collect();
        cell
    }

    /// Takes in an event and returns what to do.
    pub fn handle(&mut self, clock: Clock, event: Event) -> Vec<Action> {
        if self.lost {
            return Vec::new();
        }
        match event {
            event if event.is_fenced_off() => self.lose(),
            Event::Accepted { id, record, revision } => {
                self.add(id, record, &Progress::default(), revision, false);
            }
            Event::Board(heads) => {
                for (head, revision) in heads {
                    self.board.observe(head, revision);
                }
            }
            Event::Cancelled { id, revision } => self.cancel(id, revision),
            Event::Commit(outcome) => self.committed(clock, outcome),
            Event::Configured(config) => self.config = config,
            Event::Learned(others) => self.learned_elsewhere = others,
            Event::Leaving => self.leaving = true,
            Event::Lost => self.lose(),
            Event::Poll { worker, sent, answer } => self.polled(clock, &worker, sent, answer),
            Event::TicketRead { id, ticket } => self.looked_up(clock, id, ticket.as_ref()),
            Event::Start { worker, task, run, answer } => {
                self.start_answered(clock, &worker, task, run, answer);
            }
            Event::Stop { worker, task, run, answer } => {
                self.stop_answered(clock, &worker, task, run, answer);
            }
            Event::Tick => {}
            Event::Workers(members) => self.members(clock, members),
        }
        self.settle(clock);
        std::mem::take(&mut self.actions)
    }

    /// Does what is due at this moment.
    fn settle(&mut self, clock: Clock) {
        self.expire(clock);
        self.resend(clock);
        self.relocate(clock);
        self.evacuate(clock);
        self.place(clock);
        self.gauge(clock);
        self.rebalance(clock);
        self.record(clock);
        self.poll(clock);
    }

    /// Returns whether nothing is under way that a successor could not see.
    pub fn is_quiet(&self) -> bool {
        let ordering = |run: &Run| matches!(run.phase, run::Phase::Starting { retry_at: None, .. });
        self.commit.is_none()
            && self.dirty.is_empty()
            && !self.workers.values().flat_map(|worker| worker.runs.values()).any(ordering)
    }

    /// Returns the head that this owner last wrote.
    pub fn head(&self) -> (&Head, u64) {
        (&self.head, self.head_revision)
    }

    /// Returns the number of jobs that are not over.
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns a worker of the cell.
    pub fn worker(&self, id: &str) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// Returns a job of the cell.
    pub fn job(&self, id: &job::Id) -> Option<&Job> {
        self.jobs.get(id)
    }

    fn add(
        &mut self,
        id: job::Id,
        record: job::Record,
        progress: &Progress,
        revision: u64,
        recovered: bool,
    ) {
        let stale = self.gone.get(&id).is_some_and(|&removed| revision <= removed);
        if stale || self.jobs.contains_key(&id) {
            return;
        }
        let queue = self.config.named(&record.queue).cloned().unwrap_or_else(|| {
            Arc::new(Queue {
                advised: false,
                host: String::new(),
                max_attempts: 1,
                name: record.queue.clone(),
                objective_ms: 0,
                prefix: String::new(),
                priority: u32::MAX,
                service: String::new(),
                stretch: 1.0,
            })
        });
        let mut job = Job::new(record, progress, queue, revision);
        job.recovered = recovered;
        self.order.insert((job.queue.priority, job.accepted_at_ms, id));
        let done = job.is_done();
        self.jobs.insert(id, job);
        if done {
            self.finish(id, State::Completed);
        }
        self.unplaced = true;
    }

    fn cancel(&mut self, id: job::Id, revision: u64) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.cancelled {
            return;
        }
        job.cancelled = true;
        job.ticket = State::Cancelled;
        job.ticket_revision = revision;
        self.finish(id, State::Cancelled);
        self.stop_job(id, action::StopReason::Cancelled);
    }

    /// Remembers that a job was removed.
    pub(crate) fn forget(&mut self, id: job::Id, revision: u64) {
        if self.gone.insert(id, revision).is_none() {
            self.gone_order.push_back(id);
        }
        if self.gone_order.len() > GONE
            && let Some(oldest) = self.gone_order.pop_front()
        {
            self.gone.remove(&oldest);
        }
    }

    /// Sets the state that the job's record is to reach.
    pub(crate) fn finish(&mut self, id: job::Id, state: State) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.outcome = Some(state);
        self.order.remove(&(job.queue.priority, job.accepted_at_ms, id));
        self.touch(id);
    }

    /// Notes that the job's record has to be written.
    pub(crate) fn touch(&mut self, id: job::Id) {
        self.changes += 1;
        self.dirty.insert(id);
    }

    fn members(&mut self, clock: Clock, members: BTreeMap<Arc<str>, Option<Registration>>) {
        self.unplaced = true;
        for (id, entry) in &members {
            match self.workers.get_mut(id) {
                Some(worker) => {
                    if entry.is_some() {
                        worker.missing_since = None;
                    } else {
                        worker.missing_since.get_or_insert(clock.now);
                    }
                    // The entry's address and life hold while the worker has none.
                    match entry {
                        Some(entry) => worker.registration = Some(entry.clone()),
                        None => worker.paused_until = clock.now + limits::UNHEALTHY_PAUSE_MS,
                    }
                }
                None => {
                    self.workers.insert(id.clone(), Worker::new(entry.clone()));
                }
            }
        }
        let gone: Vec<Arc<str>> = self
            .workers
            .iter()
            .filter(|(id, worker)| !members.contains_key(*id) && worker.runs.is_empty())
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            self.workers.remove(&id);
            self.unfenced.remove(&id);
        }
    }

    /// Stops every run of a job.
    pub(crate) fn stop_job(&mut self, id: job::Id, reason: action::StopReason) {
        let from = task::Name { job: id, occurrence: 0, step: 0, index: 0 };
        let to = task::Name { job: id, occurrence: u32::MAX, step: u16::MAX, index: u16::MAX };
        let runs: Vec<(Arc<str>, task::Name)> = self
            .workers
            .iter()
            .flat_map(|(id, worker)| {
                worker.runs.range(from..=to).map(|(name, _)| (id.clone(), *name))
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
