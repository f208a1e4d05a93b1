//! Jobs of a cell, with their occurrences, stages and tasks.

use super::*;

/// A job ID: 16 hexadecimal digits, chosen by the caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Id([u8; ID_BYTES]);

/// Length of a job ID in bytes, one for each digit.
pub const ID_BYTES: usize = 16;

/// The error of parsing a text that is not a job ID.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    text: String,
}

/// The record of an accepted job in the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// When the job was accepted, in milliseconds since 1970.
    pub accepted_at_ms: u64,
    /// Whether its tasks may have run in the cell that it was moved from.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub begun: bool,
    /// Crashes under its tasks in the cell that it was moved from, as occurrence, step, task index and
    /// crash.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<(u32, u16, u16, Crash)>,
    /// Its queue as declared when the job was accepted, or by its last owner when it was moved. The next
    /// owner may not know that version yet, or only a later one that has removed the queue. `None` in
    /// records of earlier versions of this program.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub declared: Option<Arc<Queue>>,
    /// The highest number of a run in the cells that it was moved from.
    #[serde(default, skip_serializing_if = "ticket::is_zero")]
    pub last_run: u32,
    /// The ends that were recorded in the cell that it was moved from, if its tasks have run there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub progress: Option<Arc<Progress>>,
    /// The name of its queue.
    pub queue: String,
    /// The submission by its caller.
    pub submission: Submission,
    /// The tasks that this cell runs, as step and index; `None` for all tasks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tasks: Option<BTreeSet<(u16, u16)>>,
    /// The ticket as of the last split, if the job was split among cells.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<Ticket>,
    /// Lasting tasks that have never run, if it has begun or was split. Says nothing of those that this cell has
    /// started since.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub unstarted: BTreeSet<(u16, u16)>,
}

/// The tasks of one step of one occurrence.
#[derive(Debug)]
pub struct Stage {
    /// The longest run of a task that was done, in milliseconds.
    pub longest_ms: u64,
    /// The number of tasks that are not done.
    pub remaining: usize,
    /// All tasks of the step, by index.
    pub tasks: Vec<task::Task>,
    /// The step.
    pub step: Arc<Step>,
    /// Indices of the tasks that wait for a worker.
    pub waiting: BTreeSet<u16>,
}

/// One occurrence of a job.
#[derive(Debug)]
pub struct Occurrence {
    /// When its first steps may start, in milliseconds since 1970.
    pub due_at_ms: u64,
    /// One stage for each step of the job.
    pub stages: Vec<Stage>,
}

/// Tasks to move to another cell.
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    /// The new cell.
    pub to: u32,
    /// The tasks, as step and index.
    pub tasks: BTreeSet<(u16, u16)>,
}

/// A job that is not over.
#[derive(Debug)]
pub struct Job {
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_at_ms: u64,
    /// Whether a task has started, under this owner or an earlier one.
    pub begun: bool,
    /// Whether its caller cancelled it.
    pub cancelled: bool,
    /// Whether the store may hold its progress.
    pub progress_stored: bool,
    /// The memory that it takes when it is read, in bytes.
    pub footprint_bytes: usize,
    /// The job's occurrences, at least one.
    pub occurrences: Vec<Occurrence>,
    /// The newest declaration of its queue that this owner knows.
    pub queue: Arc<Queue>,
    /// The job's own cell by its ticket; `None` if no ticket has been read since this owner loaded
    /// the job and its record holds none.
    pub home: Option<u32>,
    /// Other cells that run tasks of the job.
    pub also: Vec<u32>,
    /// The number of additions by its own record in the store.
    pub additions: u32,
    /// The number of additions by its ticket.
    pub ticket_additions: u32,
    /// Which cell has which tasks by its ticket, if that is known.
    pub ticket_division: Option<Division>,
    /// Its record with tasks that another cell added, and the record's revision, while a split waits for
    /// the answer of the store: the added tasks may be those of the split, which have come back.
    pub addition: Option<(Record, u64)>,
    /// The cell that the job is being moved to.
    pub moving_to: Option<u32>,
    /// Since when tasks of a lasting job that has begun have been waiting, in milliseconds.
    pub waiting_since: Option<u64>,
    /// Tasks that are being moved to another cell.
    pub splitting: Option<Split>,
    /// Its record in the store.
    pub record: Arc<Record>,
    /// Whether the job was accepted before this owner took the cell, so that its tasks may run on
    /// workers that have not answered this owner yet.
    pub recovered: bool,
    /// The caller's opaque specification, sent to workers with each start.
    pub spec: Arc<str>,
    /// The state in the ticket.
    pub ticket_state: State,
    /// The revision of the ticket.
    pub ticket_revision: u64,
    /// The final state to record; `None` while the job is not over.
    pub final_state: Option<State>,
}

