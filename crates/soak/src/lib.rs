//! A randomized soak test. It runs the VMs' program as separate processes, injects faults from
//! outside, and checks the system's guarantees against what callers and workers observe.

use {
    argh::FromArgs,
    hyper::{Method, StatusCode},
    miette::IntoDiagnostic,
    oleanderstage_adapter::{Http, http},
    oleanderstage_proof::tcp_relay::TcpRelay,
    oleanderstage_standin::{
        UsersLedger, UsersStore, UsersView, UsersWorker,
        users_store::Availability,
        users_worker::{CAPACITY_MILLI, DRAIN_LIMIT, EVACUATION_LIMIT, HEARTBEAT},
    },
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    rustix::process::{Pid, Signal, kill_process},
    serde_json::{Value, json},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, BTreeSet},
        fs,
        net::{Ipv4Addr, SocketAddr},
        path::PathBuf,
        process::{Child, Command, Stdio},
        rc::Rc,
        sync::atomic::{AtomicU32, Ordering},
        time::Duration,
    },
    tokio::{
        task::{LocalSet, spawn_local},
        time::{Instant, sleep, sleep_until},
    },
};

use {link::Link, wire::Wire};

pub use {
    disruption::Disruption, fault::Fault, job::Job, plan::Plan, report::Report, soak::Soak, vm::Vm,
};

mod crashes;
mod cut;
mod cuts;
mod disruption;
mod fault;
mod job;
mod link;
mod lives;
mod maintenance;
mod outage;
mod outages;
mod ownership;
mod partition;
mod partitions;
mod plan;
mod presence;
mod report;
mod soak;
mod vm;
mod way;
mod wire;

/// Run the soak test once for each seed, and report the guarantees that were violated.
#[derive(FromArgs)]
struct Arguments {
    /// path of the VMs' program
    #[argh(option)]
    program: PathBuf,
    /// the first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds
    #[argh(option, default = "1")]
    seeds: u64,
    /// seconds of faults for each seed
    #[argh(option, default = "12")]
    seconds: u64,
    /// number of VMs
    #[argh(option, default = "4")]
    vms: usize,
    /// number of workers
    #[argh(option, default = "8")]
    workers: usize,
    /// replace workers and restart VMs in turn, instead of random faults
    #[argh(switch)]
    maintenance: bool,
    /// let tasks crash workers, and workers shrink and grow, instead of random faults
    #[argh(switch)]
    crashes: bool,
    /// let the store fall silent while VMs are killed and workers leave, instead of random faults
    #[argh(switch)]
    outages: bool,
    /// cut workers off from the VMs and the store while workers leave and restart, instead of random faults
    #[argh(switch)]
    cuts: bool,
    /// cut VMs and workers off together from the store and other machines, instead of random faults
    #[argh(switch)]
    partitions: bool,
    /// restart workers in series beside late orders and late writes, instead of random faults
    #[argh(switch)]
    lives: bool,
    /// directory for the VMs' settings and logs
    #[argh(option)]
    logs: PathBuf,
}

/// Runs the program `oleanderstage-soak`, which prints a report for each seed.
pub fn main() -> miette::Result<()> {
    let arguments: Arguments = argh::from_env();
    let kinds = [
        (arguments.maintenance, Disruption::Maintenance),
        (arguments.crashes, Disruption::Crashes),
        (arguments.outages, Disruption::Outages),
        (arguments.cuts, Disruption::Cuts),
        (arguments.partitions, Disruption::Partitions),
        (arguments.lives, Disruption::Lives),
    ];
    let chosen: Vec<Disruption> =
        kinds.into_iter().filter_map(|(is_chosen, kind)| is_chosen.then_some(kind)).collect();
    let disruption = match chosen[..] {
        [] => Disruption::Faults,
        [kind] => kind,
        _ => {
            return Err(miette::miette!(
                "choose one of --maintenance, --crashes, --outages, --cuts, --partitions and --lives"
            ));
        }
    };
    let mut broken = 0;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let plan = Plan {
            directory: arguments.logs.join(seed.to_string()),
            disruption,
            fault_duration: Duration::from_secs(arguments.seconds),
            program: arguments.program.clone(),
            seed,
            vms: arguments.vms,
            workers: arguments.workers,
        };
        let report = run(plan)?;
        println!("{}", report.line());
        broken += usize::from(!report.broken.is_empty());
    }
    if broken > 0 {
        return Err(miette::miette!(
            "{broken} of {} seeds violated a guarantee: see `broken` in their reports",
            arguments.seeds
        ));
    }
    Ok(())
}

/// Runs the soak test for one seed.
pub fn run(plan: Plan) -> miette::Result<Report> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .into_diagnostic()?;
    LocalSet::new().block_on(&runtime, Soak::run(plan))
}
