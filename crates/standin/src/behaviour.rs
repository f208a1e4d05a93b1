//! Actual behaviour of a simulated worker.

use super::*;

/// Actual behaviour of a simulated worker. The scheduler doesn't know it.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Behaviour {
    /// Time that an urgent request takes on an idle worker, in milliseconds.
    pub service_ms: u64,
    /// How much batch classes slow services.
    pub slowdowns: Vec<Slowdown>,
    /// Age of the usage that is reported, in milliseconds.
    pub usage_lag_ms: u64,
}

/// How much one run of a batch class slows a service on the same worker.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Slowdown {
    /// The batch class.
    pub class: Name,
    /// Time added by each run, in thousandths of the request's own; less under a throttle.
    pub milli: u32,
    /// The service.
    pub service: Name,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self { service_ms: 5, slowdowns: Vec::new(), usage_lag_ms: 2_000 }
    }
}

impl Behaviour {
    /// Returns the time added by one run, in thousandths of the request's own.
    pub(crate) fn slowdown_milli(&self, service: &Name, class: &Name) -> u64 {
        self.slowdowns
            .iter()
            .filter(|slowdown| &slowdown.class == class && &slowdown.service == service)
            .map(|slowdown| u64::from(slowdown.milli))
            .sum()
    }
}
