//! The VM list, in which changes show after a lag.

use super::*;

/// Default lag after which a change shows.
pub const DEFAULT_LAG: Duration = Duration::from_millis(1_000);

/// The VM list. Cheap to clone; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Vms(Arc<Mutex<Inner>>);

#[derive(Debug)]
struct Inner {
    /// Changes in the order made, each with the time from which it shows. The state is `None` once
    /// the VM is gone.
    changes: Vec<(Instant, Name, Option<State>)>,
    lag: Duration,
}

impl Default for Inner {
    fn default() -> Self {
        Self { changes: Vec::new(), lag: DEFAULT_LAG }
    }
}

impl Vms {
    /// Adds the VM to the list as live, without the lag.
    pub fn add(&self, name: &Name) {
        let mut inner = lock(&self.0);
        let visible_from = Instant::now();
        inner.changes.push((visible_from, name.clone(), Some(State::Live)));
    }

    /// Returns the list with the changes that show by now.
    pub fn list(&self) -> Vec<Vm> {
        let now = Instant::now();
        let mut states = BTreeMap::new();
        for (visible_from, name, state) in &lock(&self.0).changes {
            if *visible_from <= now {
                states.insert(name.clone(), *state);
            }
        }
        let vm = |(name, state): (Name, Option<State>)| state.map(|state| Vm { name, state });
        states.into_iter().filter_map(vm).collect()
    }

    /// Sets the VM's state, or removes the VM with `None`; the change shows after the lag.
    pub fn set(&self, name: &Name, state: Option<State>) {
        let mut inner = lock(&self.0);
        let visible_from = Instant::now() + inner.lag;
        inner.changes.push((visible_from, name.clone(), state));
    }

    /// Sets the lag of changes that are made from now on.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.0).lag = lag;
    }
}
