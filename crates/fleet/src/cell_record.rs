//! Groups the changes of a cell's records into commits: many runs end every second while the store
//! takes few writes. The store may also lose answers; the condition on the head makes each commit
//! happen once and in order.

use {super::*, action::Report, event::Outcome};

/// Maximum number of entries in one transaction.
const MAX_ENTRIES: usize = 32;
/// Minimum interval between commits, in milliseconds: several ends share one write.
const MIN_COMMIT_INTERVAL_MS: u64 = 15;
/// Minimum interval between commits without a final state or a move, in milliseconds: no caller waits
/// for the record of a start or of a step's end.
const PROGRESS_COMMIT_INTERVAL_MS: u64 = 60;
/// Interval between commits that only update the load in the head, in milliseconds.
pub(crate) const LOAD_INTERVAL_MS: u64 = 500;
/// Interval between writes of the measured contention, from which a new owner starts, in
/// milliseconds.
const PRESSURE_INTERVAL_MS: u64 = 1_500;
/// Delay before a commit that the store refused or did not answer is sent again, in milliseconds.
const COMMIT_RETRY_DELAY_MS: u64 = 150;

/// A commit that is in flight or to be retried.
#[derive(Debug)]
pub(crate) struct PendingCommit {
    commit: Commit,
    /// The value of `Cell::changes` that is durable once it is made.
    covered_changes: u64,
    /// The jobs whose changes it records, with the first of these.
    jobs: BTreeMap<job::Id, u64>,
    /// When to send it again, in milliseconds; `None` while an answer is pending.
    retry_at: Option<u64>,
}

impl Cell {
    /// Sends the next commit, or the pending one again, when it is due.
    pub(crate) fn commit_changes(&mut self, clock: Clock) {
        if let Some(pending) = &mut self.commit {
            if pending.retry_at.is_some_and(|at| at <= clock.now) {
                pending.retry_at = None;
                self.actions.push(Action::Commit(Box::new(pending.commit.clone())));
            }
            return;
        }
        let age = clock.now.saturating_sub(self.committed_at);
        let interval = match self.has_urgent_changes() {
            true => MIN_COMMIT_INTERVAL_MS,
            false => PROGRESS_COMMIT_INTERVAL_MS,
        };
        let returned =
            self.workers.values().any(|worker| worker.has_returned(clock.now, self.settled));
        let awaits_head = self.awaits_fence() || self.has_untold_long_lease(clock.now);
        let idle = self.dirty.is_empty() && !returned && !awaits_head;
        if age < interval || (idle && (age < LOAD_INTERVAL_MS || self.leaving)) {
            return;
        }
        let (commit, jobs) = self.build_commit(clock);
        for (id, worker) in &mut self.workers {
            worker.vacated |= commit.head.vacated.contains(&**id);
        }
        // A commit with two entries writes only the head.
        let same_load = self.dirty.is_empty() && Self::same_load(&commit.head, &self.head);
        if commit.entries() == 2 && same_load && !awaits_head {
            self.committed_at = clock.now;
            return;
        }
        // Up to the first change that is left for a later commit.
        let covered_changes =
            self.dirty.values().min().map_or(self.changes, |first| first.saturating_sub(1));
        self.actions.push(Action::Commit(Box::new(commit.clone())));
        self.commit = Some(PendingCommit { commit, covered_changes, jobs, retry_at: None });
    }

    /// Returns whether a caller or another cell waits for one of the changes, or the next owner.
    fn has_urgent_changes(&self) -> bool {
        let urgent = |job: &Job| {
            job.final_state.is_some() || job.moving_to.is_some() || job.splitting.is_some()
        };
        self.leaving
            || !self.planned.is_empty()
            || self.awaits_fence()
            || self.dirty.keys().any(|id| self.jobs.get(id).is_none_or(urgent))
    }

    /// Returns the jobs with planned starts of lasting tasks.
    fn lasting_jobs_to_start(&self) -> BTreeSet<job::Id> {
        let lasting = |id: &job::Id| self.jobs.get(id).is_some_and(Job::is_lasting);
        self.planned.iter().map(|(_, name)| name.job).filter(lasting).collect()
    }

