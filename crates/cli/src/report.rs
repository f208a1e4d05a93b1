//! `oleanderstage report`: service-level burn over all entries.

use {
    super::*,
    oleanderstage_core::burn::{self, report::Missing},
};

/// Show how fast each service uses up the requests that its objective lets fail: the last hour, the
/// last 72 hours, the budget left, and what took it.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "report",
    example = "{command_name} --html burn.html http://10.0.1.1:8080 http://10.0.1.2:8080"
)]
pub struct Options {
    /// addresses of all entries
    #[argh(positional)]
    pub entries: Vec<String>,
    /// write one self-contained page with plots to this file
    #[argh(option)]
    pub html: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// What `GET /report` of an entry shows, as far as it is used here.
#[derive(Deserialize)]
struct Answer {
    burn: burn::Page,
}

/// Asks the entries and merges what they counted.
pub async fn run(options: &Options) -> Result<String, Error> {
    let report = collect(&options.entries).await;
    if report.answered.is_empty() {
        let reasons: Vec<_> = report.missing.iter().map(|m| m.reason.as_str()).collect();
        let message = format!("no entry answered: {}", reasons.join("; "));
        return Err(Error::new(Exit::NotDone, message, "name entries that serve"));
    }
    if let Some(file) = &options.html {
        fs::write(file, html::page(&report)).map_err(|cause| {
            let message = format!("cannot write `{}`: {cause}", file.display());
            Error::new(Exit::Failed, message, "name a file that you may write with `--html`")
        })?;
    }
    if options.json {
        return Ok(serde_json::to_string(&report).unwrap_or_default());
    }
    Ok(table(&report))
}

async fn collect(entries: &[String]) -> burn::Report {
    let mut pages = vec![];
    let mut missing = vec![];
    for entry in entries {
        match entries::get::<Answer>(&entries::url(entry, "/report")).await {
            Ok(answer) => pages.push((entry.clone(), answer.burn)),
            Err(error) => missing.push(Missing { entry: entry.clone(), reason: error.to_string() }),
        }
    }
    burn::Report::merge(&pages, missing)
}

/// Returns the report for a terminal.
pub fn table(report: &burn::Report) -> String {
    let mut text = format!(
        "{:<16} {:>10} {:>10} {:>12} {:>9} {:>9} {:>9} {:>9}\n",
        "service", "burn 1 h", "burn 72 h", "budget left", "requests", "failed", "p50", "p99"
    );
    for service in &report.services {
        let _ = writeln!(
            text,
            "{:<16} {:>10} {:>10} {:>12} {:>9} {:>9} {:>9} {:>9}",
            service.name.as_str(),
            rate(service.short.burn_rate),
            rate(service.long.burn_rate),
            format!("{:.1}%", service.budget_left * 100.0),
            service.long.requests,
            service.long.bad,
            milliseconds(service.p50_us),
            milliseconds(service.p99_us)
        );
    }
    for service in report.services.iter().filter(|service| service.long.bad > 0) {
        let _ = writeln!(text, "\nwhat took the budget of {} in 72 h:", service.name);
        for count in &service.long.causes {
            let _ = writeln!(text, "  {:>9}  {}", count.requests, count.cause.as_str());
        }
        if !service.vms.is_empty() {
            let _ = writeln!(text, "late answers and failed attempts by VM:");
        }
        for blame in &service.vms {
            let _ = writeln!(text, "  {:>9}  {}", blame.requests, blame.vm);
        }
    }
    let _ = write!(text, "\n{}", coverage(report));
    text
}

/// Says what the figures cover, and what they don't.
pub(crate) fn coverage(report: &burn::Report) -> String {
    let all = report.answered.len() + report.missing.len();
    let minutes = report.covered_ms / 60_000;
    let mut text = format!(
        "from {} of {all} entries; each has counted for at least {} h {} min\n",
        report.answered.len(),
        minutes / 60,
        minutes % 60
    );
    for missing in &report.missing {
        let _ = writeln!(text, "not in the figures: `{}`: {}", missing.entry, missing.reason);
    }
    text
}

/// Returns a latency for people.
pub(crate) fn milliseconds(us: u64) -> String {
    match us {
        0 => "none".into(),
        1..10_000 => format!("{:.1} ms", us as f64 / 1_000.0),
        _ => format!("{} ms", us / 1_000),
    }
}

/// Returns a burn rate for people.
pub(crate) fn rate(rate: f64) -> String {
    format!("{rate:.2}x")
}
