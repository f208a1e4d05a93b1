//! How much of a cell lasting jobs may hold when another one starts. They keep their room for minutes,
//! while bursts of short work come every few seconds: a fixed share wastes room where short work needs
//! little of it, and starves it where it needs much. The share therefore rises slowly while short work
//! finds room at once, as far as the recent peaks of urgent and of filling work leave room, and returns
//! to its base as soon as some waits.

use super::*;

/// The share of a cell that lasting jobs may hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Headroom {
    /// Since when no short work has waited, in milliseconds; `None` before the first, and while some
    /// waits.
    calm_since: Option<u64>,
    /// When the share was last updated, in milliseconds.
    updated_at: u64,
    /// The share, in percent.
    percent: f64,
    /// The recent peak of `Demand::urgent_milli`, in thousandths of a core.
    urgent_peak_milli: f64,
    /// The recent peak of `Demand::filling_milli`, in thousandths of a core.
    filling_peak_milli: f64,
}

/// Short work in a cell.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Processors that filling tasks ask for which run, or could start now, in thousandths of a core.
    pub filling_milli: u64,
    /// Processors that short tasks reserve, or want to reserve now, in thousandths of a core.
    pub urgent_milli: u64,
    /// Processors that short tasks ask for which could start now and wait, in thousandths of a core.
    pub waiting_milli: u64,
}

/// The share that lasting jobs may always hold, in percent.
pub const BASE_PERCENT: u64 = 70;
/// The most that the share may become, in percent: the rest is for urgent work that comes suddenly.
const MAX_PERCENT: f64 = 90.0;
/// How long short work must have found room before the share rises, in milliseconds: longer than most
/// bursts.
const CALM_MS: u64 = 3_000;
/// How fast the share rises, in percent per second.
const RISE_PERCENT_PER_S: f64 = 2.0;
/// Room kept for short work that reserves processors, as a multiple of its recent peak: bursts come
/// on top of it.
const URGENT_MARGIN: f64 = 2.0;
/// How fast the peak is forgotten, as the share that is left after a second.
const PEAK_DECAY_PER_S: f64 = 0.97;
/// Short work waits if it asks for more than this share of a cell, in percent; some is always on its
/// way.
const WAITING_PERCENT: u64 = 2;

impl Default for Headroom {
    fn default() -> Self {
        Self {
            calm_since: None,
            updated_at: 0,
            percent: BASE_PERCENT as f64,
            urgent_peak_milli: 0.0,
            filling_peak_milli: 0.0,
        }
    }
}

impl Demand {
    /// Adds tasks of a step that run or could start now.
    pub(crate) fn add(&mut self, step: &Step, tasks: u64) {
        let asked = match step.fills {
            true => &mut self.filling_milli,
            false => &mut self.urgent_milli,
        };
        *asked = asked.saturating_add(tasks.saturating_mul(step.resources.processors_milli));
    }

    /// Adds tasks of a step that could start now and wait.
    pub(crate) fn add_waiting(&mut self, step: &Step, tasks: u64) {
        let asked = tasks.saturating_mul(step.resources.processors_milli);
        self.waiting_milli = self.waiting_milli.saturating_add(asked);
        self.add(step, tasks);
    }
}

impl Headroom {
    /// Updates the share from the short work in a cell of `total_milli` thousandths of a core.
    pub fn observe(&mut self, now: u64, demand: Demand, total_milli: u64) {
        let elapsed_s = now.saturating_sub(self.updated_at) as f64 / 1_000.0;
        self.updated_at = now;
        let kept = PEAK_DECAY_PER_S.powf(elapsed_s);
        self.urgent_peak_milli = (self.urgent_peak_milli * kept).max(demand.urgent_milli as f64);
        self.filling_peak_milli = (self.filling_peak_milli * kept).max(demand.filling_milli as f64);
        if demand.waiting_milli > total_milli * WAITING_PERCENT / 100 {
            self.calm_since = None;
            self.percent = BASE_PERCENT as f64;
            return;
        }
        // Without any short work nothing is known of what it needs.
        if demand.filling_milli + demand.urgent_milli > 0 {
            self.calm_since.get_or_insert(now);
        }
        if self.calm_since.is_some_and(|since| now >= since + CALM_MS) {
            self.percent = (self.percent + RISE_PERCENT_PER_S * elapsed_s).min(MAX_PERCENT);
        }
    }

    /// Returns the processors that lasting jobs may hold when another one starts in a cell with
    /// `total_milli` processors, both in thousandths of a core.
    pub fn lasting_limit(&self, total_milli: u64) -> u64 {
        let base = total_milli * BASE_PERCENT / 100;
        let total = total_milli as f64;
        let share = total * self.percent / 100.0;
        let beside_urgent = total - self.urgent_peak_milli * URGENT_MARGIN;
        let use_share = placement::SERVING_USE_PERCENT as f64 / 100.0;
        let beside_filling = (total - self.urgent_peak_milli - self.filling_peak_milli) / use_share;
        (share.min(beside_urgent).min(beside_filling) as u64).max(base)
    }
}