    /// Returns whether the store has recorded the changes of a job that were made up to `change`.
    pub(crate) fn is_recorded(&self, id: job::Id, change: u64) -> bool {
        let is_later =
            |jobs: &BTreeMap<job::Id, u64>| jobs.get(&id).is_none_or(|first| *first > change);
        is_later(&self.dirty) && self.commit.as_ref().is_none_or(|pending| is_later(&pending.jobs))
    }

    /// Returns the head of the commit that is in flight or to be retried.
    pub(crate) fn pending_head(&self) -> Option<&Head> {
        self.commit.as_ref().map(|pending| &pending.commit.head)
    }

    /// Returns whether a worker has started again and can't be ordered to do anything before the owner has a
    /// higher fencing token.
    fn awaits_fence(&self) -> bool {
        self.workers.values().any(|worker| worker.awaits_fence(self.fence()))
    }

    /// Returns whether two heads publish the same processors, backlog and pending jobs, and the same state of the takeover.
    fn same_load(left: &Head, right: &Head) -> bool {
        left.free_milli == right.free_milli
            && left.largest_milli == right.largest_milli
            && left.lasting_milli == right.lasting_milli
            && left.lasting_waiting_milli == right.lasting_waiting_milli
            && left.total_milli == right.total_milli
            && left.backlog == right.backlog
            && left.inventory == right.inventory
            && left.pending == right.pending
            && left.settled == right.settled
            && (left.settling_ms == 0) == (right.settling_ms == 0)
            && left.voters == right.voters
            && left.former == right.former
            // What a head tells of long leases is kept current.
            && (right.long_leases.is_empty() || left.long_leases == right.long_leases)
            && left.vacated == right.vacated
    }

    /// Builds a commit with as many changed jobs as fit, and returns these with the first change of each.
    fn build_commit(&mut self, clock: Clock) -> (Commit, BTreeMap<job::Id, u64>) {
        let now = clock.now;
        let mut commit = Commit {
            cancelled: Vec::new(),
            expected: Vec::new(),
            head: self.next_head(clock),
            head_revision: self.head_revision,
            pressure: None,
            records: Vec::new(),
            progress: Vec::new(),
            removed: Vec::new(),
            tickets: Vec::new(),
        };
        if now >= self.pressure_written_at + PRESSURE_INTERVAL_MS && !self.own_pressure.is_empty() {
            self.pressure_written_at = now;
            commit.pressure = Some(self.own_pressure.rounded());
        }
        let mut jobs = BTreeMap::new();
        let starting = self.lasting_jobs_to_start();
        let rank = |(id, first): (&job::Id, &u64)| (!starting.contains(id), *first, *id);
        let mut dirty: Vec<(bool, u64, job::Id)> = self.dirty.iter().map(rank).collect();
        // Changes beyond what a commit holds go in turn, but those for which starts of lasting tasks wait.
        dirty.sort_unstable();
        for (_, first, id) in dirty {
            let Some(job) = self.jobs.get(&id) else {
                self.dirty.remove(&id);
                continue;
            };
            let mut next = commit.clone();
            add_changes(&mut next, id, job, self.head_cell());
            if next.entries() > MAX_ENTRIES {
                commit.head.vacated.retain(|id| self.has_recorded_ends(id));
                return (commit, jobs);
            }
            commit = next;
            self.dirty.remove(&id);
            jobs.insert(id, first);
        }
        commit.head.records_starts = true;
        (commit, jobs)
    }

    /// Returns the workers that are not members any more and may hold runs.
    fn former_workers(&self) -> BTreeSet<String> {
        let may_hold_runs = |(id, worker): &(&Arc<str>, &Worker)| {
            let may_hold = !worker.runs.is_empty()
                || self.unfenced.contains(*id)
                || self.long_leases.contains(*id);
            !worker.is_member && may_hold
        };
        let former = self.workers.iter().filter(may_hold_runs);
        former.map(|(id, _)| (**id).to_owned()).collect()
    }