impl Id {
    /// Returns the digits.
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
    /// Returns whether a task that is not done, or the whole gang, has failed in as many runs as `attempts`
    /// allows. Lasting tasks have no such limit.
    pub fn is_exhausted(&self, attempts: u32) -> bool {
        if self.step.lasting {
            return false;
        }
        let open = || self.tasks.iter().filter(|task| task.status != task::Status::Done);
        let failures = if self.step.gang {
            let runs: BTreeSet<u32> = open().flat_map(|task| task.failed_runs.clone()).collect();
            runs.len()
        } else {
            open().map(|task| task.failed_runs.len()).max().unwrap_or(0)
        };
        failures >= attempts as usize
    }

    /// Returns whether a task of the step is a lasting one that waits and has never run.
    pub fn is_unstarted(&self, index: u16) -> bool {
        let unstarted = |task: &task::Task| !task.has_run();
        self.step.lasting
            && self.waiting.contains(&index)
            && self.tasks.get(usize::from(index)).is_some_and(unstarted)
    }

    /// Returns the waiting tasks that are to run again because the step lasts, or all others. A gang goes whole.
    pub(crate) fn to_place(&self, restarts: bool) -> impl Iterator<Item = u16> {
        let is_restart = |index: u16| self.step.lasting && !self.is_unstarted(index);
        let whole = self.step.gang.then(|| self.waiting.iter().all(|&index| is_restart(index)));
        let waiting = (self.step.lasting || !restarts).then_some(&self.waiting);
        let due = move |index: &u16| whole.unwrap_or_else(|| is_restart(*index)) == restarts;
        waiting.into_iter().flatten().copied().filter(due)
    }

    fn new(step: &Arc<Step>) -> Self {
        let count = usize::from(step.count);
        Self {
            longest_ms: 0,
            remaining: count,
            tasks: vec![task::Task::default(); count],
            step: step.clone(),
            waiting: (0..step.count).collect(),
        }
    }
}

