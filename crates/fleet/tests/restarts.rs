//! Lasting tasks while workers start again under their IDs and are cut off soon after, and owners are lost. There is
//! room for all of them even without half of the workers.

mod world;

use {
    oleanderstage_fleet::{
        Event, Limits, Policy, Step, action::Report, predecessor::End, task, wait,
    },
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{collections::BTreeMap, env, ops::RangeInclusive, panic},
    world::{QUEUE, Store, World, id, name, step},
};

/// The time limits of a VM's process.
const LIMITS: Limits = Limits {
    lease_ms: 4_000,
    max_lease_ms: 10_000,
    owner_silence_ms: 7_000,
    silent_lease_ms: 2_600,
};
/// How long a lasting task may be away in a calm span, in milliseconds.
const AWAY_MS: u64 = 6_000;
/// How long no trouble must have been there for a task to count as away, in milliseconds.
const CALM_MS: u64 = 7_000;
/// How long an unanswered start is sent again, in milliseconds.
const RETRY_MS: u64 = 600;
/// How long a worker that reports to nobody keeps its entry, in milliseconds.
const ENTRY_MS: u64 = 3_000;

fn lasting(count: u16, cores: u64) -> Step {
    Step { lasting: true, ..step(count, cores) }
}

/// A change of the world at some time.
#[derive(Clone, Debug)]
enum Change {
    /// A worker crashes and is up again after this time, in milliseconds.
    Crash(String, u64),
    /// A worker is cut off from the owner.
    Cut(String),
    /// Its entry is gone.
    Expire(String),
    /// It can be reached again, and has an entry.
    Heal(String),
    /// The owner is lost.
    Lose,
    /// A new owner has the cell. It knows how the last one ended, or not.
    Take(End),
    /// The new owner learns that the last one has ended.
    LearnEnd,
    /// The store fails, or is back.
    Store(Store),
    /// Start orders are held up on their way, or not any more.
    Delay(bool),
    /// The owner has waited long enough for the answers to those that are on their way.
    TimeOut,
    /// Those that are on their way arrive.
    Deliver,
}

/// What a cell runs.
struct Load {
    policy: Policy,
    /// Number of tasks of each job.
    tasks: RangeInclusive<u16>,
}

impl Load {
    /// Jobs of several tasks.
    fn new() -> Self {
        Self { policy: Policy::default(), tasks: 1..=4 }
    }

    /// Jobs of one task, none of which waits for what it may have crashed.
    fn trusted() -> Self {
        let policy = Policy { suspicion: false, ..Policy::default() };
        Self { policy, tasks: 1..=1 }
    }
}

/// A cell with changes that are to come.
struct Trial {
    seed: u64,
    world: World,
    changes: BTreeMap<u64, Vec<Change>>,
    tasks: Vec<task::Name>,
    /// When each task last ran, in milliseconds.
    ran_at: BTreeMap<task::Name, u64>,
    /// The worker that ran each task last.
    ran_on: BTreeMap<task::Name, String>,
    has_owner: bool,
    /// Cuts of each worker that last, since cuts overlap.
    cuts: BTreeMap<String, usize>,
    /// The longest time for which a task was away, in milliseconds.
    longest_away_ms: u64,
    /// Until when trouble lasts, in milliseconds.
    troubled_until: u64,
}

