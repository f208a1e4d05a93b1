//! The accounts of the workers' room, and the choice of a worker for a task.

use super::*;

/// Workers compared for one task.
const CANDIDATES: u32 = 6;
/// Workers looked at for one task, those that the caller refuses included.
const EXAMINED_MAX: u32 = 24;
/// Cost of each task of the same job that already runs in the worker's rack.
const RACK_COST: f64 = 0.02;
/// Cost of a worker with accelerators to a task that needs none.
const ACCELERATOR_COST: f64 = 0.5;
/// Cost of a worker's last free processor; a lower share of use costs proportionally less.
const FULL_COST: f64 = 0.05;

/// Accounts for the room of the workers of a cell. The amounts placed on a worker never exceed what
/// it offers at the time of placing.
#[derive(Clone, Debug)]
pub struct Placer {
    /// Room for tasks that need accelerators, by position.
    accelerated: Tree,
    /// Workers looked at since construction.
    examined: u64,
    /// What each worker offers when nothing runs, by position.
    offers: Tree,
    /// Room for tasks that need none, by position.
    plain: Tree,
    positions: BTreeMap<Name, usize>,
    /// Tasks of a job in a rack.
    racks: BTreeMap<(job::Id, Name), u32>,
    random: Pcg64Mcg,
    /// By position.
    sites: Vec<Site>,
    tasks: BTreeMap<task::Id, Placed>,
}

/// One worker with its accounts.
#[derive(Clone, Debug)]
struct Site {
    /// Whether it takes no new task.
    closed: bool,
    /// The sum of what is placed on it.
    used: Resources,
    worker: Worker,
}

/// Where a task is.
#[derive(Clone, Debug)]
struct Placed {
    rack: Name,
    resources: Resources,
    vm: Name,
}

