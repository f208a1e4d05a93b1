//! The configuration that a process follows.

use super::*;

/// Key of the configuration in the key-value service.
pub const KEY: &str = "oleanderstage/config";

/// The configuration that a process follows. Cheap to clone; every clone sees the same.
#[derive(Clone, Debug)]
pub struct Follower {
    current: watch::Receiver<Option<Accepted>>,
}

impl Follower {
    /// Starts following until `leave`. The process is ranked among the peers of `links`.
    pub fn start(store: store::Client, links: Vec<Link>, leave: CancellationToken) -> Self {
        let (sender, current) = watch::channel(None);
        tokio::spawn(task::Task::new(store, links, sender).run(leave));
        Self { current }
    }

    /// Waits for the next configuration, or for the first. Never returns once following is over.
    pub async fn changed(&mut self) -> InForce {
        loop {
            if self.current.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
            if let Some(accepted) = self.current.borrow_and_update().as_ref() {
                return in_force(accepted);
            }
        }
    }

    /// Returns what is in force, or nothing when none was learned yet.
    pub fn current(&self) -> Option<InForce> {
        self.current.borrow().as_ref().map(in_force)
    }

    /// Answers a peer's `Call::Config`.
    pub fn reply(&self, have: Revision) -> Reply {
        let current = self.current.borrow();
        let Some(accepted) = current.as_ref().filter(|accepted| accepted.revision > have) else {
            return Reply::Done;
        };
        match serde_json::to_string(accepted) {
            Ok(text) => Reply::Config { revision: accepted.revision, text },
            Err(_) => Reply::Done,
        }
    }
}

fn in_force(accepted: &Accepted) -> InForce {
    InForce { config: accepted.config.clone(), revision: accepted.revision }
}
