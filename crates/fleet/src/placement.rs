//! Chooses the worker of a task. Answers bursts of wide steps beside serving tasks that must keep
//! their tail: reserved work spreads, filling work goes where the most processors are unused.

use super::*;

/// What decides whether and how well a worker suits a task.
pub struct Demand<'a> {
    /// The time, in milliseconds.
    pub now: u64,
    /// The service whose workers may run it.
    pub service: &'a str,
    /// The step's shape.
    pub step: &'a Step,
    /// The worker of the task's last failed run.
    pub avoid: Option<&'a str>,
    /// Tasks of the step by worker, where their number is bounded.
    pub placed: &'a BTreeMap<Arc<str>, u16>,
}

/// The share of its reservation that a serving task uses, in percent.
const SERVING_USE_PERCENT: u64 = 60;

/// Returns the best worker for the task, if one has room.
pub fn choose<'a>(
    workers: &'a BTreeMap<Arc<str>, Worker>,
    demand: &Demand,
) -> Option<&'a Arc<str>> {
    let mut best: Option<(i64, &Arc<str>)> = None;
    for (id, worker) in workers {
        if !suits(id, worker, demand) {
            continue;
        }
        let score = score(id, worker, demand);
        if best.is_none_or(|(top, _)| score > top) {
            best = Some((score, id));
        }
    }
    best.map(|(_, id)| id)
}

fn suits(id: &Arc<str>, worker: &Worker, demand: &Demand) -> bool {
    let Some(entry) = &worker.registration else { return false };
    let step = demand.step;
    worker.is_usable(demand.now)
        && entry.service == demand.service
        && step.reserved().fits(&worker.room())
        && step.label.as_ref().is_none_or(|label| worker.is_labelled(label))
        && (step.per_worker == 0
            || demand.placed.get(id).copied().unwrap_or(0) < step.per_worker)
}

fn score(id: &Arc<str>, worker: &Worker, demand: &Demand) -> i64 {
    let step = demand.step;
    let total = worker.capacity().processors_milli.max(1) as i64;
    let score = if step.fills {
        let free = unused_milli(worker) - worker.filling_milli as i64;
        (free * 1_000 / total) * i64::from(worker.pace.percent.max(1)) / 100
    } else {
        worker.room().processors_milli as i64 * 1_000 / total
    };
    let away = step.rack.as_ref().is_some_and(|rack| !worker.is_labelled(rack));
    let failed_here = demand.avoid == Some(id.as_ref());
    score - if away { 1_000 } else { 0 } - if failed_here { 10_000 } else { 0 }
        - i64::from(worker.failures) * 200
}

/// Returns the processors that filling tasks share, in thousandths of a core.
pub fn unused_milli(worker: &Worker) -> i64 {
    let serving = worker.serving_milli * SERVING_USE_PERCENT / 100;
    let other = worker.reserved.processors_milli.saturating_sub(worker.serving_milli);
    worker.capacity().processors_milli as i64 - (serving + other) as i64
}
