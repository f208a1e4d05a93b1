//! `oleanderstage status`: what the entries and a job do.

use super::*;

/// Show what entries have in force, or where a job stands.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "{command_name} http://10.0.1.1:8080 http://10.0.1.2:8080"
)]
pub struct Options {
    /// addresses of entries
    #[argh(positional)]
    pub entries: Vec<String>,
    /// a job to show, asked of the first entry
    #[argh(option)]
    pub job: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// What one entry answered, or why it did not.
#[derive(Serialize)]
struct Row<'a> {
    address: &'a str,
    error: Option<String>,
    status: Option<entries::Status>,
}

/// Asks the entries.
pub async fn run(options: &Options) -> Result<String, Error> {
    let Some(first) = options.entries.first() else {
        let help = "add an address such as `http://10.0.1.1:8080`";
        return Err(Error::new(Exit::Usage, "no entry is named", help));
    };
    if let Some(job) = &options.job {
        let url = entries::url(first, &format!("/jobs/{job}"));
        let page: serde_json::Value = entries::get(&url).await?;
        return Ok(if options.json { page.to_string() } else { format!("{page:#}") });
    }
    let mut rows = vec![];
    for address in &options.entries {
        let answer = entries::get(&entries::url(address, "/status")).await;
        let (status, error) = match answer {
            Ok(status) => (Some(status), None),
            Err(error) => (None, Some(error.to_string())),
        };
        rows.push(Row { address, error, status });
    }
    let text = if options.json { json(&rows) } else { table(&rows) };
    if rows.iter().all(|row| row.status.is_none()) {
        return Err(Error::new(Exit::NotDone, text, "check the addresses"));
    }
    Ok(text)
}

fn json(rows: &[Row]) -> String {
    serde_json::to_string(rows).unwrap_or_default()
}

fn table(rows: &[Row]) -> String {
    let mut text =
        format!("{:<28} {:<16} {:<12} {:>8}  {}\n", "address", "name", "zone", "revision", "state");
    for row in rows {
        let _ = match &row.status {
            Some(status) => writeln!(
                text,
                "{:<28} {:<16} {:<12} {:>8}  {}",
                row.address,
                status.name.as_str(),
                status.zone.as_str(),
                status.revision.map_or("none".into(), |revision| revision.0.to_string()),
                status.state
            ),
            None => writeln!(
                text,
                "{:<28} missing: {}",
                row.address,
                row.error.as_deref().unwrap_or_default()
            ),
        };
    }
    let answered = rows.iter().filter(|row| row.status.is_some()).count();
    let _ = writeln!(text, "{answered} of {} entries answered", rows.len());
    text
}
