//! A randomized soak: the program of a VM as separate processes, with faults from outside, judged
//! by what callers and workers see.

use {
    argh::FromArgs,
    hyper::Method,
    miette::IntoDiagnostic,
    oleanderstage_adapter::{Http, http},
    oleanderstage_proof::tcp_relay::TcpRelay,
    oleanderstage_standin::{
        UsersLedger, UsersStore, UsersWorker, users_store::Availability,
        users_worker::CAPACITY_MILLI,
    },
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    rustix::process::{Pid, Signal, kill_process},
    serde_json::{Value, json},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
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
        time::{Instant, sleep},
    },
};

pub use {caller::Caller, fault::Fault, plan::Plan, report::Report, soak::Soak, vm::Vm};

mod caller;
mod fault;
mod plan;
mod report;
mod soak;
mod vm;

/// Runs the soak over seeds and tells which promises were broken.
#[derive(FromArgs)]
struct Arguments {
    /// the program of a VM
    #[argh(option)]
    program: PathBuf,
    /// the first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// how many seeds
    #[argh(option, default = "1")]
    seeds: u64,
    /// seconds of faults for each seed
    #[argh(option, default = "12")]
    seconds: u64,
    /// VMs
    #[argh(option, default = "4")]
    vms: usize,
    /// workers
    #[argh(option, default = "8")]
    workers: usize,
    /// directory for settings and logs
    #[argh(option)]
    logs: PathBuf,
}

/// Runs the program.
pub fn main() -> miette::Result<()> {
    let arguments: Arguments = argh::from_env();
    let mut broken = 0;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let plan = Plan {
            directory: arguments.logs.join(seed.to_string()),
            faults_for: Duration::from_secs(arguments.seconds),
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
        return Err(miette::miette!("{broken} of {} seeds broke a promise", arguments.seeds));
    }
    Ok(())
}

/// Runs the soak for one seed.
pub fn run(plan: Plan) -> miette::Result<Report> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .into_diagnostic()?;
    LocalSet::new().block_on(&runtime, Soak::play(plan))
}
