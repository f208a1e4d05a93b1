//! Jobs of a cell.

use super::*;

/// The ID that a job's caller chose: 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Id([u8; ID_BYTES]);

/// Digits of an ID.
pub const ID_BYTES: usize = 16;

/// Why a text is not an ID.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    text: String,
}

/// What the store keeps of an accepted job.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// When the job was accepted, in milliseconds since 1970.
    pub accepted_at_ms: u64,
    /// The name of its queue.
    pub queue: String,
    /// What its caller submitted.
    pub submission: Submission,
    /// The tasks that this cell runs, as step and task; all when not given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tasks: Option<BTreeSet<(u16, u16)>>,
    /// The ticket as it was when the job was split among cells.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<Ticket>,
}

/// The tasks of one step of one occurrence.
#[derive(Debug)]
pub struct Stage {
    /// Tasks that are not done.
    pub left: usize,
    /// Every task of the step.
    pub tasks: Vec<task::Task>,
    /// The step's shape.
    pub step: Arc<Step>,
    /// Tasks that wait for a worker.
    pub waiting: BTreeSet<u16>,
}

/// One occurrence of a job.
#[derive(Debug)]
pub struct Occurrence {
    /// When its first step may start, in milliseconds since 1970.
    pub due_at_ms: u64,
    /// Its steps.
    pub stages: Vec<Stage>,
}

/// Tasks that go to another cell.
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    /// The cell.
    pub to: u32,
    /// The tasks, as step and task.
    pub tasks: BTreeSet<(u16, u16)>,
}

/// A job that is not over.
#[derive(Debug)]
pub struct Job {
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_at_ms: u64,
    /// A task has started, now or under an earlier owner.
    pub begun: bool,
    /// Its caller cancelled it.
    pub cancelled: bool,
    /// The job's occurrences, at least one.
    pub occurrences: Vec<Occurrence>,
    /// The queue, as configured when the job was taken over.
    pub queue: Arc<Queue>,
    /// The cells of its ticket: the job's own, and others that run tasks of it.
    pub home: Option<u32>,
    /// Other cells that run tasks of the job.
    pub also: Vec<u32>,
    /// The cell that it is being passed on to.
    pub moving_to: Option<u32>,
    /// Since when tasks of a job that has begun have waited, in milliseconds.
    pub waiting_since: Option<u64>,
    /// Tasks that are being passed on to another cell.
    pub splitting: Option<Split>,
    /// What the store holds of it.
    pub record: Arc<Record>,
    /// The job was accepted before this owner's time: its tasks may run on workers that have not
    /// been heard.
    pub recovered: bool,
    /// What its caller handed in for workers.
    pub spec: Arc<str>,
    /// The state that the ticket holds.
    pub ticket: State,
    /// The revision of the ticket.
    pub ticket_revision: u64,
    /// The state to which the record has to be brought.
    pub outcome: Option<State>,
}

impl Id {
    /// Borrows the digits.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or_default()
    }
}

