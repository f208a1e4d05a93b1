//! Faults that stand-ins can be told to have.

use super::*;

/// Faults of the key-value service and the VM list.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// How many of the next writes take effect and lose their answer.
    pub lose_answers: u32,
    /// Whether anything is answered at all.
    pub outage: Outage,
    /// Delay of each answer, in milliseconds.
    pub slow_ms: u64,
}

/// Whether the service answers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It answers.
    #[default]
    None,
    /// It answers every call with an error, and ends watches.
    Refusing,
    /// It takes calls and answers none.
    Silent,
}

/// A fault of a worker.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Every run fails right after its start.
    FailEverything,
    /// Nothing is answered and no run gets on, until another fault is set.
    Freeze,
    /// None.
    #[default]
    None,
    /// Connections that are open now go silent for good; new ones work.
    Silence,
}
