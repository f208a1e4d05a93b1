//! The arguments and the subcommands.

use super::*;

/// Operate oleanderstage: declare services, batch classes, teams and VMs, and see what runs.
///
/// Exit codes: 0 done; 1 wrong input or failed; 2 wrong arguments; 3 another operator came first;
/// 4 not reached, nothing changed; 5 unknown whether changed; 6 not in force everywhere in time.
#[derive(Debug, FromArgs)]
pub struct Arguments {
    #[argh(subcommand)]
    pub(crate) command: Command,
}

/// A subcommand with its options.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Checks a configuration of job queues.
    Audit(audit::Options),
    /// Cancels a job.
    Cancel(cancel::Options),
    /// Checks a configuration.
    Check(check::Options),
    /// Runs the demonstration.
    Demo(demo::Options),
    /// Shows what a configuration would change.
    Diff(diff::Options),
    /// Drains an entry.
    Drain(drain::Options),
    /// Explains a job's state.
    Explain(explain::Options),
    /// Generates keys for tests.
    Keys(keys_command::Options),
    /// Shows service-level burn.
    Report(report::Options),
    /// Prints the schema of a configuration.
    Schema(schema::Options),
    /// Shows entries and jobs.
    Status(status::Options),
    /// Puts a configuration in force.
    Submit(submit::Options),
}

impl Command {
    /// Runs the command and returns the text to print to standard output.
    pub async fn run(&self) -> Result<String, Error> {
        match self {
            Self::Audit(options) => audit::run(options),
            Self::Cancel(options) => cancel::run(options).await,
            Self::Check(options) => check::run(options),
            Self::Demo(options) => demo::run(options).await,
            Self::Diff(options) => diff::run(options).await,
            Self::Drain(options) => drain::run(options).await,
            Self::Explain(options) => explain::run(options).await,
            Self::Keys(options) => keys_command::run(options),
            Self::Report(options) => report::run(options).await,
            Self::Schema(options) => schema::run(options),
            Self::Status(options) => status::run(options).await,
            Self::Submit(options) => submit::run(options).await,
        }
    }
}