impl Job {
    /// Returns the job of `record` with the done and failed runs of `progress` applied. `revision`
    /// is the one at which the record was written, with a ticket that may have been replaced since.
    pub fn new(record: Record, progress: &Progress, queue: Arc<Queue>, revision: u64) -> Self {
        let record = Arc::new(record);
        let submission = &record.submission;
        let footprint_bytes = submission.job_footprint_bytes();
        let steps: Vec<Arc<Step>> = submission.steps.iter().cloned().map(Arc::new).collect();
        let occurrences = (0..submission.occurrences.max(1))
            .map(|number| Occurrence {
                due_at_ms: submission
                    .start_at_ms
                    .saturating_add(u64::from(number).saturating_mul(submission.interval_ms)),
                stages: steps.iter().map(Stage::new).collect(),
            })
            .collect();
        let mut job = Self {
            accepted_at_ms: record.accepted_at_ms,
            begun: false,
            cancelled: false,
            footprint_bytes,
            progress_stored: *progress != Progress::default(),
            occurrences,
            queue,
            home: record.ticket.as_ref().map(|ticket| ticket.cell),
            also: record.ticket.as_ref().map(|ticket| ticket.also.clone()).unwrap_or_default(),
            additions: record.ticket.as_ref().map_or(0, |ticket| ticket.additions),
            ticket_additions: record.ticket.as_ref().map_or(0, |ticket| ticket.additions),
            ticket_division: record.ticket.as_ref().and_then(Ticket::known_division).cloned(),
            addition: None,
            moving_to: None,
            splitting: None,
            waiting_since: None,
            recovered: false,
            spec: submission.spec.as_str().into(),
            ticket_state: record.ticket.as_ref().map_or(State::Queued, |ticket| ticket.state),
            ticket_revision: revision,
            final_state: None,
            record,
        };
        if let Some(earlier) = job.record.progress.clone() {
            job.restore(&earlier);
            job.begun = true;
            job.ticket_state = State::Running;
        }
        job.restore(progress);
        let last_run = job.record.last_run;
        for task in job.tasks_mut() {
            task.last_run = task.last_run.max(last_run);
        }
        if let Some(tasks) = job.record.clone().tasks.as_ref() {
            job.mark_elsewhere(|task| !tasks.contains(&task));
            job.begun = true;
        }
        let record = job.record.clone();
        if record.begun || record.tasks.is_some() {
            // The record says nothing of tasks that other cells have. One that is added later comes with a record
            // that does.
            let is_own = |task| record.tasks.as_ref().is_none_or(|tasks| tasks.contains(&task));
            job.mark_ran_before(|task| is_own(task) && !record.unstarted.contains(&task));
        }
        job
    }

    /// Marks the tasks (step, index) for which `ran` holds as ones that may have run before.
    pub fn mark_ran_before(&mut self, ran: impl Fn((u16, u16)) -> bool) {
        for occurrence in &mut self.occurrences {
            for (step, stage) in (0..).zip(&mut occurrence.stages) {
                for (index, task) in (0..).zip(&mut stage.tasks) {
                    task.ran_before |= ran((step, index));
                }
            }
        }
    }

    /// Returns the lasting tasks of the first occurrence that wait and have never run, as step and index.
    pub fn unstarted_tasks(&self) -> BTreeSet<(u16, u16)> {
        let unstarted = |&(step, index): &(u16, u16)| {
            self.stage(0, step).is_some_and(|stage| stage.is_unstarted(index))
        };
        self.waiting_tasks().into_iter().filter(unstarted).collect()
    }

    /// Returns the lasting tasks of the first occurrence that wait and may have run before.
    pub(crate) fn restarts(&self, id: Id) -> Vec<task::Name> {
        if !self.is_lasting() || self.final_state.is_some() {
            return Vec::new();
        }
        let unstarted = self.unstarted_tasks();
        let name = |(step, index)| task::Name { job: id, occurrence: 0, step, index };
        let lasting = |&(step, _): &(u16, u16)| self.stage(0, step).is_some_and(|s| s.step.lasting);
        self.waiting_tasks().difference(&unstarted).copied().filter(lasting).map(name).collect()
    }

    /// Returns whether lasting tasks of it wait that have never run.
    pub fn has_unstarted(&self) -> bool {
        self.is_lasting() && self.final_state.is_none() && !self.unstarted_tasks().is_empty()
    }

    /// Returns whether lasting tasks of it wait that may have run before.
    pub(crate) fn has_restarts(&self) -> bool {
        let mut stages = self.occurrences.iter().flat_map(|occurrence| &occurrence.stages);
        self.is_lasting() && stages.any(|stage| stage.to_place(true).next().is_some())
    }