    /// Returns whether the store holds all ends that a worker has listed.
    fn has_recorded_ends(&self, id: &str) -> bool {
        let recorded =
            |worker: &Worker| worker.unrecorded.iter().all(|&(_, change)| change <= self.durable);
        self.workers.get(id).is_none_or(recorded)
    }

    /// Returns the memory that the jobs take, in bytes.
    pub(crate) fn held_bytes(&self) -> u64 {
        self.jobs.values().map(|job| job.footprint_bytes).sum::<usize>() as u64
    }

    fn head_cell(&self) -> u32 {
        self.head.cell
    }

    /// Returns for how long leases that earlier owners granted may last.
    fn settling_ms(&self, now: u64) -> u64 {
        if self.unfenced.is_empty() { 0 } else { self.leases_over_at.saturating_sub(now) }
    }

    /// Returns the next head, with the current load of the cell.
    fn next_head(&self, clock: Clock) -> Head {
        let mut head = Head {
            backlog: BTreeMap::new(),
            cell: self.head.cell,
            free_milli: 0,
            generation: self.head.generation,
            held_bytes: self.held_bytes(),
            inventory: self.policy.inventory.then(|| self.inventory.clone()),
            largest_milli: 0,
            lasting_limit_milli: 0,
            lasting_milli: 0,
            lasting_waiting_milli: 0,
            owner: self.head.owner.clone(),
            pending: BTreeMap::new(),
            usable_milli: self.usable_milli.clone(),
            records_starts: self.records_starts,
            sequence: self.head.sequence + 1,
            settled: self.unfenced.is_empty(),
            settling_ms: self.settling_ms(clock.now),
            steps: BTreeMap::new(),
            throughput: self.throughput(clock),
            total_milli: 0,
            voters: self.next_voters(),
            former: self.former_workers(),
            long_leases: self.next_long_leases(clock.now),
            vacated: BTreeSet::new(),
        };
        let vacated =
            self.workers.iter().filter(|(_, worker)| worker.is_vacated(clock.now, self.settled));
        head.vacated = vacated.map(|(id, _)| (**id).to_owned()).collect();
        let counts =
            |worker: &&Worker| worker.fenced && worker.missed_polls == 0 && !worker.evacuated;
        for worker in self.workers.values().filter(counts) {
            head.free_milli += worker.unreserved().processors_milli;
            head.total_milli += worker.capacity().processors_milli;
            if worker.is_usable(self.committed_at) {
                head.largest_milli = head.largest_milli.max(worker.unreserved().processors_milli);
            }
        }
        let fits = self.forecast.steps().iter();
        head.steps = fits.map(|(queue, fit)| (queue.clone(), fit.rounded())).collect();
        let quota = self.quota();
        head.lasting_limit_milli = quota.limit_milli;
        head.lasting_milli = quota.held_milli;
        for job in self.jobs.values().filter(|job| job.final_state.is_none()) {
            let work = job.work_left(|step| self.holds(job, step));
            let backlog = head.backlog.entry(job.queue.priority).or_default();
            *backlog = backlog.saturating_add(work);
            let waiting = self.unstarted_milli(job);
            head.lasting_waiting_milli = head.lasting_waiting_milli.saturating_add(waiting);
            if !job.begun {
                *head.pending.entry(job.queue.name.clone()).or_default() += 1;
            }
        }
        head
    }

    /// Returns what lasting tasks of a job reserve that wait here and have never run, in thousandths of a core.
    fn unstarted_milli(&self, job: &Job) -> u64 {
        if !job.is_lasting() || job.moving_to.is_some() {
            return 0;
        }
        let unstarted = job.unstarted_tasks();
        let steps = unstarted.iter().filter_map(|&(step, _)| Some(&job.stage(0, step)?.step));
        let held = steps.filter(|step| self.holds(job, step));
        held.map(|step| step.reserved().processors_milli).fold(0, u64::saturating_add)
    }

