//! Waiting until a configuration is in force.

use super::*;

/// How long to wait for it.
const LIMIT: Duration = Duration::from_secs(15);
/// Time between two looks.
const PERIOD: Duration = Duration::from_millis(250);

/// Waits until `revision` or a later one is in force at all `entries` and at the schedulers that they
/// hear. Tells where it is not yet
/// when the time is over.
pub(crate) async fn until(entries: &[String], revision: Revision) -> Result<String, Error> {
    let end = tokio::time::Instant::now() + LIMIT;
    let mut told = usize::MAX;
    loop {
        let mut behind = vec![];
        for entry in entries {
            if let Some(state) = lag(entry, revision).await {
                behind.push(format!("`{entry}`: {state}"));
            }
        }
        if behind.is_empty() {
            return Ok(format!("in force at {} of {} entries", entries.len(), entries.len()));
        }
        if told != behind.len() {
            told = behind.len();
            progress::note(format_args!("not yet in force at {told} of {} entries", entries.len()));
        }
        if tokio::time::Instant::now() >= end {
            return Err(late(entries.len(), &behind, revision));
        }
        tokio::time::sleep(PERIOD).await;
    }
}

/// Returns what stands at the entry, unless `revision` or a later one does.
async fn lag(entry: &str, revision: Revision) -> Option<String> {
    match entries::get::<entries::Status>(&entries::url(entry, "/status")).await {
        Ok(status) if status.revision >= Some(revision) => behind(&status, revision),
        Ok(entries::Status { revision: Some(old), .. }) => Some(format!("revision {}", old.0)),
        Ok(_) => Some("no configuration yet".into()),
        Err(error) => Some(error.to_string()),
    }
}

/// Returns which schedulers that the entry knows don't have `revision` yet.
fn behind(status: &entries::Status, revision: Revision) -> Option<String> {
    let late = status.schedulers.iter().filter(|scheduler| scheduler.revision < Some(revision));
    let names: Vec<String> = late
        .map(|scheduler| match scheduler.revision {
            Some(old) => format!("scheduler `{}` has revision {}", scheduler.name, old.0),
            None => format!("scheduler `{}` does not answer", scheduler.name),
        })
        .collect();
    (!names.is_empty()).then(|| names.join(", "))
}

fn late(all: usize, behind: &[String], revision: Revision) -> Error {
    let message = format!(
        "revision {} is accepted and in force at {} of {all} entries, not yet at\n{}",
        revision.0,
        all - behind.len(),
        behind.join("\n")
    );
    let help = "they take it once they reach a peer or the key-value service; see `status`";
    Error::new(Exit::Pending, message, help)
}
