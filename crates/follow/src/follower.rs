//! Subscription of a process to the operators' configuration.

use super::*;

/// Key of the configuration in the key-value service.
pub const KEY: &str = "oleanderstage/config";

/// Subscription of a process to the operators' configuration. Cheap to clone; all clones see the
/// same configuration.
#[derive(Clone, Debug)]
pub struct Follower {
    current: watch::Receiver<Option<Accepted>>,
}

impl Follower {
    /// Starts to follow the configuration until `stop` is cancelled. The names of this process and
    /// of the peers of `links` decide which of them read the key-value service.
    pub fn start(store: store::Client, links: Vec<Link>, stop: CancellationToken) -> Self {
        let (sender, current) = watch::channel(None);
        tokio::spawn(driver::Driver::new(store, links, sender).run(stop));
        Self { current }
    }

    /// Waits for the first configuration or the next change of the active one, and returns it.
    /// Never returns after the follower has stopped.
    pub async fn changed(&mut self) -> ActiveConfig {
        loop {
            if self.current.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
            if let Some(accepted) = self.current.borrow_and_update().as_ref() {
                return active_config(accepted);
            }
        }
    }

    /// Returns the active configuration, or `None` before the first was received.
    pub fn current(&self) -> Option<ActiveConfig> {
        self.current.borrow().as_ref().map(active_config)
    }

    /// Returns the reply to a peer's `Call::Config`: the active configuration if it is newer than
    /// `have`.
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

fn active_config(accepted: &Accepted) -> ActiveConfig {
    ActiveConfig { config: accepted.config.clone(), revision: accepted.revision }
}