    /// Handles the outcome of the pending commit. After a conflict, planned moves and
    /// splits are dropped and the changes of its jobs are committed again.
    pub(crate) fn handle_commit(&mut self, clock: Clock, outcome: Outcome) {
        let Some(mut pending) = self.commit.take() else { return };
        match outcome {
            Outcome::Committed(revision) => {
                self.apply_commit(clock, &pending, revision);
                self.apply_additions(&pending.commit);
            }
            Outcome::Conflict(tickets) => {
                for (id, _, _) in &pending.commit.records {
                    if let Some(job) = self.jobs.get_mut(id) {
                        job.moving_to = None;
                    }
                    self.drop_split(*id);
                }
                // Their first changes come before any that were made since.
                self.dirty.append(&mut pending.jobs);
                for (id, revision, ticket) in tickets {
                    self.apply_conflict(id, revision, ticket.as_ref());
                }
                self.apply_additions(&pending.commit);
            }
            Outcome::Lost => self.mark_lost(),
            Outcome::Refused | Outcome::Unknown => {
                pending.retry_at = Some(clock.now + COMMIT_RETRY_DELAY_MS);
                self.commit = Some(pending);
            }
        }
    }

    /// Applies a pending commit that the store made at `revision`.
    fn apply_commit(&mut self, clock: Clock, pending: &PendingCommit, revision: u64) {
        let commit = &pending.commit;
        self.committed_at = clock.now;
        self.durable = self.durable.max(pending.covered_changes);
        self.head = commit.head.clone();
        self.records_starts = commit.head.records_starts;
        if self.awaits_fence() {
            self.report(Report::Fence { fence: revision });
        }
        self.head_revision = revision;
        for (id, worker) in &mut self.workers {
            let vacated = commit.head.vacated.contains(&**id);
            self.placement_due |= worker.vacated && !vacated;
            worker.vacated = vacated;
        }
        let mut split_reports = Vec::new();
        for (id, ticket) in &commit.tickets {
            if let Some(job) = self.jobs.get_mut(id) {
                job.ticket_state = ticket.state;
                job.set_ticket(ticket, revision);
                // The split may have been planned after this commit was sent.
                let made = |split: &job::Split| {
                    commit.records.iter().any(|(job, cell, _)| job == id && *cell == split.to)
                };
                if let Some(split) = job.splitting.take_if(|split| made(split)) {
                    job.mark_elsewhere(|task| split.tasks.contains(&task));
                    job.additions = ticket.additions;
                    let (job, to, tasks) = (*id, split.to, split.tasks.len());
                    split_reports.push(Report::Split { job, to, tasks });
                }
            }
        }
        for (id, _) in &commit.progress {
            if let Some(job) = self.jobs.get_mut(id) {
                job.progress_stored = true;
            }
        }
        for report in split_reports {
            self.report(report);
        }
        for id in &commit.removed {
            let Some(job) = self.jobs.remove(id) else { continue };
            self.unfinished_jobs.remove(&(job.queue.priority, job.accepted_at_ms, *id));
            let moved_to = job.moving_to.filter(|_| job.final_state.is_none());
            self.mark_removed(*id, Removal { revision, moved: moved_to.is_some() });
            if let Some(to) = moved_to {
                self.report(Report::Moved { job: *id, to });
                continue;
            }
            let after_ms = clock.unix.saturating_sub(job.accepted_at_ms);
            let state = job.final_state.unwrap_or(State::Completed);
            self.report(Report::JobOver { job: *id, state, after_ms });
        }
    }

    /// Adds the tasks that other cells added while splits of this commit waited for its outcome.
    fn apply_additions(&mut self, commit: &Commit) {
        for (id, _) in &commit.tickets {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            if let Some((record, revision)) = job.addition.take() {
                self.placement_due |= job.add_tasks(record, revision);
            }
        }
    }

