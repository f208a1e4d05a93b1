//! `oleanderstage check`: reports every error in a configuration.

use super::*;

/// Report every error in a configuration, with its place and the remedy.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "python3 examples/umuyoboro.py | {command_name} /dev/stdin"
)]
pub struct Options {
    /// the file; `/dev/stdin` for standard input
    #[argh(positional)]
    pub file: PathBuf,
}

/// Checks the file and returns a summary of its configuration.
pub fn run(options: &Options) -> Result<String, Error> {
    let config = read(&options.file)?;
    Ok(format!(
        "`{}` is valid: {} services, {} batch classes, {} teams, {} VMs",
        options.file.display(),
        config.services.len(),
        config.classes.len(),
        config.teams.len(),
        config.vms.len()
    ))
}

/// Reads and checks the configuration in `file`.
pub(crate) fn read(file: &Path) -> Result<Config, Error> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file).map_err(|cause| {
        let message = format!("cannot read `{name}`: {cause}");
        Error::new(Exit::Failed, message, "name a readable file, or `/dev/stdin`")
    })?;
    Ok(settings::parse_configuration(&name, &text)?)
}
