//! Tells a task that crashes its workers from the tasks beside it. Answers this load: one task in
//! thousands crashes each worker that starts it, with the ten or twenty runs that the worker holds.
//!
//! All of these are suspect after a crash, and the next crash decides among them, since suspects are
//! placed on different workers.

use super::*;

/// The crashes under a task that it may have caused.
#[derive(Clone, Debug, Default)]
pub struct Suspicion {
    crashes: Vec<Crash>,
    /// The labels of the workers that crashed.
    labels: BTreeSet<String>,
}

/// Number of crashes under a task after which it may be given up: callers lose the job, so chance has to
/// be ruled out.
const MIN_CRASHES: usize = 3;
/// How many of these have to single the task out.
const MIN_SINGLED_OUT: usize = 2;
/// How much the ages may differ at which a task crashed its workers, in milliseconds: it does so at the
/// same point of its work, and a silent crash is noticed late. Unrelated crashes come at any age.
const AGE_SPREAD_MS: u64 = 500;
/// Number of crashes under a task after which its ages don't matter, and one crash has to single it out, or
/// each came soon after a start, as when the owner changes with each, or several such tasks crash a rack's
/// workers together.
const MANY_CRASHES: usize = 4;
/// Age of a run up to which a crash came soon after its start, in milliseconds.
const SOON_MS: u64 = 500;
/// Workers of a rack that fall silent within this time of each other may have a common cause, in
/// milliseconds: a silent crash shows at the end of a poll.
pub(crate) const COMMON_CAUSE_MS: u64 = 1_500;
/// Least number of workers of a rack with a common cause.
pub(crate) const MIN_COMMON_WORKERS: usize = 3;
/// A run that survives this many times as long as an earlier one shows that the earlier one did not
/// crash its worker.
const OUTLIVED_FACTOR: u64 = 2;
/// The same in milliseconds beyond that: a task's age when it crashes its worker varies.
const OUTLIVED_SLACK_MS: u64 = 500;
/// The age at which a run is taken to have crashed its worker if that is not known, in milliseconds.
const UNKNOWN_AGE_MS: u64 = 5_000;

impl Suspicion {
    /// Returns the crashes, oldest first.
    pub fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Returns the number of crashes.
    pub fn level(&self) -> usize {
        self.crashes.len()
    }

    /// Returns the number of crashes in runs other than `run`.
    pub fn level_before(&self, run: u32) -> usize {
        self.crashes.iter().filter(|crash| crash.run != run).count()
    }

    /// Returns whether several workers have crashed under the task, and one crash singled it out.
    pub fn is_strong(&self) -> bool {
        self.level() > 1 && self.crashes.iter().any(|crash| crash.singled_out)
    }

    /// Adds a crash at a worker with these labels, or confirms it. Earlier ones are dropped if their runs
    /// had outlived the age of this one: the task did not cause both.
    pub fn add(&mut self, crash: Crash, labels: &[String]) {
        if let Some(known) = self.crashes.iter_mut().find(|known| known.run == crash.run) {
            known.confirmed |= crash.confirmed;
            return;
        }
        let age_ms = crash.lifetime.silent_ms;
        self.crashes.retain(|earlier| {
            age_ms.is_none_or(|age_ms| !outlives(earlier.lifetime.survived_ms, age_ms))
        });
        self.labels.extend(labels.iter().cloned());
        self.crashes.push(crash);
    }

    /// Drops the crash in a run whose worker turns out to be alive.
    pub fn retract(&mut self, run: u32) {
        self.crashes.retain(|crash| crash.run != run);
    }

    /// Returns whether a run that has survived for this long shows that the task caused none of the
    /// crashes.
    pub fn is_refuted_by(&self, survived_ms: u64) -> bool {
        let age_ms = |crash: &Crash| crash.lifetime.silent_ms.unwrap_or(UNKNOWN_AGE_MS);
        self.crashes.iter().map(age_ms).max().is_some_and(|age_ms| outlives(survived_ms, age_ms))
    }

    /// Returns whether the task is to be given up. Crashes of unrelated workers add up under a task that lasts, and
    /// nothing limits its starts: only crashes at a known and like age count against it.
    pub fn is_proven(&self, lasting: bool) -> bool {
        let counts =
            |crash: &&Crash| crash.confirmed && (!lasting || crash.lifetime.silent_ms.is_some());
        let confirmed = || self.crashes.iter().filter(counts);
        let singled_out = confirmed().filter(|crash| crash.singled_out).count();
        let crashes = confirmed().count();
        let soon = |crash: &Crash| crash.lifetime.silent_ms.is_none_or(|age_ms| age_ms < SOON_MS);
        // An age that is not known is taken for that of a task that crashes its workers at once.
        let ages: Vec<u64> =
            confirmed().map(|crash| crash.lifetime.silent_ms.unwrap_or(0)).collect();
        crashes >= MIN_CRASHES && singled_out >= MIN_SINGLED_OUT && agree(&ages)
            || !lasting && crashes >= MANY_CRASHES && (singled_out > 0 || confirmed().all(soon))
    }

    /// Returns how many labels a worker shares with those that crashed.
    pub fn shared_labels(&self, labels: &[String]) -> usize {
        labels.iter().filter(|label| self.labels.contains(*label)).count()
    }
}

/// Returns whether the ages of runs, in milliseconds, are about the same.
fn agree(ages: &[u64]) -> bool {
    let (least, most) = (ages.iter().min(), ages.iter().max());
    least.zip(most).is_none_or(|(least, most)| most - least <= AGE_SPREAD_MS)
}

fn outlives(survived_ms: u64, age_ms: u64) -> bool {
    survived_ms > OUTLIVED_FACTOR * age_ms + OUTLIVED_SLACK_MS
}
