//! `oleanderstage status`: shows the state of entries, or of a job.

use super::*;

/// Show the state of entries and the revision in force there, or the state of a job.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "{command_name} http://10.0.1.1:8080 http://10.0.1.2:8080"
)]
pub struct Options {
    /// show cells and VMs too
    #[argh(switch)]
    pub detail: bool,
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

/// The status of one entry, or the reason why it is missing.
#[derive(Serialize)]
struct Row<'a> {
    address: &'a str,
    error: Option<String>,
    status: Option<entries::Status>,
}

/// Fetches the status of each entry, or that of the job. Fails if no entry answers.
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
    let text = if options.json { json(&rows) } else { table(&rows, options.detail) };
    if rows.iter().all(|row| row.status.is_none()) {
        return Err(Error::new(Exit::NotDone, text, "check the addresses"));
    }
    Ok(text)
}

fn json(rows: &[Row]) -> String {
    serde_json::to_string(rows).unwrap_or_default()
}

fn table(rows: &[Row], detail: bool) -> String {
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
    if detail {
        text.push_str(&schedulers(rows));
        text.push_str(&cells(rows));
        text.push_str(&vms(rows));
    }
    text
}

/// Returns the table of cells, each with the owner of the highest epoch that an entry knows.
fn cells(rows: &[Row]) -> String {
    let mut cells: BTreeMap<&cell::Id, &entries::Cell> = BTreeMap::new();
    for cell in statuses(rows).flat_map(|status| &status.cells) {
        let newest = cells.entry(&cell.cell).or_insert(cell);
        if newest.epoch < cell.epoch {
            *newest = cell;
        }
    }
    let mut text = format!("\n{:<20} {:<16} {:>8}\n", "cell", "owner", "epoch");
    for cell in cells.values() {
        let (id, owner, epoch) = (cell.cell.to_string(), cell.owner.as_str(), cell.epoch.0);
        let _ = writeln!(text, "{id:<20} {owner:<16} {epoch:>8}");
    }
    text
}

/// Returns the table of schedulers, each as seen by the entry that knows its highest revision.
fn schedulers(rows: &[Row]) -> String {
    let mut schedulers: BTreeMap<&Name, &entries::Scheduler> = BTreeMap::new();
    for scheduler in statuses(rows).flat_map(|status| &status.schedulers) {
        let newest = schedulers.entry(&scheduler.name).or_insert(scheduler);
        if newest.revision < scheduler.revision {
            *newest = scheduler;
        }
    }
    let mut text = format!("\n{:<20} {:>8}  {}\n", "scheduler", "revision", "state");
    for scheduler in schedulers.values() {
        let revision = scheduler.revision.map_or("none".into(), |revision| revision.0.to_string());
        let state = match scheduler {
            entries::Scheduler { heard: false, .. } => "not heard",
            entries::Scheduler { leaving: true, .. } => "leaving",
            _ => "serving",
        };
        let _ = writeln!(text, "{:<20} {revision:>8}  {state}", scheduler.name.as_str());
    }
    text
}

/// Returns the statuses of the entries that answered.
fn statuses<'a>(rows: &'a [Row]) -> impl Iterator<Item = &'a entries::Status> {
    rows.iter().filter_map(|row| row.status.as_ref())
}

/// Returns the table of VMs, with the requests and slots of all entries that answered.
fn vms(rows: &[Row]) -> String {
    let mut vms: BTreeMap<&Name, (u32, u32)> = BTreeMap::new();
    for host in statuses(rows).flat_map(|status| &status.vms) {
        let sum = vms.entry(&host.vm).or_default();
        sum.0 += host.in_progress;
        sum.1 += host.slots;
    }
    let mut text = format!("\n{:<20} {:>12} {:>8}\n", "VM", "in progress", "slots");
    for (vm, (in_progress, slots)) in vms {
        let _ = writeln!(text, "{:<20} {in_progress:>12} {slots:>8}", vm.as_str());
    }
    text
}
