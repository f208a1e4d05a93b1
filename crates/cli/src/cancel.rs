//! `oleanderstage cancel`: cancels a job.

use super::*;

/// Cancel a job. Its tasks stop, and none starts again; cancelling it twice is no error.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "cancel")]
pub struct Options {
    /// address of any entry
    #[argh(option)]
    pub entry: String,
    /// the job, as its submission answered
    #[argh(positional)]
    pub job: String,
}

/// Cancels the job.
pub async fn run(options: &Options) -> Result<String, Error> {
    let url = entries::url(&options.entry, &format!("/jobs/{}", options.job));
    entries::send(reqwest::Method::DELETE, &url).await?;
    Ok(format!("no task of `{}` starts again", options.job))
}
