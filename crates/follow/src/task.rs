//! Drives `follow::Machine` with a clock, the key-value service and peers.

use super::*;

/// How long one read of the key-value service may take.
const READ_LIMIT: Duration = Duration::from_millis(2_000);

/// Events that wait for the machine; each peer and the service have one call out at most.
const EVENTS: usize = 64;

/// Drives one machine.
pub(crate) struct Task {
    current: watch::Sender<Option<Accepted>>,
    events: mpsc::Receiver<Event>,
    links: Vec<Link>,
    machine: Machine,
    /// The value read last, by the service's own count of changes.
    modified: Arc<AtomicI64>,
    origin: tokio::time::Instant,
    sender: mpsc::Sender<Event>,
    store: store::Client,
}

impl Task {
    pub(crate) fn new(
        store: store::Client,
        links: Vec<Link>,
        current: watch::Sender<Option<Accepted>>,
    ) -> Self {
        let (sender, events) = mpsc::channel(EVENTS);
        let peers: Vec<_> = links.iter().map(|link| link.peer.clone()).collect();
        let machine = match links.first() {
            Some(link) => Machine::new(&link.local, &peers),
            None => Machine::without_peers(),
        };
        let origin = tokio::time::Instant::now();
        let modified = Arc::default();
        Self { current, events, links, machine, modified, origin, sender, store }
    }

    pub(crate) async fn run(mut self, leave: CancellationToken) {
        let mut ticks = tokio::time::interval(PERIOD);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let event = tokio::select! {
                () = leave.cancelled() => return,
                _ = ticks.tick() => Event::Tick,
                Some(event) = self.events.recv() => event,
            };
            let now = Instant(self.origin.elapsed().as_micros() as u64);
            for action in self.machine.handle(now, event) {
                self.act(action);
            }
        }
    }

    fn act(&self, action: Action) {
        match action {
            Action::Apply(accepted) => self.apply(accepted),
            Action::Ask(peer) => {
                let Some(link) = self.links.iter().find(|link| link.peer == peer) else { return };
                let have = self.machine.current().map_or(Revision(0), |current| current.revision);
                tokio::spawn(ask(link.clone(), have, self.sender.clone()));
            }
            Action::Read => {
                let (store, modified) = (self.store.clone(), self.modified.clone());
                tokio::spawn(read(store, modified, self.sender.clone()));
            }
            Action::Refuse(refusal) => refuse(&refusal),
        }
    }

    fn apply(&self, accepted: Accepted) {
        let revision = accepted.revision.0;
        let submission = accepted.submission.as_str();
        log::info!(revision = revision, submission = submission; "config_in_force");
        self.current.send_replace(Some(accepted));
    }
}

async fn ask(link: Link, have: Revision, events: mpsc::Sender<Event>) {
    let answer = match link.call(&Call::Config { have }, CALL_LIMIT).await {
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

async fn read(store: store::Client, modified: Arc<AtomicI64>, events: mpsc::Sender<Event>) {
    let reading = tokio::time::timeout(READ_LIMIT, fetch(&store, &modified)).await;
    let _ = events.send(Event::Reading(reading.unwrap_or(Reading::Failed))).await;
}

/// Reads the value, unless it is still the one read last, which is found out without its bytes.
async fn fetch(store: &store::Client, modified: &AtomicI64) -> Reading {
    match look(store, modified).await {
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

/// Returns the value if it is not the one read last.
async fn look(
    store: &store::Client,
    modified: &AtomicI64,
) -> Result<Option<store::Value>, store::Error> {
    let last = store.modified(follower::KEY).await?;
    if last.is_none_or(|last| last == modified.load(Ordering::Relaxed)) {
        return Ok(None);
    }
    let value = store.get(follower::KEY).await?;
    if let Some(value) = &value {
        modified.store(value.modified, Ordering::Relaxed);
    }
    Ok(value)
}

fn refuse(refusal: &Refusal) {
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
