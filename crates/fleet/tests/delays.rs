//! Lasting jobs that wait because lasting tasks hold all that they may.

mod world;

use {
    oleanderstage_fleet::{Event, Step, action::Report, job, listing::EndReason, task},
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::collections::BTreeMap,
    world::{QUEUE, Store, World, id, name, site::Site, step},
};

const FOUR_WORKERS: [&str; 4] = ["w1", "w2", "w3", "w4"];

fn lasting(count: u16, cores: u64) -> Step {
    Step { lasting: true, ..step(count, cores) }
}

impl World {
    /// Returns a cell of 64 cores, whose lasting tasks may hold 44.8 of them and hold 40.
    fn nearly_full() -> Self {
        let mut world = Self::new(&FOUR_WORKERS);
        world.run_ms = 600_000;
        world.submit("1", QUEUE, vec![lasting(10, 4)]);
        world.advance(200);
        world
    }

    /// Returns how many of the first tasks of a job run.
    fn running_tasks(&self, job: &str, tasks: u16) -> usize {
        (0..tasks).filter(|&task| !self.running(name(job, 0, task)).is_empty()).count()
    }

    /// Returns the number of tasks that run.
    fn running_count(&self) -> usize {
        self.workers.values().map(|worker| worker.held.len()).sum()
    }

    fn overtaken(&self) -> Vec<&Report> {
        let overtaken = |report: &&Report| matches!(report, Report::Overtaken { .. });
        self.reports.iter().filter(overtaken).collect()
    }
}

/// A job of six tasks waited whole, without end, while later jobs of one task took the room that came free.
#[test]
fn later_small_lasting_jobs_pass_no_large_one() {
    let mut world = World::nearly_full();
    world.submit("2", QUEUE, vec![lasting(6, 4)]);
    world.advance(200);
    for number in 0..6 {
        world.submit(&format!("a{number}"), QUEUE, vec![lasting(1, 4)]);
        world.advance(200);
    }
    assert_eq!(world.running_tasks("2", 6), 1, "what the limit allows");
    assert_eq!(world.running_count(), 11);
    world.cancel("1");
    world.advance(500);
    assert_eq!(world.running_tasks("2", 6), 6);
    assert_eq!(world.running_count(), 11, "the small ones follow, up to the limit");
    assert_eq!(world.overtaken(), Vec::<&Report>::new());
}

/// Each new owner took all that waited for what had run before, and started it past the limit.
#[test]
fn a_new_owner_keeps_the_limit() {
    let mut world = World::nearly_full();
    world.submit("2", QUEUE, vec![lasting(6, 4)]);
    world.submit("3", QUEUE, vec![lasting(2, 4)]);
    world.advance(500);
    for _ in 0..3 {
        world.take_over();
        world.advance(2_000);
        assert_eq!(world.running_tasks("2", 6), 1);
        assert_eq!(world.running_count(), 11);
    }
}

/// Lasting tasks that have run restart at once, whoever owns the cell by then and however much others hold.
#[test]
fn tasks_that_ran_under_an_earlier_owner_restart_past_the_limit() {
    let mut world = World::nearly_full();
    world.submit("2", QUEUE, vec![lasting(6, 4)]);
    world.advance(500);
    assert_eq!(world.running_count(), 11);
    world.crash("w1");
    world.worker("w1").down_until = u64::MAX;
    world.worker("w1").gone = true;
    world.take_over();
    world.advance(12_000);
    assert_eq!(world.running_tasks("1", 10) + world.running_tasks("2", 1), 11, "44 of 48 cores");
    assert_eq!(world.running_count(), 11);
}

/// A new owner must not take a task that has run for one that never has.
#[test]
fn the_first_start_of_a_lasting_task_waits_for_its_record() {
    let mut world = World::new(&FOUR_WORKERS);
    world.run_ms = 600_000;
    world.store = Store::Down;
    world.submit("1", QUEUE, vec![lasting(2, 4)]);
    world.advance(5_000);
    assert_eq!(world.running_count(), 0);
    world.store = Store::Up;
    world.advance(500);
    assert_eq!(world.running_count(), 2);
    world.store = Store::Down;
    let run = world.workers["w1"].held[&name("1", 0, 0)].run;
    world.worker("w1").held.remove(&name("1", 0, 0));
    world.worker("w1").end(name("1", 0, 0), run, EndReason::Failed, String::new());
    world.advance(500);
    assert_eq!(world.running_count(), 2, "it restarts without the store");
}

/// The room of a silent worker and of the one in its place counted twice, and others started in the room that the
/// tasks of the silent one need.
#[test]
fn a_worker_that_is_replaced_lets_nobody_past_the_limit() {
    let mut world = World::nearly_full();
    world.submit("2", QUEUE, vec![lasting(6, 4)]);
    world.advance(500);
    world.replaces_crashed = true;
    world.crash("w1");
    for _ in 0..120 {
        world.advance(100);
        assert!(world.running_tasks("2", 6) <= 1, "{} ms", world.now);
    }
    assert_eq!(world.running_count(), 11);
}

/// What was planned and never ordered has not run, and its next start waits for its record as the first did.
#[test]
fn a_start_that_was_not_ordered_is_no_run() {
    let mut world = World::new(&FOUR_WORKERS);
    world.run_ms = 600_000;
    world.store = Store::Down;
    world.submit("1", QUEUE, vec![lasting(2, 4)]);
    world.advance(500);
    world.handle(Event::ViewStale(true));
    world.advance(500);
    world.handle(Event::ViewStale(false));
    world.advance(2_000);
    assert_eq!(world.running_count(), 0);
    world.store = Store::Up;
    world.advance(500);
    assert_eq!(world.running_tasks("1", 2), 2);
}