impl Trial {
    /// Returns a cell in which all lasting tasks run.
    fn new(seed: u64, random: &mut Pcg64Mcg, load: Load) -> Self {
        let workers: Vec<String> =
            (0..random.random_range(6..=10)).map(|number| format!("w{number}")).collect();
        let mut world = World::new(&workers.iter().map(String::as_str).collect::<Vec<_>>());
        let racks = random.random_range(1..=3);
        for (number, worker) in (0..).zip(world.workers.values_mut()) {
            worker.rack = number % racks;
            worker.hold_max_ms = LIMITS.max_lease_ms;
        }
        world.limits = LIMITS;
        world.policy = load.policy;
        world.run_ms = 600_000;
        world.take_over();
        world.advance(500);
        let mut tasks = Vec::new();
        let mut cores_left = workers.len() as u64 * 16 / 5;
        for job in 0.. {
            let (count, cores) =
                (random.random_range(load.tasks.clone()), random.random_range(1..=3));
            let Some(left) = cores_left.checked_sub(u64::from(count) * cores) else { break };
            cores_left = left;
            world.submit(&job.to_string(), QUEUE, vec![lasting(count, cores)]);
            tasks.extend((0..count).map(|index| name(&job.to_string(), 0, index)));
        }
        world.advance(3_000);
        let ran_at = tasks.iter().map(|task| (*task, world.now)).collect();
        let mut trial = Self {
            seed,
            changes: BTreeMap::new(),
            tasks,
            ran_at,
            ran_on: BTreeMap::new(),
            has_owner: true,
            cuts: BTreeMap::new(),
            longest_away_ms: 0,
            troubled_until: world.now,
            world,
        };
        trial.check(0);
        assert!(trial.away(0).is_empty(), "seed {seed}: all run at first");
        trial
    }

    fn plan(&mut self, at: u64, change: Change) {
        let at = at / 10 * 10;
        self.troubled_until = self.troubled_until.max(at);
        self.changes.entry(at).or_default().push(change);
    }

    /// Plans a crash at `at`, in milliseconds, and the worker's return.
    fn plan_crash(&mut self, random: &mut Pcg64Mcg, worker: &str, at: u64) {
        let down_ms = random.random_range(20..=100) * 10;
        self.plan(at, Change::Crash(worker.into(), down_ms));
        self.troubled_until = self.troubled_until.max(at + down_ms);
    }

    /// Plans a cut of `cut_ms` from `at` on, both in milliseconds. The worker may lose its entry meanwhile.
    fn plan_cut(&mut self, worker: &str, at: u64, cut_ms: u64, expires: bool) {
        self.plan(at, Change::Cut(worker.into()));
        if expires && cut_ms > ENTRY_MS {
            self.plan(at + ENTRY_MS, Change::Expire(worker.into()));
        }
        self.plan(at + cut_ms, Change::Heal(worker.into()));
    }

    /// Plans the loss of the owner at `at`, in milliseconds, and a new one.
    fn plan_loss(&mut self, random: &mut Pcg64Mcg, at: u64) -> u64 {
        self.plan(at, Change::Lose);
        let taken_at = at + random.random_range(10..=220) * 10;
        let known = random.random_bool(0.3);
        self.plan(taken_at, Change::Take(if known { End::Ended } else { End::Unknown }));
        if !known && random.random_bool(0.5) {
            self.plan(taken_at + random.random_range(10..=200) * 10, Change::LearnEnd);
        }
        taken_at
    }

    fn apply(&mut self, change: Change) {
        let now = self.world.now;
        match change {
            Change::Crash(id, down_ms) => {
                let worker = self.world.worker(&id);
                let (unreachable, gone) = (worker.unreachable, worker.gone);
                worker.crash(now + down_ms, false);
                worker.clock_zero = now + down_ms;
                worker.hold_max_ms = LIMITS.max_lease_ms;
                (worker.unreachable, worker.gone) = (unreachable, gone);
            }
            Change::Cut(id) => {
                *self.cuts.entry(id.clone()).or_default() += 1;
                self.world.worker(&id).unreachable = true;
            }
            Change::Expire(id) => {
                if self.cuts.get(&id).is_some_and(|cuts| *cuts > 0) {
                    self.world.worker(&id).gone = true;
                    self.tell_members();
                }
            }
            Change::Heal(id) => {
                let cuts = self.cuts.entry(id.clone()).or_default();
                *cuts -= 1;
                if *cuts == 0 {
                    self.world.worker(&id).unreachable = false;
                    self.world.worker(&id).gone = false;
                    self.tell_members();
                }
            }
            Change::Lose => self.has_owner = false,
            // A cell is taken by a write to the store.
            Change::Take(end) if self.world.store != Store::Up => {
                self.plan(now + 100, Change::Take(end));
            }
            Change::Take(end) => {
                self.world.owner_end = end;
                self.has_owner = true;
                self.world.take_over();
            }
            Change::LearnEnd if self.has_owner => {
                self.world.handle(Event::PredecessorEnded(End::Ended));
            }
            Change::LearnEnd => {}
            Change::Store(store) => self.world.store = store,
            Change::Delay(delays) => self.world.delays_starts = delays,
            Change::TimeOut if self.has_owner => self.world.time_out_delayed(),
            Change::TimeOut => {}
            Change::Deliver => self.world.carry_out_all_delayed(),
        }
    }

