//! A VM as the lagging VM list shows it.

use super::*;

/// A VM as the lagging VM list shows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listing {
    /// Whether it will go soon.
    pub leaving: bool,
    /// The VM.
    pub vm: Name,
}