    fn restore(&mut self, progress: &Progress) {
        for (occurrence, step, indices) in &progress.done {
            let Some(stage) = self.stage_mut(*occurrence, *step) else { continue };
            for index in indices {
                stage.mark_done(*index);
            }
        }
        for &(occurrence, step, index, run) in &progress.failed {
            if let Some(task) = self.indexed_task_mut(occurrence, step, index) {
                if !task.failed_runs.contains(&run) {
                    task.failed_runs.push(run);
                }
                task.last_run = task.last_run.max(run);
            }
        }
        let moved = self.record.clone();
        for (occurrence, step, index, crash) in moved.crashes.iter().chain(&progress.crashes) {
            if let Some(task) = self.indexed_task_mut(*occurrence, *step, *index) {
                task.suspicion.add(crash.clone(), &[]);
                task.last_run = task.last_run.max(crash.run);
            }
        }
        for (occurrence, step, index, trace) in &progress.traces {
            if let Some(task) = self.indexed_task_mut(*occurrence, *step, *index) {
                task.last_run = task.last_run.max(trace.run);
                task.trace = Some(trace.clone());
            }
        }
        for (occurrence, step, indices) in &progress.started {
            for &index in indices {
                if let Some(task) = self.indexed_task_mut(*occurrence, *step, index) {
                    task.ran_before = true;
                }
            }
        }
        self.begun |= progress.has_ends();
    }

    fn tasks_mut(&mut self) -> impl Iterator<Item = &mut task::Task> {
        let stages = self.occurrences.iter_mut().flat_map(|occurrence| &mut occurrence.stages);
        stages.flat_map(|stage| &mut stage.tasks)
    }

    fn tasks(&self) -> impl Iterator<Item = &task::Task> {
        let stages = self.occurrences.iter().flat_map(|occurrence| &occurrence.stages);
        stages.flat_map(|stage| &stage.tasks)
    }

