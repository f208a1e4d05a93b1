//! `oleanderstage submit`: puts a configuration in force.

use super::*;

/// Put a configuration in force. It is checked first, and replaces the current one only if nobody
/// else has changed that in the meantime. A submission of the same id can be sent again safely.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "submit",
    example = "{command_name} config.json --store http://10.0.0.7:2379 --base 4 --wait http://10.0.1.1:8080"
)]
pub struct Options {
    /// the revision that the change is based on, as `diff` shows it; the current one when left out
    #[argh(option)]
    pub base: Option<u64>,
    /// who submits, for other operators to see
    #[argh(option, default = "String::new()")]
    pub by: String,
    /// the file; `/dev/stdin` for standard input
    #[argh(positional)]
    pub file: PathBuf,
    /// address of the key-value service
    #[argh(option)]
    pub store: String,
    /// id of the submission, to send an unanswered one again; a fresh one when left out
    #[argh(option, default = "uuid::Uuid::new_v4().to_string()")]
    pub submission: String,
    /// address of an entry to wait for, until the configuration is in force there; may be repeated
    #[argh(option)]
    pub wait: Vec<String>,
}

/// Submits the file, and waits until the configuration is in force at the entries of `--wait`.
pub async fn run(options: &Options) -> Result<String, Error> {
    let config = Arc::new(check::read(&options.file)?);
    let client = config_store::client(&options.store)?;
    let base = options.base.map(Revision);
    let machine = Machine::new(&options.submission, &options.by, base, config);
    let revision = accepted_revision(options, run_machine(&client, machine).await)?;
    let accepted =
        format!("accepted as revision {} (submission {})", revision.0, options.submission);
    if options.wait.is_empty() {
        return Ok(accepted);
    }
    let coverage = wait::until_in_force(&options.wait, revision).await?;
    Ok(format!("{accepted}\n{coverage}"))
}

/// Executes the actions of a submission until it ends.
async fn run_machine(client: &Client, mut machine: Machine) -> End {
    let mut action = machine.start();
    loop {
        let event = match action {
            Action::End(end) => return end,
            Action::Read(pause) => {
                tokio::time::sleep(pause).await;
                config_store::read(client).await.map_or_else(Event::NotDone, Event::Read)
            }
            Action::Write { accepted, modified, pause } => {
                tokio::time::sleep(pause).await;
                config_store::write(client, &accepted, modified).await
            }
        };
        if let Event::Doubt(cause) | Event::NotDone(cause) = &event {
            progress::print(format_args!("trying again: {cause}"));
        }
        action = machine.handle(event);
    }
}

/// Returns the revision of an accepted submission, or the error for the operator.
fn accepted_revision(options: &Options, end: End) -> Result<Revision, Error> {
    match end {
        End::Accepted(revision) => Ok(revision),
        End::Conflict { changes, winner } => Err(conflict(&changes, &winner)),
        End::NotDone(cause) => {
            let help = "nothing was changed; try again once the cause is fixed";
            Err(Error::new(Exit::NotDone, cause, help))
        }
        End::Replaced { revision, winner } => {
            let message = format!(
                "accepted as revision {}, and replaced since by revision {} of {}",
                revision.0,
                winner.revision.0,
                author(&winner)
            );
            let help = "run `oleanderstage diff` to see the current differences";
            Err(Error::new(Exit::Conflict, message, help))
        }
        End::Unknown(cause) => {
            let message = format!("it is unknown whether the configuration was accepted: {cause}");
            let help = format!(
                "run the same command with `--submission {}` to find out; that is safe",
                options.submission
            );
            Err(Error::new(Exit::Unknown, message, help))
        }
    }
}

/// Names the operator and the submission; only the submission if `--by` was left out.
fn author(accepted: &Accepted) -> String {
    if accepted.by.is_empty() {
        return format!("submission `{}`", accepted.submission);
    }
    format!("`{}` (submission `{}`)", accepted.by, accepted.submission)
}

fn conflict(changes: &[Change], winner: &Accepted) -> Error {
    let message = format!(
        "{} came first with revision {}; nothing was changed\n{}",
        author(winner),
        winner.revision.0,
        diff::lines(changes).trim_end()
    );
    let help = format!(
        "put those changes into your file, run `oleanderstage diff`, and submit with `--base {}`",
        winner.revision.0
    );
    Error::new(Exit::Conflict, message, help)
}
