//! Accounts of the resources in use on workers, and the choice of a worker for a task.

use super::*;

/// Acceptable workers compared for one task.
const MAX_CANDIDATES: u32 = 6;
/// Workers examined for one task, including those that the caller refuses.
const MAX_EXAMINED: u32 = 24;
/// Cost of each task of the same job that is already placed in the worker's rack.
const SAME_RACK_COST: f64 = 0.02;
/// Cost of placing a task that needs no accelerators on a worker that has some.
const ACCELERATOR_COST: f64 = 0.5;
/// Cost of a worker whose offered processors are all in use; proportional to the share in use.
const UTILIZATION_COST: f64 = 0.05;

/// Accounts for the resources of the workers of a cell. The resources placed on a worker never
/// exceed what it offers at the time of placing.
#[derive(Clone, Debug)]
pub struct Placer {
    /// Free resources for tasks that need accelerators, by position.
    with_accelerators: Tree,
    /// Tree nodes visited since construction, inner nodes included.
    visited_nodes: u64,
    /// Resources that each worker offers when no task runs, by position.
    offers: Tree,
    /// Free resources for tasks that need no accelerators, by position.
    without_accelerators: Tree,
    /// Position of each VM in `accounts` and in the trees.
    positions: BTreeMap<Name, usize>,
    /// Number of tasks of a job in a rack.
    racks: BTreeMap<(job::Id, Name), u32>,
    random: Pcg64Mcg,
    /// Accounts of the workers, by position.
    accounts: Vec<Account>,
    bookings: BTreeMap<task::Id, Booking>,
}

/// A worker and the resources in use on it.
#[derive(Clone, Debug)]
struct Account {
    /// Whether no new task may be placed on it.
    closed: bool,
    /// Sum of the resources of the tasks placed on it.
    used: Resources,
    worker: Worker,
}

/// The worker and the resources that a task occupies.
#[derive(Clone, Debug)]
struct Booking {
    rack: Name,
    resources: Resources,
    vm: Name,
}

impl Placer {
    /// Returns a placer without workers; `seed` determines its random choices.
    pub fn new(seed: u64) -> Self {
        Self {
            with_accelerators: Tree::default(),
            visited_nodes: 0,
            offers: Tree::default(),
            without_accelerators: Tree::default(),
            positions: BTreeMap::new(),
            racks: BTreeMap::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            accounts: Vec::new(),
            bookings: BTreeMap::new(),
        }
    }

    /// Replaces the workers. Tasks on removed workers stay booked until they are released; a worker
    /// that remains keeps its bookings and stays closed if it was.
    pub fn apply(&mut self, workers: &[Worker]) {
        let closed = |vm: &Name| {
            self.positions.get(vm).is_some_and(|position| self.accounts[*position].closed)
        };
        let mut accounts: Vec<Account> = workers
            .iter()
            .map(|worker| Account {
                closed: closed(&worker.vm),
                used: Resources::default(),
                worker: worker.clone(),
            })
            .collect();
        let positions: BTreeMap<Name, usize> = accounts
            .iter()
            .enumerate()
            .map(|(i, account)| (account.worker.vm.clone(), i))
            .collect();
        for booking in self.bookings.values() {
            if let Some(position) = positions.get(&booking.vm) {
                let account = &mut accounts[*position];
                account.used = account.used + booking.resources;
            }
        }
        self.with_accelerators = Tree::new(&accounts.iter().map(Account::free).collect::<Vec<_>>());
        self.without_accelerators =
            Tree::new(&accounts.iter().map(Account::free_without_accelerators).collect::<Vec<_>>());
        let offers: Vec<Resources> =
            accounts.iter().map(|account| account.worker.offered()).collect();
        self.offers = Tree::new(&offers);
        self.positions = positions;
        self.accounts = accounts;
    }

    /// Books a task that already runs on `vm`, as after a takeover. An earlier booking of the task
    /// is released. If `vm` is unknown, the task is booked nowhere.
    pub fn book(&mut self, demand: &Demand, vm: &Name) {
        self.release(&demand.task);
        let Some(position) = self.positions.get(vm).copied() else { return };
        let account = &mut self.accounts[position];
        account.used = account.used + demand.resources;
        let rack = account.worker.rack.clone();
        *self.racks.entry((demand.task.job.clone(), rack.clone())).or_default() += 1;
        let booking = Booking { rack, resources: demand.resources, vm: vm.clone() };
        self.bookings.insert(demand.task.clone(), booking);
        self.refresh(position);
    }

    /// Sets whether `vm` is closed to new tasks.
    pub fn set_closed(&mut self, vm: &Name, closed: bool) {
        let Some(position) = self.positions.get(vm).copied() else { return };
        if self.accounts[position].closed != closed {
            self.accounts[position].closed = closed;
            self.refresh(position);
        }
    }

