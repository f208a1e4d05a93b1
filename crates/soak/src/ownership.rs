//! Checks that every cell is owned by the VM that it is assigned to.

use super::*;

/// How long a cell may be without its owner: the time for which a leaving owner waits for pending
/// orders and commits, and a second for the next one.
const MAX_ABSENCE: Duration = Duration::from_millis(2_200);
/// Interval between two looks at the cells.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Since when each cell has been without the owner that it is assigned to.
#[derive(Default)]
pub(crate) struct Ownership {
    absent_since: BTreeMap<usize, Instant>,
}

impl Ownership {
    /// Returns the cells that have been without their owner for longer than `MAX_ABSENCE`, each once.
    fn overdue(&mut self, store: &UsersStore, now: Instant) -> Vec<usize> {
        let mut overdue = Vec::new();
        for (cell, is_owned) in cells(store).into_iter().enumerate() {
            if is_owned {
                self.absent_since.remove(&cell);
                continue;
            }
            let since = *self.absent_since.entry(cell).or_insert(now);
            if now > since + MAX_ABSENCE {
                overdue.push(cell);
                // A cell is reported again only if it stays absent as long again.
                self.absent_since.insert(cell, now);
            }
        }
        overdue
    }
}

/// Returns whether each cell of the assignment has the entry of the VM that it is assigned to.
fn cells(store: &UsersStore) -> Vec<bool> {
    let owners = assignment(store)["owners"].as_array().cloned().unwrap_or_default();
    let is_owned = |(cell, owner): (usize, &Value)| {
        let vm = holder(store, cell as u64);
        vm.is_some() && vm.as_deref() == owner.as_str()
    };
    owners.iter().enumerate().map(is_owned).collect()
}

/// Returns the number of the VM that owns the worker's cell.
pub(crate) fn owner(store: &UsersStore, worker: &str) -> Option<usize> {
    let vm = holder(store, assignment(store)["workers"][worker].as_u64()?)?;
    vm.strip_prefix("vm-")?.parse().ok()
}

fn assignment(store: &UsersStore) -> Value {
    let map = store.values("m/map");
    map.first().and_then(|(_, value)| serde_json::from_slice(value).ok()).unwrap_or_default()
}

/// Returns the VM that the cell's entry names.
fn holder(store: &UsersStore, cell: u64) -> Option<String> {
    let entry = store.values(&format!("c/{cell}/@owner"));
    let incarnation = entry.first().map(|(_, value)| String::from_utf8_lossy(value).into_owned());
    incarnation.and_then(|text| text.split('@').next().map(str::to_owned))
}

impl Soak {
    /// Looks at the cells until `end` and reports those that nobody owns for too long.
    pub(crate) async fn watch_ownership(self: Rc<Self>, end: Instant) {
        let mut ownership = Ownership::default();
        while Instant::now() < end {
            for cell in ownership.overdue(&self.store, Instant::now()) {
                self.ledger.record_violation(format!(
                    "cell {cell} was without its owner for over {} ms",
                    MAX_ABSENCE.as_millis()
                ));
            }
            sleep(LOOK_INTERVAL).await;
        }
    }
}
