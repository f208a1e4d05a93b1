//! Keys and prefixes in the store.

use super::*;

/// The prefix of cells' heads.
pub(crate) const HEADS: &str = "h/";
/// The prefix that all VMs follow: the assignment of cells and the VMs' entries.
pub(crate) const FLEET: &str = "m/";
/// The prefix of the cells' pressure records: the learned interference between images.
pub(crate) const PRESSURES: &str = "k/";
/// The assignment of cells.
pub(crate) const ASSIGNMENT: &str = "m/map";
/// The prefix of the VMs' entries, each under its VM's lease.
pub(crate) const VMS: &str = "m/vm/";

const OWNER: &str = "@owner";
const CANCELLED: &str = ".cancelled";

/// The content of a key under a cell's prefix.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Entry {
    Cancelled(job::Id),
    Job(job::Id),
    Owner,
}

pub(crate) fn head(cell: u32) -> String {
    format!("{HEADS}{cell}")
}

/// Returns the key of a cell's pressure record.
pub(crate) fn pressure(cell: u32) -> String {
    format!("{PRESSURES}{cell}")
}

/// Returns the prefix of a cell's owner's entry, jobs and cancellation marks. They share one
/// prefix, so that a watch reports a new owner before any job that is accepted under that owner.
pub(crate) fn cell(cell: u32) -> String {
    format!("c/{cell}/")
}

pub(crate) fn owner(number: u32) -> String {
    format!("{}{OWNER}", cell(number))
}

pub(crate) fn job(number: u32, id: job::Id) -> String {
    format!("{}{id}", cell(number))
}

pub(crate) fn cancelled(number: u32, id: job::Id) -> String {
    format!("{}{id}{CANCELLED}", cell(number))
}

pub(crate) fn progress_prefix(cell: u32) -> String {
    format!("p/{cell}/")
}

pub(crate) fn progress(cell: u32, id: job::Id) -> String {
    format!("{}{id}", progress_prefix(cell))
}

pub(crate) fn ticket(id: job::Id) -> String {
    format!("j/{id}")
}

pub(crate) fn vm(name: &str) -> String {
    format!("{VMS}{name}")
}

/// Returns the content of a key under the prefix of a cell.
pub(crate) fn entry(number: u32, key: &str) -> Option<Entry> {
    let rest = key.strip_prefix(&cell(number))?;
    if rest == OWNER {
        return Some(Entry::Owner);
    }
    match rest.strip_suffix(CANCELLED) {
        Some(id) => id.parse().ok().map(Entry::Cancelled),
        None => rest.parse().ok().map(Entry::Job),
    }
}

/// Returns the job ID at the end of a key.
pub(crate) fn last_id(key: &str) -> Option<job::Id> {
    key.rsplit('/').next()?.parse().ok()
}
