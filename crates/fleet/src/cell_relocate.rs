//! Moves tasks: filling ones that are paced to next to nothing, lasting ones off workers that leave.

use super::*;

/// Between searches for tasks to move, in milliseconds.
const RELOCATE_MS: u64 = 250;
/// A run is left alone for this long, in milliseconds: its pace settles.
const SETTLED_MS: u64 = 700;
/// How much sooner a task without a checkpoint must be done elsewhere from its start, in percent.
const AGAIN_PERCENT: u32 = 150;
/// A filling task below this pace is moved where it can be, in percent.
const CROWDED_PACE: u32 = 35;
/// The pace that another worker must offer, in percent.
const GOOD_PACE: u32 = 80;
/// Tasks moved at once.
const RELOCATIONS: usize = 4;

impl Cell {
    /// Stops filling tasks that are paced to next to nothing where another worker suits them.
    pub(crate) fn relocate(&mut self, clock: Clock) {
        if self.leaving || clock.now < self.relocated_at + RELOCATE_MS {
            return;
        }
        self.relocated_at = clock.now;
        let mut stops = Vec::new();
        for (id, worker) in &self.workers {
            let slow = worker.runs.iter().find(|(_, run)| {
                let old = clock.now >= run.started + SETTLED_MS;
                let running = matches!(run.phase, run::Phase::Confirmed { .. });
                let pace = run.pace.unwrap_or(100);
                let cheap = run.step.checkpoints || again_sooner(run.progress, pace);
                let crowded = run.pace.is_some_and(|pace| pace < CROWDED_PACE);
                run.step.fills && old && running && cheap && crowded
            });
            let Some((name, run)) = slow else { continue };
            if self.suits_better(clock, id, run) {
                stops.push((id.clone(), *name));
            }
        }
        stops.truncate(RELOCATIONS);
        for (id, name) in stops {
            self.stop(&id, name, action::StopReason::Crowded);
        }
    }

    /// Moves lasting tasks off workers that leave, one of a step at a time.
    pub(crate) fn evacuate(&mut self, clock: Clock) {
        if self.leaving || clock.now < self.evacuated_at + RELOCATE_MS {
            return;
        }
        self.evacuated_at = clock.now;
        let mut stops: Vec<(Arc<str>, task::Name)> = Vec::new();
        for (id, worker) in &self.workers {
            let Some(entry) = worker.registration.as_ref().filter(|entry| entry.draining) else {
                continue;
            };
            let mut steps = BTreeSet::new();
            for (name, run) in &worker.runs {
                if !matches!(run.phase, run::Phase::Confirmed { .. }) {
                    continue;
                }
                let room = self.fits_elsewhere(clock, &entry.service, id, run);
                let step = (name.job, name.occurrence, name.step);
                if run.step.lasting && room && steps.insert(step) {
                    stops.push((id.clone(), *name));
                }
            }
        }
        for (id, name) in stops {
            self.stop(&id, name, action::StopReason::Leaving);
        }
    }

    fn fits_elsewhere(&self, clock: Clock, service: &str, here: &Arc<str>, run: &Run) -> bool {
        let demand = placement::Demand {
            now: clock.now,
            service,
            step: &run.step,
            avoid: Some(here),
            pressure: &self.pressure,
            least_pace: GOOD_PACE,
            placed: &BTreeMap::new(),
        };
        placement::choose(&self.workers, &demand).is_some_and(|better| better != here)
    }

    /// Returns whether another worker would run the task at a good pace.
    fn suits_better(&self, clock: Clock, here: &Arc<str>, run: &Run) -> bool {
        let service = self.workers.get(here).and_then(|worker| worker.registration.as_ref());
        let Some(service) = service.map(|entry| entry.service.as_str()) else { return false };
        self.fits_elsewhere(clock, service, here, run)
    }
}

/// Returns whether a task is done sooner elsewhere from its start than here at this pace, both in
/// percent.
fn again_sooner(progress: u32, pace: u32) -> bool {
    (100 - progress.min(100)) * 100 > pace * AGAIN_PERCENT
}
