//! Chooses the worker of a task. Bursts of wide steps must not raise the tail latency of serving
//! tasks: reserved tasks are packed tightly so that large tasks still fit elsewhere, serving tasks
//! with similar sensitivity share workers, and filling tasks go where they run fastest.

use super::*;

/// The requirements of a task and the state that its placement depends on.
pub struct Criteria<'a> {
    /// The time, in milliseconds.
    pub now: u64,
    /// The service whose workers may run the task.
    pub service: &'a str,
    /// The step of the task.
    pub step: &'a Step,
    /// The worker to avoid: that of the task's last failed run, or the one that it is to leave.
    pub avoid: Option<&'a str>,
    /// Whether the task keeps away from workers with other suspects, if it is one.
    pub apart: bool,
    /// The crashes of workers that the task may have caused.
    pub suspicion: &'a Suspicion,
    /// Which mechanisms are on.
    pub policy: Policy,
    /// The contention that filling images add to serving ones.
    pub pressure: &'a pressure::Pressure,
    /// Lowest pace at which a filling task is placed, in percent.
    pub min_pace: u32,
    /// The number of the step's tasks on each worker, if `per_worker` sets a limit.
    pub placed: &'a BTreeMap<Arc<str>, u16>,
    /// Room that is held for other tasks.
    pub reservations: &'a reservation::Book,
    /// How long the task is expected to run, in milliseconds; `None` if it lasts.
    pub duration_ms: Option<u64>,
}

/// Share of its reserved processors that a serving task is assumed to use, in percent.
pub(crate) const SERVING_USE_PERCENT: u64 = 60;

/// Returns the worker with the highest score for the task, if it fits on any.
pub fn choose<'a>(
    workers: &'a BTreeMap<Arc<str>, Worker>,
    criteria: &Criteria,
) -> Option<&'a Arc<str>> {
    let mut best: Option<(i64, &Arc<str>)> = None;
    let busy_racks = busy_racks(workers, criteria);
    for (id, worker) in workers {
        let rack_is_busy = !busy_racks.is_empty() && busy_racks.contains(labels(worker));
        if rack_is_busy || !is_eligible(id, worker, criteria) {
            continue;
        }
        let Some(score) = score(id, worker, criteria) else { continue };
        if best.is_none_or(|(top, _)| score > top) {
            best = Some((score, id));
        }
    }
    best.map(|(_, id)| id)
}

/// Returns the reservation of the worker that has room for the task first, leaving out workers that
/// have one already. `ends` returns the expected ends of a worker's runs.
pub fn reserve(
    workers: &BTreeMap<Arc<str>, Worker>,
    criteria: &Criteria,
    ends: impl Fn(&Worker) -> Vec<(u64, Resources)>,
) -> Option<(Arc<str>, Reservation)> {
    let needed = criteria.step.reserved();
    workers
        .iter()
        .filter(|(id, worker)| {
            criteria.reservations.get(id).is_none()
                && is_suitable(id, worker, criteria)
                && needed.fits(&worker.capacity())
        })
        .filter_map(|(id, worker)| {
            let (capacity, reserved) = (worker.capacity(), worker.reserved);
            let found = Reservation::find(criteria.now, capacity, reserved, needed, ends(worker))?;
            Some((id.clone(), found))
        })
        .min_by_key(|(_, found)| found.ready_at)
}

/// Returns a reservation for a lasting task of the worker on which others hold the least, leaving out workers that
/// have one already. It keeps out lasting tasks only: nobody knows when those end.
pub fn reserve_for_lasting(
    workers: &BTreeMap<Arc<str>, Worker>,
    criteria: &Criteria,
) -> Option<(Arc<str>, Reservation)> {
    let needed = criteria.step.reserved();
    let (id, _) = workers
        .iter()
        .filter(|(id, worker)| {
            criteria.reservations.get(id).is_none()
                && is_suitable(id, worker, criteria)
                && needed.fits(&worker.capacity())
        })
        .max_by_key(|(_, worker)| {
            worker.capacity().processors_milli.saturating_sub(worker.lasting_milli)
        })?;
    Some((id.clone(), Reservation { ready_at: u64::MAX, spare: Resources::default() }))
}

/// Returns whether the task may run at the worker and fits there.
fn is_eligible(id: &Arc<str>, worker: &Worker, criteria: &Criteria) -> bool {
    let step = criteria.step;
    is_suitable(id, worker, criteria)
        && step.reserved().fits(&worker.unreserved())
        && criteria.reservations.allows(id, criteria.now, step, criteria.duration_ms)
}

/// Returns whether the task may run at the worker once it has room.
fn is_suitable(id: &Arc<str>, worker: &Worker, criteria: &Criteria) -> bool {
    let step = criteria.step;
    worker.is_usable(criteria.now)
        && (step.gang
            || !criteria.apart
            || may_share(worker.suspicion(), criteria.suspicion.level())
            || !criteria.policy.suspicion)
        && worker.is_for(criteria.service, step)
        && (step.per_worker == 0 || criteria.placed.get(id).copied().unwrap_or(0) < step.per_worker)
}