    /// Returns the steps that have tasks left, in any occurrence.
    pub fn remainders(&self) -> Vec<admission::Remainder<'_>> {
        let step = |(number, step): (usize, _)| {
            let open = |occurrence: &&Occurrence| occurrence.stages[number].remaining > 0;
            let mut open = self.occurrences.iter().filter(open).peekable();
            open.peek()?;
            Some(admission::Remainder { step, ready: open.any(|open| open.is_ready(number)) })
        };
        self.record.submission.steps.iter().enumerate().filter_map(step).collect()
    }

    /// Returns the record by which another cell goes on with the job. No task is at a worker.
    pub(crate) fn record_to_move(&self) -> Record {
        let recorded = self.progress();
        let progress =
            Progress { done: recorded.done, failed: recorded.failed, ..Progress::default() };
        Record {
            begun: self.may_have_begun(),
            unstarted: match self.may_have_begun() {
                true => self.unstarted_tasks(),
                false => BTreeSet::new(),
            },
            crashes: self.crashes(|_| true),
            declared: Some(self.queue.clone()),
            last_run: self.tasks().map(|task| task.last_run).max().unwrap_or(0),
            progress: self.begun.then(|| Arc::new(progress)),
            ..(*self.record).clone()
        }
    }

    /// Marks the waiting tasks (step, index) for which `elsewhere` holds as run by other cells.
    pub fn mark_elsewhere(&mut self, elsewhere: impl Fn((u16, u16)) -> bool) {
        for occurrence in &mut self.occurrences {
            for (step, stage) in (0..).zip(&mut occurrence.stages) {
                for index in 0..stage.step.count {
                    if elsewhere((step, index)) {
                        stage.mark_elsewhere(index);
                    }
                }
            }
        }
    }

    /// Returns the waiting tasks of the first occurrence, as step and index.
    pub fn waiting_tasks(&self) -> BTreeSet<(u16, u16)> {
        let Some(occurrence) = self.occurrences.first() else { return BTreeSet::new() };
        (0..)
            .zip(&occurrence.stages)
            .flat_map(|(step, stage)| stage.waiting.iter().map(move |&index| (step, index)))
            .collect()
    }

    /// Returns the names of all waiting tasks. `job` is its ID.
    pub(crate) fn waiting_names(&self, job: Id) -> Vec<task::Name> {
        let mut names = Vec::new();
        for (occurrence, entry) in (0..).zip(&self.occurrences) {
            for (step, stage) in (0..).zip(&entry.stages) {
                let name = |&index: &u16| task::Name { job, occurrence, step, index };
                names.extend(stage.waiting.iter().map(name));
            }
        }
        names
    }

    /// Returns the tasks of the first occurrence that belong to this cell, as step and index.
    pub fn own_tasks(&self) -> BTreeSet<(u16, u16)> {
        let Some(occurrence) = self.occurrences.first() else { return BTreeSet::new() };
        let here = |task: &task::Task| task.status != task::Status::Elsewhere;
        (0..)
            .zip(&occurrence.stages)
            .flat_map(|(step, stage)| {
                let tasks = (0..).zip(&stage.tasks).filter(move |(_, task)| here(task));
                tasks.map(move |(index, _)| (step, index))
            })
            .collect()
    }

    /// Returns the other cells that run tasks of the job, seen from `cell`.
    pub fn other_cells(&self, cell: u32) -> BTreeSet<u32> {
        self.also.iter().copied().chain(self.home).filter(|&other| other != cell).collect()
    }

    /// Returns all tasks of the first occurrence, as step and index.
    pub fn all_tasks(&self) -> BTreeSet<(u16, u16)> {
        let steps = (0..).zip(&self.record.submission.steps);
        steps.flat_map(|(step, task)| (0..task.count).map(move |index| (step, index))).collect()
    }

    /// Adds the tasks that another cell has added to this cell's record, which was written at `revision`
    /// together with its ticket. Returns whether there are any. During a split they wait for its outcome.
    pub fn add_tasks(&mut self, record: Record, revision: u64) -> bool {
        let Some(ticket) = record.ticket.as_ref() else { return false };
        if ticket.additions <= self.additions {
            return false;
        }
        if self.splitting.is_some() {
            if self.addition.as_ref().is_none_or(|(_, seen)| *seen < revision) {
                self.addition = Some((record, revision));
            }
            return false;
        }
        self.additions = ticket.additions;
        if revision > self.ticket_revision {
            self.set_ticket(ticket, revision);
        }
        let mut added = false;
        for (step, index) in record.tasks.iter().flatten() {
            let Some(stage) = self.stage_mut(0, *step) else { continue };
            if !stage.mark_here(*index) {
                continue;
            }
            added = true;
            if let Some(task) = stage.tasks.get_mut(usize::from(*index)) {
                task.ran_before |= !record.unstarted.contains(&(*step, *index));
            }
        }
        for (occurrence, step, index, crash) in &record.crashes {
            if let Some(task) = self.indexed_task_mut(*occurrence, *step, *index) {
                task.suspicion.add(crash.clone(), &[]);
                task.last_run = task.last_run.max(crash.run);
            }
        }
        added
    }

    /// Notes its ticket as of `revision`, apart from the state.
    pub fn set_ticket(&mut self, ticket: &Ticket, revision: u64) {
        self.ticket_revision = revision;
        self.ticket_additions = ticket.additions;
        self.ticket_division = ticket.known_division().cloned();
        self.also.clone_from(&ticket.also);
        self.home = Some(ticket.cell);
    }

    /// Returns which cell has which tasks, seen from `cell`; `None` if that is not known.
    pub fn division(&self, cell: u32) -> Option<Division> {
        if self.ticket_division.is_some() {
            return self.ticket_division.clone();
        }
        let (own, all, others) = (self.own_tasks(), self.all_tasks(), self.other_cells(cell));
        let other = match others.first() {
            Some(&other) if others.len() == 1 => other,
            None if own == all => cell,
            _ => return None,
        };
        let cell_of = |task: &(u16, u16)| if own.contains(task) { cell } else { other };
        Some(Division::new(self.ticket_additions, &all, cell_of))
    }

    /// Returns whether another cell has added tasks to those of `cell`, this job's own, that have not been
    /// seen here.
    pub fn is_outdated(&self, cell: u32) -> bool {
        match &self.ticket_division {
            Some(division) => {
                !division.tasks_of(cell, &self.all_tasks()).is_subset(&self.own_tasks())
            }
            None => self.additions != self.ticket_additions,
        }
    }

    /// Returns the job's ticket with the given state, with `cell` as the job's own cell if `home`
    /// is not known.
    pub fn ticket_as(&self, cell: u32, state: State) -> Ticket {
        Ticket {
            also: self.also.clone(),
            additions: self.ticket_additions,
            cell: self.home.unwrap_or(cell),
            division: self.ticket_division.clone(),
            queue: self.queue.name.clone(),
            state,
            withdrawn: false,
        }
    }

    /// Returns whether it has tasks that run until it is cancelled.
    pub fn is_lasting(&self) -> bool {
        self.record.submission.steps.iter().any(|step| step.lasting)
    }

    /// Returns the crashes under tasks (step, index) for which `included` holds, as occurrence, step,
    /// task index and crash.
    pub fn crashes(&self, included: impl Fn((u16, u16)) -> bool) -> Vec<(u32, u16, u16, Crash)> {
        let mut crashes = Vec::new();
        for (number, occurrence) in (0..).zip(&self.occurrences) {
            for (step, stage) in (0..).zip(&occurrence.stages) {
                for (index, task) in (0..).zip(&stage.tasks) {
                    if included((step, index)) {
                        let own = task.suspicion.crashes().iter().cloned();
                        crashes.extend(own.map(|crash| (number, step, index, crash)));
                    }
                }
            }
        }
        crashes
    }

    /// Returns the progress to record: done tasks, failed runs of tasks that are not lasting, crashes and
    /// traces of tasks that are not done, and lasting tasks that have run.
    pub fn progress(&self) -> Progress {
        let mut progress = Progress::default();
        for (number, occurrence) in (0..).zip(&self.occurrences) {
            for (step, stage) in (0..).zip(&occurrence.stages) {
                let done: Vec<u16> = (0..)
                    .zip(&stage.tasks)
                    .filter(|(_, task)| task.status == task::Status::Done)
                    .map(|(index, _)| index)
                    .collect();
                if !done.is_empty() {
                    progress.done.push((number, step, done));
                }
                let started = (0..).zip(&stage.tasks).filter(|(_, task)| {
                    stage.step.lasting && task.has_run() && task.status != task::Status::Elsewhere
                });
                let started: Vec<u16> = started.map(|(index, _)| index).collect();
                if !started.is_empty() {
                    progress.started.push((number, step, started));
                }
                for (index, task) in (0..).zip(&stage.tasks) {
                    let open =
                        matches!(task.status, task::Status::Active { .. } | task::Status::Waiting);
                    if open {
                        let crashes = task.suspicion.crashes().iter().cloned();
                        let crashes = crashes.map(|crash| (number, step, index, crash));
                        progress.crashes.extend(crashes);
                        let trace = task.trace.clone().map(|trace| (number, step, index, trace));
                        progress.traces.extend(trace);
                    }
                    if stage.step.lasting {
                        continue;
                    }
                    let failed = task.failed_runs.iter().map(|&run| (number, step, index, run));
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

    fn indexed_task_mut(
        &mut self,
        occurrence: u32,
        step: u16,
        index: u16,
    ) -> Option<&mut task::Task> {
        self.stage_mut(occurrence, step)?.tasks.get_mut(usize::from(index))
    }

    /// Returns whether a task may have run, here or in a cell that the job was moved from.
    pub fn may_have_begun(&self) -> bool {
        self.begun
            || self.record.begun
            || self.record.tasks.is_some()
            || self.tasks().any(task::Task::has_run)
    }

    /// Returns the task called `name`.
    pub fn task(&self, name: &task::Name) -> Option<&task::Task> {
        self.stage(name.occurrence, name.step)?.tasks.get(usize::from(name.index))
    }

    /// Returns the task called `name`.
    pub fn task_mut(&mut self, name: &task::Name) -> Option<&mut task::Task> {
        self.stage_mut(name.occurrence, name.step)?.tasks.get_mut(usize::from(name.index))
    }

    /// Returns whether every task is done; a lasting job never is.
    pub fn is_done(&self) -> bool {
        let mut stages = self.occurrences.iter().flat_map(|occurrence| &occurrence.stages);
        !self.is_lasting() && stages.all(|stage| stage.remaining == 0)
    }

    /// Returns whether its queue allows no more attempts at one of its tasks.
    pub fn is_exhausted(&self) -> bool {
        let mut stages = self.occurrences.iter().flat_map(|occurrence| &occurrence.stages);
        stages.any(|stage| stage.is_exhausted(self.queue.max_attempts))
    }

    /// Returns whether one of its tasks is at a worker.
    pub fn is_active(&self) -> bool {
        self.tasks().any(|task| matches!(task.status, task::Status::Active { .. }))
    }

    /// Returns the number of its tasks that are at a worker.
    pub fn active_tasks(&self) -> usize {
        self.tasks().filter(|task| matches!(task.status, task::Status::Active { .. })).count()
    }

    /// Returns the estimated work of unfinished tasks of the steps for which `counts` holds, in
    /// core-milliseconds, without lasting tasks.
    pub fn work_left(&self, counts: impl Fn(&Step) -> bool) -> u64 {
        self.occurrences
            .iter()
            .flat_map(|occurrence| &occurrence.stages)
            .filter(|stage| !stage.step.lasting && stage.remaining > 0 && counts(&stage.step))
            .map(|stage| stage.step.work(stage.remaining as u64, stage.step.estimate_ms))
            .fold(0, u64::saturating_add)
    }

    /// Returns the critical path of the first occurrence, in milliseconds, by the time that each stage
    /// takes.
    pub fn critical_path_ms(&self, stage_ms: impl Fn(&Stage) -> u64) -> u64 {
        let Some(occurrence) = self.occurrences.first() else { return 0 };
        let stages = &occurrence.stages;
        submission::critical_path_ms(stages.iter().map(|stage| (&*stage.step, stage_ms(stage))))
    }
}

impl Occurrence {
    /// Returns whether every step that `step` depends on is done.
    pub fn is_ready(&self, step: usize) -> bool {
        self.stages[step]
            .step
            .after
            .iter()
            .all(|&before| self.stages[usize::from(before)].remaining == 0)
    }
}

impl Stage {
    /// Marks a task as run by another cell, if it is waiting.
    pub fn mark_elsewhere(&mut self, index: u16) {
        let Some(task) = self.tasks.get_mut(usize::from(index)) else { return };
        if task.status == task::Status::Waiting {
            task.status = task::Status::Elsewhere;
            self.waiting.remove(&index);
        }
    }

    /// Marks a task that another cell ran as waiting, and returns whether there is such a task.
    pub fn mark_here(&mut self, index: u16) -> bool {
        let Some(task) = self.tasks.get_mut(usize::from(index)) else { return false };
        if task.status != task::Status::Elsewhere {
            return false;
        }
        task.status = task::Status::Waiting;
        task.trace = None;
        self.waiting.insert(index);
        true
    }

    /// Marks a task as done; does nothing if it already is.
    pub fn mark_done(&mut self, index: u16) {
        let Some(task) = self.tasks.get_mut(usize::from(index)) else { return };
        if task.status == task::Status::Done {
            return;
        }
        task.status = task::Status::Done;
        self.waiting.remove(&index);
        self.remaining -= 1;
    }
}
