//! Lasting jobs whose tasks run in several cells: each cell has an owner of its own, and they share a store.

mod world;

use {
    oleanderstage_fleet::{Event, Head, Step, Ticket, job, task},
    std::collections::BTreeMap,
    world::{QUEUE, Store, World, id, name, step},
};

const JOB: &str = "1";
/// Interval between reads of the heads, in milliseconds.
const HEADS_INTERVAL_MS: u64 = 400;
/// Time from the write of a record until its cell's owner sees it, in milliseconds.
const WATCH_MS: u64 = 20;

/// Cells with one store. Each has one worker of 16 cores at first.
struct Site {
    worlds: Vec<World>,
    revision: u64,
    tickets: BTreeMap<job::Id, (Ticket, u64)>,
    records: BTreeMap<(u32, job::Id), job::Record>,
    /// Changes of records on their way to the owner of each cell, with the time of arrival.
    changes: Vec<Vec<(u64, Event)>>,
    /// Time from the write of a record until each cell's owner sees it, in milliseconds.
    watch_ms: Vec<u64>,
    now: u64,
}

impl Site {
    fn new(cells: u32) -> Self {
        let mut site = Self {
            worlds: Vec::new(),
            revision: 1,
            tickets: BTreeMap::new(),
            records: BTreeMap::new(),
            changes: (0..cells).map(|_| Vec::new()).collect(),
            watch_ms: vec![WATCH_MS; cells as usize],
            now: 0,
        };
        for cell in 0..cells {
            let mut world = World::numbered(cell, &[&format!("c{cell}w0")]);
            world.run_ms = 600_000;
            site.worlds.push(world);
        }
        site.advance(500);
        site
    }

    /// Submits a lasting job of six cores a task to cell 0.
    fn submit(&mut self, tasks: u16) {
        self.with(0, |world| {
            world.submit(JOB, QUEUE, vec![Step { lasting: true, ..step(tasks, 6) }]);
        });
    }

    /// Lets a cell act on the store, and announces the records that it changes.
    fn with<T>(&mut self, cell: usize, act: impl FnOnce(&mut World) -> T) -> T {
        let before = self.records.clone();
        self.swap_store(cell);
        let result = act(&mut self.worlds[cell]);
        self.swap_store(cell);
        for ((other, id), record) in &self.records {
            if before.get(&(*other, *id)) == Some(record) {
                continue;
            }
            let other = *other as usize;
            let revision = self.tickets[id].1;
            let event = Event::Accepted { id: *id, record: record.clone(), revision };
            self.changes[other].push((self.now + self.watch_ms[other], event));
        }
        result
    }

    fn swap_store(&mut self, cell: usize) {
        let world = &mut self.worlds[cell];
        std::mem::swap(&mut world.revision, &mut self.revision);
        std::mem::swap(&mut world.tickets, &mut self.tickets);
        std::mem::swap(&mut world.records, &mut self.records);
    }

    fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now += 10;
            let heads: Vec<(Head, u64)> =
                self.worlds.iter().map(|world| world.head.clone()).collect();
            for cell in 0..self.worlds.len() {
                let (due, later) = std::mem::take(&mut self.changes[cell])
                    .into_iter()
                    .partition(|(at, _)| *at <= self.now);
                self.changes[cell] = later;
                let due: Vec<(u64, Event)> = due;
                let heads = heads.clone();
                let owners = heads.len();
                let read = self.now.is_multiple_of(HEADS_INTERVAL_MS);
                self.with(cell, |world| {
                    due.into_iter().for_each(|(_, event)| world.handle(event));
                    if read {
                        world.handle(Event::Heads { heads, owners });
                    }
                    world.advance(10);
                });
            }
            self.assert_none_runs_twice();
        }
    }

    /// Advances the time until `done` holds.
    fn advance_until(&mut self, done: impl Fn(&Self) -> bool) {
        for _ in 0..3_000 {
            if done(self) {
                return;
            }
            self.advance(10);
        }
        panic!("not done after 30 s; {:?}", self.records);
    }

    /// Replaces the owner of a cell. The new one reads the store as it is.
    fn take_over(&mut self, cell: usize) {
        self.changes[cell].clear();
        self.with(cell, World::take_over);
    }

    /// Crashes a worker, which doesn't come back.
    fn lose_worker(&mut self, cell: usize, worker: &str) {
        self.with(cell, |world| {
            world.crash(worker);
            world.worker(worker).down_until = u64::MAX;
            world.worker(worker).gone = true;
            let members = world.members();
            world.handle(Event::Workers(members));
        });
    }

    fn add_worker(&mut self, cell: usize, worker: &str) {
        self.with(cell, |world| world.add_worker(worker));
    }

    fn ticket(&self) -> &Ticket {
        &self.tickets[&id(JOB)].0
    }

    /// Returns the cells in which a task runs.
    fn cells_of(&self, task: task::Name) -> Vec<usize> {
        let holds = |cell: &usize| !self.worlds[*cell].running(task).is_empty();
        (0..self.worlds.len()).filter(holds).collect()
    }

    fn assert_none_runs_twice(&self) {
        let mut runs: BTreeMap<task::Name, Vec<&str>> = BTreeMap::new();
        for (id, worker) in self.worlds.iter().flat_map(|world| &world.workers) {
            for task in worker.held.keys() {
                runs.entry(*task).or_default().push(id);
            }
        }
        runs.retain(|_, workers| workers.len() > 1);
        assert!(runs.is_empty(), "{} ms: {runs:?}", self.now);
    }

    fn assert_all_run_once(&self, tasks: u16) {
        let waiting: Vec<u16> =
            (0..tasks).filter(|&task| self.cells_of(name(JOB, 0, task)).len() != 1).collect();
        assert!(waiting.is_empty(), "{waiting:?} don't run; {:?}", self.ticket());
        let belongs = |task: u16| {
            let holds = |record: &&job::Record| {
                record.tasks.as_ref().is_none_or(|tasks| tasks.contains(&(0, task)))
            };
            self.records.values().filter(holds).count()
        };
        assert!((0..tasks).all(|task| belongs(task) == 1), "{:?}", self.records);
    }
}

/// The answer to a split is lost, and the store doesn't answer until the tasks have come back.
#[test]
fn tasks_that_come_back_before_the_answer_to_their_split_run_here() {
    let mut site = Site::new(2);
    site.submit(3);
    site.advance(3_000);
    site.worlds[0].store = Store::LosesAnswers;
    site.lose_worker(0, "c0w0");
    let own = |site: &Site, cell| site.records[&(cell, id(JOB))].tasks.clone().unwrap_or_default();
    site.advance_until(|site| own(site, 1).len() == 2);
    site.worlds[0].store = Store::Down;
    site.lose_worker(1, "c1w0");
    let head = Head { largest_milli: 16_000, total_milli: 16_000, ..site.worlds[0].head.0.clone() };
    let heads = vec![(head, site.revision + 1)];
    site.with(1, |world| world.handle(Event::Heads { heads, owners: 2 }));
    site.advance_until(|site| own(site, 1).is_empty());
    site.worlds[0].store = Store::Up;
    site.add_worker(0, "a");
    site.add_worker(0, "b");
    site.advance(8_000);
    site.assert_all_run_once(3);
    site.take_over(0);
    site.advance(8_000);
    site.assert_all_run_once(3);
}
