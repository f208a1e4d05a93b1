//! Everything that the demo runs, in one process.

use super::*;

/// Workers in each availability zone.
const WORKERS_PER_ZONE: usize = 3;
/// Availability zones.
const ZONES: usize = 4;
/// How long dialling an entry may take.
const DIAL_LIMIT: Duration = Duration::from_secs(2);
/// How long starting may take.
const START_LIMIT: Duration = Duration::from_secs(30);
/// Time between two looks at whether something is ready.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Key of the configuration in the key-value service.
const KEY: &str = "oleanderstage/config";
/// The only urgent service.
pub const SERVICE: &str = "bulletin";

/// Everything that the demo runs: stand-ins of the platform and of workers, entries and schedulers.
#[derive(Debug)]
pub struct Stage {
    /// Where callers reach the entries.
    pub entries: Vec<SocketAddr>,
    /// For calls to entries.
    pub http: reqwest::Client,
    /// What the workers really ran.
    pub ledger: standin::Ledger,
    /// The workers, each with its name.
    pub workers: Vec<(Name, standin::Worker)>,
    folder: PathBuf,
    leave: CancellationToken,
    platform: standin::Platform,
    programs: Vec<JoinHandle<Result<()>>>,
}

/// What an entry answers to an accepted job.
#[derive(Deserialize)]
struct Accepted {
    id: job::Id,
}

impl Stage {
    /// Starts everything, and waits until the entries serve.
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
        configure(platform.address(), vms).await?;
        let leave = CancellationToken::new();
        let plan::Started { entries, programs } = plan.start(&leave)?;
        let http = http::client("entries", DIAL_LIMIT).into_diagnostic()?;
        let folder = plan.folder;
        let stage = Self { entries, folder, http, leave, ledger, platform, programs, workers };
        stage.wait_ready().await?;
        Ok(stage)
    }

    /// Ends a worker that runs tasks of `job` as a failed VM does, and returns its name.
    pub async fn lose_worker(&mut self, job: &job::Id) -> Name {
        let runs = self.ledger.record().runs;
        let busy = runs.iter().find(|run| run.end_us.is_none() && run.run.task.job == *job);
        let at = busy.and_then(|run| self.workers.iter().position(|(name, _)| *name == run.vm));
        let (name, worker) = self.workers.remove(at.unwrap_or(0));
        worker.stop().await;
        self.platform.vms().set(&name, None);
        name
    }

    /// Returns where the job stands, from any entry.
    pub async fn status(&self, job: &job::Id) -> Result<job::Status> {
        let url = format!("http://{}/jobs/{job}", self.entries[0]);
        self.until("job's status", || async { self.http.get(&url).send().await.ok() }).await
    }

    /// Drains the entries and the schedulers, and removes the keys.
    pub async fn stop(self) -> Result<()> {
        self.leave.cancel();
        for program in self.programs {
            program.await.into_diagnostic()??;
        }
        self.platform.stop().await;
        fs::remove_dir_all(&self.folder).into_diagnostic()
    }

    /// Submits a job of `tasks` tasks, and returns its name once an entry has accepted it.
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
        let accepted: Accepted = self.until("accepted job", post).await?;
        Ok(accepted.id)
    }

    /// Asks until an answer of success decodes.
    async fn until<T: DeserializeOwned, F: Future<Output = Option<reqwest::Response>>>(
        &self,
        what: &str,
        ask: impl Fn() -> F,
    ) -> Result<T> {
        let start = Instant::now();
        let mut last = "no answer".to_owned();
        while start.elapsed() < START_LIMIT {
            if let Some(answer) = ask().await {
                let success = answer.status().is_success();
                last = answer.text().await.unwrap_or_default();
                if success && let Ok(value) = serde_json::from_str(&last) {
                    return Ok(value);
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        bail!("no {what} within {} s; the last answer was `{last}`", START_LIMIT.as_secs())
    }

    async fn wait_ready(&self) -> Result<()> {
        let start = Instant::now();
        for entry in &self.entries {
            let url = format!("http://{entry}/health");
            while !self.http.get(&url).send().await.is_ok_and(|answer| answer.status().is_success())
            {
                ensure!(start.elapsed() < START_LIMIT, "entry at `{entry}` does not get ready");
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }
}

/// Puts the demo's configuration in force.
async fn configure(platform: SocketAddr, vms: Vec<config::Vm>) -> Result<()> {
    let value = json!({ "revision": 1, "submission": "demo", "config": configuration(vms)? });
    let put = Operation::Put { bytes: value.to_string().into(), key: KEY.into(), lease: None };
    let conditions = vec![Condition::Absent { key: KEY.into() }];
    let client = Client::new(&format!("http://{platform}")).into_diagnostic()?;
    let commit = client.commit(&Txn { conditions, operations: vec![put] }).await;
    ensure!(commit.into_diagnostic()?.succeeded, "`{KEY}` is there already");
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
