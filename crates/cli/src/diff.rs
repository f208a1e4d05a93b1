//! `oleanderstage diff`: what a configuration would change.

use super::*;

/// Show what a configuration would change, and the revision to name with `submit --base`.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "diff",
    example = "{command_name} config.json --store http://10.0.0.7:2379"
)]
pub struct Options {
    /// the file; `/dev/stdin` for standard input
    #[argh(positional)]
    pub file: PathBuf,
    /// address of the key-value service
    #[argh(option)]
    pub store: String,
}

/// Compares the file with what is accepted.
pub async fn run(options: &Options) -> Result<String, Error> {
    let config = check::read(&options.file)?;
    let held = held::show(&options.store).await?;
    let empty = Config::default();
    let current = held.as_ref().map_or(&empty, |held| held.accepted.config.as_ref());
    let changes = Change::between(current, &config);
    let revision = held.as_ref().map_or(0, |held| held.accepted.revision.0);
    Ok(format!("{}against revision {revision}: {}", lines(&changes), count(&changes)))
}

/// Returns the changes, one a line.
pub(crate) fn lines(changes: &[Change]) -> String {
    changes.iter().fold(String::new(), |mut text, change| {
        let _ = writeln!(text, "{change}");
        text
    })
}

fn count(changes: &[Change]) -> String {
    match changes.len() {
        0 => "no change".into(),
        1 => "1 change".into(),
        several => format!("{several} changes"),
    }
}
