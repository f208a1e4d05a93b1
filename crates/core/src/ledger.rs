//! The jobs of a cell and their tasks, as the journal's records make them.

use {super::*, chart::Transition};

/// Jobs that are over and still answered for.
pub const MAX_OVER_JOBS: usize = 2_000;
/// Failed runs of one task after which its job fails.
pub const MAX_FAILURES: u32 = 5;

/// The jobs of a cell and their tasks. The same records in the same order make the same ledger.
#[derive(Clone, Debug)]
pub struct Ledger {
    chart: Arc<stage::Life>,
    content: Content,
}

/// What a snapshot holds.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Content {
    /// By serial.
    pub jobs: BTreeMap<u128, Job>,
    /// Jobs accepted so far.
    pub accepted: u64,
    /// Serials of jobs that are over, the oldest first, at most `MAX_OVER_JOBS`.
    pub over: VecDeque<u128>,
}

/// A job and its tasks.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Job {
    /// Tasks evicted so far, each counted every time.
    pub evictions: u64,
    /// Tasks that ended with success.
    pub finished: u32,
    /// Tasks that are not over.
    pub left: u32,
    /// Position in the order of acceptance.
    pub order: u64,
    /// The job as submitted; without payload once over.
    pub spec: job::Spec,
    /// Where the job stands.
    pub state: job::State,
    /// By position; empty once the job is over.
    pub tasks: Vec<Task>,
}

/// A task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Task {
    /// Starts so far.
    pub attempt: task::Attempt,
    /// What the next run resumes from.
    pub checkpoint: Option<String>,
    /// Runs that failed.
    pub failures: u32,
    /// Where it stands.
    pub stage: Stage,
    /// Where it may run; none unless `stage.may_run()`.
    pub vm: Option<Name>,
}

/// A task's step from one stage to another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// What the step means for the task's room.
    pub action: stage::Action,
    /// The stage before.
    pub from: Stage,
    /// The task.
    pub key: Key,
    /// The stage after.
    pub to: Stage,
    /// Where its run was or is.
    pub vm: Option<Name>,
}

/// Why a record does not apply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The job is in the ledger already.
    Accepted(u128),
    /// The run is not the task's current one.
    Attempt(Key),
    /// The stage does not allow it.
    Stage(Key),
    /// No such job or task.
    Unknown(Key),
}

impl Ledger {
    /// Returns a ledger with the content of a snapshot.
    pub fn new(chart: Arc<stage::Life>, content: Content) -> Self {
        Self { chart, content }
    }

    /// Applies a record and returns the tasks' steps.
    ///
    /// # Errors
    ///
    /// Nothing is changed when the record contradicts the ledger.
    pub fn apply(&mut self, record: &Record) -> Result<Vec<Change>, Error> {
        match record {
            Record::Accept { serial, spec } => self.accept(*serial, spec),
            Record::Cancel { serial } => {
                self.close(*serial, job::State::Cancelled, stage::Event::Cancel)
            }
            Record::Fail { reason, serial } => {
                let state = job::State::Failed { reason: reason.clone() };
                self.close(*serial, state, stage::Event::Abandon)
            }
            Record::Over { attempt, end, key } => self.end(*key, *attempt, end),
            Record::Overtake { attempt, key } => self.overtake(*key, *attempt),
            Record::Start { attempt, key, vm } => self.start(*key, *attempt, vm),
        }
    }

    /// Borrows what a snapshot holds.
    pub fn content(&self) -> &Content {
        &self.content
    }

    /// Returns a job.
    pub fn job(&self, serial: u128) -> Option<&Job> {
        self.content.jobs.get(&serial)
    }

    /// Returns every task that is not over, by job and position.
    pub fn open(&self) -> impl Iterator<Item = (Key, &Job, &Task)> {
        self.content.jobs.iter().flat_map(|(serial, job)| {
            let tasks = job.tasks.iter().enumerate();
            tasks
                .map(move |(index, task)| (Key { index: index as u32, serial: *serial }, job, task))
        })
    }

