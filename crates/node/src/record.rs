//! The JSON encoding of records in the store.

use super::*;

/// Encodes a record.
pub(crate) fn encode<T: serde::Serialize>(record: &T) -> Vec<u8> {
    serde_json::to_vec(record)
        .inspect_err(|error| log::error!(error:% = error; "record_unwritable"))
        .unwrap_or_default()
}

/// Decodes the record in an item. Returns `None` for a removed item, and for an unreadable one,
/// which is logged.
pub(crate) fn decode<T: serde::de::DeserializeOwned>(item: &Item) -> Option<T> {
    let value = item.value.as_deref()?;
    serde_json::from_slice(value)
        .inspect_err(|error| log::error!(key = item.key, error:% = error; "record_unreadable"))
        .ok()
}
