//! What a run found.

use super::*;

/// What a run did, and which promises were broken.
#[derive(Debug, Default)]
pub struct Report {
    /// Jobs that were accepted.
    pub accepted: usize,
    /// Broken promises.
    pub broken: Vec<String>,
    /// Accepted jobs that were completed.
    pub completed: usize,
    /// Faults injected, by kind.
    pub faults: BTreeMap<&'static str, usize>,
    /// Jobs whose every submission was refused.
    pub refused: usize,
    /// The seed.
    pub seed: u64,
    /// Starts at workers.
    pub starts: u32,
}

impl Report {
    /// Returns the report as one line of JSON.
    pub fn line(&self) -> String {
        json!({
            "seed": self.seed, "accepted": self.accepted, "completed": self.completed,
            "refused": self.refused, "starts": self.starts, "faults": self.faults,
            "broken": self.broken,
        })
        .to_string()
    }
}
