//! Parameters of a run of the soak test.

use super::*;

/// Parameters of one run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Directory for the VMs' settings and logs.
    pub directory: PathBuf,
    /// What disturbs the system.
    pub disruption: Disruption,
    /// How long jobs are submitted and the system is disturbed.
    pub fault_duration: Duration,
    /// Path of the VMs' program.
    pub program: PathBuf,
    /// Seed of the random jobs and faults.
    pub seed: u64,
    /// Number of VMs.
    pub vms: usize,
    /// Number of workers.
    pub workers: usize,
}
