//! A withdrawn ID, as the index of withdrawals lists it.

use super::*;

/// An ID under which no job is accepted, since it was cancelled before one was. Listed under the key
/// [`Withdrawal::key`], which is written together with the ID's ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Withdrawal {
    pub(crate) id: job::Id,
    /// When it was withdrawn, in minutes since 1970.
    minute: u64,
}

/// How long an ID stays withdrawn, in minutes: longer than a write is on its way or a caller repeats a request, and
/// than the clocks of VMs differ.
const KEPT_MINUTES: u64 = 10;
const MINUTE_MS: u64 = 60_000;

impl Withdrawal {
    /// Returns the withdrawal of an ID at `unix`, in milliseconds since 1970.
    pub(crate) fn new(id: job::Id, unix: u64) -> Self {
        Self { id, minute: unix / MINUTE_MS }
    }

    /// Returns its key, in the order of time.
    pub(crate) fn key(&self) -> String {
        format!("{}{:010}/{}", keys::WITHDRAWALS, self.minute, self.id)
    }

    /// Returns whether its time is over at `unix`, in milliseconds since 1970.
    pub(crate) fn is_over(&self, unix: u64) -> bool {
        unix / MINUTE_MS > self.minute.saturating_add(KEPT_MINUTES)
    }
}

impl TryFrom<&str> for Withdrawal {
    type Error = String;

    fn try_from(key: &str) -> Result<Self, String> {
        let parts = key.strip_prefix(keys::WITHDRAWALS).and_then(|rest| rest.split_once('/'));
        let (minute, id) = parts.ok_or_else(|| format!("`{key}` names no withdrawal"))?;
        let minute = minute.parse().map_err(|error| format!("`{key}`: {error}"))?;
        let id = id.parse().map_err(|error| format!("`{key}`: {error}"))?;
        Ok(Self { id, minute })
    }
}
