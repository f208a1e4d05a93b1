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
    let map = store.values("m/map");
    let assignment: Value =
        map.first().and_then(|(_, value)| serde_json::from_slice(value).ok()).unwrap_or_default();
    let owners = assignment["owners"].as_array().cloned().unwrap_or_default();
    let is_owned = |(cell, owner): (usize, &Value)| {
        let entry = store.values(&format!("c/{cell}/@owner"));
        let incarnation = entry.first().map(|(_, value)| String::from_utf8_lossy(value));
        let vm = incarnation.as_ref().and_then(|text| text.split('@').next());
        vm.is_some() && vm == owner.as_str()
    };
    owners.iter().enumerate().map(is_owned).collect()
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
