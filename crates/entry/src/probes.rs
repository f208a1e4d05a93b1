//! Latest replies of schedulers to probes.

use super::*;

/// The reply of each scheduler to its last probe; `None` if it did not answer.
#[derive(Debug, Default)]
pub(crate) struct Probes(Mutex<BTreeMap<Name, Option<wire::call::Probe>>>);

/// A scheduler in the response to `GET /status`.
#[derive(Debug, Serialize)]
pub(crate) struct Status {
    /// Whether it answered the last probe.
    heard: bool,
    leaving: bool,
    name: Name,
    /// The revision of the configuration that it applies.
    revision: Option<config::Revision>,
}

impl Probes {
    /// Records the reply of `scheduler` to a probe, or that there was none.
    pub(crate) fn record(&self, scheduler: &Name, probe: Option<wire::call::Probe>) {
        lock(&self.0).insert(scheduler.clone(), probe);
    }

    /// Returns all schedulers that were probed.
    pub(crate) fn statuses(&self) -> Vec<Status> {
        let status = |(name, probe): (&Name, &Option<wire::call::Probe>)| Status {
            heard: probe.is_some(),
            leaving: probe.as_ref().is_some_and(|probe| probe.leaving),
            name: name.clone(),
            revision: probe.as_ref().map(|probe| probe.revision),
        };
        lock(&self.0).iter().map(status).collect()
    }
}
