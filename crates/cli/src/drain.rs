//! `oleanderstage drain`: drains an entry.

use super::*;

/// Let an entry finish what is in progress, take nothing new, and leave.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Options {
    /// address of the entry
    #[argh(positional)]
    pub entry: String,
}

/// Requests the drain; doesn't wait until the entry has left.
pub async fn run(options: &Options) -> Result<String, Error> {
    entries::send(reqwest::Method::POST, &entries::url(&options.entry, "/drain")).await?;
    Ok(format!("`{}` drains", options.entry))
}
