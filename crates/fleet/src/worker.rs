//! The state of a worker as its cell's owner knows it.

use super::*;

/// A worker of a cell.
#[derive(Debug)]
pub struct Worker {
    /// Ends up to this number are recorded; the next poll acknowledges them.
    pub acknowledged: u64,
    /// Whether its zone is being evacuated: it gets no new run.
    pub evacuated: bool,
    /// Whether the ownership was confirmed after its current life had first answered, so that this life
    /// rejects orders of earlier owners, and any later owner asks it before it concludes anything.
    pub confirmed: bool,
    /// When its current life first answered this owner, in milliseconds.
    pub lives_since: u64,
    /// When the worker last started, as listed, in milliseconds since 1970; a change
    /// shows a restart.
    pub born: Option<u64>,
    /// The worker's clock and the owner's clock at the last answer, both in milliseconds.
    pub clock: Option<(u64, u64)>,
    /// The fencing token that orders carry.
    pub fence: u64,
    /// The highest fencing token of an order by which a later life could do harm: of any but a poll that
    /// neither asks for a lease nor acknowledges ends. 0 if there was none.
    pub ordered_fence: u64,
    /// The fencing token of the last poll.
    pub polled_fence: u64,
    /// When the last poll was sent, in milliseconds.
    pub polled_at: u64,
    /// Whether its current life has answered a poll whose fencing token is higher than that of any order for
    /// its earlier lives, so that it rejects these. Until then it gets no orders, and what it leaves out of its
    /// listings may still start there.
    pub life_fenced: bool,
    /// Whether it has answered a poll with this owner's fencing token, so that it rejects orders of
    /// earlier owners.
    pub fenced: bool,
    /// It gets no new run before this time, in milliseconds.
    pub paused_until: u64,
    /// The latest end of a lease requested by this owner, in milliseconds on the worker's clock.
    pub granted_until: u64,
    /// Until when its lease may last longer than orders ask for, since its life may have carried out an order for the
    /// last one, in milliseconds; 0 if it does not.
    pub long_lease_until: u64,
    /// Whether a poll is in flight.
    pub polling: bool,
    /// Whether the last poll asked for a lease.
    pub poll_grants: bool,
    /// Whether a poll that asked for a lease was not waited for, since the worker had started again.
    pub grant_in_doubt: bool,
    /// Earliest time of the next poll after a missed one or with unrecorded ends, in milliseconds.
    pub poll_at: u64,
    /// Since when its entry has had this address and this start, in milliseconds.
    pub addressed_at: u64,
    /// When the last poll that it has answered was sent, in milliseconds.
    pub answered_poll_at: Option<u64>,
    /// Consecutive polls without an answer.
    pub missed_polls: u32,
    /// Whether it has more ends to list than its last listing held.
    pub has_more_ends: bool,
    /// Since when it has missed each poll, in milliseconds; `None` while it answers, and before the first.
    pub unanswered_since: Option<u64>,
    /// Runs that it held when its lease ran out, while it is unknown whether it has crashed.
    pub lapsed_runs: Vec<(task::Name, u32)>,
    /// Since when it has not answered, in milliseconds; `None` while it answers.
    pub silent_since: Option<u64>,
    /// The highest number of an end that was processed.
    pub processed: u64,
    /// Processed ends that are not recorded yet: number of the end, and the value that
    /// `Cell::durable` reaches once it is recorded.
    pub unrecorded: VecDeque<(u64, u64)>,
    /// Ends of jobs that the cell does not know, each with the time since when it is held, in
    /// milliseconds. They are not acknowledged yet.
    pub unclaimed: Vec<(u64, listing::End)>,
    /// Whether it is assigned to the cell. One that is not stays only until its runs and those of earlier
    /// owners are over, and its entry is no longer followed.
    pub is_member: bool,
    /// Its latest entry in the store; `None` if it has had none.
    pub registration: Option<Registration>,
    /// Runs in its last listing of jobs that this cell does not know.
    pub unknown_runs: Vec<(task::Name, u32)>,
    /// Runs that it holds or may hold.
    pub runs: BTreeMap<task::Name, Run>,
    /// Resources reserved by its runs.
    pub reserved: Resources,
    /// Processors requested by filling tasks, in thousandths of a core.
    pub filling_milli: u64,
    /// Processors reserved by lasting tasks, in thousandths of a core.
    pub lasting_milli: u64,
    /// Processors reserved by serving tasks, in thousandths of a core.
    pub serving_milli: u64,
    /// When loads and contention were last estimated from its measurements, in milliseconds.
    pub observed_at: u64,
    /// Recently ended filling runs: time of the end in milliseconds, image, and cores used.
    pub ended_filling: Vec<(u64, String, f64)>,
    /// Consecutive failed runs.
    pub failures: u32,
    /// Since when it has had no entry in the store, in milliseconds.
    pub missing_since: Option<u64>,
    /// Whether the store may hold a head by which it has no runs and gets none.
    pub vacated: bool,
}