    /// Returns how many tree nodes, leaves and inner nodes, were visited since construction.
    pub fn visited_nodes(&self) -> u64 {
        self.visited_nodes
    }

    /// Places a task on a worker where it fits and books its resources there.
    ///
    /// # Errors
    ///
    /// `NeverFits` if no worker could ever hold the task, `NoRoom` if none can now.
    pub fn place(&mut self, demand: &Demand) -> Result<Name, Refusal> {
        self.place_by(demand, |_| Assessment::Cost(0.0))
    }

    /// Places a task on the cheapest of the compared workers where it fits and that `assess`
    /// accepts.
    ///
    /// # Errors
    ///
    /// `NeverFits` if no worker could ever hold the task, `NoRoom` if no acceptable one was found
    /// now.
    pub fn place_by(
        &mut self,
        demand: &Demand,
        assess: impl FnMut(&Name) -> Assessment,
    ) -> Result<Name, Refusal> {
        let Some(position) = self.choose(demand, assess) else {
            return Err(self.refusal(demand));
        };
        let vm = self.accounts[position].worker.vm.clone();
        self.book(demand, &vm);
        Ok(vm)
    }

    /// Releases the resources of a task. Returns the VM that it was on, or `None` if it was not
    /// booked.
    pub fn release(&mut self, task: &task::Id) -> Option<Name> {
        let booking = self.bookings.remove(task)?;
        let key = (task.job.clone(), booking.rack);
        if let Some(count) = self.racks.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.racks.remove(&key);
            }
        }
        if let Some(position) = self.positions.get(&booking.vm).copied() {
            let account = &mut self.accounts[position];
            account.used = account.used.saturating_sub(&booking.resources);
            self.refresh(position);
        }
        Some(booking.vm)
    }

    /// Returns the sum of the resources booked on `vm`.
    pub fn used(&self, vm: &Name) -> Resources {
        self.positions.get(vm).map(|position| self.accounts[*position].used).unwrap_or_default()
    }

    fn choose(
        &mut self,
        demand: &Demand,
        mut assess: impl FnMut(&Name) -> Assessment,
    ) -> Option<usize> {
        let mut best: Option<(f64, usize)> = None;
        let mut accepted = 0;
        for _ in 0..MAX_EXAMINED.min(2 * self.accounts.len() as u32) {
            let position = self.sample(&demand.resources)?;
            let Assessment::Cost(cost) = assess(&self.accounts[position].worker.vm) else {
                continue;
            };
            let cost = cost + self.cost(demand, position);
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, position));
            }
            accepted += 1;
            if accepted == MAX_CANDIDATES {
                break;
            }
        }
        best.map(|(_, position)| position)
    }

    fn cost(&self, demand: &Demand, position: usize) -> f64 {
        let account = &self.accounts[position];
        let offered = account.worker.offered();
        let key = (demand.task.job.clone(), account.worker.rack.clone());
        let same_rack = self.racks.get(&key).copied().unwrap_or(0);
        let wastes_accelerators = demand.resources.accelerators == 0 && offered.accelerators > 0;
        let utilization =
            account.used.processors_milli as f64 / offered.processors_milli.max(1) as f64;
        f64::from(same_rack) * SAME_RACK_COST
            + utilization * UTILIZATION_COST
            + if wastes_accelerators { ACCELERATOR_COST } else { 0.0 }
    }

    fn refresh(&mut self, position: usize) {
        let account = &self.accounts[position];
        self.with_accelerators.set(position, account.free());
        self.without_accelerators.set(position, account.free_without_accelerators());
    }

    fn refusal(&self, demand: &Demand) -> Refusal {
        let needs = demand.resources;
        let (found, visits) = self.offers.find(&needs, 0);
        if self.accounts.is_empty() || found.is_some() || visits == tree::MAX_VISITS {
            return Refusal::NoRoom;
        }
        Refusal::NeverFits { needs, offered: self.offers.largest() }
    }

    fn sample(&mut self, needs: &Resources) -> Option<usize> {
        let start = self.random.random_range(0..self.accounts.len().max(1));
        let tree = if needs.accelerators == 0 {
            &self.without_accelerators
        } else {
            &self.with_accelerators
        };
        let (found, visits) = tree.find(needs, start);
        self.visited_nodes += u64::from(visits);
        found
    }
}

impl Account {
    /// Returns the free resources for tasks that need no accelerators.
    fn free_without_accelerators(&self) -> Resources {
        let free = self.free();
        free.saturating_sub(&self.worker.accelerator_reserve(free.accelerators))
    }

    fn free(&self) -> Resources {
        if self.closed {
            return Resources::default();
        }
        self.worker.offered().saturating_sub(&self.used)
    }
}
