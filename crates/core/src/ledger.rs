//! The jobs of a cell and their tasks, built by applying the records of the journal.

use super::*;

/// Maximum number of ended jobs whose status is kept.
pub const MAX_ENDED_JOBS: usize = 2_000;
/// Number of failed runs of one task after which its job fails.
pub const MAX_FAILURES: u32 = 5;

/// The jobs of a cell and their tasks. Deterministic: the same records in the same order lead to
/// the same ledger.
#[derive(Clone, Debug)]
pub struct Ledger {
    chart: Arc<stage::Life>,
    content: Content,
}

/// The state of a ledger that a snapshot stores.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Content {
    /// By serial.
    pub jobs: BTreeMap<u128, Job>,
    /// Number of jobs accepted so far.
    pub accepted: u64,
    /// Serials of ended jobs, oldest first, at most `MAX_ENDED_JOBS`.
    pub over: VecDeque<u128>,
}

/// A job and its tasks.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Job {
    /// Number of evictions of its tasks so far.
    pub evictions: u64,
    /// Number of tasks that succeeded.
    pub finished: u32,
    /// Number of tasks that have not ended.
    pub left: u32,
    /// Position in the order of acceptance.
    pub order: u64,
    /// The job as submitted. The payload is dropped when the job has ended.
    pub spec: job::Spec,
    /// The state of the job.
    pub state: job::State,
    /// By position; empty when the job has ended.
    pub tasks: Vec<Task>,
}

/// A task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Task {
    /// Number of starts so far.
    pub attempt: task::Attempt,
    /// The checkpoint that the next run resumes from.
    pub checkpoint: Option<String>,
    /// Number of failed runs.
    pub failures: u32,
    /// The stage of the task.
    pub stage: Stage,
    /// The VM where it may be running; `None` unless `stage.may_run()`.
    pub vm: Option<Name>,
}

/// A task's transition from one stage to another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Transition {
    /// The effect of the transition on the task's resources.
    pub action: stage::Action,
    /// The stage before.
    pub from: Stage,
    /// The task.
    pub key: Key,
    /// The stage after.
    pub to: Stage,
    /// The VM of its run.
    pub vm: Option<Name>,
}

/// Why a record can't be applied.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The job was accepted before.
    Accepted(u128),
    /// The run is not the task's current one.
    Attempt(Key),
    /// The task's stage does not allow the event.
    Stage(Key),
    /// The job or task does not exist.
    Unknown(Key),
}

impl Ledger {
    /// Returns a ledger with the content of a snapshot.
    pub fn new(chart: Arc<stage::Life>, content: Content) -> Self {
        Self { chart, content }
    }

