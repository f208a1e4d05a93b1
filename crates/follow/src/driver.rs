//! Runs a `follow::Machine` with a clock, the key-value service and peers.

use super::*;

/// Timeout of one read of the key-value service.
const READ_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Capacity of the queue of events for the machine. Each peer and the key-value service have at
/// most one call in progress.
const EVENT_QUEUE_CAPACITY: usize = 64;

/// Runs one machine.
pub(crate) struct Driver {
    current: watch::Sender<Option<Accepted>>,
    events: mpsc::Receiver<Event>,
    links: Vec<Link>,
    machine: Machine,
    /// Modification revision, in the key-value service, of the value read last.
    last_modified: Arc<AtomicI64>,
    /// Zero of the machine's clock.
    origin: tokio::time::Instant,
    sender: mpsc::Sender<Event>,
    store: store::Client,
}

impl Driver {
    pub(crate) fn new(
        store: store::Client,
        links: Vec<Link>,
        current: watch::Sender<Option<Accepted>>,
    ) -> Self {
        let (sender, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let peers: Vec<_> = links.iter().map(|link| link.peer.clone()).collect();
        let machine = match links.first() {
            Some(link) => Machine::new(&link.local, &peers),
            None => Machine::without_peers(),
        };
        let origin = tokio::time::Instant::now();
        let last_modified = Arc::default();
        Self { current, events, links, machine, last_modified, origin, sender, store }
    }

    pub(crate) async fn run(mut self, stop: CancellationToken) {
        let mut ticks = tokio::time::interval(PERIOD);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let event = tokio::select! {
                () = stop.cancelled() => return,
                _ = ticks.tick() => Event::Tick,
                Some(event) = self.events.recv() => event,
            };
            let now = Instant(self.origin.elapsed().as_micros() as u64);
            for action in self.machine.handle(now, event) {
                self.execute(action);
            }
        }
    }

    fn execute(&self, action: Action) {
        match action {
            Action::Apply(accepted) => self.apply(accepted),
            Action::Ask(peer) => {
                let Some(link) = self.links.iter().find(|link| link.peer == peer) else { return };
                let have = self.machine.current().map_or(Revision(0), |current| current.revision);
                tokio::spawn(ask_peer(link.clone(), have, self.sender.clone()));
            }
            Action::Read => {
                let (store, last_modified) = (self.store.clone(), self.last_modified.clone());
                tokio::spawn(read_store(store, last_modified, self.sender.clone()));
            }
            Action::Refuse(refusal) => log_refusal(&refusal),
        }
    }

    fn apply(&self, accepted: Accepted) {
        let revision = accepted.revision.0;
        let submission = accepted.submission.as_str();
        log::info!(revision = revision, submission = submission; "config_in_force");
        self.current.send_replace(Some(accepted));
    }
}

async fn ask_peer(link: Link, have: Revision, events: mpsc::Sender<Event>) {
    let answer = match link.call(&Call::Config { have }, CALL_TIMEOUT).await {
        Ok(Reply::Config { text, .. }) => match serde_json::from_str(&text) {
            Ok(accepted) => Answer::Newer(accepted),
            Err(error) => {
                let (peer, error) = (link.peer.as_str(), error.to_string());
                log::warn!(peer = peer, error = error; "config_unreadable");
                Answer::Failed
            }
        },
        Ok(_) => Answer::Nothing,
        Err(_) => Answer::Failed,
    };
    let _ = events.send(Event::Answer { answer, peer: link.peer }).await;
}

async fn read_store(
    store: store::Client,
    last_modified: Arc<AtomicI64>,
    events: mpsc::Sender<Event>,
) {
    let reading = tokio::time::timeout(READ_TIMEOUT, read_config(&store, &last_modified)).await;
    let _ = events.send(Event::Reading(reading.unwrap_or(Reading::Failed))).await;
}

/// Reads the configuration if it has changed since it was read last.
async fn read_config(store: &store::Client, last_modified: &AtomicI64) -> Reading {
    match read_if_changed(store, last_modified).await {
        Ok(None) => Reading::Nothing,
        Ok(Some(value)) => match serde_json::from_slice(&value.bytes) {
            Ok(accepted) => Reading::Found(accepted),
            Err(error) => {
                log::error!(key = follower::KEY, error = error.to_string(); "config_unreadable");
                Reading::Failed
            }
        },
        Err(error) => {
            log::debug!(error = error.to_string(); "config_not_read");
            Reading::Failed
        }
    }
}

/// Returns the value if it has changed since it was read last. Fetches its revision first, so that
/// an unchanged value is not transferred.
async fn read_if_changed(
    store: &store::Client,
    last_modified: &AtomicI64,
) -> Result<Option<store::Value>, store::Error> {
    let modified = store.modified(follower::KEY).await?;
    if modified.is_none_or(|modified| modified == last_modified.load(Ordering::Relaxed)) {
        return Ok(None);
    }
    let value = store.get(follower::KEY).await?;
    if let Some(value) = &value {
        last_modified.store(value.modified, Ordering::Relaxed);
    }
    Ok(value)
}

fn log_refusal(refusal: &Refusal) {
    match refusal {
        Refusal::Conflict { ours, revision, theirs } => {
            let revision = revision.0;
            log::error!(ours = ours, revision = revision, theirs = theirs; "config_conflict");
        }
        Refusal::Older { ours, theirs } => {
            log::warn!(ours = ours.0, theirs = theirs.0; "config_older_refused");
        }
    }
}
