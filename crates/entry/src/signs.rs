//! What schedulers said in their last signs of life.

use super::*;

/// What each scheduler said in its last sign of life; nothing when it did not answer.
#[derive(Debug, Default)]
pub(crate) struct Signs(Mutex<BTreeMap<Name, Option<wire::call::Probe>>>);

/// A scheduler as `GET /status` shows it.
#[derive(Debug, Serialize)]
pub(crate) struct Page {
    /// Whether it answered the last probe.
    heard: bool,
    leaving: bool,
    name: Name,
    /// The revision in force there.
    revision: Option<config::Revision>,
}

impl Signs {
    /// Takes the answer of `scheduler` to a probe, if there was one.
    pub(crate) fn learn(&self, scheduler: &Name, sign: Option<wire::call::Probe>) {
        lock(&self.0).insert(scheduler.clone(), sign);
    }

    /// Returns every scheduler that was probed.
    pub(crate) fn pages(&self) -> Vec<Page> {
        let page = |(name, sign): (&Name, &Option<wire::call::Probe>)| Page {
            heard: sign.is_some(),
            leaving: sign.as_ref().is_some_and(|sign| sign.leaving),
            name: name.clone(),
            revision: sign.as_ref().map(|sign| sign.revision),
        };
        lock(&self.0).iter().map(page).collect()
    }
}
