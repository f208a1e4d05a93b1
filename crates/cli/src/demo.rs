//! `oleanderstage demo`: the whole system in one process, on stand-ins.

use super::*;

/// run the whole system in this process, on stand-ins
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Options {}

/// Runs the demonstration.
pub async fn run(_: &Options) -> Result<String, Error> {
    Err(Error::new(Exit::Failed, "the demonstration is not built yet", "see README.md"))
}
