//! `oleanderstage diff`: shows what a configuration would change.

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

/// Compares the file with the accepted configuration, or with an empty one if there is none.
pub async fn run(options: &Options) -> Result<String, Error> {
    let config = check::read(&options.file)?;
    let stored = config_store::fetch(&options.store).await?;
    let empty = Config::default();
    let current = stored.as_ref().map_or(&empty, |stored| stored.accepted.config.as_ref());
    let changes = Change::between(current, &config);
    let revision = stored.as_ref().map_or(0, |stored| stored.accepted.revision.0);
    Ok(format!("{}against revision {revision}: {}", lines(&changes), count(&changes)))
}

/// Returns the changes, one per line.
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
