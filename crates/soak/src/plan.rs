//! What a run of the soak consists of.

use super::*;

/// One run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Where settings and logs go.
    pub directory: PathBuf,
    /// How long faults are injected.
    pub faults_for: Duration,
    /// The program of a VM.
    pub program: PathBuf,
    /// Decides everything that is random.
    pub seed: u64,
    /// VMs.
    pub vms: usize,
    /// Workers.
    pub workers: usize,
}
