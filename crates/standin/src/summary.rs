//! Counts of the work in a ledger and of the violations that it shows.

use super::*;

/// Counts of the work in a ledger and of the violations that it shows.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Summary {
    /// Runs that ended with a checkpoint.
    pub checkpointed: u64,
    /// Tasks of which two runs overlap in time, or that finished twice.
    pub doubled: u64,
    /// Tasks that finished.
    pub finished: u64,
    /// VMs on which runs reserved more of a resource than the capacity.
    pub overfull: u64,
    /// Requests not marked as idempotent that ran more than once, by key or, without one, by id.
    pub repeated: u64,
    /// Urgent requests that ran.
    pub requests: u64,
    /// Tasks of which two runs resumed from the same checkpoint and both kept their work.
    pub resumed_twice: u64,
    /// Runs of tasks.
    pub runs: u64,
    /// Starts of tasks refused because they came with an epoch older than the highest seen.
    pub stale_starts: u64,
    /// Urgent requests that a worker refused.
    pub turned_away: u64,
}

impl From<&ledger::Record> for Summary {
    fn from(record: &ledger::Record) -> Self {
        let mut tasks: BTreeMap<&task::Id, Vec<&ledger::Run>> = BTreeMap::new();
        for run in &record.runs {
            tasks.entry(&run.run.task).or_default().push(run);
        }
        let count_tasks = |predicate: fn(&[&ledger::Run]) -> bool| {
            tasks.values().filter(|runs| predicate(runs)).count() as u64
        };
        Self {
            checkpointed: record.runs.iter().filter(|run| is_checkpointed(run)).count() as u64,
            doubled: count_tasks(is_doubled),
            finished: count_tasks(|runs| runs.iter().any(|run| is_finished(run))),
            overfull: record.peaks.values().filter(|p| !p.most.fits(&p.capacity)).count() as u64,
            repeated: repeated(&record.requests),
            requests: record.requests.len() as u64,
            resumed_twice: count_tasks(is_resumed_twice),
            runs: record.runs.len() as u64,
            stale_starts: record.stale_starts,
            turned_away: record.turned_away,
        }
    }
}

fn is_checkpointed(run: &ledger::Run) -> bool {
    matches!(run.end, Some(protocol::End::Checkpointed { .. }))
}

/// Returns whether two runs overlap in time, or two finished.
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
    let mut resumed_from = BTreeSet::new();
    runs.iter()
        .filter(|run| is_finished(run) || is_checkpointed(run))
        .filter_map(|run| run.checkpoint.as_ref())
        .any(|checkpoint| !resumed_from.insert(checkpoint))
}

/// Returns how many requests not marked as idempotent ran more than once, by key or, without one,
/// by id.
fn repeated(requests: &[ledger::Request]) -> u64 {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    for request in requests.iter().filter(|request| !request.idempotent) {
        let id = request.key.as_ref().unwrap_or(&request.request);
        *counts.entry(id).or_default() += 1;
    }
    counts.values().filter(|&&count| count > 1).count() as u64
}