/// How long a worker that misses its polls counts as one that gets new runs again, in milliseconds: answers are
/// lost or late for less.
const MAX_UNANSWERED_MS: u64 = 3_000;

impl Worker {
    /// Returns a worker that has not answered this owner yet.
    pub fn new(registration: Option<Registration>) -> Self {
        Self {
            acknowledged: 0,
            evacuated: false,
            confirmed: false,
            lives_since: 0,
            born: None,
            clock: None,
            fence: 0,
            ordered_fence: 0,
            polled_fence: 0,
            polled_at: 0,
            life_fenced: false,
            fenced: false,
            paused_until: 0,
            granted_until: 0,
            long_lease_until: 0,
            polling: false,
            poll_grants: false,
            grant_in_doubt: false,
            poll_at: 0,
            addressed_at: 0,
            answered_poll_at: None,
            missed_polls: 0,
            has_more_ends: false,
            unanswered_since: None,
            lapsed_runs: Vec::new(),
            silent_since: None,
            processed: 0,
            unrecorded: VecDeque::new(),
            unclaimed: Vec::new(),
            is_member: true,
            registration,
            unknown_runs: Vec::new(),
            runs: BTreeMap::new(),
            reserved: Resources::default(),
            filling_milli: 0,
            lasting_milli: 0,
            serving_milli: 0,
            observed_at: 0,
            ended_filling: Vec::new(),
            failures: 0,
            missing_since: None,
            vacated: false,
        }
    }

    /// Returns the end of a lease of `lease_ms` from `now`, in milliseconds on the worker's clock,
    /// and records it in `granted_until`. Returns `None` before the worker's first answer.
    pub fn grant(&mut self, now: u64, lease_ms: u64) -> Option<u64> {
        let (clock, at) = self.clock?;
        let until = clock.saturating_add(now.saturating_sub(at)).saturating_add(lease_ms);
        self.granted_until = self.granted_until.max(until);
        Some(until)
    }

    /// Returns when every lease requested by this owner has expired even if the worker's clock is
    /// slow, in milliseconds.
    pub fn lapsed_at(&self) -> Option<u64> {
        let (clock, at) = self.clock?;
        let left = self.granted_until.saturating_sub(clock);
        let longest = left.saturating_mul(100) / (100 - limits::CLOCK_SLOW_PERCENT);
        Some(at.saturating_add(longest).saturating_add(limits::LEASE_SLACK_MS))
    }

    /// Replaces its entry by the one that the store had at `now`, in milliseconds. If it shows that the worker has
    /// started again, the worker is polled at once: its new life takes orders for the last one until then.
    pub fn register(&mut self, now: u64, entry: &Registration) {
        let same_life = |old: &Registration| old.address == entry.address && old.born == entry.born;
        if !self.registration.as_ref().is_some_and(same_life) {
            self.addressed_at = now;
            let restarted = entry.born.is_some_and(|born| self.born.is_some_and(|own| own != born));
            if self.polling && restarted {
                self.expect_new_life(now);
            }
        }
        self.registration = Some(entry.clone());
    }

