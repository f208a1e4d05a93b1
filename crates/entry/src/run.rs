//! The program: reads its settings, serves until it is asked to shut down, and drains.

use super::*;

/// Runs the program and returns its exit code.
pub fn run() -> ExitCode {
    let arguments: arguments::Arguments = argh::from_env();
    match start(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

fn start(arguments: &arguments::Arguments) -> miette::Result<()> {
    let settings: settings::Entry = settings::read(&arguments.settings).map_err(|error| *error)?;
    if arguments.check {
        println!("`{}` is in order", arguments.settings.display());
        return Ok(());
    }
    let _logs = oleanderstage_telemetry::logs::start().map_err(|e| miette::miette!("{e}"))?;
    let runtime = tokio::runtime::Runtime::new().map_err(|e| miette::miette!("{e}"))?;
    runtime.block_on(async {
        let leave = CancellationToken::new();
        tokio::spawn(cancel_on_signal(leave.clone()));
        serve(settings, leave).await.map_err(|error| miette::miette!("{error}"))
    })
}

/// Cancels `leave` on SIGTERM or SIGINT.
async fn cancel_on_signal(leave: CancellationToken) {
    use tokio::signal::unix::{SignalKind, signal};
    let Ok(mut terminate) = signal(SignalKind::terminate()) else { return };
    let Ok(mut interrupt) = signal(SignalKind::interrupt()) else { return };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    leave.cancel();
}