impl FromStr for Id {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let bytes: [u8; ID_BYTES] =
            text.as_bytes().try_into().map_err(|_| Error { text: text.into() })?;
        if !bytes.iter().all(u8::is_ascii_hexdigit) {
            return Err(Error { text: text.into() });
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for Id {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Id> for String {
    fn from(id: Id) -> Self {
        id.as_str().into()
    }
}

impl Display for Id {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "`{}` is not an ID of {ID_BYTES} hexadecimal digits", self.text)
    }
}

impl Stage {
    fn new(step: &Arc<Step>) -> Self {
        let count = usize::from(step.count);
        Self {
            left: count,
            tasks: vec![task::Task::default(); count],
            step: step.clone(),
            waiting: (0..step.count).collect(),
        }
    }
}

impl Job {
    /// Returns the job of `record` with the ends of `progress`.
    pub fn new(record: Record, progress: &Progress, queue: Arc<Queue>, revision: u64) -> Self {
        let record = Arc::new(record);
        let submission = &record.submission;
        let steps: Vec<Arc<Step>> = submission.steps.iter().cloned().map(Arc::new).collect();
        let occurrences = (0..submission.occurrences.max(1))
            .map(|number| Occurrence {
                due_at_ms: submission.start_at_ms + u64::from(number) * submission.interval_ms,
                stages: steps.iter().map(Stage::new).collect(),
            })
            .collect();
        let mut job = Self {
            accepted_at_ms: record.accepted_at_ms,
            begun: false,
            cancelled: false,
            occurrences,
            queue,
            home: record.ticket.as_ref().map(|ticket| ticket.cell),
            also: record.ticket.as_ref().map(|ticket| ticket.also.clone()).unwrap_or_default(),
            moving_to: None,
            splitting: None,
            waiting_since: None,
            recovered: false,
            spec: submission.spec.as_str().into(),
            ticket: record.ticket.as_ref().map_or(State::Queued, |ticket| ticket.state),
            ticket_revision: revision,
            outcome: None,
            record,
        };
        job.restore(progress);
        if let Some(tasks) = job.record.clone().tasks.as_ref() {
            job.leave_out(|task| !tasks.contains(&task));
            job.begun = true;
        }
        job
    }

    fn restore(&mut self, progress: &Progress) {
        for (occurrence, step, indices) in &progress.done {
            let Some(stage) = self.stage_mut(*occurrence, *step) else { continue };
            for index in indices {
                stage.finish(*index);
            }
        }
        for &(occurrence, step, index, run) in &progress.failed {
            let task = self
                .stage_mut(occurrence, step)
                .and_then(|stage| stage.tasks.get_mut(usize::from(index)));
            if let Some(task) = task {
                task.failed.push(run);
                task.last_run = task.last_run.max(run);
            }
        }
        self.begun = !progress.done.is_empty() || !progress.failed.is_empty();
    }

    /// Leaves tasks to other cells.
    pub fn leave_out(&mut self, gone: impl Fn((u16, u16)) -> bool) {
        for occurrence in &mut self.occurrences {
            for (step, stage) in (0..).zip(&mut occurrence.stages) {
                for index in 0..stage.step.count {
                    if gone((step, index)) {
                        stage.leave_out(index);
                    }
                }
            }
        }
    }

    /// Returns the tasks that wait, as step and task.
    pub fn waiting(&self) -> BTreeSet<(u16, u16)> {
        let Some(occurrence) = self.occurrences.first() else { return BTreeSet::new() };
        (0..)
            .zip(&occurrence.stages)
            .flat_map(|(step, stage)| stage.waiting.iter().map(move |&index| (step, index)))
            .collect()
    }

    /// Returns the tasks that this cell runs, as step and task.
    pub fn tasks(&self) -> BTreeSet<(u16, u16)> {
        let Some(occurrence) = self.occurrences.first() else { return BTreeSet::new() };
        let here = |task: &task::Task| task.standing != task::Standing::Elsewhere;
        (0..)
            .zip(&occurrence.stages)
            .flat_map(|(step, stage)| {
                let tasks = (0..).zip(&stage.tasks).filter(move |(_, task)| here(task));
                tasks.map(move |(index, _)| (step, index))
            })
            .collect()
    }

    /// Returns the job's ticket with a state, where `cell` is the job's own if none is known.
    pub fn ticket_as(&self, cell: u32, state: State) -> Ticket {
        Ticket {
            also: self.also.clone(),
            cell: self.home.unwrap_or(cell),
            queue: self.queue.name.clone(),
            state,
        }
    }

    /// Returns whether its tasks run until it is cancelled.
    pub fn is_lasting(&self) -> bool {
        self.record.submission.steps.iter().any(|step| step.lasting)
    }