#[test]
fn a_lasting_job_begins_in_two_cells_with_room_for_half_of_it_each() {
    let mut site = Site::new(2, 600_000);
    for cell in 0..2 {
        (1..4).for_each(|worker| site.add_worker(cell, &format!("c{cell}w{worker}")));
        site.with(cell, |world| {
            world.submit(&format!("{cell}"), QUEUE, vec![lasting(10, 4)]);
        });
    }
    site.advance(1_000);
    site.with(0, |world| world.submit("2", QUEUE, vec![lasting(2, 4)]));
    site.advance(5_000);
    for cell in 0..2 {
        assert_eq!(site.worlds[cell].running_tasks("2", 2), 1, "cell {cell}");
        assert_eq!(site.worlds[cell].running_count(), 11, "cell {cell}");
    }
}

/// The gaps that smaller tasks left on the workers were taken by later smaller ones.
#[test]
fn a_large_lasting_task_gets_a_worker_before_later_small_ones() {
    let mut world = World::new(&["w1", "w2"]);
    world.run_ms = 600_000;
    let on_both = |cores| vec![Step { per_worker: 1, ..lasting(2, cores) }];
    world.submit("1", QUEUE, on_both(6));
    world.advance(200);
    world.submit("2", QUEUE, vec![lasting(1, 12)]);
    world.advance(200);
    world.submit("a0", QUEUE, on_both(5));
    world.advance(200);
    world.cancel("1");
    world.advance(500);
    for number in 1..6 {
        world.submit(&format!("a{number}"), QUEUE, on_both(5));
        world.advance(500);
        world.cancel(&format!("a{}", number - 1));
        world.advance(500);
    }
    assert_eq!(world.running_tasks("2", 1), 1);
}

/// A lasting job of the load on which large ones waited.
struct Arrival {
    job: String,
    at: u64,
    until: u64,
    step: Step,
}

/// Returns many lasting jobs within 130 ms, as after a restart of their callers, and one every five seconds after
/// that. They ask for more than lasting tasks may hold.
fn arrivals(random: &mut Pcg64Mcg) -> Vec<Arrival> {
    let mut arrival = |number: u64, at: u64| {
        let step = lasting(random.random_range(2..=12), random.random_range(8..=20));
        let until = at + random.random_range(10_000..100_000);
        Arrival { job: format!("{number}"), at, until, step }
    };
    let mut arrivals: Vec<Arrival> =
        (0..18).map(|number| arrival(number, number * 130 / 18)).collect();
    arrivals.extend((0..8).map(|number| arrival(100 + number, 5_000 * (number + 1))));
    arrivals
}

/// Returns the share of each job's tasks that were at work while it was wanted, with the job's size.
fn play(seed: u64) -> (Vec<(u64, f64)>, Vec<String>) {
    const END_MS: u64 = 50_000;
    let ids: Vec<String> = (0..24).map(|worker| format!("w{worker}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut world = World::unanswered(&ids);
    world.cores = 64;
    world.run_ms = 600_000;
    world.tell_members();
    world.advance(100);
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let arrivals = arrivals(&mut random);
    let mut at_work: BTreeMap<job::Id, u64> = BTreeMap::new();
    for now in (0..END_MS).step_by(10) {
        for arrival in &arrivals {
            if arrival.at / 10 == now / 10 {
                world.submit(&arrival.job, QUEUE, vec![arrival.step.clone()]);
            }
            if arrival.until / 10 == now / 10 {
                world.cancel(&arrival.job);
            }
        }
        world.advance(10);
        if now % 100 == 0 {
            let held = world.workers.values().flat_map(|worker| worker.held.keys());
            held.for_each(|task: &task::Name| *at_work.entry(task.job).or_default() += 100);
        }
    }
    let shares = arrivals.iter().filter(|arrival| arrival.at + 2_000 < END_MS).map(|arrival| {
        let wanted_ms = arrival.until.min(END_MS) - arrival.at;
        let wanted = wanted_ms * u64::from(arrival.step.count);
        let had = at_work.get(&id(&arrival.job)).copied().unwrap_or(0);
        let size = arrival.step.reserved().processors_milli * u64::from(arrival.step.count);
        (size, had as f64 / wanted as f64)
    });
    let overtaken = world.overtaken().iter().map(|report| format!("{report:?}")).collect();
    (shares.collect(), overtaken)
}

/// Large jobs waited for room for all of their tasks while smaller ones came and went.
#[test]
fn lasting_jobs_of_every_size_get_their_turn() {
    let (mut largest, mut all) = (Vec::new(), Vec::new());
    for seed in 1..=40 {
        let (mut shares, overtaken) = play(seed);
        assert_eq!(overtaken, Vec::<String>::new(), "seed {seed}");
        shares.sort_by_key(|&(size, _)| std::cmp::Reverse(size));
        largest.extend(shares[..shares.len() / 10].iter().map(|&(_, share)| share));
        all.extend(shares.iter().map(|&(_, share)| share));
    }
    let mean = |shares: &[f64]| shares.iter().sum::<f64>() / shares.len() as f64;
    let (largest, all) = (mean(&largest), mean(&all));
    assert!(largest >= all, "of the largest tenth {largest:.2} are at work, of all {all:.2}");
}
