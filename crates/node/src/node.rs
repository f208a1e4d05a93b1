//! State shared by the tasks of this process.

use super::*;

/// The state of this VM.
pub(crate) struct Node {
    pub(crate) boot: Boot,
    /// The mechanisms of the cells that this VM owns.
    pub(crate) policy: Policy,
    pub(crate) store: Store,
    pub(crate) orders: Orders,
    pub(crate) meter: meter::Meter,
    /// What clients make this process hold.
    pub(crate) intake: Intake,
    /// The active configuration of this VM; `None` before one was read.
    pub(crate) config: RefCell<Option<Arc<Config>>>,
    /// The workers' entries.
    pub(crate) registry: RefCell<Registry>,
    /// The zones that the operator evacuates.
    pub(crate) evacuation: RefCell<Evacuation>,
    /// The assignment of cells and its revision; revision 0 before one was read.
    pub(crate) assignment: RefCell<(Assignment, u64)>,
    /// Whether the store holds something else than that assignment, which can't be read or is gone.
    pub(crate) assignment_damaged: Slot<bool>,
    /// The VMs' entries by name.
    pub(crate) vms: RefCell<BTreeMap<String, assignment::Vm>>,
    /// The revision of the store up to which these entries are known.
    pub(crate) vms_revision: Slot<u64>,
    /// The revision of the last entry that this process is known to have written; 0 before the first.
    pub(crate) entry_revision: Slot<u64>,
    /// The cells' load from their heads, for the choice of a new job's cell.
    pub(crate) balancer: RefCell<admission::Balancer>,
    /// The memory that the jobs of all cells take.
    pub(crate) memory: RefCell<Memory>,
    /// The images of which jobs are rejected now.
    pub(crate) gate: RefCell<Gate>,
    /// The heads as last read, with their revisions.
    pub(crate) heads: RefCell<Vec<(Head, u64)>>,
    /// When the heads were last read, in milliseconds.
    pub(crate) heads_read_at: Slot<u64>,
    /// This VM's lease in the store, if it has one.
    pub(crate) lease: Slot<Option<u64>>,
    /// When the last call was sent whose answer shows that this lease had not ended, in milliseconds.
    pub(crate) lease_confirmed_at: Slot<u64>,
    /// When the store last answered a call, in milliseconds.
    pub(crate) store_answered_at: Slot<u64>,
    /// When the store last answered again after an outage, in milliseconds.
    pub(crate) store_back_at: Slot<u64>,
    /// Whether this process has run without a pause.
    pub(crate) continuity: RefCell<Continuity>,
    /// Whether the log last reported the store as reachable.
    pub(crate) reported_reachable: Slot<bool>,
    /// Whether this process is shutting down.
    pub(crate) leaving: Slot<bool>,
    /// Notified when the assignment, the workers, the configuration, the lease or `leaving` change.
    pub(crate) changed: Notify,
    /// Cells that this VM owns or acquires, each with the notifier that wakes its event loop.
    pub(crate) cells: RefCell<BTreeMap<u32, Rc<Notify>>>,
    /// Notified when this VM acquires a cell.
    pub(crate) cell_acquired: Notify,
    /// Notified when a cell waits for an answer of the store by which this VM still owns it.
    pub(crate) confirmation_due: Notify,
    /// Identifies this start of the process, by the VM's name and address, the address that it holds for callers, and
    /// the time.
    pub(crate) incarnation: String,
    /// How the last ownership of each cell by this process ended.
    pub(crate) stops: RefCell<BTreeMap<u32, Stop>>,
    /// A cache of final states of jobs.
    pub(crate) final_states: RefCell<HashMap<job::Id, State>>,
}

/// The store counts as unreachable when it has not answered for this long, in milliseconds: longer
/// than a watch waits.
pub(crate) const STORE_LOST_AFTER_MS: u64 = 1_800;
/// A VM's lease in the store, in milliseconds: how long after a crash another VM takes over its
/// cells.
pub(crate) const VM_LEASE_MS: u64 = 2_000;
/// How long an owner continues without a confirmed lease, in milliseconds, to bridge an outage of
/// the store that affects all VMs. A successor waits this long only if it cannot reach most workers.
pub(crate) const OWNER_SILENCE_MS: u64 = 7_000;
/// Age of the workers' entries above which owners start no runs, in percent of the time for which a
/// draining worker may still get new ones, and the same for evacuated zones: longer than a watch without changes takes.
const MAX_VIEW_AGE_PERCENT: u64 = 80;
/// The worker lease that orders ask for, in milliseconds, unless the settings bound it lower:
/// longer than a takeover takes, and short compared with the wait for a silent worker.
const WORKER_LEASE_MS: u64 = 4_000;
/// The same while the store is silent, in milliseconds: a successor that most workers have answered waits this long.
const SILENT_LEASE_MS: u64 = 2_600;