/// Returns the score of a worker, higher is better; `None` if the pace of a filling task would be
/// too low.
fn score(id: &Arc<str>, worker: &Worker, criteria: &Criteria) -> Option<i64> {
    let step = criteria.step;
    let total = worker.capacity().processors_milli.max(1) as i64;
    let free_share = worker.unreserved().processors_milli as i64 * 1_000 / total;
    let score = if step.fills {
        let pace = worker.pace_with(criteria.now, criteria.pressure, step);
        if pace < criteria.min_pace {
            return None;
        }
        let wanted = (worker.filling_milli + step.resources.processors_milli).max(1) as i64;
        let share = (unused_milli(worker).max(0) * 1_000 / wanted).min(1_000);
        // Speed counts first; among equals the worker with the most unused processors, so that the
        // next task runs as fast.
        let spare = (unused_milli(worker) - wanted) * 100 / total;
        share * i64::from(pace) / 100 + spare
    } else if step.serves() {
        let affinity = if criteria.policy.affinity { affinity(worker, criteria) } else { 0 };
        affinity - free_share / AFFINITY_WEIGHT
    } else {
        // Best fit: keeps large free blocks for large tasks.
        -free_share
    };
    let remote_data = step.rack.as_ref().is_some_and(|rack| !worker.has_label(rack));
    let avoided = criteria.avoid == Some(id.as_ref());
    Some(
        score
            - if remote_data { REMOTE_DATA_COST } else { 0 }
            - if avoided { AVOIDED_WORKER_COST } else { 0 }
            - i64::from(worker.failures) * FAILURE_COST
            - if criteria.policy.suspicion { trial_cost(worker, criteria) } else { 0 },
    )
}

/// Returns the racks, by their workers' labels, in which no further task under which several workers
/// have crashed may start now: more crashes at a time would look like a failure of the rack.
fn busy_racks<'a>(
    workers: &'a BTreeMap<Arc<str>, Worker>,
    criteria: &Criteria,
) -> BTreeSet<&'a [String]> {
    let mut trials: BTreeMap<&[String], usize> = BTreeMap::new();
    if criteria.suspicion.level() > 1 && criteria.apart && !criteria.step.gang {
        let recent = |run: &Run| criteria.now <= run.started + suspicion::COMMON_CAUSE_MS;
        let on_trial =
            |worker: &&Worker| worker.runs.values().any(|run| run.suspicion > 1 && recent(run));
        for worker in workers.values().filter(on_trial) {
            *trials.entry(labels(worker)).or_default() += 1;
        }
    }
    trials.retain(|_, count| *count + 1 >= suspicion::MIN_COMMON_WORKERS);
    trials.into_keys().collect()
}

fn labels(worker: &Worker) -> &[String] {
    worker.registration.as_ref().map_or(&[], |entry| &entry.labels)
}

/// Returns whether a task under which `level` workers have crashed may run beside one under which
/// `beside` have. Where both are suspect, and one of them more than once, a crash would not tell which
/// of them caused it.
fn may_share(beside: usize, level: usize) -> bool {
    beside == 0 || level == 0 || beside.max(level) == 1
}

/// Returns the penalty by which suspects are kept apart, so that the next crash decides among them, and
/// by which a task under which several workers have crashed is tried where few runs are at stake, and
/// where a failing rack can't be taken for its work. Others stay away from the worker of such a task.
fn trial_cost(worker: &Worker, criteria: &Criteria) -> i64 {
    let suspicion = criteria.suspicion;
    let level = suspicion.level();
    let beside = worker.suspicion();
    let weight = if criteria.apart { 1 } else { beside as i64 };
    let apart = if level > 0 && beside > 0 || beside > 1 { SUSPECT_COST * weight } else { 0 };
    if level <= 1 {
        return apart;
    }
    let shared = suspicion.shared_labels(labels(worker)) as i64;
    apart + worker.runs.len() as i64 * STAKE_COST + shared * SHARED_LABEL_COST
}

/// Penalty for a worker outside the rack of the data, where a task takes several times as long: the
/// whole range of the score for free processors.
const REMOTE_DATA_COST: i64 = 1_000;
/// Penalty for the worker to avoid: more than all other parts of the score together.
const AVOIDED_WORKER_COST: i64 = 10_000;
/// Penalty for a worker with a suspect: more than the scores of workers differ otherwise.
const SUSPECT_COST: i64 = 3_000;
/// Penalty for each run of a worker, for a task that may crash it.
const STAKE_COST: i64 = 100;
/// Penalty for each label that a worker shares with those that crashed, for a task that may crash it.
const SHARED_LABEL_COST: i64 = 500;
/// Penalty for each consecutive failed run at a worker: a fifth of the range for free processors.
const FAILURE_COST: i64 = 200;
/// Weight of affinity relative to free processors.
const AFFINITY_WEIGHT: i64 = 4;
/// Weight of a serving neighbour: half of it is a bonus for one affected by the same filling
/// images, or a penalty for one affected by entirely different ones.
const SIMILARITY_WEIGHT: f64 = 200.0;
/// Penalty for one unit of contention added by filling neighbours.
const PRESSURE_COST: f64 = 200.0;

/// Returns how well a serving task suits the tasks of a worker. Serving images affected by the same
/// filling images share workers, so that other workers stay free for those filling images.
fn affinity(worker: &Worker, criteria: &Criteria) -> i64 {
    let mut score = 0.0;
    for run in worker.runs.values() {
        if run.step.serves() {
            let similarity = criteria.pressure.similarity(&criteria.step.image, &run.step.image);
            score += SIMILARITY_WEIGHT * (similarity - 0.5);
        } else if run.step.fills {
            let added = criteria.pressure.level(&criteria.step.image, &run.step.image);
            score -= PRESSURE_COST * added * run.step.cores() / worker.cores();
        }
    }
    score as i64
}

/// Returns the processors left for filling tasks, in thousandths of a core; negative when the
/// worker is overcommitted.
pub fn unused_milli(worker: &Worker) -> i64 {
    let serving = worker.serving_milli * SERVING_USE_PERCENT / 100;
    let other = worker.reserved.processors_milli.saturating_sub(worker.serving_milli);
    worker.capacity().processors_milli as i64 - (serving + other) as i64
}
