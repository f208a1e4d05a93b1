//! Results of a run.

use super::*;

/// Counts of jobs and faults of a run, and the guarantees that it violated.
#[derive(Debug, Default)]
pub struct Report {
    /// Number of jobs that were accepted.
    pub accepted: usize,
    /// Violated guarantees, one message each.
    pub broken: Vec<String>,
    /// Number of jobs that were completed.
    pub completed: usize,
    /// Number of injected faults by the name of their kind.
    pub faults: BTreeMap<&'static str, usize>,
    /// The longest absence of a lasting task that came back, as far as it counts.
    pub max_absence: Duration,
    /// Number of jobs whose every submission was refused.
    pub refused: usize,
    /// Seed of the run.
    pub seed: u64,
    /// Number of task starts at all workers.
    pub starts: u32,
}

impl Report {
    /// Returns the report as one line of JSON.
    pub fn line(&self) -> String {
        json!({
            "seed": self.seed, "accepted": self.accepted, "completed": self.completed,
            "refused": self.refused, "starts": self.starts, "faults": self.faults,
            "max_absence_ms": self.max_absence.as_millis() as u64, "broken": self.broken,
        })
        .to_string()
    }
}