    /// Moves a task by an event that needs no record, and returns its step.
    pub fn shift(&mut self, key: Key, event: stage::Event) -> Option<Change> {
        let chart = self.chart.clone();
        let task = self.task_mut(key).ok()?;
        let from = task.stage;
        let Transition { action, to } = chart.transition(from, event)?;
        task.stage = to;
        Some(Change { action, from, key, to, vm: task.vm.clone() })
    }

    /// Returns what a caller sees of a job.
    pub fn status(&self, id: &job::Id) -> Option<job::Status> {
        let job = self.job(id.serial)?;
        let running = job.tasks.iter().filter(|task| task.stage.may_run()).count() as u32;
        Some(job::Status {
            evictions: job.evictions,
            finished: job.finished,
            id: id.clone(),
            queued: job.left - running,
            running,
            state: job.state.clone(),
            tasks: job.spec.tasks,
        })
    }

    /// Returns a task.
    pub fn task(&self, key: Key) -> Option<&Task> {
        self.job(key.serial)?.tasks.get(key.index as usize)
    }

    fn accept(&mut self, serial: u128, spec: &job::Spec) -> Result<Vec<Change>, Error> {
        if self.content.jobs.contains_key(&serial) {
            return Err(Error::Accepted(serial));
        }
        self.content.accepted += 1;
        let job = Job {
            evictions: 0,
            finished: 0,
            left: spec.tasks,
            order: self.content.accepted,
            spec: spec.clone(),
            state: job::State::Open,
            tasks: vec![Task::new(self.chart.start()); spec.tasks as usize],
        };
        self.content.jobs.insert(serial, job);
        Ok(Vec::new())
    }

    fn close(
        &mut self,
        serial: u128,
        state: job::State,
        event: stage::Event,
    ) -> Result<Vec<Change>, Error> {
        let key = Key { index: 0, serial };
        let job = self.content.jobs.get_mut(&serial).ok_or(Error::Unknown(key))?;
        if job.state != job::State::Open {
            return Ok(Vec::new());
        }
        job.state = state;
        let changes = job.shift_all(serial, &self.chart, event);
        self.retire(serial);
        Ok(changes)
    }

    fn end(
        &mut self,
        key: Key,
        attempt: task::Attempt,
        end: &worker::End,
    ) -> Result<Vec<Change>, Error> {
        let chart = self.chart.clone();
        let job = self.content.jobs.get_mut(&key.serial).ok_or(Error::Unknown(key))?;
        let task = job.tasks.get_mut(key.index as usize).ok_or(Error::Unknown(key))?;
        if task.attempt != attempt {
            return Err(Error::Attempt(key));
        }
        let from = task.stage;
        let event = task.event(end);
        let Transition { action, to } = chart.transition(from, event).ok_or(Error::Stage(key))?;
        let vm = task.vm.take();
        task.stage = to;
        task.failures += u32::from(matches!(end, worker::End::Failed { .. }));
        if let worker::End::Checkpointed { token } = end {
            task.checkpoint = Some(token.clone());
            job.evictions += u64::from(to == Stage::Queued);
        }
        let mut changes = vec![Change { action, from, key, to, vm }];
        let reason = match (event, end) {
            (stage::Event::Exhaust, worker::End::Failed { reason }) => Some(reason.as_str()),
            _ => None,
        };
        changes.extend(job.settle(key.serial, &chart, to, reason));
        self.retire(key.serial);
        Ok(changes)
    }

    fn overtake(&mut self, key: Key, attempt: task::Attempt) -> Result<Vec<Change>, Error> {
        let chart = self.chart.clone();
        let job = self.content.jobs.get_mut(&key.serial).ok_or(Error::Unknown(key))?;
        let task = job.tasks.get_mut(key.index as usize).ok_or(Error::Unknown(key))?;
        if attempt > task.attempt {
            return Err(Error::Attempt(key));
        }
        let from = task.stage;
        let step = chart.transition(from, stage::Event::Overtake);
        let Transition { action, to } = step.ok_or(Error::Stage(key))?;
        task.stage = to;
        let vm = task.vm.clone();
        job.settle(key.serial, &chart, to, None);
        self.retire(key.serial);
        Ok(vec![Change { action, from, key, to, vm }])
    }