impl Node {
    pub(crate) fn new(boot: Boot, policy: Policy) -> miette::Result<Self> {
        let http = Rc::new(Http::default());
        let start = time::clock();
        Ok(Self {
            store: Store::new(boot.store, http.clone()),
            orders: Orders::new(http),
            meter: meter::Meter::new().into_diagnostic()?,
            intake: Intake::new(serve::limit(&boot, policy)),
            config: RefCell::default(),
            registry: RefCell::default(),
            evacuation: RefCell::default(),
            assignment: RefCell::default(),
            assignment_damaged: Slot::new(false),
            vms: RefCell::default(),
            vms_revision: Slot::new(0),
            entry_revision: Slot::new(0),
            balancer: RefCell::default(),
            memory: RefCell::default(),
            gate: RefCell::default(),
            heads: RefCell::default(),
            heads_read_at: Slot::new(0),
            lease: Slot::new(None),
            lease_confirmed_at: Slot::new(0),
            store_answered_at: Slot::new(0),
            store_back_at: Slot::new(0),
            continuity: RefCell::default(),
            reported_reachable: Slot::new(false),
            leaving: Slot::new(false),
            changed: Notify::new(),
            cell_acquired: Notify::new(),
            confirmation_due: Notify::new(),
            cells: RefCell::default(),
            incarnation: format!(
                "{}@{}/{}#{}.{}",
                boot.vm, boot.ip, boot.front, start.unix, start.now
            ),
            stops: RefCell::default(),
            final_states: RefCell::default(),
            policy,
            boot,
        })
    }

    /// Returns the time limits for the cells of this VM.
    pub(crate) fn limits(&self) -> Limits {
        Limits {
            lease_ms: WORKER_LEASE_MS.min(self.boot.worker_lease_ms),
            max_lease_ms: self.boot.worker_lease_ms,
            owner_silence_ms: OWNER_SILENCE_MS,
            silent_lease_ms: SILENT_LEASE_MS.min(self.boot.worker_lease_ms),
        }
    }

    /// Records that this process runs, and logs the end of a pause. Called before anything is
    /// decided from what was known earlier.
    pub(crate) fn observe_running(&self) {
        let paused_ms = self.continuity.borrow_mut().observe(time::now());
        if let Some(paused_ms) = paused_ms {
            self.meter.event("process_resumed");
            log::warn!(paused_ms; "process_resumed");
        }
    }

    /// Records that the store has carried out a call under the lease that was sent at `sent_at`, in
    /// milliseconds.
    pub(crate) fn confirm_lease(&self, lease: u64, sent_at: u64) {
        if self.lease.get() == Some(lease) {
            self.lease_confirmed_at.set(self.lease_confirmed_at.get().max(sent_at));
            self.cells.borrow().values().for_each(|cell| cell.notify_one());
        }
    }

    /// Returns whether the store has answered a call under the lease lately.
    pub(crate) fn is_lease_fresh(&self) -> bool {
        time::now() < self.lease_confirmed_at.get() + STORE_LOST_AFTER_MS
    }

    /// Returns whether an owner that took its cell under a lease may send orders at `now`, in milliseconds. Cells
    /// are lost with the lease under which they were taken.
    pub(crate) fn may_order(&self, lease: u64, now: u64) -> bool {
        let holds = self.lease.get() == Some(lease);
        holds && now <= self.lease_confirmed_at.get() + OWNER_SILENCE_MS
    }

    /// Records an answer of the store, and logs the end of an outage.
    pub(crate) fn store_answered(&self) {
        self.observe_running();
        let now = time::now();
        self.store_answered_at.set(now);
        if !self.reported_reachable.replace(true) {
            if self.was_silence_observed(now) {
                self.store_back_at.set(now);
            }
            log::info!(dependency = "store"; "dependency_regained");
        }
    }

    /// Returns whether this process has run through the time after which a silent store counts as
    /// unreachable. After a pause the silence is its own, and entries may have changed meanwhile.
    fn was_silence_observed(&self, now: u64) -> bool {
        self.continuity.borrow().has_run_for(now, STORE_LOST_AFTER_MS)
    }

    /// Records and logs a failed call of the store, and logs the start of an outage.
    pub(crate) fn store_failed(&self, what: &str, error: &store::Error) {
        self.meter.event("store_call_failed");
        log::warn!(what, error:% = error; "store_call_failed");
        if !self.is_store_reachable() && self.reported_reachable.replace(false) {
            let silent_ms = time::now().saturating_sub(self.store_answered_at.get());
            log::warn!(dependency = "store", silent_ms; "dependency_lost");
        }
    }