    /// Applies a ticket that another process changed since this owner last wrote it; that happens
    /// when the caller cancels the job.
    fn apply_conflict(&mut self, id: job::Id, revision: u64, ticket: Option<&Ticket>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if revision == job.ticket_revision {
            return;
        }
        job.ticket_revision = revision;
        if let Some(ticket) = ticket {
            job.ticket_state = ticket.state;
            job.set_ticket(ticket, revision);
        }
        // It was planned by the ticket as it was.
        self.drop_split(id);
        let cancelled = ticket.is_none_or(|ticket| ticket.state == State::Cancelled);
        if cancelled && let Some(job) = self.jobs.get_mut(&id) {
            job.cancelled = true;
            job.ticket_state = State::Cancelled;
            self.set_final_state(id, State::Cancelled);
            self.stop_job(id, action::StopReason::Cancelled);
        }
    }
}

/// Adds the changes of one job to a commit.
fn add_changes(commit: &mut Commit, id: job::Id, job: &Job, cell: u32) {
    if let Some(cell) = job.moving_to.filter(|_| job.final_state.is_none()) {
        commit.expected.push((id, job.ticket_revision));
        let queue = job.queue.name.clone();
        let state = if job.begun { State::Running } else { State::Queued };
        let ticket = Ticket::new(queue, cell, state);
        commit.tickets.push((id, ticket));
        commit.records.push((id, cell, Arc::new(job.record_to_move())));
        commit.removed.push(id);
        return;
    }
    if let Some(split) = job.splitting.as_ref().filter(|_| job.final_state.is_none()) {
        add_split(commit, id, job, cell, split);
        add_progress(commit, id, job);
        return;
    }
    let state = job.final_state.unwrap_or(if job.begun { State::Running } else { State::Queued });
    if state != job.ticket_state {
        commit.expected.push((id, job.ticket_revision));
        let ticket = job.ticket_as(cell, state);
        if state == State::Failed {
            // Other cells that run tasks of the job learn of it as of a cancellation.
            let cells = ticket.also.iter().copied().chain([ticket.cell]);
            commit.cancelled.extend(cells.filter(|&other| other != cell).map(|other| (id, other)));
        }
        commit.tickets.push((id, ticket));
    }
    if job.final_state.is_some() {
        commit.removed.push(id);
        return;
    }
    add_progress(commit, id, job);
}

/// Adds the progress of a job to a commit, if it has any, or the store may hold some.
fn add_progress(commit: &mut Commit, id: job::Id, job: &Job) {
    let progress = job.progress();
    if progress != Progress::default() || job.progress_stored {
        commit.progress.push((id, progress));
    }
}

/// Adds a split to a commit: a record of the moved tasks for their new cell, and one of the
/// remaining tasks for this cell. The new cell has tasks of the job already only if it is known which
/// (`Cell::split_waiting_jobs`); its record then holds them too.
fn add_split(commit: &mut Commit, id: job::Id, job: &Job, cell: u32, split: &job::Split) {
    let rest: BTreeSet<_> = job.own_tasks().difference(&split.tasks).copied().collect();
    let mut ticket = job.ticket_as(cell, State::Running);
    if job.other_cells(cell).contains(&split.to) {
        ticket.additions += 1;
    } else {
        ticket.also.push(split.to);
    }
    let mut moved = split.tasks.clone();
    ticket.division = job.division(cell).map(|division| {
        let all = job.all_tasks();
        moved.append(&mut division.tasks_of(split.to, &all));
        let cell_of = |task: &(u16, u16)| match moved.contains(task) {
            true => split.to,
            false => division.cell_of(task).unwrap_or(cell),
        };
        Division::new(ticket.additions, &all, cell_of)
    });
    let unstarted = job.unstarted_tasks();
    let record = |tasks: BTreeSet<(u16, u16)>| {
        Arc::new(job::Record {
            crashes: job.crashes(|task| tasks.contains(&task)),
            unstarted: unstarted.intersection(&tasks).copied().collect(),
            tasks: Some(tasks),
            ticket: Some(ticket.clone()),
            ..(*job.record).clone()
        })
    };
    commit.records.push((id, split.to, record(moved)));
    commit.records.push((id, cell, record(rest)));
    commit.expected.push((id, job.ticket_revision));
    commit.tickets.push((id, ticket));
}
