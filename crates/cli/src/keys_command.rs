//! `oleanderstage keys`: generates keys for tests.

use super::*;

/// Make a set of keys for tests: an authority, and a certificate and a private key for each name.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "keys", example = "{command_name} --folder keys entry-1 scheduler-1")]
pub struct Options {
    /// where the PEM files go; made if missing
    #[argh(option)]
    pub folder: PathBuf,
    /// processes, as their settings name them
    #[argh(positional)]
    pub names: Vec<Name>,
}

/// Writes `authority.pem`, and `NAME.pem` and `NAME.key` for each name.
pub fn run(options: &Options) -> Result<String, Error> {
    let set = keys::Set::generate(&options.names).map_err(|cause| {
        Error::new(Exit::Failed, format!("cannot generate keys: {cause}"), "check the names")
    })?;
    fs::create_dir_all(&options.folder).map_err(|cause| fail(&options.folder, &cause))?;
    write(&options.folder.join("authority.pem"), &set.authority)?;
    for (name, pair) in options.names.iter().zip(&set.pairs) {
        write(&options.folder.join(format!("{name}.pem")), &pair.certificate)?;
        write(&options.folder.join(format!("{name}.key")), &pair.key)?;
    }
    Ok(format!(
        "generated keys for {} processes in `{}`",
        set.pairs.len(),
        options.folder.display()
    ))
}

fn write(path: &Path, text: &str) -> Result<(), Error> {
    fs::write(path, text).map_err(|cause| fail(path, &cause))
}

fn fail(path: &Path, cause: &io::Error) -> Error {
    let message = format!("cannot write `{}`: {cause}", path.display());
    Error::new(Exit::Failed, message, "name a folder that you may write to with `--folder`")
}
