//! Keys and prefixes in the store.

use super::*;

/// The prefix of cells' heads.
pub(crate) const HEADS: &str = "h/";
/// The prefix that all VMs follow: the assignment of cells and the VMs' entries.
pub(crate) const FLEET: &str = "m/";
/// The prefix of the cells' pressure records: the measured contention between images.
pub(crate) const PRESSURES: &str = "k/";
/// The assignment of cells.
pub(crate) const ASSIGNMENT: &str = "m/map";
/// The prefix of the VMs' entries, each under its VM's lease.
pub(crate) const VMS: &str = "m/vm/";

/// The prefix of the withdrawn IDs, by the time of their withdrawal.
pub(crate) const WITHDRAWALS: &str = "w/";

const OWNER: &str = "@owner";
const RELEASED: &str = "@released";
const CANCELLED: &str = ".cancelled";

/// The kind of a key under a cell's prefix, with the job that it belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    Cancelled(job::Id),
    Job(job::Id),
    Owner,
    Released,
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
pub(crate) fn cell_prefix(cell: u32) -> String {
    format!("c/{cell}/")
}

pub(crate) fn owner(cell: u32) -> String {
    format!("{}{OWNER}", cell_prefix(cell))
}

/// Returns the key under which the last owner that has stopped left its [`Release`].
pub(crate) fn released(cell: u32) -> String {
    format!("{}{RELEASED}", cell_prefix(cell))
}

pub(crate) fn job(cell: u32, id: job::Id) -> String {
    format!("{}{id}", cell_prefix(cell))
}

/// Returns the key of a job's cancellation mark.
pub(crate) fn cancelled(cell: u32, id: job::Id) -> String {
    format!("{}{id}{CANCELLED}", cell_prefix(cell))
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

/// Returns the kind of a key under a cell's prefix, or `None` for any other key.
pub(crate) fn kind(cell: u32, key: &str) -> Option<Kind> {
    let rest = key.strip_prefix(&cell_prefix(cell))?;
    if rest == OWNER {
        return Some(Kind::Owner);
    }
    if rest == RELEASED {
        return Some(Kind::Released);
    }
    match rest.strip_suffix(CANCELLED) {
        Some(id) => id.parse().ok().map(Kind::Cancelled),
        None => rest.parse().ok().map(Kind::Job),
    }
}

/// Returns the job ID at the end of a key.
pub(crate) fn job_id(key: &str) -> Option<job::Id> {
    key.rsplit('/').next()?.parse().ok()
}
