//! Owners of the cells, as the schedulers report them in probes.

use super::*;

/// The last known owner of each cell.
#[derive(Debug, Default)]
pub(crate) struct Cells(Mutex<BTreeMap<cell::Id, Owner>>);

#[derive(Clone, Debug)]
struct Owner {
    epoch: cell::Epoch,
    scheduler: Name,
}

/// A cell in the response to `GET /status`.
#[derive(Debug, Serialize)]
pub(crate) struct Status {
    cell: cell::Id,
    epoch: cell::Epoch,
    owner: Name,
}

impl Cells {
    /// Records the cells that `scheduler` reports as its own; for each cell, the owner of the highest
    /// epoch is kept.
    pub(crate) fn record(&self, scheduler: &Name, cells: &[(cell::Id, cell::Epoch)]) {
        let mut owners = lock(&self.0);
        for (cell, epoch) in cells {
            let newer = owners.get(cell).is_none_or(|owner| owner.epoch <= *epoch);
            if newer {
                let owner = Owner { epoch: *epoch, scheduler: scheduler.clone() };
                owners.insert(cell.clone(), owner);
            }
        }
    }

    /// Returns all cells with their last known owners.
    pub(crate) fn statuses(&self) -> Vec<Status> {
        let status = |(cell, owner): (&cell::Id, &Owner)| Status {
            cell: cell.clone(),
            epoch: owner.epoch,
            owner: owner.scheduler.clone(),
        };
        lock(&self.0).iter().map(status).collect()
    }

    /// Returns the last known owner of `cell`.
    pub(crate) fn owner(&self, cell: &cell::Id) -> Option<Name> {
        lock(&self.0).get(cell).map(|owner| owner.scheduler.clone())
    }
}
