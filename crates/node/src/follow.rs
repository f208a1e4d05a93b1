//! Follows the items under a prefix of the store: read whole, then watched.

use super::*;

/// A follower of a prefix.
pub(crate) struct Follow {
    node: Rc<Node>,
    /// Least time between watches: one that returns often would cost a call a change.
    pub(crate) pause: Duration,
    prefix: String,
    /// The revision up to which changes are known; `None` before the first read.
    revision: Option<u64>,
}

/// What a follower saw.
pub(crate) enum Seen {
    /// All items.
    All(Vec<Item>),
    /// Changes, in their order.
    Changes(Vec<Item>),
}

/// How long a watch waits; a silent connection is found after that.
const WAIT: Duration = Duration::from_millis(1_000);
/// Before a failed call is repeated.
const AGAIN: Duration = Duration::from_millis(100);

impl Follow {
    pub(crate) fn new(node: Rc<Node>, prefix: impl Into<String>, pause: Duration) -> Self {
        Self { node, pause, prefix: prefix.into(), revision: None }
    }

    /// Follows on from a revision.
    pub(crate) fn from(mut self, revision: u64) -> Self {
        self.revision = Some(revision);
        self
    }

    /// Returns the next thing seen, as soon as there is one.
    pub(crate) async fn next(&mut self) -> Seen {
        loop {
            let Some(revision) = self.revision else {
                match self.node.store.all(&self.prefix).await {
                    Ok(page) => {
                        self.node.heard();
                        self.revision = Some(page.revision);
                        return Seen::All(page.items);
                    }
                    Err(error) => self.failed(&error).await,
                }
                continue;
            };
            // A VM that comes to own a cell needs what it follows at once.
            let _ = tokio::time::timeout(self.pause, self.node.owning.notified()).await;
            match self.node.store.watch(&self.prefix, revision, WAIT).await {
                Ok(page) => {
                    self.node.heard();
                    self.revision = Some(revision.max(page.revision));
                    if !page.items.is_empty() {
                        return Seen::Changes(page.items);
                    }
                }
                Err(store::Error::Compacted) => {
                    log::info!(prefix = self.prefix, revision; "history_gone");
                    self.revision = None;
                }
                Err(error) => self.failed(&error).await,
            }
        }
    }

    async fn failed(&self, error: &store::Error) {
        self.node.store_failed(&self.prefix, error);
        sleep(AGAIN).await;
    }
}