    /// Returns whether the store answered within `STORE_LOST_AFTER_MS`.
    pub(crate) fn is_store_reachable(&self) -> bool {
        time::now() < self.store_answered_at.get() + STORE_LOST_AFTER_MS
    }

    /// Returns whether callers can be served.
    pub(crate) fn is_ready(&self) -> bool {
        !self.leaving.get() && self.is_store_reachable() && self.config.borrow().is_some()
    }

    /// Returns whether the process of an incarnation that wrote something at `revision` is known to have
    /// ended: its VM runs a later one.
    pub(crate) fn has_ended(&self, incarnation: &str, revision: u64) -> bool {
        self.vms.borrow().values().any(|vm| vm.replaces(incarnation, revision))
    }

    /// Returns the workers of a cell with their entries, or `None` when the cell is assigned to
    /// another VM or this VM leaves.
    pub(crate) fn assigned_members(
        &self,
        cell: u32,
    ) -> Option<BTreeMap<Arc<str>, Option<Registration>>> {
        let assignment = self.assignment.borrow();
        let owner = assignment.0.owners.get(cell as usize)?;
        if *owner != self.boot.vm || self.leaving.get() {
            return None;
        }
        let registry = self.registry.borrow();
        let members = assignment.0.members(cell).map(|id| {
            let entry = registry.get(id).cloned();
            (Arc::from(id), entry)
        });
        Some(members.collect())
    }

    /// Returns a value that changes whenever the result of `assigned_members` may change.
    pub(crate) fn view(&self) -> (u64, u64, bool) {
        (self.assignment.borrow().1, self.registry.borrow().version(), self.leaving.get())
    }

    /// Returns the age of the requests to evacuate zones, in milliseconds; `None` if the settings
    /// know no evacuation.
    pub(crate) fn evacuation_age_ms(&self) -> Option<u64> {
        self.boot.evacuate_ms.map(|_| self.evacuation.borrow().age_ms(time::now()))
    }

    /// Returns the age of the workers' entries, in milliseconds.
    pub(crate) fn view_age_ms(&self) -> u64 {
        time::now().saturating_sub(self.registry.borrow().confirmed_at().unwrap_or(0))
    }

    /// Returns whether the workers' entries, or the requests to evacuate zones, are too old for new
    /// runs: a worker may have started to drain since, or its zone to be evacuated. They do not age during an outage of the store, in which none can change.
    pub(crate) fn is_view_stale(&self, now: u64) -> bool {
        let is_outage = !self.is_store_reachable() && self.was_silence_observed(now);
        let back_at = self.store_back_at.get();
        let max_age_ms = |bound_ms: u64| bound_ms * MAX_VIEW_AGE_PERCENT / 100;
        let workers_stale =
            self.registry.borrow().is_stale(now, back_at, max_age_ms(self.boot.drain_ms));
        let zones_stale = self.boot.evacuate_ms.is_some_and(|bound_ms| {
            self.evacuation.borrow().is_stale(now, back_at, max_age_ms(bound_ms))
        });
        !is_outage && (workers_stale || zones_stale)
    }

    /// Returns the memory of the VM with the least, in MiB.
    pub(crate) fn least_memory_mib(&self) -> u64 {
        let known = self.vms.borrow().values().map(|vm| vm.memory_mib).filter(|mib| *mib > 0).min();
        known.unwrap_or(self.boot.memory_mib)
    }

    /// Returns whether the VM's entry is that of this process.
    pub(crate) fn is_registered(&self) -> bool {
        let vms = self.vms.borrow();
        vms.get(&self.boot.vm).is_some_and(|vm| vm.incarnation == self.incarnation)
    }

    /// Returns whether the entry that this process has written is gone or replaced. Entries that are older than it
    /// don't tell.
    pub(crate) fn is_entry_lost(&self) -> bool {
        self.vms_revision.get() >= self.entry_revision.get() && !self.is_registered()
    }

    /// Returns whether this process writes the assignment: its VM's name is the lowest.
    pub(crate) fn is_assignment_writer(&self) -> bool {
        self.is_registered() && self.vms.borrow().keys().next() == Some(&self.boot.vm)
    }

    /// Returns whether this VM needs current workers' entries: it owns or acquires cells, or writes
    /// the assignment.
    pub(crate) fn needs_workers(&self) -> bool {
        self.is_assignment_writer() || !self.cells.borrow().is_empty()
    }

    /// Wakes every task that waits for a change of the shared state.
    pub(crate) fn wake(&self) {
        self.changed.notify_waiters();
        for cell in self.cells.borrow().values() {
            cell.notify_one();
        }
    }
}
