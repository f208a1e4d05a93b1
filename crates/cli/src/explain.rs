//! `oleanderstage explain`: shows the decisions behind a job's state.

use super::*;

/// Show the decisions behind a job's state, with the figures they were made on.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Options {
    /// address of any entry
    #[argh(option)]
    pub entry: String,
    /// the job, as its submission answered
    #[argh(positional)]
    pub job: String,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// The answer of an entry to `GET /jobs/{job}/explain`.
#[derive(Deserialize, Serialize)]
struct Explanation {
    lines: Vec<String>,
}

/// Fetches the explanation from the entry.
pub async fn run(options: &Options) -> Result<String, Error> {
    let url = entries::url(&options.entry, &format!("/jobs/{}/explain", options.job));
    let explanation: Explanation = entries::get(&url).await?;
    if options.json {
        return Ok(serde_json::to_string(&explanation).unwrap_or_default());
    }
    Ok(explanation.lines.join("\n"))
}