    /// Applies a record and returns the resulting transitions of tasks.
    ///
    /// # Errors
    ///
    /// Returns an error, and changes nothing, if the record contradicts the ledger.
    pub fn apply(&mut self, record: &Record) -> Result<Vec<Transition>, Error> {
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

    /// Returns the state that a snapshot stores.
    pub fn content(&self) -> &Content {
        &self.content
    }

    /// Returns a job.
    pub fn job(&self, serial: u128) -> Option<&Job> {
        self.content.jobs.get(&serial)
    }

    /// Returns the tasks of all jobs that have not ended, by job and position.
    pub fn tasks(&self) -> impl Iterator<Item = (Key, &Job, &Task)> {
        self.content.jobs.iter().flat_map(|(serial, job)| {
            let tasks = job.tasks.iter().enumerate();
            tasks
                .map(move |(index, task)| (Key { index: index as u32, serial: *serial }, job, task))
        })
    }

    /// Applies an event that needs no record to a task, and returns the transition.
    pub fn apply_event(&mut self, key: Key, event: stage::Event) -> Option<Transition> {
        let chart = self.chart.clone();
        let task = self.task_mut(key).ok()?;
        let from = task.stage;
        let chart::Transition { action, to } = chart.transition(from, event)?;
        task.stage = to;
        Some(Transition { action, from, key, to, vm: task.vm.clone() })
    }

    /// Returns the status of a job for callers.
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

    fn accept(&mut self, serial: u128, spec: &job::Spec) -> Result<Vec<Transition>, Error> {
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

    /// Ends an open job in `state`, and applies `event` to its tasks. Does nothing to other jobs.
    fn close(
        &mut self,
        serial: u128,
        state: job::State,
        event: stage::Event,
    ) -> Result<Vec<Transition>, Error> {
        let key = Key { index: 0, serial };
        let job = self.content.jobs.get_mut(&serial).ok_or(Error::Unknown(key))?;
        if job.state != job::State::Open {
            return Ok(Vec::new());
        }
        job.state = state;
        let transitions = job.apply_event_to_all(serial, &self.chart, event);
        self.retire(serial);
        Ok(transitions)
    }

    /// Applies the end of a task's current run.
    fn end(
        &mut self,
        key: Key,
        attempt: task::Attempt,
        end: &worker::End,
    ) -> Result<Vec<Transition>, Error> {
        let chart = self.chart.clone();
        let job = self.content.jobs.get_mut(&key.serial).ok_or(Error::Unknown(key))?;
        let task = job.tasks.get_mut(key.index as usize).ok_or(Error::Unknown(key))?;
        if task.attempt != attempt {
            return Err(Error::Attempt(key));
        }
        let from = task.stage;
        let event = task.end_event(end);
        let chart::Transition { action, to } =
            chart.transition(from, event).ok_or(Error::Stage(key))?;
        let vm = task.vm.take();
        task.stage = to;
        task.failures += u32::from(matches!(end, worker::End::Failed { .. }));
        if let worker::End::Checkpointed { token } = end {
            task.checkpoint = Some(token.clone());
            job.evictions += u64::from(to == Stage::Queued);
        }
        let mut transitions = vec![Transition { action, from, key, to, vm }];
        let reason = match (event, end) {
            (stage::Event::Exhaust, worker::End::Failed { reason }) => Some(reason.as_str()),
            _ => None,
        };
        transitions.extend(job.on_transition(key.serial, &chart, to, reason));
        self.retire(key.serial);
        Ok(transitions)
    }

    /// Applies the late report that a run, counted as over before, completed the task. It is the
    /// latest run or an earlier one.
    fn overtake(&mut self, key: Key, attempt: task::Attempt) -> Result<Vec<Transition>, Error> {
        let chart = self.chart.clone();
        let job = self.content.jobs.get_mut(&key.serial).ok_or(Error::Unknown(key))?;
        let task = job.tasks.get_mut(key.index as usize).ok_or(Error::Unknown(key))?;
        if attempt > task.attempt {
            return Err(Error::Attempt(key));
        }
        let from = task.stage;
        let step = chart.transition(from, stage::Event::Overtake);
        let chart::Transition { action, to } = step.ok_or(Error::Stage(key))?;
        task.stage = to;
        let vm = task.vm.clone();
        job.on_transition(key.serial, &chart, to, None);
        self.retire(key.serial);
        Ok(vec![Transition { action, from, key, to, vm }])
    }

    /// Drops the tasks and payload of a job that has ended, and the oldest ended job when there are
    /// more than `MAX_ENDED_JOBS`.
    fn retire(&mut self, serial: u128) {
        let Some(job) = self.content.jobs.get_mut(&serial) else { return };
        if job.left > 0 || job.tasks.is_empty() {
            return;
        }
        job.tasks = Vec::new();
        job.spec.payload = String::new();
        self.content.over.push_back(serial);
        if self.content.over.len() > MAX_ENDED_JOBS {
            let oldest = self.content.over.pop_front();
            oldest.map(|serial| self.content.jobs.remove(&serial));
        }
    }

    fn start(
        &mut self,
        key: Key,
        attempt: task::Attempt,
        vm: &Name,
    ) -> Result<Vec<Transition>, Error> {
        let chart = self.chart.clone();
        let task = self.task_mut(key)?;
        if attempt.0 != task.attempt.0 + 1 {
            return Err(Error::Attempt(key));
        }
        let from = task.stage;
        let step = chart.transition(from, stage::Event::Start);
        let chart::Transition { action, to } = step.ok_or(Error::Stage(key))?;
        task.attempt = attempt;
        task.stage = to;
        task.vm = Some(vm.clone());
        Ok(vec![Transition { action, from, key, to, vm: Some(vm.clone()) }])
    }

    fn task_mut(&mut self, key: Key) -> Result<&mut Task, Error> {
        let job = self.content.jobs.get_mut(&key.serial).ok_or(Error::Unknown(key))?;
        job.tasks.get_mut(key.index as usize).ok_or(Error::Unknown(key))
    }
}

impl Job {
    /// Updates the job after one of its tasks has moved to `to`. Fails the job if a `reason` is
    /// given, and returns the transitions of its other tasks.
    fn on_transition(
        &mut self,
        serial: u128,
        chart: &stage::Life,
        to: Stage,
        reason: Option<&str>,
    ) -> Vec<Transition> {
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
        self.apply_event_to_all(serial, chart, stage::Event::Abandon)
    }

    fn apply_event_to_all(
        &mut self,
        serial: u128,
        chart: &stage::Life,
        event: stage::Event,
    ) -> Vec<Transition> {
        let mut transitions = Vec::new();
        for (index, task) in self.tasks.iter_mut().enumerate() {
            let from = task.stage;
            let Some(chart::Transition { action, to }) = chart.transition(from, event) else {
                continue;
            };
            task.stage = to;
            self.left -= u32::from(to.is_final());
            let key = Key { index: index as u32, serial };
            transitions.push(Transition { action, from, key, to, vm: task.vm.clone() });
        }
        transitions
    }
}

impl Task {
    fn new(stage: Stage) -> Self {
        let attempt = task::Attempt::default();
        Self { attempt, checkpoint: None, failures: 0, stage, vm: None }
    }

    fn end_event(&self, end: &worker::End) -> stage::Event {
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
            Self::Accepted(serial) => write!(f, "job `{serial:032x}` was accepted before"),
            Self::Attempt(key) => {
                write!(f, "the record's attempt does not match task `{key}`")
            }
            Self::Stage(key) => {
                write!(f, "task `{key}` is in a stage that does not allow the record")
            }
            Self::Unknown(key) => write!(f, "task `{key}` does not exist"),
        }
    }
}

impl std::error::Error for Error {}
