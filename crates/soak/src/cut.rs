//! What a worker is cut off from.

/// What a worker is cut off from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Cut {
    /// The VMs and the store.
    Both,
    /// The store only.
    Store,
    /// The VMs only.
    Vms,
}

impl Cut {
    /// Returns the name that the report counts it under.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Both => "cut-both",
            Self::Store => "cut-store",
            Self::Vms => "cut-vms",
        }
    }
}
