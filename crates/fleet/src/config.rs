//! The configuration in force.

use super::*;

/// What the operator declares.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// The most bytes of a submission.
    pub body_limit_bytes: usize,
    /// Every queue, with the longest prefix first.
    pub queues: Vec<Arc<Queue>>,
    /// Rises with each change.
    pub version: u64,
}

impl Config {
    /// Returns the queue that `host` and `path` address.
    pub fn queue(&self, host: &str, path: &str) -> Option<&Arc<Queue>> {
        let name = host.split(':').next().unwrap_or(host);
        self.queues.iter().find(|queue| {
            (queue.host.is_empty() || queue.host.eq_ignore_ascii_case(name))
                && path.starts_with(&queue.prefix)
        })
    }

    /// Returns the queue called `name`.
    pub fn named(&self, name: &str) -> Option<&Arc<Queue>> {
        self.queues.iter().find(|queue| queue.name == name)
    }
}
