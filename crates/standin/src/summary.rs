//! Counts over a ledger.

use super::*;

/// What a ledger shows.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Summary {
    /// Runs that ended with a checkpoint.
    pub checkpointed: u64,
    /// Tasks that ran in two places at once, or finished twice.
    pub doubled: u64,
    /// Tasks that finished.
    pub finished: u64,
    /// VMs that held more than they can.
    pub overfull: u64,
    /// Requests not marked as idempotent that ran twice, by key or by id.
    pub repeated: u64,
    /// Urgent requests that ran.
    pub requests: u64,
    /// Checkpoints from which two runs did work that both kept.
    pub resumed_twice: u64,
    /// Runs of tasks.
    pub runs: u64,
    /// Starts of tasks that came from an owner whose epoch was over, and were refused.
    pub stale_starts: u64,
    /// Urgent requests refused by a guard.
    pub turned_away: u64,
}

impl From<&ledger::Record> for Summary {
    fn from(record: &ledger::Record) -> Self {
        let mut tasks: BTreeMap<&task::Id, Vec<&ledger::Run>> = BTreeMap::new();
        for run in &record.runs {
            tasks.entry(&run.run.task).or_default().push(run);
        }
        let count = |test: fn(&[&ledger::Run]) -> bool| {
            tasks.values().filter(|runs| test(runs)).count() as u64
        };
        Self {
            checkpointed: record.runs.iter().filter(|run| is_checkpointed(run)).count() as u64,
            doubled: count(is_doubled),
            finished: count(|runs| runs.iter().any(|run| is_finished(run))),
            overfull: record.peaks.values().filter(|p| !p.most.fits(&p.capacity)).count() as u64,
            repeated: repeated(&record.requests),
            requests: record.requests.len() as u64,
            resumed_twice: count(is_resumed_twice),
            runs: record.runs.len() as u64,
            stale_starts: record.stale_starts,
            turned_away: record.turned_away,
        }
    }
}

fn is_checkpointed(run: &ledger::Run) -> bool {
    matches!(run.end, Some(protocol::End::Checkpointed { .. }))
}

/// Returns whether two runs overlap, or two finished.
fn is_doubled(runs: &[&ledger::Run]) -> bool {
    let end = |run: &ledger::Run| run.end_us.unwrap_or(u64::MAX);
    let finished = runs.iter().filter(|run| is_finished(run)).count();
    let overlap = runs.iter().enumerate().any(|(index, one)| {
        let rest = &runs[index + 1..];
        rest.iter().any(|other| one.start_us < end(other) && other.start_us < end(one))
    });
    finished > 1 || overlap
}

fn is_finished(run: &ledger::Run) -> bool {
    run.end == Some(protocol::End::Finished)
}

/// Returns whether two runs resumed from one checkpoint and both ended with their work kept.
fn is_resumed_twice(runs: &[&ledger::Run]) -> bool {
    let mut kept = BTreeSet::new();
    runs.iter()
        .filter(|run| is_finished(run) || is_checkpointed(run))
        .filter_map(|run| run.checkpoint.as_ref())
        .any(|checkpoint| !kept.insert(checkpoint))
}

fn repeated(requests: &[ledger::Request]) -> u64 {
    let mut runs: BTreeMap<&str, u64> = BTreeMap::new();
    for request in requests.iter().filter(|request| !request.idempotent) {
        let name = request.key.as_ref().unwrap_or(&request.request);
        *runs.entry(name).or_default() += 1;
    }
    runs.values().filter(|&&count| count > 1).count() as u64
}