    /// Lets the worker be polled at once, since it has started again, without waiting for the answer to a poll.
    pub(crate) fn expect_new_life(&mut self, now: u64) {
        self.grant_in_doubt |= self.polling && self.poll_grants;
        self.polling = false;
        self.missed_polls += 1;
        self.unanswered_since.get_or_insert(now);
        self.poll_at = now;
    }

    /// Returns whether it has answered at the address to which a poll was sent at `sent`, in milliseconds.
    /// Another worker there then shows that it is gone; else its entry may be wrong, or outdated.
    pub fn has_answered_at(&self, sent: u64) -> bool {
        sent > self.addressed_at
            && self.answered_poll_at.is_some_and(|answered| answered > self.addressed_at)
    }

    /// Returns whether it is silent and its lease has expired, even if its clock is slow.
    fn has_lapsed(&self, now: u64) -> bool {
        self.missed_polls > 0 && self.lapsed_at().is_some_and(|at| at <= now)
    }

    /// Returns whether its lease may last longer than a new owner waits for, at least `longest_ms` milliseconds from
    /// now on.
    pub(crate) fn has_long_lease(&self, now: u64, longest_ms: u64) -> bool {
        self.long_lease_until > now + longest_ms
    }

    /// Returns whether it has told this owner all that runs and has ended there, if `covered_until` is the last moment
    /// until which no other owner can have been there, in milliseconds.
    pub(crate) fn has_told(&self, covered_until: u64) -> bool {
        self.fenced && self.confirmed && !self.may_list_more_ends(covered_until)
    }

    /// Returns whether it may list more ends of runs that count: those that it has not listed before its
    /// lease expires are void.
    pub fn may_list_more_ends(&self, now: u64) -> bool {
        self.has_more_ends && !self.has_lapsed(now)
    }

    /// Returns the worker's total resources.
    pub fn capacity(&self) -> Resources {
        self.registration.as_ref().map(|entry| entry.capacity).unwrap_or_default()
    }

    /// Returns the resources that are not reserved.
    pub fn unreserved(&self) -> Resources {
        self.capacity().saturating_sub(&self.reserved)
    }

    /// Returns whether new runs may be placed on the worker.
    pub fn is_usable(&self, now: u64) -> bool {
        self.takes_starts()
            && self.missed_polls == 0
            && self.paused_until <= now
            && self.accepts_runs()
            && !self.vacated
            && !self.holds_unknown_runs()
    }

    /// Returns whether it holds no runs and gets none until it answers, or at all. `settled` tells whether every
    /// order of earlier owners is over.
    pub fn is_vacated(&self, now: u64, settled: bool) -> bool {
        let knows_runs = !self.holds_unknown_runs() || self.has_lapsed(now);
        let holds_ends = !self.unclaimed.is_empty() && !self.has_lapsed(now);
        let is_empty =
            self.runs.is_empty() && knows_runs && !holds_ends && !self.may_list_more_ends(now);
        let draining = self.registration.as_ref().is_some_and(|entry| entry.draining);
        match self.fenced {
            true => is_empty && (draining || self.has_lapsed(now)),
            // This owner has sent it no order. Of earlier ones it is known from the head, or from their leases.
            false => is_empty && self.long_lease_until == 0 && (self.vacated || settled),
        }
    }

    /// Returns whether it may get runs again once the store holds a head that says so.
    pub fn has_returned(&self, now: u64, settled: bool) -> bool {
        self.vacated && !self.is_vacated(now, settled)
    }

    /// Returns whether it holds runs of jobs that the cell does not know, so that its room is unknown.
    fn holds_unknown_runs(&self) -> bool {
        !self.unknown_runs.is_empty() || self.runs.values().any(|run| run.foreign)
    }

    /// Returns whether the worker is a member of the cell, and its zone and its entry allow new
    /// runs.
    pub fn accepts_runs(&self) -> bool {
        self.is_member
            && !self.evacuated
            && self.registration.as_ref().is_some_and(|entry| !entry.draining)
    }

