//! The system that the demo runs in this process.

use super::*;

/// Workers in each availability zone.
const WORKERS_PER_ZONE: usize = 3;
/// Availability zones.
const ZONES: usize = 4;
/// How long connecting to an entry may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the entries may take to become ready, and to answer a repeated request.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two requests while waiting for an entry.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Key of the configuration in the key-value service.
const CONFIG_KEY: &str = "oleanderstage/config";
/// Name of the only urgent service.
pub const SERVICE: &str = "bulletin";

/// The system that the demo runs: entries, schedulers, and stand-ins for the platform and the
/// workers.
#[derive(Debug)]
pub struct System {
    /// Addresses at which callers reach the entries.
    pub entries: Vec<SocketAddr>,
    /// HTTP client for the entries.
    pub http: reqwest::Client,
    /// Runs and requests at all workers.
    pub ledger: standin::Ledger,
    /// Running workers, each with its name.
    pub workers: Vec<(Name, standin::Worker)>,
    folder: PathBuf,
    shutdown: CancellationToken,
    platform: standin::Platform,
    tasks: Vec<JoinHandle<Result<()>>>,
}

/// An entry's answer to an accepted job.
#[derive(Deserialize)]
struct Accepted {
    id: job::Id,
}

impl System {
    /// Starts everything, and waits until every entry is healthy.
    pub async fn start() -> Result<Self> {
        let platform = standin::Platform::start(plan::free_address()?).await.into_diagnostic()?;
        let ledger = standin::Ledger::default();
        let mut workers = Vec::new();
        let vms = vms()?;
        for vm in &vms {
            platform.vms().add(&vm.name);
            let behaviour = standin::Behaviour::default();
            let worker = standin::Worker::start_with(vm.clone(), behaviour, ledger.clone()).await;
            workers.push((vm.name.clone(), worker.into_diagnostic()?));
        }
        let plan = Plan::new(platform.address())?;
        plan.write_keys()?;
        write_config(platform.address(), vms).await?;
        let shutdown = CancellationToken::new();
        let plan::Programs { entries, tasks } = plan.start(&shutdown)?;
        let http = http::client("entries", CONNECT_TIMEOUT).into_diagnostic()?;
        let folder = plan.folder;
        let system = Self { entries, folder, http, shutdown, ledger, platform, tasks, workers };
        system.wait_ready().await?;
        Ok(system)
    }

    /// Stops a worker that runs a task of `job` and takes it off the VM list, as when a VM fails.
    /// Stops the first worker if none runs one. Returns its name.
    pub async fn fail_worker(&mut self, job: &job::Id) -> Name {
        let runs = self.ledger.record().runs;
        let busy = runs.iter().find(|run| run.end_us.is_none() && run.run.task.job == *job);
        let index = busy.and_then(|run| self.workers.iter().position(|(name, _)| *name == run.vm));
        let (name, worker) = self.workers.remove(index.unwrap_or(0));
        worker.stop().await;
        self.platform.vms().set(&name, None);
        name
    }

    /// Returns the job's status from the first entry, which is asked until it answers.
    pub async fn status(&self, job: &job::Id) -> Result<job::Status> {
        let url = format!("http://{}/jobs/{job}", self.entries[0]);
        self.poll("job's status", || async { self.http.get(&url).send().await.ok() }).await
    }

    /// Drains the entries and the schedulers, and deletes the folder with the keys.
    pub async fn stop(self) -> Result<()> {
        self.shutdown.cancel();
        for task in self.tasks {
            task.await.into_diagnostic()??;
        }
        self.platform.stop().await;
        fs::remove_dir_all(&self.folder).into_diagnostic()
    }

