//! Batch jobs on real schedulers, with stand-ins for the platform and the workers.

#![allow(clippy::unwrap_used)]

use {
    oleanderstage_core::{Config, Name, Resources, cell, config, job},
    oleanderstage_platform::store,
    oleanderstage_scheduler::serve,
    oleanderstage_settings as settings,
    oleanderstage_standin::{Behaviour, Ledger, Platform, Worker},
    oleanderstage_wire::{Call, Identity, Link, Listener, Reply, call, keys, reply::Refusal},
    std::{fs, net::SocketAddr, path::PathBuf, time::Duration},
    tokio::task::JoinHandle,
    tokio_util::sync::CancellationToken,
};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

struct Scheduler {
    leave: CancellationToken,
    link: Link,
    run: JoinHandle<Result<(), oleanderstage_scheduler::Error>>,
}

struct Cluster {
    ledger: Ledger,
    platform: Platform,
    schedulers: Vec<Scheduler>,
    workers: Vec<Worker>,
}

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn resources(processors: u64) -> Resources {
    Resources {
        accelerators: 0,
        memory_mib: processors * 1_024,
        processors_milli: processors * 1_000,
    }
}

fn job(serial: u128, tasks: u32, run_ms: u64) -> (job::Id, job::Spec) {
    let cell = cell::Id { index: 0, zone: name("kigali-1") };
    let spec = job::Spec {
        class: name("render"),
        payload: String::new(),
        resources: Resources { memory_mib: 256, ..resources(1) },
        run_ms,
        tasks,
        team: name("news"),
    };
    (job::Id { cell, serial }, spec)
}

fn tls(folder: &str, set: &keys::Set, index: usize, own: &str) -> settings::Tls {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(folder);
    fs::create_dir_all(&folder).unwrap();
    let path = |suffix: &str| folder.join(format!("{own}-{suffix}.pem"));
    fs::write(path("ca"), &set.authority).unwrap();
    fs::write(path("cert"), &set.pairs[index].certificate).unwrap();
    fs::write(path("key"), &set.pairs[index].key).unwrap();
    settings::Tls { authority: path("ca"), certificate: path("cert"), key: path("key") }
}

