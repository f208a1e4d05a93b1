//! The active configuration of a process.

use super::*;

/// The active configuration of a process. Cheap to clone.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    /// The configuration.
    pub config: Arc<Config>,
    /// Its revision, which rises with each change.
    pub revision: Revision,
}