    fn tell_members(&mut self) {
        if self.has_owner {
            self.world.tell_members();
        }
    }

    /// Advances the time until `until`, in milliseconds. A task may be away for `bound_ms`, and for longer during
    /// trouble if `only_in_calm`.
    fn run(&mut self, until: u64, bound_ms: u64, only_in_calm: bool) {
        let mut calm_since = self.world.now;
        while self.world.now < until {
            let due = self.changes.remove(&self.world.now).unwrap_or_default();
            due.into_iter().for_each(|change| self.apply(change));
            match self.has_owner {
                true => self.world.advance(10),
                false => self.world.pause(10),
            }
            let now = self.world.now;
            if !self.is_calm() {
                calm_since = now;
            }
            let bound_ms = match only_in_calm && now < calm_since + CALM_MS {
                true => u64::MAX,
                false => bound_ms,
            };
            self.check(bound_ms);
        }
    }

    fn is_calm(&self) -> bool {
        let is_well =
            |worker: &world::Worker| !worker.is_down(self.world.now) && !worker.unreachable;
        self.has_owner
            && self.world.store == Store::Up
            && !self.world.delays_starts
            && !self.world.has_delayed()
            && self.world.workers.values().all(is_well)
    }

    /// Checks that no task runs twice, and that none has been away for longer than `bound_ms`.
    fn check(&mut self, bound_ms: u64) {
        let now = self.world.now;
        let mut runs: BTreeMap<task::Name, Vec<&String>> = BTreeMap::new();
        for (id, worker) in &self.world.workers {
            for task in worker.held.keys() {
                runs.entry(*task).or_default().push(id);
            }
        }
        for (task, holders) in runs {
            assert!(
                holders.len() == 1,
                "seed {}, {now} ms: TWICE {task} at {holders:?}",
                self.seed
            );
            self.ran_at.insert(task, now);
            self.ran_on.insert(task, holders[0].clone());
        }
        for task in &self.tasks {
            self.longest_away_ms = self.longest_away_ms.max(now - self.ran_at[task]);
        }
        if bound_ms < u64::MAX {
            let away = self.away(bound_ms);
            if !away.is_empty() {
                let cause: Vec<String> = away.iter().map(|task| self.story(*task)).collect();
                panic!("seed {}, {now} ms: LOST {}", self.seed, cause.join("\n"));
            }
        }
    }

    /// Returns the tasks that have been away for longer than `bound_ms`.
    fn away(&self, bound_ms: u64) -> Vec<task::Name> {
        let since = |task: &&task::Name| self.world.now - self.ran_at[task] > bound_ms;
        self.tasks.iter().filter(since).copied().collect()
    }

    /// Returns what the owner has last reported of a task that is away.
    fn story(&self, task: task::Name) -> String {
        let is_its = |report: &&Report| match report {
            Report::Waiting { task: first, .. } => first.job == task.job,
            Report::Start { task: own, .. }
            | Report::Released { task: own, .. }
            | Report::Refused { task: own, .. }
            | Report::Stop { task: own, .. } => *own == task,
            _ => false,
        };
        let reports = self.world.reports.iter().rev().filter(is_its).take(6);
        let reports: Vec<String> = reports.map(|report| format!("  {report:?}")).collect();
        let status = self.world.cell.job(&task.job).and_then(|job| job.task(&task));
        format!(
            "{task}, last at {:?} until {}\n  {:?}\n{}",
            self.ran_on.get(&task),
            self.ran_at[&task],
            status.map(|task| (&task.status, task.suspicion.level())),
            reports.join("\n")
        )
    }
}

