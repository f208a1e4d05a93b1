//! Actual behaviour of a task, given to a stand-in in the task's payload.

use super::*;

/// Actual behaviour of a task, given to a stand-in in the task's payload as JSON. With a payload of
/// another form, the task behaves as declared.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Payload {
    /// Whether the task fails right after its start.
    pub fail: bool,
    /// Actual run time, in milliseconds; the declared one if absent.
    pub run_ms: Option<u64>,
    /// Actual use of resources, in thousandths of the declared one; 1,000 if absent.
    pub use_milli: Option<u32>,
}

impl From<&str> for Payload {
    fn from(text: &str) -> Self {
        serde_json::from_str(text).unwrap_or_default()
    }
}
