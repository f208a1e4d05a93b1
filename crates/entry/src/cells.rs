//! Which scheduler owns which cell, as their probes say.

use super::*;

/// Which scheduler owns which cell, as their probes say.
#[derive(Debug, Default)]
pub(crate) struct Cells(Mutex<BTreeMap<cell::Id, Owner>>);

#[derive(Clone, Debug)]
struct Owner {
    epoch: cell::Epoch,
    scheduler: Name,
}

/// A cell as `GET /status` shows it.
#[derive(Debug, Serialize)]
pub(crate) struct Page {
    cell: cell::Id,
    epoch: cell::Epoch,
    owner: Name,
}

impl Cells {
    /// Takes the cells that `scheduler` says it owns; the highest epoch of a cell wins.
    pub(crate) fn learn(&self, scheduler: &Name, cells: &[(cell::Id, cell::Epoch)]) {
        let mut owners = lock(&self.0);
        for (cell, epoch) in cells {
            let newer = owners.get(cell).is_none_or(|owner| owner.epoch <= *epoch);
            if newer {
                let owner = Owner { epoch: *epoch, scheduler: scheduler.clone() };
                owners.insert(cell.clone(), owner);
            }
        }
    }

    /// Returns every cell with its last known owner.
    pub(crate) fn pages(&self) -> Vec<Page> {
        let page = |(cell, owner): (&cell::Id, &Owner)| Page {
            cell: cell.clone(),
            epoch: owner.epoch,
            owner: owner.scheduler.clone(),
        };
        lock(&self.0).iter().map(page).collect()
    }

    /// Returns the last known owner.
    pub(crate) fn owner(&self, cell: &cell::Id) -> Option<Name> {
        lock(&self.0).get(cell).map(|owner| owner.scheduler.clone())
    }
}
