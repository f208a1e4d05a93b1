//! Connections to endpoints, in generations: a silent one takes its whole generation out.

use super::*;

/// How long dialling an endpoint may take.
pub(crate) const DIAL_LIMIT: Duration = Duration::from_millis(500);
/// An idle connection is closed after this long.
pub(crate) const IDLE_LIMIT: Duration = Duration::from_secs(5);
/// A connection whose bytes the peer does not acknowledge for this long is over.
pub(crate) const SILENCE_LIMIT: Duration = Duration::from_millis(2_000);
/// How often the peer of a quiet connection is asked for an acknowledgement.
pub(crate) const KEEP_ALIVE: Duration = Duration::from_millis(500);
/// Unacknowledged keep-alives after which a connection is over.
const KEEP_ALIVE_RETRIES: u32 = 3;

/// Connections to each VM's endpoints.
#[derive(Debug)]
pub(crate) struct Pools {
    generations: Mutex<BTreeMap<Name, Generation>>,
    tls: rustls::ClientConfig,
}

/// Connections to one VM that are trusted alike. Cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct Generation {
    pub(crate) client: reqwest::Client,
    /// Counts the generations of the VM.
    pub(crate) number: u64,
}

impl Pools {
    pub(crate) fn new() -> Result<Self, Error> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let tls = rustls::ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(|cause| Error::Client(cause.to_string()))?
            .with_root_certificates(rustls::RootCertStore::empty())
            .with_no_client_auth();
        Ok(Self { generations: Mutex::default(), tls })
    }

    /// Returns the current connections to `vm`, of which at most `connections` are kept idle.
    pub(crate) fn current(&self, vm: &Name, connections: u32) -> Result<Generation, Error> {
        let mut generations = lock(&self.generations);
        if let Some(generation) = generations.get(vm) {
            return Ok(generation.clone());
        }
        let generation = Generation { client: self.client(connections)?, number: 0 };
        generations.insert(vm.clone(), generation.clone());
        Ok(generation)
    }

    /// Forgets the connections to VMs other than `vms`.
    pub(crate) fn keep(&self, vms: &[Name]) {
        lock(&self.generations).retain(|vm, _| vms.contains(vm));
    }

    /// Takes generation `number` of `vm` out: new requests dial anew, and its requests in progress
    /// keep theirs. Returns whether it was the current one.
    pub(crate) fn retire(&self, vm: &Name, number: u64, connections: u32) -> bool {
        let mut generations = lock(&self.generations);
        let Some(generation) = generations.get_mut(vm).filter(|g| g.number == number) else {
            return false;
        };
        let Ok(client) = self.client(connections) else { return false };
        *generation = Generation { client, number: number + 1 };
        true
    }

    fn client(&self, connections: u32) -> Result<reqwest::Client, Error> {
        reqwest::Client::builder()
            .connect_timeout(DIAL_LIMIT)
            .http1_only()
            .no_proxy()
            .pool_idle_timeout(IDLE_LIMIT)
            .pool_max_idle_per_host(connections as usize)
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .tcp_keepalive(KEEP_ALIVE)
            .tcp_keepalive_interval(KEEP_ALIVE)
            .tcp_keepalive_retries(KEEP_ALIVE_RETRIES)
            .tcp_nodelay(true)
            .tcp_user_timeout(SILENCE_LIMIT)
            .tls_backend_preconfigured(self.tls.clone())
            .build()
            .map_err(|cause| Error::Client(cause.to_string()))
    }
}
