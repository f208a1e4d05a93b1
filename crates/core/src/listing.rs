//! An item of the VM list.

use super::*;

/// An item of the VM list, which lags behind the VMs by up to `contact::LIST_LAG`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listing {
    /// Whether its removal is announced.
    pub leaving: bool,
    /// The VM.
    pub vm: Name,
}
