//! Counts the workers that may run a task, whatever else they hold, for the decision log.

use {super::*, placement::Criteria};

/// Workers that may run a task.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Census {
    /// Those that get new runs.
    pub(crate) usable: usize,
    /// Those of them with room for the task.
    pub(crate) fitting: usize,
}

impl Census {
    /// Counts the workers for a task.
    pub(crate) fn of(workers: &BTreeMap<Arc<str>, Worker>, criteria: &Criteria) -> Self {
        let step = criteria.step;
        let is_usable = |worker: &&Worker| {
            worker.is_usable(criteria.now) && worker.is_for(criteria.service, step)
        };
        let fits = |worker: &&Worker| step.reserved().fits(&worker.unreserved());
        let usable = || workers.values().filter(is_usable);
        Self { usable: usable().count(), fitting: usable().filter(fits).count() }
    }
}
