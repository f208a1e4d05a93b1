//! The operator's configuration.

use super::*;

/// A version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Maximum size of a submission, in bytes.
    pub body_limit_bytes: usize,
    /// All queues, longest prefix first.
    pub queues: Vec<Arc<Queue>>,
    /// The names of all services.
    pub services: BTreeSet<String>,
    /// Rises with each change.
    pub version: u64,
}

impl Config {
    /// Returns the queue that requests for `host` and `path` go to.
    pub fn queue(&self, host: &str, path: &str) -> Option<&Arc<Queue>> {
        let name = host.split(':').next().unwrap_or(host);
        self.queues.iter().find(|queue| {
            (queue.host.is_empty() || queue.host.eq_ignore_ascii_case(name))
                && path.starts_with(&queue.prefix)
        })
    }

    /// Returns the queue called `name`.
    pub fn queue_named(&self, name: &str) -> Option<&Arc<Queue>> {
        self.queues.iter().find(|queue| queue.name == name)
    }

    /// Returns whether a worker of the service may be one to use: it is declared, or a queue names it.
    pub fn names_service(&self, service: &str) -> bool {
        self.services.contains(service) || self.queues.iter().any(|queue| queue.service == service)
    }

    /// Returns the newest declaration of a job's queue, which is that of its record if this version is
    /// older or no longer has the queue.
    pub(crate) fn queue_of(&self, record: &job::Record) -> Arc<Queue> {
        let configured = self.queue_named(&record.queue);
        let version = configured.map_or(0, |queue| queue.version);
        let declared = record.declared.as_ref().filter(|declared| declared.version > version);
        match (declared, configured) {
            (Some(declared), _) => declared.clone(),
            (None, Some(configured)) => configured.clone(),
            (None, None) => Arc::new(Queue::undeclared(&record.queue)),
        }
    }
}
