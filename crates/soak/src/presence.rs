//! Checks that every lasting task runs again within seconds of its last run, once nothing is disturbed.

use super::*;

/// How long after its last run a lasting task may need to be started again.
const RESTART_TIME: Duration = Duration::from_secs(6);
/// How long a VM has to be without disruption until the rules with time bounds hold for it.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// How long calm has to last before a task counts as absent.
const CALM_TIME: Duration = Duration::from_secs(4);
/// How long a task may then be absent.
const MAX_ABSENCE: Duration = Duration::from_secs(3);
/// How many workers need to have room for the task.
const MIN_PLACES: usize = 2;

/// The lasting tasks that do not run.
#[derive(Default)]
pub(crate) struct Presence {
    /// For each task its starts so far, and since when its absence counts.
    absent: BTreeMap<String, (u32, Instant)>,
}

impl Presence {
    /// Looks at the tasks of the jobs that are accepted and not cancelled, and reports those that are
    /// absent for too long.
    pub(crate) fn look(&mut self, soak: &Soak) {
        let now = Instant::now();
        let calm_since = soak.calm_since.get();
        let workers = soak.ready_workers();
        let mut is_full = false;
        for job in soak.jobs.borrow().values().filter(|job| job.accepted && !job.cancelling) {
            let Some(milli) = job.lasting_milli else { continue };
            // No worker may run two tasks of the job.
            let taken: BTreeSet<String> =
                soak.tasks(job).flat_map(|task| soak.ledger.entry(&task).running).collect();
            let is_place = |worker: &&&UsersWorker| {
                worker.free_milli() >= milli && !taken.contains(&worker.id)
            };
            let has_room = workers.iter().filter(is_place).count() >= MIN_PLACES;
            for task in soak.tasks(job) {
                let entry = soak.ledger.entry(&task);
                if !entry.running.is_empty() {
                    if let Some((_, since)) = self.absent.remove(&task) {
                        let absence = now.saturating_duration_since(since);
                        soak.max_absence.set(soak.max_absence.get().max(absence));
                    }
                    continue;
                }
                let first = (entry.starts, now + RESTART_TIME);
                let (starts, since) = self.absent.entry(task.clone()).or_insert(first);
                if *starts != entry.starts {
                    (*starts, *since) = first;
                }
                is_full |= calm_since.is_some() && !has_room;
                let earliest = match calm_since {
                    Some(calm_since) if has_room => calm_since + CONTACT_TIME + CALM_TIME,
                    _ => now,
                };
                *since = (*since).max(earliest);
                if now > *since + MAX_ABSENCE {
                    // The task is reported again only if it stays absent as long again.
                    *since = now;
                    soak.ledger.record_violation(format!(
                        "lasting task {task} does not run {} ms after the end of the outage",
                        calm_since.map_or(0, |calm_since| (now - calm_since).as_millis())
                    ));
                }
            }
        }
        if is_full {
            soak.count("look-without-room");
        }
    }
}

impl Soak {
    /// Returns the workers whose entries say that they are ready.
    fn ready_workers(&self) -> Vec<&UsersWorker> {
        let is_ready = |worker: &&UsersWorker| {
            self.worker_entry(worker).is_some_and(|entry| entry["state"] == "ready")
        };
        self.workers.iter().map(|(worker, _)| worker).filter(is_ready).collect()
    }
}