    /// Returns the ends to record.
    pub fn progress(&self) -> Progress {
        let mut progress = Progress::default();
        for (number, occurrence) in (0..).zip(&self.occurrences) {
            for (step, stage) in (0..).zip(&occurrence.stages) {
                let done: Vec<u16> = (0..)
                    .zip(&stage.tasks)
                    .filter(|(_, task)| task.standing == task::Standing::Done)
                    .map(|(index, _)| index)
                    .collect();
                if !done.is_empty() {
                    progress.done.push((number, step, done));
                }
                for (index, task) in (0..).zip(&stage.tasks) {
                    if stage.step.lasting {
                        continue;
                    }
                    let failed = task.failed.iter().map(|&run| (number, step, index, run));
                    progress.failed.extend(failed);
                }
            }
        }
        progress
    }

    /// Returns the stage of a step of an occurrence.
    pub fn stage(&self, occurrence: u32, step: u16) -> Option<&Stage> {
        self.occurrences.get(occurrence as usize)?.stages.get(usize::from(step))
    }

    /// Returns the stage of a step of an occurrence.
    pub fn stage_mut(&mut self, occurrence: u32, step: u16) -> Option<&mut Stage> {
        self.occurrences.get_mut(occurrence as usize)?.stages.get_mut(usize::from(step))
    }

    /// Returns the task called `name`.
    pub fn task(&self, name: &task::Name) -> Option<&task::Task> {
        self.stage(name.occurrence, name.step)?.tasks.get(usize::from(name.index))
    }

    /// Returns the task called `name`.
    pub fn task_mut(&mut self, name: &task::Name) -> Option<&mut task::Task> {
        self.stage_mut(name.occurrence, name.step)?.tasks.get_mut(usize::from(name.index))
    }

    /// Returns whether every task is done.
    pub fn is_done(&self) -> bool {
        let mut stages = self.occurrences.iter().flat_map(|occurrence| &occurrence.stages);
        !self.is_lasting() && stages.all(|stage| stage.left == 0)
    }

    /// Returns the core-milliseconds of work that are not done, by the estimates.
    pub fn work_left(&self) -> u64 {
        self.occurrences
            .iter()
            .flat_map(|occurrence| &occurrence.stages)
            .filter(|stage| !stage.step.lasting)
            .map(|stage| {
                let task = stage.step.estimate_ms * stage.step.resources.processors_milli / 1_000;
                stage.left as u64 * task
            })
            .sum()
    }

    /// Returns the longest chain of steps of an occurrence, in milliseconds by the estimates, where
    /// only stages that `counts` holds for take time.
    pub fn chain_ms(&self, counts: impl Fn(&Stage) -> bool) -> u64 {
        let Some(occurrence) = self.occurrences.first() else { return 0 };
        let mut ends: Vec<u64> = Vec::with_capacity(occurrence.stages.len());
        for stage in &occurrence.stages {
            let before = stage.step.after.iter().filter_map(|&step| ends.get(usize::from(step)));
            let own = if counts(stage) { stage.step.estimate_ms } else { 0 };
            ends.push(before.max().copied().unwrap_or(0) + own);
        }
        ends.into_iter().max().unwrap_or(0)
    }
}

impl Occurrence {
    /// Returns whether the steps before `step` are done.
    pub fn is_open(&self, step: usize) -> bool {
        self.stages[step]
            .step
            .after
            .iter()
            .all(|&before| self.stages[usize::from(before)].left == 0)
    }
}

impl Stage {
    /// Leaves a task to another cell.
    pub fn leave_out(&mut self, index: u16) {
        let Some(task) = self.tasks.get_mut(usize::from(index)) else { return };
        if task.standing == task::Standing::Waiting {
            task.standing = task::Standing::Elsewhere;
            self.waiting.remove(&index);
        }
    }

    /// Marks a task as done, once.
    pub fn finish(&mut self, index: u16) {
        let Some(task) = self.tasks.get_mut(usize::from(index)) else { return };
        if task.standing == task::Standing::Done {
            return;
        }
        task.standing = task::Standing::Done;
        self.waiting.remove(&index);
        self.left -= 1;
    }
}