/// Returns some of the workers, `share` of them on average, `most` at the most.
fn some(random: &mut Pcg64Mcg, workers: &[String], share: f64, most: usize) -> Vec<String> {
    let mut chosen: Vec<String> =
        workers.iter().filter(|_| random.random_bool(share)).cloned().collect();
    while chosen.len() > most {
        chosen.remove(random.random_range(0..chosen.len()));
    }
    chosen
}

/// Series of crashes, cuts and losses of owners, some of which overlap, with calm spans between others.
fn survive_series(seed: u64, load: Load) -> u64 {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut trial = Trial::new(seed, &mut random, load);
    let workers: Vec<String> = trial.world.workers.keys().cloned().collect();
    let most = workers.len() / 2;
    let mut begin = trial.world.now + 100;
    for _ in 0..random.random_range(1..=4) {
        let crashed = some(&mut random, &workers, 0.5, most);
        for id in &crashed {
            let at = begin + random.random_range(0..=80) * 10;
            trial.plan_crash(&mut random, id, at);
        }
        // Half of those that were away, or others.
        let cut = match random.random_bool(0.5) {
            true => some(&mut random, &crashed, 0.8, most),
            false => some(&mut random, &workers, 0.5, most),
        };
        let cut_at = begin + 1_000 + random.random_range(0..=300) * 10;
        let cut_ms = random.random_range(400..=1_100) * 10;
        let expires = random.random_bool(0.5);
        for id in &cut {
            trial.plan_cut(id, cut_at, cut_ms, expires);
        }
        let mut lost_at = begin + random.random_range(0..=500) * 10;
        for _ in 0..random.random_range(0..=3) {
            let taken_at = trial.plan_loss(&mut random, lost_at);
            lost_at = taken_at + 10 + random.random_range(0..=500) * 10;
        }
        if random.random_bool(0.4) {
            let at = begin + random.random_range(0..=600) * 10;
            let stores = [Store::Down, Store::LosesAnswers];
            trial.plan(at, Change::Store(stores[random.random_range(0..2)]));
            trial.plan(at + random.random_range(10..=250) * 10, Change::Store(Store::Up));
        }
        if random.random_bool(0.3) {
            let at = begin + random.random_range(0..=500) * 10;
            trial.plan(at, Change::Delay(true));
            trial.plan(at + 150, Change::Delay(false));
            trial.plan(at + 450, Change::TimeOut);
            trial.plan(at + random.random_range(46..=300) * 10, Change::Deliver);
        }
        begin = match random.random_bool(0.5) {
            true => begin + random.random_range(300..=1_200) * 10,
            false => trial.troubled_until + random.random_range(800..=1_500) * 10,
        };
    }
    let end = trial.troubled_until + 10_000;
    trial.run(end, AWAY_MS, true);
    trial.longest_away_ms
}

/// Workers that start again and are cut off, in turn and without an end, while others are untouched.
fn survive_unending(seed: u64, load: Load, losses: bool, bound_ms: u64) -> u64 {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut trial = Trial::new(seed, &mut random, load);
    let workers: Vec<String> = trial.world.workers.keys().cloned().collect();
    let (troubled, _) = workers.split_at(workers.len() / 2);
    let end = trial.world.now + 60_000;
    for id in troubled {
        let mut at = trial.world.now + 100 + random.random_range(0..=400) * 10;
        while at < end {
            trial.plan_crash(&mut random, id, at);
            at += 1_000 + random.random_range(100..=300) * 10;
            let cut_ms = random.random_range(400..=1_100) * 10;
            trial.plan_cut(id, at, cut_ms, random.random_bool(0.5));
            at += cut_ms + random.random_range(0..=200) * 10;
        }
    }
    if losses {
        let mut at = trial.world.now + 100 + random.random_range(0..=1_000) * 10;
        while at < end {
            at = trial.plan_loss(&mut random, at) + random.random_range(300..=2_500) * 10;
        }
    }
    trial.run(end, bound_ms, false);
    trial.longest_away_ms
}

/// Returns a cell of two workers, which starts the next task at the first, and that task.
fn two_workers() -> (World, task::Name) {
    let mut world = World::new(&["w1", "w2"]);
    world.limits = LIMITS;
    world.take_over();
    world.run_ms = 600_000;
    world.advance(3_000);
    (world, name("1", 0, 0))
}

