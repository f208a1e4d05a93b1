//! Faults that can be injected into stand-ins.

use super::*;

/// Faults of the key-value service and the VM list.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// How many of the next writes take effect but get no answer.
    pub lose_answers: u32,
    /// How calls fail, if they do.
    pub outage: Outage,
    /// Delay of each answer, in milliseconds.
    pub slow_ms: u64,
}

/// How calls to the key-value service and the VM list fail.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// They don't fail.
    #[default]
    None,
    /// Every call is answered with an error, and watches end.
    Refusing,
    /// Calls are accepted and never answered.
    Silent,
}

/// A fault of a worker.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Every run fails right after its start.
    FailEverything,
    /// Nothing is answered and no run advances until another fault is set.
    Freeze,
    /// No fault.
    #[default]
    None,
    /// Connections that are open when the fault is set pass no more bytes, for good; new ones work.
    Silence,
}
