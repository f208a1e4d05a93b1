//! The program `oleanderstage-proof`: `oleanderstage-proof ROLE --settings FILE`.

use {
    super::*,
    miette::{IntoDiagnostic, Result, miette},
    tokio::signal::unix::{SignalKind, signal},
};

/// Runs the program that the first argument names, until SIGTERM has made it drain.
pub fn run(arguments: impl Iterator<Item = String>) -> Result<()> {
    let arguments: Vec<String> = arguments.collect();
    let texts: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let [_, role, "--settings", path] = texts.as_slice() else {
        return Err(miette!("wrong arguments: use `oleanderstage-proof ROLE --settings FILE`"));
    };
    let path = Path::new(path);
    let _logs = oleanderstage_telemetry::logs::start().into_diagnostic()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .worker_threads(2)
        .build()
        .into_diagnostic()?;
    match *role {
        "entry" => {
            let settings = settings::read(path).map_err(|error| *error)?;
            runtime.block_on(async {
                oleanderstage_entry::serve(settings, shutdown_on_sigterm()?).await.into_diagnostic()
            })
        }
        "scheduler" => {
            let settings = settings::read(path).map_err(|error| *error)?;
            runtime.block_on(async {
                oleanderstage_scheduler::serve(settings, shutdown_on_sigterm()?)
                    .await
                    .into_diagnostic()
            })
        }
        role => Err(miette!("`{role}` is not a role: use `entry` or `scheduler`")),
    }
}

/// Returns a token that SIGTERM cancels.
fn shutdown_on_sigterm() -> Result<CancellationToken> {
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let shutdown = CancellationToken::new();
    let token = shutdown.clone();
    tokio::spawn(async move {
        terminate.recv().await;
        token.cancel();
    });
    Ok(shutdown)
}
