//! The program's command line, start and shutdown.

use {super::*, serve::Purpose};

/// Answers callers and owns cells of workers on a VM of the users' platform.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
    /// file of settings; by default the one that OLEANDERSTAGE_BOOT names
    #[argh(option)]
    settings: Option<PathBuf>,
    /// mechanisms to switch off, separated by commas, to see what they are worth
    #[argh(option, default = "Policy::default()")]
    without: Policy,
    /// port of the metrics page on this VM's address
    #[argh(option, default = "METRICS_PORT")]
    metrics_port: u16,
}

/// The port of the metrics page, as in deploy/system.toml.
const METRICS_PORT: u16 = 9_464;
/// The exit status after a panic in an essential task.
const PANIC_EXIT_STATUS: i32 = 70;
/// The end of the grace period that is reserved for the exit of the process, in milliseconds.
const GRACE_SLACK_MS: u64 = 1_500;

/// Runs the program. The first argument is the program's name.
pub fn run(arguments: impl Iterator<Item = String>) -> miette::Result<()> {
    let arguments =
        oleanderstage_settings::arguments::<Arguments>("oleanderstage-node", arguments)?;
    let Some(arguments) = arguments else { return Ok(()) };
    let path = settings_path(arguments.settings.as_deref())?;
    let boot = read_settings(&path)?;
    if arguments.check {
        println!("`{}` is in order", path.display());
        return Ok(());
    }
    let _logs = oleanderstage_telemetry::logs::start_bounded().into_diagnostic()?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().into_diagnostic()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, run_node(boot, arguments))
}

/// Returns the path of the settings file from the command line or else from the environment.
fn settings_path(argument: Option<&Path>) -> miette::Result<PathBuf> {
    match argument {
        Some(path) => Ok(path.into()),
        None => std::env::var(boot::VARIABLE).map(PathBuf::from).map_err(|_| {
            miette::miette!("give --settings, or set {} to the settings file", boot::VARIABLE)
        }),
    }
}

fn read_settings(path: &Path) -> miette::Result<Boot> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| miette::miette!("cannot read `{}`: {error}", path.display()))?;
    text.parse().map_err(|error: boot::Error| miette::miette!("`{}`: {error}", path.display()))
}

async fn run_node(boot: Boot, arguments: Arguments) -> miette::Result<()> {
    let front = serve::bind(boot.front).into_diagnostic()?;
    let ready = serve::bind(boot.ready).into_diagnostic()?;
    let metrics = serve::bind((boot.ip, arguments.metrics_port).into()).into_diagnostic()?;
    log::info!(vm = boot.vm, zone = boot.zone, front:% = boot.front; "started");
    let node = Rc::new(Node::new(boot, arguments.without)?);
    spawn_essential("front", serve::listen(node.clone(), front, Purpose::Front));
    spawn_essential("ready", serve::listen(node.clone(), ready, Purpose::Ready));
    spawn_essential("metrics", serve::listen(node.clone(), metrics, Purpose::Metrics));
    spawn_essential("clients", serve::expire(node.clone()));
    spawn_essential("session", session::maintain(node.clone()));
    spawn_essential("config", discovery::follow_config(node.clone()));
    spawn_essential("workers", discovery::follow_workers(node.clone()));
    if node.boot.evacuate_ms.is_some() {
        spawn_essential("evacuations", discovery::follow_evacuations(node.clone()));
    }
    spawn_essential("heads", discovery::poll_heads(node.clone()));
    spawn_essential("fleet", assigner::follow(node.clone()));
    spawn_essential("map", assigner::maintain(node.clone()));
    spawn_essential("withdrawals", withdrawals::sweep(node.clone()));
    spawn_essential("cells", owner::supervise(node.clone()));
    run_until_terminated(&node).await
}

/// Spawns a task that the process cannot run without. A panic in it ends the process, which the
/// platform then restarts.
fn spawn_essential(name: &'static str, task: impl Future<Output = ()> + 'static) {
    let task = spawn_local(task);
    spawn_local(async move {
        if let Err(error) = task.await {
            log::error!(task = name, error:% = error; "task_failed");
            log::logger().flush();
            std::process::exit(PANIC_EXIT_STATUS);
        }
    });
}

/// Waits for SIGTERM, hands the cells over, and continues to answer callers for most of the grace
/// period, since callers keep their connections until the process ends.
async fn run_until_terminated(node: &Rc<Node>) -> miette::Result<()> {
    let mut hangup = signal(SignalKind::hangup()).into_diagnostic()?;
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    loop {
        tokio::select! {
            _ = hangup.recv() => log::info!(vm = node.boot.vm; "reload_asked"),
            _ = terminate.recv() => break,
        }
    }
    log::info!(vm = node.boot.vm, grace_ms = node.boot.grace_ms; "stopping");
    node.leaving.set(true);
    node.wake();
    session::leave(node).await;
    sleep(Duration::from_millis(node.boot.grace_ms.saturating_sub(GRACE_SLACK_MS))).await;
    log::info!(vm = node.boot.vm; "stopped");
    log::logger().flush();
    Ok(())
}
