//! What a task really does, as its payload tells a stand-in.

use super::*;

/// What a task really does, as its payload tells a stand-in; a payload of another form means that
/// the task does as declared.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Payload {
    /// Whether the task fails right after its start.
    pub fail: bool,
    /// How long it really runs, in milliseconds.
    pub run_ms: Option<u64>,
    /// How much it really uses, in thousandths of what was declared.
    pub use_milli: Option<u32>,
}

impl From<&str> for Payload {
    fn from(text: &str) -> Self {
        serde_json::from_str(text).unwrap_or_default()
    }
}
