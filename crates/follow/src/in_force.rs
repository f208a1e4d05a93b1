//! What is in force at a process.

use super::*;

/// The configuration in force at a process. Cheap to clone.
#[derive(Clone, Debug)]
pub struct InForce {
    /// The configuration.
    pub config: Arc<Config>,
    /// Its revision; the next one's is higher.
    pub revision: Revision,
}
