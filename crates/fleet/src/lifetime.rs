//! How long a run is known to have lived when it was found to be over without a listed end.

use super::*;

/// Bounds on how long a run lived, in milliseconds since its start was ordered.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lifetime {
    /// It lived at least this long: its worker listed it as running.
    pub survived_ms: u64,
    /// Its worker no longer answered after this long. `None` if the worker answers, or if the start
    /// was ordered by an earlier owner.
    pub silent_ms: Option<u64>,
}
