//! Records as the store holds them.

use super::*;

/// Returns a record as it is stored.
pub(crate) fn encode<T: serde::Serialize>(record: &T) -> Vec<u8> {
    serde_json::to_vec(record)
        .inspect_err(|error| log::error!(error:% = error; "record_unwritable"))
        .unwrap_or_default()
}

/// Returns the record that an item holds, if it holds one.
pub(crate) fn decode<T: serde::de::DeserializeOwned>(item: &Item) -> Option<T> {
    let value = item.value.as_deref()?;
    serde_json::from_slice(value)
        .inspect_err(|error| log::error!(key = item.key, error:% = error; "record_unreadable"))
        .ok()
}