/// A task whose start got no answer waited for two more polls of a second each after its worker answered again, with a new
/// lease: longer than a worker stayed reachable that came and went.
#[test]
fn a_start_without_an_answer_is_over_soon_after_its_worker_answers_again() {
    let (mut world, task) = two_workers();
    world.worker("w1").unreachable = true;
    world.submit("1", QUEUE, vec![lasting(1, 1)]);
    world.advance(2_500);
    assert_eq!(
        world.running(task),
        [] as [&str; 0],
        "its start has gone to the worker that is cut off"
    );
    world.worker("w1").unreachable = false;
    world.advance(900);
    assert_eq!(world.running(task).len(), 1);
}

/// A task that waited for a worker's lease waited longer by the time for which its stop was sent again, which asks for no
/// lease.
#[test]
fn a_stop_extends_no_lease() {
    for offset_ms in (0..1_000).step_by(100) {
        let (mut world, task) = two_workers();
        world.advance(offset_ms);
        world.worker("w1").unreachable = true;
        world.submit("1", QUEUE, vec![lasting(1, 1)]);
        world.advance(LIMITS.longest_lease_ms() + 700);
        assert_eq!(world.running(task), ["w2"], "cut off after {offset_ms} ms");
    }
}

/// TWICE: a new owner without the store could grant no lease to a worker that answered it once, and took the last owner's
/// lease for over with that.
#[test]
fn a_worker_that_answered_once_keeps_the_lease_of_the_last_owner() {
    for heal_ms in (1_700..2_600).step_by(100) {
        for up_ms in [20, 300] {
            let (mut world, task) = two_workers();
            world.submit("1", QUEUE, vec![lasting(1, 1)]);
            world.advance(3_050);
            assert_eq!(world.running(task), ["w1"]);
            ["w1", "w2"].into_iter().for_each(|id| world.worker(id).unreachable = true);
            world.take_over();
            world.store = Store::Down;
            world.advance(heal_ms);
            world.worker("w1").unreachable = false;
            world.advance(up_ms);
            world.worker("w1").unreachable = true;
            world.worker("w2").unreachable = false;
            world.advance(300);
            world.store = Store::Up;
            for _ in 0..600 {
                world.advance(10);
                assert!(world.running(task).len() < 2, "after {heal_ms} ms, for {up_ms} ms");
            }
            assert_eq!(world.running(task), ["w2"], "after {heal_ms} ms, for {up_ms} ms");
        }
    }
}

