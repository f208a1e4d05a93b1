//! A balancer in front of the entries, which goes by their health.

use super::*;

/// How often each entry is asked for its health.
pub const INTERVAL: Duration = Duration::from_millis(50);
/// How long an entry may take to tell its health.
const LIMIT: Duration = Duration::from_millis(1_000);

/// Spreads calls over the entries that say they are healthy, or over all when none does. Cheap to
/// clone.
#[derive(Clone, Debug)]
pub struct Balancer {
    /// Held so that the checks go on.
    _checks: Arc<Checks>,
    entries: Arc<Mutex<Vec<Entry>>>,
    next: Arc<AtomicU32>,
}

/// The health checks, which end with the last clone of their balancer.
#[derive(Debug)]
struct Checks(Vec<JoinHandle<()>>);

#[derive(Clone, Copy, Debug)]
struct Entry {
    address: SocketAddr,
    healthy: bool,
}

impl Balancer {
    /// Starts to check the entries.
    pub fn start(addresses: &[SocketAddr]) -> Result<Self, Error> {
        let http = client("entries", LIMIT)?;
        let entry = |&address| Entry { address, healthy: true };
        let entries = Arc::new(Mutex::new(addresses.iter().map(entry).collect::<Vec<_>>()));
        let check =
            |index| tokio::spawn(check(http.clone(), addresses[index], index, entries.clone()));
        let checks = Arc::new(Checks((0..addresses.len()).map(check).collect()));
        Ok(Self { _checks: checks, entries, next: Arc::default() })
    }

    /// Returns the entry that the next call goes to.
    pub fn pick(&self) -> SocketAddr {
        let entries = lock(&self.entries);
        let healthy: Vec<_> = entries.iter().filter(|entry| entry.healthy).collect();
        let next = self.next.fetch_add(1, Ordering::Relaxed) as usize;
        match healthy.as_slice() {
            [] => entries[next % entries.len()].address,
            healthy => healthy[next % healthy.len()].address,
        }
    }
}

impl Drop for Checks {
    fn drop(&mut self) {
        self.0.iter().for_each(JoinHandle::abort);
    }
}

async fn check(
    http: reqwest::Client,
    address: SocketAddr,
    index: usize,
    entries: Arc<Mutex<Vec<Entry>>>,
) {
    loop {
        let request = http.get(format!("http://{address}/health")).timeout(LIMIT);
        let healthy = request.send().await.is_ok_and(|response| response.status().is_success());
        lock(&entries)[index].healthy = healthy;
        tokio::time::sleep(INTERVAL).await;
    }
}