    /// Drops what nobody needs of a job that is over, and the oldest such jobs.
    fn retire(&mut self, serial: u128) {
        let Some(job) = self.content.jobs.get_mut(&serial) else { return };
        if job.left > 0 || job.tasks.is_empty() {
            return;
        }
        job.tasks = Vec::new();
        job.spec.payload = String::new();
        self.content.over.push_back(serial);
        if self.content.over.len() > MAX_OVER_JOBS {
            let oldest = self.content.over.pop_front();
            oldest.map(|serial| self.content.jobs.remove(&serial));
        }
    }

    fn start(&mut self, key: Key, attempt: task::Attempt, vm: &Name) -> Result<Vec<Change>, Error> {
        let chart = self.chart.clone();
        let task = self.task_mut(key)?;
        if attempt.0 != task.attempt.0 + 1 {
            return Err(Error::Attempt(key));
        }
        let from = task.stage;
        let step = chart.transition(from, stage::Event::Start);
        let Transition { action, to } = step.ok_or(Error::Stage(key))?;
        task.attempt = attempt;
        task.stage = to;
        task.vm = Some(vm.clone());
        Ok(vec![Change { action, from, key, to, vm: Some(vm.clone()) }])
    }

    fn task_mut(&mut self, key: Key) -> Result<&mut Task, Error> {
        let job = self.content.jobs.get_mut(&key.serial).ok_or(Error::Unknown(key))?;
        job.tasks.get_mut(key.index as usize).ok_or(Error::Unknown(key))
    }
}

impl Job {
    /// Moves the job on after one of its tasks came to `to`, for good if it failed for `reason`.
    fn settle(
        &mut self,
        serial: u128,
        chart: &stage::Life,
        to: Stage,
        reason: Option<&str>,
    ) -> Vec<Change> {
        if !to.is_final() {
            return Vec::new();
        }
        self.left -= 1;
        self.finished += u32::from(to == Stage::Finished);
        if self.state != job::State::Open {
            return Vec::new();
        }
        if self.finished == self.spec.tasks {
            self.state = job::State::Finished;
        }
        let Some(reason) = reason else { return Vec::new() };
        let reason = format!("a task failed {MAX_FAILURES} times, the last with `{reason}`");
        self.state = job::State::Failed { reason };
        self.shift_all(serial, chart, stage::Event::Abandon)
    }

    fn shift_all(&mut self, serial: u128, chart: &stage::Life, event: stage::Event) -> Vec<Change> {
        let mut changes = Vec::new();
        for (index, task) in self.tasks.iter_mut().enumerate() {
            let from = task.stage;
            let Some(Transition { action, to }) = chart.transition(from, event) else { continue };
            task.stage = to;
            self.left -= u32::from(to.is_final());
            let key = Key { index: index as u32, serial };
            changes.push(Change { action, from, key, to, vm: task.vm.clone() });
        }
        changes
    }
}

impl Task {
    fn new(stage: Stage) -> Self {
        let attempt = task::Attempt::default();
        Self { attempt, checkpoint: None, failures: 0, stage, vm: None }
    }

    fn event(&self, end: &worker::End) -> stage::Event {
        match end {
            worker::End::Checkpointed { .. } => stage::Event::Checkpoint,
            worker::End::Failed { .. } if self.failures + 1 >= MAX_FAILURES => {
                stage::Event::Exhaust
            }
            worker::End::Failed { .. } => stage::Event::Fail,
            worker::End::Finished => stage::Event::Finish,
            worker::End::Lapsed => stage::Event::Lapse,
            worker::End::Refused { .. } => stage::Event::Refuse,
            worker::End::Stopped => stage::Event::Stop,
        }
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::Accepted(serial) => write!(f, "job `{serial:032x}` is accepted twice"),
            Self::Attempt(key) => write!(f, "task `{key}` has another attempt"),
            Self::Stage(key) => write!(f, "task `{key}` is in a stage that does not allow it"),
            Self::Unknown(key) => write!(f, "task `{key}` is not known"),
        }
    }
}

impl std::error::Error for Error {}
