//! Waits until a configuration is in force.

use super::*;

/// Maximum time to wait until a configuration is in force.
const TIMEOUT: Duration = Duration::from_secs(15);
/// Pause between two queries of the entries.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Waits until `revision` or a later one is in force at all `entries` and at the schedulers that
/// they probe. After `TIMEOUT`, returns an error that names the entries and schedulers where it is
/// not.
pub(crate) async fn until_in_force(
    entries: &[String],
    revision: Revision,
) -> Result<String, Error> {
    let deadline = tokio::time::Instant::now() + TIMEOUT;
    let mut printed_count = usize::MAX;
    loop {
        let mut behind = vec![];
        for entry in entries {
            if let Some(state) = entry_lag(entry, revision).await {
                behind.push(format!("`{entry}`: {state}"));
            }
        }
        if behind.is_empty() {
            return Ok(format!("in force at {} of {} entries", entries.len(), entries.len()));
        }
        if printed_count != behind.len() {
            printed_count = behind.len();
            progress::print(format_args!(
                "not yet in force at {printed_count} of {} entries",
                entries.len()
            ));
        }
        if tokio::time::Instant::now() >= deadline {
            return Err(timeout_error(entries.len(), &behind, revision));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Describes how the entry or its schedulers are behind `revision`; returns `None` if they are not.
async fn entry_lag(entry: &str, revision: Revision) -> Option<String> {
    match entries::get::<entries::Status>(&entries::url(entry, "/status")).await {
        Ok(status) if status.revision >= Some(revision) => scheduler_lag(&status, revision),
        Ok(entries::Status { revision: Some(old), .. }) => Some(format!("revision {}", old.0)),
        Ok(_) => Some("no configuration yet".into()),
        Err(error) => Some(error.to_string()),
    }
}

/// Names the schedulers that the entry probes and that don't have `revision` yet, if any.
fn scheduler_lag(status: &entries::Status, revision: Revision) -> Option<String> {
    let behind = status.schedulers.iter().filter(|scheduler| scheduler.revision < Some(revision));
    let states: Vec<String> = behind
        .map(|scheduler| match scheduler.revision {
            Some(old) => format!("scheduler `{}` has revision {}", scheduler.name, old.0),
            None => format!("scheduler `{}` does not answer", scheduler.name),
        })
        .collect();
    (!states.is_empty()).then(|| states.join(", "))
}

fn timeout_error(entry_count: usize, behind: &[String], revision: Revision) -> Error {
    let message = format!(
        "revision {} is accepted and in force at {} of {entry_count} entries, not yet at\n{}",
        revision.0,
        entry_count - behind.len(),
        behind.join("\n")
    );
    let help = "they apply it once they reach a peer or the key-value service; \
                check with `oleanderstage status`";
    Error::new(Exit::Pending, message, help)
}