    /// Returns whether its current life may be ordered to start runs: it rejects orders for earlier lives and of
    /// earlier owners, and its entry is not that of another life, which may have been of another kind.
    pub(crate) fn takes_starts(&self) -> bool {
        let entry_born = self.registration.as_ref().and_then(|entry| entry.born);
        let is_current = entry_born.is_none() || self.born.is_none() || entry_born == self.born;
        self.life_fenced && self.confirmed && is_current
    }

    /// Returns whether the worker gets new runs, now or once it has room and answers again.
    pub fn is_available(&self, now: u64) -> bool {
        let answers = self.unanswered_since.is_none_or(|since| now < since + MAX_UNANSWERED_MS);
        answers && self.accepts_runs()
    }

    /// Returns the fencing token for an order that is sent now.
    pub(crate) fn order_fence(&mut self) -> u64 {
        self.ordered_fence = self.ordered_fence.max(self.fence);
        self.fence
    }

    /// Lets orders carry the owner's highest token, if the worker may have started again: its first answer then
    /// shows that it rejects orders for its earlier lives.
    pub(crate) fn raise_fence(&mut self, highest: u64) {
        if self.missed_polls > 0 || !self.life_fenced {
            self.fence = self.fence.max(highest);
        }
    }

    /// Returns whether its current life needs a higher fencing token than the owner's highest one.
    pub(crate) fn awaits_fence(&self, highest: u64) -> bool {
        self.missed_polls == 0 && self.fenced && !self.life_fenced && self.ordered_fence >= highest
    }

    /// Adds a run and its reservation.
    pub fn insert(&mut self, name: task::Name, run: Run) {
        self.remove(&name);
        self.reserved = self.reserved + run.step.reserved();
        if run.step.fills {
            self.filling_milli += run.step.resources.processors_milli;
        }
        if run.step.lasting {
            self.lasting_milli += run.step.reserved().processors_milli;
        }
        if run.step.target_ms > 0 {
            self.serving_milli += run.step.resources.processors_milli;
        }
        self.runs.insert(name, run);
    }

    /// Returns how long a run of this worker is known to have lived.
    pub fn lifetime(&self, run: &Run) -> Lifetime {
        let since_start = |at: u64| at.saturating_sub(run.started);
        Lifetime {
            survived_ms: run.seen_at.map_or(0, since_start),
            silent_ms: self.silent_since.filter(|_| !run.adopted).map(since_start),
        }
    }

    /// Returns the run of a task with this number.
    pub fn run_mut(&mut self, name: &task::Name, number: u32) -> Option<&mut Run> {
        self.runs.get_mut(name).filter(|run| run.number == number)
    }

    /// Removes and returns a run, and releases its reservation.
    pub fn remove(&mut self, name: &task::Name) -> Option<Run> {
        let run = self.runs.remove(name)?;
        self.reserved = self.reserved.saturating_sub(&run.step.reserved());
        let milli = run.step.resources.processors_milli;
        if run.step.fills {
            self.filling_milli = self.filling_milli.saturating_sub(milli);
        }
        if run.step.lasting {
            let lasting = run.step.reserved().processors_milli;
            self.lasting_milli = self.lasting_milli.saturating_sub(lasting);
        }
        if run.step.target_ms > 0 {
            self.serving_milli = self.serving_milli.saturating_sub(milli);
        }
        Some(run)
    }

    /// Returns whether the worker has both filling and serving tasks.
    pub fn is_shared(&self) -> bool {
        self.filling_milli > 0 && self.serving_milli > 0
    }

    /// Returns the most crashes under the task of a run that is watched for another.
    pub fn suspicion(&self) -> usize {
        self.runs.values().map(|run| run.suspicion).max().unwrap_or(0)
    }

    /// Returns whether it is of a service and has the label that a step asks for.
    pub(crate) fn is_for(&self, service: &str, step: &Step) -> bool {
        self.registration.as_ref().is_some_and(|entry| entry.service == service)
            && step.label.as_ref().is_none_or(|label| self.has_label(label))
    }

    /// Returns whether it carries a label.
    pub fn has_label(&self, label: &str) -> bool {
        self.registration.as_ref().is_some_and(|entry| entry.labels.iter().any(|l| l == label))
    }
}
