//! The VM list, which lags.

use super::*;

/// How late a change shows unless told otherwise.
pub const DEFAULT_LAG: Duration = Duration::from_millis(1_000);

/// The VM list. Cheap to clone; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Vms(Arc<Mutex<Inner>>);

#[derive(Debug)]
struct Inner {
    /// Changes in the order made; the state is `None` once the VM is gone.
    changes: Vec<(Instant, Name, Option<State>)>,
    lag: Duration,
}

impl Default for Inner {
    fn default() -> Self {
        Self { changes: Vec::new(), lag: DEFAULT_LAG }
    }
}

impl Vms {
    /// Puts the VM on the list at once, as live.
    pub fn add(&self, name: &Name) {
        let mut inner = lock(&self.0);
        let shown = Instant::now();
        inner.changes.push((shown, name.clone(), Some(State::Live)));
    }

    /// Returns the list as it shows now.
    pub fn list(&self) -> Vec<Vm> {
        let now = Instant::now();
        let mut shown = BTreeMap::new();
        for (from, name, state) in &lock(&self.0).changes {
            if *from <= now {
                shown.insert(name.clone(), *state);
            }
        }
        let vm = |(name, state): (Name, Option<State>)| state.map(|state| Vm { name, state });
        shown.into_iter().filter_map(vm).collect()
    }

    /// Changes the VM's state, or takes it off the list with `None`; it shows after the lag.
    pub fn set(&self, name: &Name, state: Option<State>) {
        let mut inner = lock(&self.0);
        let shown = Instant::now() + inner.lag;
        inner.changes.push((shown, name.clone(), state));
    }

    /// Sets how late changes show from now on.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.0).lag = lag;
    }
}
