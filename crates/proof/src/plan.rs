//! Parameters of a fleet.

use super::*;

/// Parameters of a fleet, before it starts.
#[derive(Clone, Debug)]
pub struct Plan {
    pub(crate) behaviour: Behaviour,
    pub(crate) directory: PathBuf,
    pub(crate) entries: u16,
    pub(crate) program: PathBuf,
    pub(crate) schedulers: u16,
    pub(crate) workers: u16,
}

impl Plan {
    /// Starts the fleet.
    pub async fn start(self) -> Result<Fleet, Error> {
        Fleet::start(self).await
    }

    /// Sets the number of entries.
    pub fn entries(self, entries: u16) -> Self {
        Self { entries, ..self }
    }

    /// Returns a plan of one entry, one scheduler and two workers. `program` is the binary
    /// `oleanderstage-proof`; settings and logs go to the directory `test` in `directory`.
    pub fn new(program: &str, directory: &str, test: &str) -> Self {
        Self {
            behaviour: Behaviour::default(),
            directory: Path::new(directory).join(test),
            entries: 1,
            program: program.into(),
            schedulers: 1,
            workers: 2,
        }
    }

    /// Sets the number of schedulers.
    pub fn schedulers(self, schedulers: u16) -> Self {
        Self { schedulers, ..self }
    }

    /// Sets the number of workers.
    pub fn workers(self, workers: u16) -> Self {
        Self { workers, ..self }
    }

    /// Returns the configuration: an idempotent service `bulletin` and a service `publish` that is
    /// not, both on every worker, a batch class and a team. `address` returns a worker's address by
    /// its index.
    pub(crate) fn config(&self, address: impl Fn(u16) -> SocketAddr) -> Config {
        let service = |text: &str, idempotent| config::Service {
            body_limit_bytes: 1 << 20,
            caller_concurrency: 1_000,
            deadline_ms: 10_000,
            idempotent,
            name: name(text),
            objective: config::Objective { latency_ms: 500, share: 0.99 },
            reserve: resources(500),
        };
        Config {
            classes: vec![config::Class { checkpoints: true, name: name("render") }],
            services: vec![service("bulletin", true), service("publish", false)],
            teams: vec![config::Team { name: name("news"), quota: resources(1_000_000) }],
            vms: (0..self.workers).map(|index| vm(index, address(index))).collect(),
        }
    }
}

/// Returns the checked name; panics if it is not valid.
pub(crate) fn name(text: &str) -> Name {
    Name::try_from(text).expect("names in the tests are valid")
}

pub(crate) fn resources(processors_milli: u64) -> Resources {
    Resources { accelerators: 0, memory_mib: processors_milli * 4, processors_milli }
}

pub(crate) fn vm(index: u16, address: SocketAddr) -> config::Vm {
    config::Vm {
        address,
        connections: 64,
        name: name(&format!("worker-{index}")),
        rack: name("rack-1"),
        resources: resources(8_000),
        services: vec![name("bulletin"), name("publish")],
        slots: 8,
        zone: name("zone-1"),
    }
}