impl Placer {
    /// Returns a placer without workers, whose choices follow from `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            accelerated: Tree::default(),
            examined: 0,
            offers: Tree::default(),
            plain: Tree::default(),
            positions: BTreeMap::new(),
            racks: BTreeMap::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            sites: Vec::new(),
            tasks: BTreeMap::new(),
        }
    }

    /// Replaces the workers. Tasks on workers that are gone stay booked until they are released;
    /// a worker that stays keeps its accounts and whether it is closed.
    pub fn apply(&mut self, workers: &[Worker]) {
        let closed =
            |vm: &Name| self.positions.get(vm).is_some_and(|position| self.sites[*position].closed);
        let mut sites: Vec<Site> = workers
            .iter()
            .map(|worker| Site {
                closed: closed(&worker.vm),
                used: Resources::default(),
                worker: worker.clone(),
            })
            .collect();
        let positions: BTreeMap<Name, usize> =
            sites.iter().enumerate().map(|(i, site)| (site.worker.vm.clone(), i)).collect();
        for placed in self.tasks.values() {
            if let Some(position) = positions.get(&placed.vm) {
                let site = &mut sites[*position];
                site.used = site.used + placed.resources;
            }
        }
        self.accelerated = Tree::new(&sites.iter().map(Site::room).collect::<Vec<_>>());
        self.plain = Tree::new(&sites.iter().map(Site::plain).collect::<Vec<_>>());
        let offers: Vec<Resources> = sites.iter().map(|site| site.worker.offered()).collect();
        self.offers = Tree::new(&offers);
        self.positions = positions;
        self.sites = sites;
    }

    /// Books a task that already runs on `vm`, as after a takeover. Booking it again moves it; an
    /// unknown VM has no accounts, and the task is then booked nowhere.
    pub fn book(&mut self, demand: &Demand, vm: &Name) {
        self.release(&demand.task);
        let Some(position) = self.positions.get(vm).copied() else { return };
        let site = &mut self.sites[position];
        site.used = site.used + demand.resources;
        let rack = site.worker.rack.clone();
        *self.racks.entry((demand.task.job.clone(), rack.clone())).or_default() += 1;
        let placed = Placed { rack, resources: demand.resources, vm: vm.clone() };
        self.tasks.insert(demand.task.clone(), placed);
        self.refresh(position);
    }

    /// Takes no new task on `vm` while `closed`.
    pub fn close(&mut self, vm: &Name, closed: bool) {
        let Some(position) = self.positions.get(vm).copied() else { return };
        if self.sites[position].closed != closed {
            self.sites[position].closed = closed;
            self.refresh(position);
        }
    }

    /// Returns how many workers and inner nodes were looked at since construction.
    pub fn examined(&self) -> u64 {
        self.examined
    }

    /// Places a task where it fits and takes the room.
    ///
    /// # Errors
    ///
    /// `NeverFits` when no worker could ever hold it, `NoRoom` when none can now.
    pub fn place(&mut self, demand: &Demand) -> Result<Name, Refusal> {
        self.place_by(demand, |_| Judgement::Cost(0.0))
    }

    /// Places a task where it fits and `judge` accepts it, at the lowest cost of those compared.
    ///
    /// # Errors
    ///
    /// `NeverFits` when no worker could ever hold it, `NoRoom` when none acceptable was found now.
    pub fn place_by(
        &mut self,
        demand: &Demand,
        judge: impl FnMut(&Name) -> Judgement,
    ) -> Result<Name, Refusal> {
        let Some(position) = self.choose(demand, judge) else {
            return Err(self.refusal(demand));
        };
        let vm = self.sites[position].worker.vm.clone();
        self.book(demand, &vm);
        Ok(vm)
    }

    /// Gives back the room of a task. Returns the VM that it was on, or `None` if it was nowhere.
    pub fn release(&mut self, task: &task::Id) -> Option<Name> {
        let placed = self.tasks.remove(task)?;
        let key = (task.job.clone(), placed.rack);
        if let Some(count) = self.racks.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.racks.remove(&key);
            }
        }
        if let Some(position) = self.positions.get(&placed.vm).copied() {
            let site = &mut self.sites[position];
            site.used = site.used.saturating_sub(&placed.resources);
            self.refresh(position);
        }
        Some(placed.vm)
    }

    /// Returns the sum of what is placed on `vm`.
    pub fn used(&self, vm: &Name) -> Resources {
        self.positions.get(vm).map(|position| self.sites[*position].used).unwrap_or_default()
    }

    fn choose(
        &mut self,
        demand: &Demand,
        mut judge: impl FnMut(&Name) -> Judgement,
    ) -> Option<usize> {
        let mut best: Option<(f64, usize)> = None;
        let mut accepted = 0;
        for _ in 0..EXAMINED_MAX.min(2 * self.sites.len() as u32) {
            let position = self.sample(&demand.resources)?;
            let Judgement::Cost(cost) = judge(&self.sites[position].worker.vm) else { continue };
            let cost = cost + self.cost(demand, position);
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, position));
            }
            accepted += 1;
            if accepted == CANDIDATES {
                break;
            }
        }
        best.map(|(_, position)| position)
    }

    fn cost(&self, demand: &Demand, position: usize) -> f64 {
        let site = &self.sites[position];
        let offered = site.worker.offered();
        let key = (demand.task.job.clone(), site.worker.rack.clone());
        let neighbours = self.racks.get(&key).copied().unwrap_or(0);
        let stranding = demand.resources.accelerators == 0 && offered.accelerators > 0;
        let full = site.used.processors_milli as f64 / offered.processors_milli.max(1) as f64;
        f64::from(neighbours) * RACK_COST
            + full * FULL_COST
            + if stranding { ACCELERATOR_COST } else { 0.0 }
    }

    fn refresh(&mut self, position: usize) {
        let site = &self.sites[position];
        self.accelerated.set(position, site.room());
        self.plain.set(position, site.plain());
    }

    fn refusal(&self, demand: &Demand) -> Refusal {
        let needs = demand.resources;
        let (found, visits) = self.offers.find(&needs, 0);
        if self.sites.is_empty() || found.is_some() || visits == tree::VISITS_MAX {
            return Refusal::NoRoom;
        }
        Refusal::NeverFits { needs, offered: self.offers.largest() }
    }

    fn sample(&mut self, needs: &Resources) -> Option<usize> {
        let from = self.random.random_range(0..self.sites.len().max(1));
        let tree = if needs.accelerators == 0 { &self.plain } else { &self.accelerated };
        let (found, visits) = tree.find(needs, from);
        self.examined += u64::from(visits);
        found
    }
}

impl Site {
    fn plain(&self) -> Resources {
        let room = self.room();
        room.saturating_sub(&self.worker.kept(room.accelerators))
    }

    fn room(&self) -> Resources {
        if self.closed {
            return Resources::default();
        }
        self.worker.offered().saturating_sub(&self.used)
    }
}
