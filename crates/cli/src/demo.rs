//! `oleanderstage demo`: runs the whole system in one process, on stand-ins.

use super::*;

/// Run the whole system in this process, on stand-ins: serve urgent requests and run a batch job
/// while one worker is lost. Exits with 1 if anything was lost or doubled.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Options {}

/// Runs the demonstration, and returns a table whose last line is JSON.
pub async fn run(_: &Options) -> Result<String, Error> {
    let tally = oleanderstage_demo::run().await.map_err(fail)?;
    let table = tally.table().map_err(fail)?;
    if tally.is_clean() {
        return Ok(table);
    }
    println!("{table}");
    let message = format!("{} tasks lost, {} doubled", tally.lost, tally.doubled);
    Err(Error::new(Exit::Failed, message, "report it with the log and the table above"))
}

fn fail(cause: miette::Report) -> Error {
    Error::new(Exit::Failed, format!("the demo failed: {cause}"), "see the log above")
}
