//! What the tasks of this process share.

use super::*;

/// The state of this VM.
pub(crate) struct Node {
    pub(crate) boot: Boot,
    pub(crate) store: Store,
    pub(crate) orders: Orders,
    pub(crate) meter: meter::Meter,
    /// The configuration in force here.
    pub(crate) config: RefCell<Option<Arc<Config>>>,
    /// Workers by id, from their entries.
    pub(crate) registry: RefCell<BTreeMap<Arc<str>, Registration>>,
    /// The map of cells and its revision.
    pub(crate) map: RefCell<(Assignment, u64)>,
    pub(crate) vms: RefCell<BTreeMap<String, assignment::Vm>>,
    pub(crate) board: RefCell<admission::Balancer>,
    /// The heads as last read, with their revisions.
    pub(crate) heads: RefCell<Vec<(Head, u64)>>,
    pub(crate) board_at: Slot<u64>,
    /// The store's lease of this VM, when it has one.
    pub(crate) lease: Slot<Option<u64>>,
    /// When the store last confirmed that lease, in milliseconds.
    pub(crate) confirmed_at: Slot<u64>,
    /// When the store last answered anything, in milliseconds.
    pub(crate) heard_at: Slot<u64>,
    pub(crate) reachable: Slot<bool>,
    pub(crate) leaving: Slot<bool>,
    /// Woken when the map, the workers, the configuration or `leaving` change.
    pub(crate) changed: Notify,
    /// Cells that are owned or being acquired here.
    pub(crate) cells: RefCell<BTreeMap<u32, Rc<Notify>>>,
    /// Woken when this VM comes to own a cell.
    pub(crate) owning: Notify,
    /// Names this life of the process.
    pub(crate) incarnation: String,
    /// Final states that were read.
    pub(crate) finals: RefCell<HashMap<job::Id, State>>,
}

/// A store that has not answered for this long counts as lost, in milliseconds: longer than a
/// watch waits.
pub(crate) const LOST_AFTER_MS: u64 = 1_800;
/// The store's lease of a VM, in milliseconds: another VM takes over that much after a death.
pub(crate) const VM_LEASE_MS: u64 = 2_000;
/// How long an owner goes on without a confirmed lease, in milliseconds: over an outage of the
/// store for all, a successor waits for it only for workers that it can't reach.
pub(crate) const OWNER_SILENCE_MS: u64 = 5_500;
/// The lease that orders ask workers for, in milliseconds, where the platform allows it: longer
/// than a takeover takes, short against the wait for a silent worker.
const WORKER_LEASE_MS: u64 = 4_000;

impl Node {
    pub(crate) fn new(boot: Boot) -> miette::Result<Self> {
        let http = Rc::new(Http::default());
        let start = time::clock();
        Ok(Self {
            store: Store::new(boot.store, http.clone()),
            orders: Orders::new(http),
            meter: meter::Meter::new().into_diagnostic()?,
            config: RefCell::default(),
            registry: RefCell::default(),
            map: RefCell::default(),
            vms: RefCell::default(),
            board: RefCell::default(),
            heads: RefCell::default(),
            board_at: Slot::new(0),
            lease: Slot::new(None),
            confirmed_at: Slot::new(0),
            heard_at: Slot::new(0),
            reachable: Slot::new(false),
            leaving: Slot::new(false),
            changed: Notify::new(),
            owning: Notify::new(),
            cells: RefCell::default(),
            incarnation: format!("{}#{}.{}", boot.vm, start.unix, start.now),
            finals: RefCell::default(),
            boot,
        })
    }

    pub(crate) fn limits(&self) -> Limits {
        Limits {
            lease_ms: WORKER_LEASE_MS.min(self.boot.worker_lease_ms),
            owner_silence_ms: OWNER_SILENCE_MS,
        }
    }

    /// Notes that the store answered.
    pub(crate) fn heard(&self) {
        self.heard_at.set(time::now());
        if !self.reachable.replace(true) {
            log::info!(dependency = "store"; "dependency_regained");
        }
    }

    /// Notes that a call of the store failed.
    pub(crate) fn store_failed(&self, what: &str, error: &store::Error) {
        self.meter.event("store_call_failed");
        log::warn!(what, error:% = error; "store_call_failed");
        if !self.in_contact() && self.reachable.replace(false) {
            let silent_ms = time::now().saturating_sub(self.heard_at.get());
            log::warn!(dependency = "store", silent_ms; "dependency_lost");
        }
    }

    /// Returns whether the store answered lately.
    pub(crate) fn in_contact(&self) -> bool {
        time::now() < self.heard_at.get() + LOST_AFTER_MS
    }

    /// Returns whether callers can be served.
    pub(crate) fn is_ready(&self) -> bool {
        !self.leaving.get() && self.in_contact() && self.config.borrow().is_some()
    }

    /// Returns a cell's members with their entries, when this VM is to own it.
    pub(crate) fn members(&self, cell: u32) -> Option<BTreeMap<Arc<str>, Option<Registration>>> {
        let map = self.map.borrow();
        let owner = map.0.owners.get(cell as usize)?;
        if *owner != self.boot.vm || self.leaving.get() {
            return None;
        }
        let registry = self.registry.borrow();
        let members = map.0.members(cell).map(|id| {
            let entry = registry.get(id).cloned();
            (Arc::from(id), entry)
        });
        Some(members.collect())
    }

    /// Returns whether this VM owns cells, or may have to write the map.
    pub(crate) fn steers(&self) -> bool {
        let first = self.vms.borrow().keys().next() == Some(&self.boot.vm);
        first || !self.cells.borrow().is_empty()
    }

    /// Wakes every task that follows the shared state.
    pub(crate) fn wake(&self) {
        self.changed.notify_waiters();
        for cell in self.cells.borrow().values() {
            cell.notify_one();
        }
    }
}
