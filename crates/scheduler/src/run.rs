//! The command line of the program.

use super::*;

/// Owns cells of workers and runs batch work on them.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
    /// file of settings, JSON with comments
    #[argh(option)]
    settings: PathBuf,
}

/// Runs the program. The first of `arguments` is its name.
pub fn run(arguments: impl Iterator<Item = String>) -> miette::Result<()> {
    let arguments = settings::arguments::<Arguments>("oleanderstage-scheduler", arguments)?;
    let Some(arguments) = arguments else { return Ok(()) };
    let settings: settings::Scheduler =
        settings::read(&arguments.settings).map_err(|error| *error)?;
    if arguments.check {
        println!("`{}` is in order", arguments.settings.display());
        return Ok(());
    }
    let _logs = oleanderstage_telemetry::logs::start().into_diagnostic()?;
    let runtime =
        tokio::runtime::Builder::new_multi_thread().enable_all().build().into_diagnostic()?;
    runtime.block_on(serve_until_terminated(settings))
}

/// Serves until `SIGTERM`, then hands the cells over.
async fn serve_until_terminated(settings: settings::Scheduler) -> miette::Result<()> {
    let mut sigterm = signal(SignalKind::terminate()).into_diagnostic()?;
    let leave = CancellationToken::new();
    let leave_on_signal = leave.clone();
    tokio::spawn(async move {
        sigterm.recv().await;
        leave_on_signal.cancel();
    });
    serve(settings, leave).await.into_diagnostic()
}