    /// Submits a job of `tasks` tasks, and returns its ID once the first entry has accepted it.
    pub async fn submit(&self, tasks: u32) -> Result<job::Id> {
        let spec = job::Spec {
            class: plan::name("render")?,
            payload: String::new(),
            resources: Resources { accelerators: 0, memory_mib: 512, processors_milli: 1_000 },
            run_ms: 4_000,
            tasks,
            team: plan::name("portfolio")?,
        };
        let url = format!("http://{}/jobs", self.entries[0]);
        let post = || async {
            let request = self.http.post(&url).header("idempotency-key", "demo").json(&spec);
            request.send().await.ok()
        };
        let accepted: Accepted = self.poll("accepted job", post).await?;
        Ok(accepted.id)
    }

    /// Repeats a request until an answer has a status of success and decodes; the error names what
    /// was `expected`.
    async fn poll<T: DeserializeOwned, F: Future<Output = Option<reqwest::Response>>>(
        &self,
        expected: &str,
        send: impl Fn() -> F,
    ) -> Result<T> {
        let start = Instant::now();
        let mut last_answer = "no answer".to_owned();
        while start.elapsed() < START_TIMEOUT {
            if let Some(answer) = send().await {
                let success = answer.status().is_success();
                last_answer = answer.text().await.unwrap_or_default();
                if success && let Ok(value) = serde_json::from_str(&last_answer) {
                    return Ok(value);
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        bail!(
            "no {expected} within {} s; the last answer was `{last_answer}`",
            START_TIMEOUT.as_secs()
        )
    }

    async fn wait_ready(&self) -> Result<()> {
        let start = Instant::now();
        for entry in &self.entries {
            let url = format!("http://{entry}/health");
            while !self.http.get(&url).send().await.is_ok_and(|answer| answer.status().is_success())
            {
                ensure!(
                    start.elapsed() < START_TIMEOUT,
                    "the entry at `{entry}` was not ready in time"
                );
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }
}

/// Writes the demo's configuration to the key-value service, as revision 1.
async fn write_config(platform: SocketAddr, vms: Vec<config::Vm>) -> Result<()> {
    let value = json!({ "revision": 1, "submission": "demo", "config": configuration(vms)? });
    let put =
        Operation::Put { bytes: value.to_string().into(), key: CONFIG_KEY.into(), lease: None };
    let conditions = vec![Condition::Absent { key: CONFIG_KEY.into() }];
    let client = Client::new(&format!("http://{platform}")).into_diagnostic()?;
    let commit = client.commit(&Txn { conditions, operations: vec![put] }).await;
    ensure!(commit.into_diagnostic()?.succeeded, "the key `{CONFIG_KEY}` exists already");
    Ok(())
}

fn configuration(vms: Vec<config::Vm>) -> Result<Config> {
    let quota = Resources { accelerators: 0, memory_mib: 65_536, processors_milli: 64_000 };
    let service = config::Service {
        body_limit_bytes: 1 << 20,
        caller_concurrency: 64,
        deadline_ms: 2_000,
        idempotent: true,
        name: plan::name(SERVICE)?,
        objective: config::Objective { latency_ms: 250, share: 0.99 },
        reserve: Resources { accelerators: 0, memory_mib: 1_024, processors_milli: 2_000 },
    };
    Ok(Config {
        classes: vec![config::Class { checkpoints: true, name: plan::name("render")? }],
        services: vec![service],
        teams: vec![config::Team { name: plan::name("portfolio")?, quota }],
        vms,
    })
}

fn vms() -> Result<Vec<config::Vm>> {
    let vm = |index: usize| -> Result<config::Vm> {
        Ok(config::Vm {
            address: plan::free_address()?,
            connections: 64,
            name: plan::name(&format!("worker-{index:02}"))?,
            rack: plan::name(&format!("rack-{index:02}"))?,
            resources: Resources { accelerators: 0, memory_mib: 8_192, processors_milli: 8_000 },
            services: vec![plan::name(SERVICE)?],
            slots: 8,
            zone: plan::name(&format!("zone-{}", index % ZONES))?,
        })
    };
    (0..ZONES * WORKERS_PER_ZONE).map(vm).collect()
}
