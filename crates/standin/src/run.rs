//! The program `oleanderstage-standin`.

use {
    super::*,
    argh::FromArgs,
    miette::{IntoDiagnostic, Result},
    tokio::signal::unix::{SignalKind, signal},
};

/// Interval at which a terminating process checks whether its workers are idle.
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);

/// Stands in for the key-value service, the VM list and workers, in tests and demonstrations.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
    /// file of settings, JSON with comments
    #[argh(option)]
    settings: PathBuf,
}

/// Runs the program with the arguments, of which the first is its name.
pub fn run(arguments: impl Iterator<Item = String>) -> Result<()> {
    let arguments =
        oleanderstage_settings::arguments::<Arguments>("oleanderstage-standin", arguments)?;
    let Some(arguments) = arguments else { return Ok(()) };
    let settings: settings::Settings =
        oleanderstage_settings::read(&arguments.settings).map_err(|error| *error)?;
    if arguments.check {
        return Ok(());
    }
    let _logs = oleanderstage_telemetry::logs::start().into_diagnostic()?;
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .into_diagnostic()?
        .block_on(serve(settings))
}

/// Serves every stand-in until SIGTERM, then waits until the workers' runs and requests are over.
async fn serve(settings: settings::Settings) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let platform = match settings.platform {
        Some(platform) => Some(start_platform(platform).await?),
        None => None,
    };
    let ledger = Ledger::default();
    let mut workers = Vec::new();
    for settings::Worker { behaviour, vm } in settings.workers {
        let worker = Worker::start_with(vm.clone(), behaviour, ledger.clone()).await;
        let worker = worker.into_diagnostic()?;
        info!(address = worker.address().to_string(), vm = vm.name.as_str(); "worker_started");
        workers.push(worker);
    }
    terminate.recv().await;
    info!("leaving");
    while !workers.iter().all(Worker::is_idle) {
        tokio::time::sleep(DRAIN_INTERVAL).await;
    }
    if let Some(platform) = platform {
        platform.stop().await;
    }
    Ok(())
}

async fn start_platform(settings: settings::Platform) -> Result<Platform> {
    let store = Store::new(settings.reads_per_second, settings.writes_per_second);
    let vms = Vms::default();
    vms.set_lag(Duration::from_millis(settings.vm_list_lag_ms));
    settings.vms.iter().for_each(|name| vms.add(name));
    let platform = Platform::start_with(settings.address, store, vms).await;
    let platform = platform.into_diagnostic()?;
    info!(address = platform.address().to_string(); "platform_started");
    Ok(platform)
}
