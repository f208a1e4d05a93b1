//! A worker as a place for tasks.

use super::*;

/// A worker and what of it batch work may have.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Worker {
    /// All that the worker has.
    pub capacity: Resources,
    /// The rack that it sits in.
    pub rack: Name,
    /// What its services keep for themselves.
    pub reserved: Resources,
    /// The VM.
    pub vm: Name,
}

impl Worker {
    /// Returns what batch work may have when nothing runs.
    pub fn offered(&self) -> Resources {
        self.capacity.saturating_sub(&self.reserved)
    }

    /// Returns what tasks without accelerators leave alone while `accelerators` of them are free:
    /// half of the proportional share of each free accelerator.
    pub fn kept(&self, accelerators: u32) -> Resources {
        let offered = self.offered();
        if offered.accelerators == 0 {
            return Resources::default();
        }
        let share =
            |amount: u64| amount * u64::from(accelerators) / u64::from(offered.accelerators) / 2;
        Resources {
            accelerators: 0,
            memory_mib: share(offered.memory_mib),
            processors_milli: share(offered.processors_milli),
        }
    }
}
