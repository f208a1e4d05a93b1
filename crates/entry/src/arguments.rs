//! The command line.

use super::*;

/// Answers callers, routes urgent requests and accepts batch jobs.
#[derive(argh::FromArgs, Debug)]
pub(crate) struct Arguments {
    /// check the settings and exit
    #[argh(switch)]
    pub(crate) check: bool,
    /// file of settings, JSON with comments
    #[argh(option)]
    pub(crate) settings: PathBuf,
}
