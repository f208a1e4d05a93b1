//! Reads and writes the accepted configuration in the key-value service.

use super::*;

/// Returns a client of the key-value service at the address `base`.
pub(crate) fn client(base: &str) -> Result<Client, Error> {
    Client::new(base).map_err(|error| {
        let help = "give `--store` an address such as `http://10.0.0.7:2379`";
        Error::new(Exit::NotDone, error.to_string(), help)
    })
}

/// Reads the stored configuration; returns `None` if there is none yet.
pub(crate) async fn read(client: &Client) -> Result<Option<StoredConfig>, String> {
    let value = client.get(KEY).await.map_err(|error| error.to_string())?;
    let Some(value) = value else { return Ok(None) };
    let accepted: Accepted = serde_json::from_slice(&value.bytes).map_err(|error| {
        format!("the value of `{KEY}` is damaged or of a newer version: {error}")
    })?;
    Ok(Some(StoredConfig { accepted, modified: value.modified }))
}

/// Reads the stored configuration for a command that changes nothing.
pub(crate) async fn fetch(base: &str) -> Result<Option<StoredConfig>, Error> {
    read(&client(base)?).await.map_err(|cause| {
        let help = "nothing was changed; try again once the cause is fixed";
        Error::new(Exit::NotDone, cause, help)
    })
}

/// Writes `accepted` if the last write of the stored value still has the revision `modified`. With
/// `None`, writes it if no value is stored.
pub(crate) async fn write(client: &Client, accepted: &Accepted, modified: Option<i64>) -> Event {
    let bytes = match serde_json::to_vec(accepted) {
        Ok(bytes) => bytes,
        Err(cause) => return Event::NotDone(cause.to_string()),
    };
    let key = KEY.to_owned();
    let condition = match modified {
        Some(revision) => Condition::Modified { key: key.clone(), revision },
        None => Condition::Absent { key: key.clone() },
    };
    let operations = vec![Operation::Put { bytes, key, lease: None }];
    match client.commit(&Txn { conditions: vec![condition], operations }).await {
        Ok(commit) if commit.succeeded => Event::Written,
        Ok(_) => Event::Overtaken,
        Err(error) if in_doubt(&error) => Event::Doubt(error.to_string()),
        Err(error) => Event::NotDone(error.to_string()),
    }
}

/// Returns whether a write that failed with `error` may have taken effect.
fn in_doubt(error: &store::Error) -> bool {
    !matches!(error.kind, Kind::Refused | Kind::Unsent)
}
