//! Processors, memory and accelerators, as declared, reserved and measured.

use super::*;

/// An amount of each resource that a worker has and a task needs.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Eq,
    Hash,
    JsonSchema,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Memory, in MiB.
    pub memory_mib: u64,
    /// Processor time, in thousandths of a core.
    pub processors_milli: u64,
}

impl Resources {
    /// Returns whether this amount fits into `available` in every dimension.
    pub fn fits(&self, available: &Self) -> bool {
        self.accelerators <= available.accelerators
            && self.memory_mib <= available.memory_mib
            && self.processors_milli <= available.processors_milli
    }

    /// Returns how many times this amount fits into `available`; `u64::MAX` if it is nothing.
    pub fn times_in(&self, available: &Self) -> u64 {
        let times = |needed: u64, available: u64| available.checked_div(needed).unwrap_or(u64::MAX);
        times(self.accelerators.into(), available.accelerators.into())
            .min(times(self.memory_mib, available.memory_mib))
            .min(times(self.processors_milli, available.processors_milli))
    }

    /// Returns the rest after subtracting `other`, at least zero in every dimension.
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            processors_milli: self.processors_milli.saturating_sub(other.processors_milli),
        }
    }
}

impl Add for Resources {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_add(other.accelerators),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            processors_milli: self.processors_milli.saturating_add(other.processors_milli),
        }
    }
}

impl Display for Resources {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(
            f,
            "{}.{:03} processors, {} MiB, {} accelerators",
            self.processors_milli / 1_000,
            self.processors_milli % 1_000,
            self.memory_mib,
            self.accelerators
        )
    }
}
