//! `oleanderstage report`: shows the service-level burn over all entries.

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

/// The part of an entry's answer to `GET /report` that is used here.
#[derive(Deserialize)]
struct Answer {
    burn: burn::Page,
}

/// Fetches the counts of all entries and merges them. Fails if no entry answers.
pub async fn run(options: &Options) -> Result<String, Error> {
    let report = collect(&options.entries).await;
    if report.answered.is_empty() {
        let reasons: Vec<_> = report.missing.iter().map(|m| m.reason.as_str()).collect();
        let message = format!("no entry answered: {}", reasons.join("; "));
        return Err(Error::new(
            Exit::NotDone,
            message,
            "name the addresses of entries that are running",
        ));
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

/// Returns the report as text for a terminal.
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
            format_rate(service.short.burn_rate),
            format_rate(service.long.burn_rate),
            format!("{:.1}%", service.budget_left * 100.0),
            service.long.requests,
            service.long.bad,
            format_latency(service.p50_us),
            format_latency(service.p99_us)
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
        for count in &service.vms {
            let _ = writeln!(text, "  {:>9}  {}", count.requests, count.vm);
        }
    }
    let _ = write!(text, "\n{}", coverage(report));
    text
}

/// Describes which entries and how much time the figures cover. The first line is about the entries
/// that answered; each further line names one that is missing.
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

/// Formats a latency in milliseconds. 0 stands for a service without answers.
pub(crate) fn format_latency(us: u64) -> String {
    match us {
        0 => "none".into(),
        1..10_000 => format!("{:.1} ms", us as f64 / 1_000.0),
        _ => format!("{} ms", us / 1_000),
    }
}

/// Formats a burn rate as a multiple of the rate that the objective allows.
pub(crate) fn format_rate(rate: f64) -> String {
    format!("{rate:.2}x")
}