/// Returns a number from the environment.
fn number(variable: &str, default: u64) -> u64 {
    env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Runs a trial with each of the seeds: `count` of them, or those that the environment tells.
fn with_seeds(count: u64, survive: impl Fn(u64) -> u64 + panic::RefUnwindSafe) {
    let first = number("RESTARTS_FIRST", 0);
    let seeds = first..first + number("RESTARTS_COUNT", count);
    let outcomes: Vec<(u64, Option<u64>)> =
        seeds.map(|seed| (seed, panic::catch_unwind(|| survive(seed)).ok())).collect();
    let longest = outcomes.iter().filter_map(|(seed, away_ms)| Some(((*away_ms)?, seed))).max();
    println!("longest time away and its seed: {longest:?}");
    let failed = outcomes.iter().filter(|(_, away_ms)| away_ms.is_none());
    let failed: Vec<u64> = failed.map(|(seed, _)| *seed).collect();
    assert_eq!(failed, [0; 0], "of {} seeds", outcomes.len());
}

/// LOST: tasks under which workers had crashed waited long after the last trouble.
#[test]
fn tasks_under_which_workers_have_crashed_run_again_in_calm_spans() {
    with_seeds(24, |seed| survive_series(seed, Load::new()));
}

#[test]
fn trusted_lasting_tasks_run_again_in_calm_spans() {
    with_seeds(24, |seed| survive_series(seed, Load::trusted()));
}

/// A start at a worker that was cut off a moment ago waits for its lease; three may follow one another.
#[test]
fn trusted_lasting_tasks_run_again_while_workers_come_and_go() {
    let bound_ms = 3 * (LIMITS.longest_lease_ms() + RETRY_MS);
    with_seeds(16, |seed| survive_unending(seed, Load::trusted(), false, bound_ms));
}

/// Each new owner may wait for the leases of the ones before.
#[test]
fn trusted_lasting_tasks_run_again_while_workers_and_owners_come_and_go() {
    let bound_ms = 2 * LIMITS.longest_silence_ms() + 2 * (LIMITS.longest_lease_ms() + RETRY_MS);
    with_seeds(16, |seed| survive_unending(seed, Load::trusted(), true, bound_ms));
}

/// Planned starts were dropped each time the workers' entries were too old for a moment.
#[test]
fn planned_starts_outlast_moments_in_which_the_workers_entries_are_too_old() {
    let mut world = World::new(&["w1", "w2"]);
    world.run_ms = 5_000;
    world.submit("1", QUEUE, vec![lasting(4, 1)]);
    world.advance(500);
    world.limits = LIMITS;
    world.take_over();
    world.advance(4_400);
    // The tasks end, and their next starts wait for a second to be recorded.
    world.store = Store::Down;
    for _ in 0..6 {
        world.advance(300);
        world.handle(Event::ViewStale(true));
        world.handle(Event::ViewStale(false));
    }
    let waits = |&task: &u16| world.running(name("1", 0, task)).is_empty();
    assert_eq!((0..4).filter(waits).collect::<Vec<u16>>(), [0; 0]);
}

/// Returns the world with a start planned at the only worker, whose entry is too old.
fn planned_world() -> World {
    let mut world = World::new(&["w1"]);
    world.run_ms = 5_000;
    world.submit("1", QUEUE, vec![lasting(1, 1)]);
    world.advance(500);
    world.limits = LIMITS;
    world.take_over();
    world.advance(4_400);
    // The task ends, and its next start waits for a second to be recorded.
    world.store = Store::Down;
    world.advance(300);
    world.handle(Event::ViewStale(true));
    world.store = Store::Up;
    world
}

/// The worker of a planned start may leave while its entry is too old.
#[test]
fn planned_starts_go_to_no_worker_that_leaves_meanwhile() {
    for leaves in [false, true] {
        let mut world = planned_world();
        let starts = world.worker("w1").starts.len();
        world.advance(1_500);
        assert_eq!(world.worker("w1").starts.len(), starts, "its entry is too old");
        world.worker("w1").draining = leaves;
        world.tell_members();
        world.handle(Event::ViewStale(false));
        world.advance(500);
        let expected = if leaves { starts } else { starts + 1 };
        assert_eq!(world.worker("w1").starts.len(), expected);
    }
}

/// ROUTE: a worker that starts again under its ID may be of another service.
#[test]
fn planned_starts_go_to_no_worker_that_is_of_another_service_meanwhile() {
    let mut world = planned_world();
    world.withholds_entries = true;
    let starts = world.worker("w1").starts.len();
    let until = world.now + 300;
    let worker = world.worker("w1");
    worker.crash(until, false);
    worker.clock_zero = until;
    worker.service = "other";
    world.advance(1_500);
    world.tell_members();
    world.handle(Event::ViewStale(false));
    world.advance(2_000);
    assert_eq!(world.worker("w1").starts.len(), starts);
}

/// Returns the last reported cause for which a task of a job waits.
fn cause(world: &World, job: &str) -> Option<wait::Cause> {
    let of_job = |report: &Report| match report {
        Report::Waiting { task, cause, .. } if task.job == id(job) => Some(*cause),
        _ => None,
    };
    world.reports.iter().rev().find_map(of_job)
}

#[test]
fn the_log_tells_what_planned_starts_wait_for() {
    let mut world = planned_world();
    world.advance(2_500);
    assert_eq!(cause(&world, "1"), Some(wait::Cause::View));

    let mut world = World::new(&["w1"]);
    world.store = Store::Down;
    world.submit("1", QUEUE, vec![lasting(1, 1)]);
    world.advance(2_500);
    assert_eq!(cause(&world, "1"), Some(wait::Cause::Record));
}
