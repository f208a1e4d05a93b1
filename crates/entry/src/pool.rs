//! Connections to endpoints, in generations: when one connection is silent, its whole generation is
//! retired.

use super::*;

/// Timeout of connecting to an endpoint.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an idle connection is closed.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a connection is closed if the peer has not acknowledged the bytes sent. Also the
/// lowest timeout for the start of a response.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Interval of TCP keep-alive probes on an idle connection.
pub(crate) const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Unacknowledged keep-alive probes after which a connection is closed.
const KEEP_ALIVE_RETRIES: u32 = 3;

/// Connections to the endpoints of all VMs.
#[derive(Debug)]
pub(crate) struct Pools {
    generations: Mutex<BTreeMap<Name, Generation>>,
    tls: rustls::ClientConfig,
}

/// A generation of connections to one VM, which are retired together. Cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct Generation {
    pub(crate) client: reqwest::Client,
    /// Number of the generation, from 0 for each VM.
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

    /// Returns the current generation of `vm`; a new one keeps at most `max_idle` connections
    /// idle.
    pub(crate) fn current(&self, vm: &Name, max_idle: u32) -> Result<Generation, Error> {
        let mut generations = lock(&self.generations);
        if let Some(generation) = generations.get(vm) {
            return Ok(generation.clone());
        }
        let generation = Generation { client: self.client(max_idle)?, number: 0 };
        generations.insert(vm.clone(), generation.clone());
        Ok(generation)
    }

    /// Removes the generations of VMs that are not in `vms`.
    pub(crate) fn retain(&self, vms: &[Name]) {
        lock(&self.generations).retain(|vm, _| vms.contains(vm));
    }

    /// Replaces generation `number` of `vm`: new requests open new connections, and its requests in
    /// progress keep theirs. Returns whether it was replaced: not if it is not the current one, or
    /// if the new client can't be built.
    pub(crate) fn retire(&self, vm: &Name, number: u64, max_idle: u32) -> bool {
        let mut generations = lock(&self.generations);
        let Some(generation) = generations.get_mut(vm).filter(|g| g.number == number) else {
            return false;
        };
        let Ok(client) = self.client(max_idle) else { return false };
        *generation = Generation { client, number: number + 1 };
        true
    }

    fn client(&self, max_idle: u32) -> Result<reqwest::Client, Error> {
        reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .http1_only()
            .no_proxy()
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(max_idle as usize)
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .tcp_keepalive(KEEP_ALIVE_INTERVAL)
            .tcp_keepalive_interval(KEEP_ALIVE_INTERVAL)
            .tcp_keepalive_retries(KEEP_ALIVE_RETRIES)
            .tcp_nodelay(true)
            .tcp_user_timeout(SILENCE_TIMEOUT)
            .tls_backend_preconfigured(self.tls.clone())
            .build()
            .map_err(|cause| Error::Client(cause.to_string()))
    }
}