fn free_address() -> SocketAddr {
    std::net::UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

impl Cluster {
    async fn start(folder: &str, schedulers: usize, workers: usize) -> Self {
        let platform = Platform::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let mut cluster = Self {
            ledger: Ledger::default(),
            platform,
            schedulers: Vec::new(),
            workers: Vec::new(),
        };
        let vms = cluster.start_workers(workers).await;
        cluster.configure(vms).await;
        cluster.start_schedulers(folder, schedulers);
        cluster
    }

    /// Calls every scheduler in turn until one replies other than that it is leaving or does not
    /// own the cell.
    async fn call(&self, call: &Call) -> Reply {
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            for scheduler in &self.schedulers {
                match scheduler.link.call(call, CALL_TIMEOUT).await {
                    Ok(Reply::Refused { reason: Refusal::NotOwner | Refusal::Leaving, .. }) => (),
                    Ok(reply) => return reply,
                    Err(_) => (),
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("no scheduler accepted {call:?} within {WAIT_TIMEOUT:?}");
    }

    async fn configure(&self, vms: Vec<config::Vm>) {
        let config = Config {
            classes: vec![config::Class { checkpoints: true, name: name("render") }],
            teams: vec![config::Team { name: name("news"), quota: resources(1_000_000) }],
            vms,
            ..Config::default()
        };
        let accepted = config::Accepted {
            by: "test".into(),
            config: config.into(),
            past: Default::default(),
            revision: config::Revision(1),
            submission: "first".into(),
        };
        let put = store::Operation::Put {
            bytes: serde_json::to_vec(&accepted).unwrap(),
            key: "oleanderstage/config".into(),
            lease: None,
        };
        let txn = store::Txn { conditions: Vec::new(), operations: vec![put] };
        let client = store::Client::new(&format!("http://{}", self.platform.address())).unwrap();
        assert!(client.commit(&txn).await.unwrap().succeeded);
    }

    /// Waits until the job has ended and none of its tasks runs, and returns its status.
    async fn wait_for_end(&self, id: &job::Id) -> job::Status {
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            if let Reply::Job(status) = self.call(&Call::Job(id.clone())).await
                && status.state != job::State::Open
                && status.running == 0
            {
                return status;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("job `{id}` did not end within {WAIT_TIMEOUT:?}");
    }

    /// Waits until a scheduler owns the cell, and returns its index in `schedulers`.
    async fn owner_index(&self) -> usize {
        let probe = Call::Probe(call::Probe {
            cells: Vec::new(),
            incarnation: 1,
            leaving: false,
            name: name("entry"),
            revision: config::Revision(0),
        });
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            for (index, scheduler) in self.schedulers.iter().enumerate() {
                let reply = scheduler.link.call(&probe, CALL_TIMEOUT).await;
                if reply.is_ok_and(|r| matches!(r, Reply::Probe(p) if !p.cells.is_empty())) {
                    return index;
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("no scheduler owned the cell within {WAIT_TIMEOUT:?}");
    }

    fn start_schedulers(&mut self, folder: &str, count: usize) {
        let mut names: Vec<Name> =
            (0..count).map(|index| name(&format!("scheduler-{index}"))).collect();
        names.push(name("entry"));
        let set = keys::Set::generate(&names).unwrap();
        let peers: Vec<settings::Peer> = names[..count]
            .iter()
            .map(|own| settings::Peer {
                address: free_address(),
                name: own.clone(),
                zone: name("kigali-1"),
            })
            .collect();
        let entry = tls(folder, &set, count, "entry");
        let identity =
            Identity::read(&name("entry"), &entry.authority, &entry.certificate, &entry.key)
                .unwrap();
        let listener = Listener::bind("127.0.0.1:0".parse().unwrap(), &identity).unwrap();
        for (index, own) in peers.iter().enumerate() {
            let settings = settings::Scheduler {
                entries: Vec::new(),
                metrics: None,
                name: own.name.clone(),
                peers: peers.iter().filter(|peer| *peer != own).cloned().collect(),
                quic: own.address,
                store: format!("http://{}", self.platform.address()),
                tls: tls(folder, &set, index, own.name.as_str()),
                vm_list: format!("http://{}/vms", self.platform.address()),
                zone: name("kigali-1"),
            };
            let leave = CancellationToken::new();
            let run = tokio::spawn(serve(settings, leave.clone()));
            let link = listener.link(&own.name, own.address);
            self.schedulers.push(Scheduler { leave, link, run });
        }
    }

    async fn start_workers(&mut self, count: usize) -> Vec<config::Vm> {
        let mut vms = Vec::new();
        for index in 0..count {
            let mut vm = config::Vm {
                address: "127.0.0.1:0".parse().unwrap(),
                connections: 64,
                name: name(&format!("vm-{index}")),
                rack: name("rack-1"),
                resources: resources(4),
                services: Vec::new(),
                slots: 8,
                zone: name("kigali-1"),
            };
            let behaviour = Behaviour::default();
            let worker = Worker::start_with(vm.clone(), behaviour, self.ledger.clone()).await;
            let worker = worker.unwrap();
            vm.address = worker.address();
            self.platform.vms().add(&vm.name);
            self.workers.push(worker);
            vms.push(vm);
        }
        vms
    }

    async fn submit(&self, serial: u128, tasks: u32, run_ms: u64) -> job::Id {
        let (id, spec) = job(serial, tasks, run_ms);
        assert_eq!(self.call(&Call::Submit { id: id.clone(), spec }).await, Reply::Done);
        id
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_runs_on_workers_and_its_status_is_reported() {
    let cluster = Cluster::start("batch-runs", 1, 2).await;
    let id = cluster.submit(1, 12, 200).await;
    let status = cluster.wait_for_end(&id).await;
    assert_eq!((status.state, status.finished), (job::State::Finished, 12));
    let summary = cluster.ledger.summary();
    assert_eq!((summary.finished, summary.doubled, summary.overfull), (12, 0, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_scheduler_hands_its_cell_over_with_running_tasks() {
    let mut cluster = Cluster::start("batch-leaves", 2, 2).await;
    let id = cluster.submit(1, 6, 4_000).await;
    let owner = cluster.owner_index().await;
    let leaving = cluster.schedulers.remove(owner);
    leaving.leave.cancel();
    tokio::time::timeout(WAIT_TIMEOUT, leaving.run).await.unwrap().unwrap().unwrap();
    let status = cluster.wait_for_end(&id).await;
    assert_eq!((status.state, status.finished), (job::State::Finished, 6));
    let summary = cluster.ledger.summary();
    assert_eq!((summary.runs, summary.finished, summary.doubled), (6, 6, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_job_stops_and_stays_cancelled() {
    let cluster = Cluster::start("batch-cancels", 1, 1).await;
    let id = cluster.submit(1, 20, 30_000).await;
    for _ in 0..2 {
        assert_eq!(cluster.call(&Call::Cancel(id.clone())).await, Reply::Done);
    }
    let status = cluster.wait_for_end(&id).await;
    assert_eq!((status.state, status.finished, status.queued), (job::State::Cancelled, 0, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_can_never_run_is_refused_by_name() {
    let cluster = Cluster::start("batch-refuses", 1, 1).await;
    let (id, spec) = job(1, 1, 10);
    let spec = job::Spec { team: name("nobody"), ..spec };
    let Reply::Refused { reason, text, .. } = cluster.call(&Call::Submit { id, spec }).await else {
        panic!("the job was accepted");
    };
    assert_eq!((reason, text.as_str()), (Refusal::Invalid, "team `nobody` is not configured"));
}
