//! The program's command line, start and stop.

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
    /// port of the metrics page on this VM's address
    #[argh(option, default = "METRICS_PORT")]
    metrics_port: u16,
}

/// The port of the metrics page, as in deploy/system.toml.
const METRICS_PORT: u16 = 9_464;
/// The exit status after a panic.
const FAILED: i32 = 70;
/// Left of the grace period for the process to end, in milliseconds.
const GRACE_SLACK_MS: u64 = 1_500;

/// Runs the program with the arguments, of which the first is its name.
pub fn run(arguments: impl Iterator<Item = String>) -> miette::Result<()> {
    let arguments =
        oleanderstage_settings::arguments::<Arguments>("oleanderstage-node", arguments)?;
    let Some(arguments) = arguments else { return Ok(()) };
    let path = settings_path(arguments.settings.as_deref())?;
    let boot = read(&path)?;
    if arguments.check {
        println!("`{}` is in order", path.display());
        return Ok(());
    }
    let _logs = oleanderstage_telemetry::logs::start_bounded().into_diagnostic()?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().into_diagnostic()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, serve(boot, arguments.metrics_port))
}

fn settings_path(given: Option<&Path>) -> miette::Result<PathBuf> {
    match given {
        Some(path) => Ok(path.into()),
        None => std::env::var(boot::VARIABLE).map(PathBuf::from).map_err(|_| {
            miette::miette!("give --settings, or set {} to the settings file", boot::VARIABLE)
        }),
    }
}

fn read(path: &Path) -> miette::Result<Boot> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| miette::miette!("cannot read `{}`: {error}", path.display()))?;
    text.parse().map_err(|error: boot::Error| miette::miette!("`{}`: {error}", path.display()))
}

async fn serve(boot: Boot, metrics_port: u16) -> miette::Result<()> {
    let front = TcpListener::bind(boot.front).await.into_diagnostic()?;
    let ready = TcpListener::bind(boot.ready).await.into_diagnostic()?;
    let metrics = TcpListener::bind((boot.ip, metrics_port)).await.into_diagnostic()?;
    log::info!(vm = boot.vm, zone = boot.zone, front:% = boot.front; "started");
    let node = Rc::new(Node::new(boot)?);
    essential("front", serve::listen(node.clone(), front, Purpose::Front));
    essential("ready", serve::listen(node.clone(), ready, Purpose::Ready));
    essential("metrics", serve::listen(node.clone(), metrics, Purpose::Metrics));
    essential("session", session::keep(node.clone()));
    essential("config", discovery::config(node.clone()));
    essential("workers", discovery::workers(node.clone()));
    essential("heads", discovery::heads(node.clone()));
    essential("fleet", map::follow(node.clone()));
    essential("map", map::steer(node.clone()));
    essential("cells", owner::supervise(node.clone()));
    until_told(&node).await
}

/// Runs a task that the process cannot do without: a panic in it ends the process, which the
/// platform starts again.
fn essential(name: &'static str, task: impl Future<Output = ()> + 'static) {
    let task = spawn_local(task);
    spawn_local(async move {
        if let Err(error) = task.await {
            log::error!(task = name, error:% = error; "task_failed");
            log::logger().flush();
            std::process::exit(FAILED);
        }
    });
}

/// Waits for SIGTERM, hands everything over, and goes on answering for most of the grace period:
/// callers keep their connections until the process is gone.
async fn until_told(node: &Rc<Node>) -> miette::Result<()> {
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
