//! A load balancer in front of the entries, with health checks.

use super::*;

/// Time between two health checks of an entry.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long an entry may take to answer a health check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Spreads calls in turn over the healthy entries, or over all entries when none is healthy. Cheap
/// to clone.
#[derive(Clone, Debug)]
pub struct Balancer {
    /// Keeps the health checks running.
    _checks: Arc<Checks>,
    entries: Arc<Mutex<Vec<Entry>>>,
    next: Arc<AtomicU32>,
}

/// The health checks, one task for each entry. They stop when the last clone of their balancer is
/// dropped.
#[derive(Debug)]
struct Checks(Vec<JoinHandle<()>>);

#[derive(Clone, Copy, Debug)]
struct Entry {
    address: SocketAddr,
    healthy: bool,
}

impl Balancer {
    /// Starts the health checks; entries count as healthy until the first.
    pub fn start(addresses: &[SocketAddr]) -> Result<Self, Error> {
        let http = client("entries", CHECK_TIMEOUT)?;
        let entry = |&address| Entry { address, healthy: true };
        let entries = Arc::new(Mutex::new(addresses.iter().map(entry).collect::<Vec<_>>()));
        let spawn_check =
            |index| tokio::spawn(check(http.clone(), addresses[index], index, entries.clone()));
        let checks = Arc::new(Checks((0..addresses.len()).map(spawn_check).collect()));
        Ok(Self { _checks: checks, entries, next: Arc::default() })
    }

    /// Returns the address of the entry for the next call.
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
        let request = http.get(format!("http://{address}/health")).timeout(CHECK_TIMEOUT);
        let healthy = request.send().await.is_ok_and(|response| response.status().is_success());
        lock(&entries)[index].healthy = healthy;
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}
