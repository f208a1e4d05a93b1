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
    /// What filling tasks do to serving ones.
    pub pressure: &'a pressure::Pressure,
    /// The least pace at which a filling task is placed, in percent.
    pub least_pace: u32,
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
        let Some(score) = score(id, worker, demand) else { continue };
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
        && (step.per_worker == 0 || demand.placed.get(id).copied().unwrap_or(0) < step.per_worker)
}

fn score(id: &Arc<str>, worker: &Worker, demand: &Demand) -> Option<i64> {
    let step = demand.step;
    let total = worker.capacity().processors_milli.max(1) as i64;
    let room = worker.room().processors_milli as i64 * 1_000 / total;
    let score = if step.fills {
        let pace = worker.pace_with(demand.now, demand.pressure, step);
        if pace < demand.least_pace {
            return None;
        }
        let wanted = (worker.filling_milli + step.resources.processors_milli).max(1) as i64;
        let share = (unused_milli(worker).max(0) * 1_000 / wanted).min(1_000);
        // Speed first; among equals the most room, so that the next task finds the same.
        let spare = (unused_milli(worker) - wanted) * 100 / total;
        share * i64::from(pace) / 100 + spare
    } else if step.serves() {
        affinity(worker, demand) - room / ROOM_PER_AFFINITY
    } else {
        // Tight: large rooms are kept for large tasks.
        -room
    };
    let away = step.rack.as_ref().is_some_and(|rack| !worker.is_labelled(rack));
    let failed_here = demand.avoid == Some(id.as_ref());
    Some(
        score
            - if away { AWAY } else { 0 }
            - if failed_here { FAILED_HERE } else { 0 }
            - i64::from(worker.failures) * FAILURE,
    )
}

/// What it costs a task to be away from its data: the whole range of room, since it runs several times as
/// long.
const AWAY: i64 = 1_000;
/// What it costs a task to return to the worker of its last failure: more than all else together.
const FAILED_HERE: i64 = 10_000;
/// What each failure in a row at a worker costs: a fifth of its room.
const FAILURE: i64 = 200;
/// How much more the company of like images counts than room does.
const ROOM_PER_AFFINITY: i64 = 4;
/// What a serving neighbour that is pressed alike is worth, and one that is not costs, twice over.
const LIKENESS: f64 = 200.0;
/// What pressure by a whole worker of a filling neighbour costs.
const PRESSED: f64 = 200.0;

/// Returns how well a serving task suits those at a worker: images that are pressed alike belong
/// together, so that other workers are free for what would press them.
fn affinity(worker: &Worker, demand: &Demand) -> i64 {
    let mut score = 0.0;
    for run in worker.runs.values() {
        if run.step.serves() {
            let likeness = demand.pressure.likeness(&demand.step.image, &run.step.image);
            score += LIKENESS * (likeness - 0.5);
        } else if run.step.fills {
            let pressed = demand.pressure.pair(&demand.step.image, &run.step.image);
            score -= PRESSED * pressed * run.step.cores() / worker.cores();
        }
    }
    score as i64
}

/// Returns the processors that filling tasks share, in thousandths of a core.
pub fn unused_milli(worker: &Worker) -> i64 {
    let serving = worker.serving_milli * SERVING_USE_PERCENT / 100;
    let other = worker.reserved.processors_milli.saturating_sub(worker.serving_milli);
    worker.capacity().processors_milli as i64 - (serving + other) as i64
}
