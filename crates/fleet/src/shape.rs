//! Workers that can hold the same tasks, but for labels.

use super::*;

/// The workers of a service that have the same resources.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Shape {
    /// The resources of each worker.
    capacity: Resources,
    /// The number of workers with each label.
    labels: BTreeMap<String, u32>,
    /// The service that the workers belong to.
    service: String,
    /// The number of workers; at least one.
    workers: u32,
}

impl Shape {
    /// Returns the shape of one worker.
    pub(crate) fn new(entry: &Registration) -> Self {
        let labels = entry.labels.iter().map(|label| (label.clone(), 1)).collect();
        let service = entry.service.clone();
        Self { capacity: entry.capacity, labels, service, workers: 1 }
    }

    /// Adds the workers of another shape if they have the same service and resources. Returns whether they do.
    pub(crate) fn merge(&mut self, other: &Self) -> bool {
        if self.service != other.service || self.capacity != other.capacity {
            return false;
        }
        self.workers += other.workers;
        for (label, workers) in &other.labels {
            *self.labels.entry(label.clone()).or_default() += workers;
        }
        true
    }

    /// Returns how many tasks of a step the workers can hold at the same time; 0 if they belong to another
    /// service.
    pub(crate) fn slots(&self, service: &str, step: &Step) -> u64 {
        if self.service != service {
            return 0;
        }
        let workers = match &step.label {
            Some(label) => self.labels.get(label).copied().unwrap_or(0),
            None => self.workers,
        };
        let per_worker = match step.per_worker {
            0 => u64::MAX,
            limit => limit.into(),
        };
        let slots = step.reserved().times_in(&self.capacity).min(per_worker);
        slots.saturating_mul(workers.into())
    }
}
