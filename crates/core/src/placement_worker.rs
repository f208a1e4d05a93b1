//! A worker as a place for tasks.

use super::*;

/// A worker with its capacity and the part that its services reserve.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Worker {
    /// Total resources of the worker.
    pub capacity: Resources,
    /// The rack of the VM.
    pub rack: Name,
    /// Resources reserved by its services.
    pub reserved: Resources,
    /// The VM.
    pub vm: Name,
}

impl Worker {
    /// Returns the resources offered to batch work when no task runs.
    pub fn offered(&self) -> Resources {
        self.capacity.saturating_sub(&self.reserved)
    }

    /// Returns the processors and memory that tasks without accelerators may not use while
    /// `accelerators` of the worker are free: half of the proportional share of each.
    pub fn accelerator_reserve(&self, accelerators: u32) -> Resources {
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
