//! Placement that looks at what will end soon: small tasks beside large ones.

mod world;

use {
    oleanderstage_core::resources::Resources,
    oleanderstage_fleet::{Forecast, Reservation, Step, action::Report, reservation::Book},
    world::{QUEUE, World, filling, name, serving, step},
};

fn cores(cores: u64) -> Resources {
    Resources { processors_milli: cores * 1_000, ..Resources::default() }
}

/// Returns a step of one task with an estimate.
fn task(milli: u64, estimate_ms: u64) -> Step {
    let mut task = step(1, 1);
    task.resources.processors_milli = milli;
    Step { estimate_ms, ..task }
}

/// Keeps small tasks of four cores coming, each for a second, while a task of a whole worker waits.
/// Returns how long it waits, in milliseconds.
fn wait_beside_small_tasks(small_estimate_ms: u64) -> u64 {
    let mut world = World::new(&["w1", "w2"]);
    world.run_ms = 1_000;
    let mut job = 0;
    let mut submitted_at = 0;
    for tenth in 0..150 {
        if tenth == 30 {
            world.submit("f", QUEUE, vec![task(16_000, 1_000)]);
            submitted_at = world.now;
        }
        // Eight of ten tasks that would keep both workers full.
        if tenth % 5 != 4 {
            world.submit(&format!("{job}"), QUEUE, vec![task(4_000, small_estimate_ms)]);
            job += 1;
        }
        world.advance(100);
        if let Some((at, ..)) = world
            .workers
            .values()
            .flat_map(|worker| &worker.starts)
            .find(|(_, task, _)| *task == name("f", 0, 0))
        {
            return at - submitted_at;
        }
    }
    u64::MAX
}

/// Small tasks took each gap, and a task of a whole worker waited for as long as they came.
#[test]
fn a_large_task_starts_although_small_ones_keep_coming() {
    let waited = wait_beside_small_tasks(1_000);
    assert!(waited <= 2_000, "{waited}");
}

/// Estimates are off by half and more; the ratio of each queue is learned.
#[test]
fn wrong_estimates_do_not_starve_a_large_task() {
    for estimate_ms in [300, 3_000] {
        let waited = wait_beside_small_tasks(estimate_ms);
        assert!(waited <= 3_000, "estimate {estimate_ms}: {waited}");
    }
}

#[test]
fn small_tasks_fill_the_time_before_a_reservation() {
    let mut world = World::new(&["w1"]);
    world.run_ms = 3_000;
    world.submit("1", QUEUE, vec![task(12_000, 3_000)]);
    world.advance(100);
    world.submit("2", QUEUE, vec![task(16_000, 500)]);
    world.advance(100);
    world.run_ms = 500;
    world.submit("3", QUEUE, vec![task(4_000, 500)]);
    world.submit("4", QUEUE, vec![task(4_000, 9_000)]);
    world.submit("5", "render", vec![filling(1, "quiet")]);
    world.advance(200);
    assert_eq!(world.starts(name("3", 0, 0)).len(), 1, "it ends in time");
    assert!(world.starts(name("4", 0, 0)).is_empty(), "it would end too late");
    assert_eq!(world.starts(name("5", 0, 0)).len(), 1, "filling tasks give way");
    world.advance(3_000);
    assert_eq!(world.starts(name("2", 0, 0)).len(), 1);
    world.advance(1_000);
    assert_eq!(world.starts(name("4", 0, 0)).len(), 1);
    let reserved = world.reports.iter().filter(|report| matches!(report, Report::Reserved { .. }));
    assert_eq!(reserved.count(), 1, "reported once");
}

/// An urgent burst in the middle of a reservation has its own rank, and goes first.
#[test]
fn an_earlier_ranked_task_is_not_held_back() {
    let mut world = World::new(&["w1"]);
    world.run_ms = 2_000;
    world.submit("1", QUEUE, vec![task(12_000, 2_000)]);
    world.advance(100);
    world.submit("2", "render", vec![task(16_000, 500)]);
    world.advance(100);
    world.submit("3", QUEUE, vec![task(4_000, 9_000)]);
    world.advance(100);
    assert_eq!(world.starts(name("3", 0, 0)).len(), 1);
}

#[test]
fn a_lost_worker_holds_no_room() {
    let mut world = World::new(&["w1", "w2"]);
    world.run_ms = 2_000;
    world.submit("1", QUEUE, vec![task(16_000, 2_000)]);
    world.submit("2", QUEUE, vec![task(16_000, 3_500)]);
    world.advance(100);
    world.submit("3", QUEUE, vec![task(16_000, 500)]);
    world.advance(100);
    let first = world.starts(name("1", 0, 0))[0].0.clone();
    world.worker(&first).draining = true;
    world.worker(&first).unreachable = true;
    let members = world.members();
    world.handle(oleanderstage_fleet::Event::Workers(members));
    world.advance(2_500);
    let starts = world.starts(name("3", 0, 0));
    assert!(starts.len() == 1 && starts[0].0 != first, "{starts:?}");
}

#[test]
fn lasting_tasks_reserve_nothing_and_take_no_reserved_room() {
    let mut world = World::new(&["w1"]);
    world.run_ms = 2_000;
    world.submit("1", QUEUE, vec![task(12_000, 2_000)]);
    world.advance(100);
    world.submit("2", QUEUE, vec![task(16_000, 3_000)]);
    world.submit("3", QUEUE, vec![serving(1, "feed")]);
    world.advance(500);
    assert!(world.starts(name("3", 0, 0)).is_empty());
    world.advance(2_500);
    assert_eq!(world.starts(name("2", 0, 0)).len(), 1);
}

/// The callers of a lasting task wait while it is away, whatever else waits for room.
#[test]
fn a_lasting_task_restarts_in_reserved_room() {
    let mut world = World::new(&["w1"]);
    world.run_ms = 1_000;
    world.submit("1", QUEUE, vec![serving(1, "feed")]);
    world.run_ms = 3_000;
    world.submit("2", QUEUE, vec![task(8_000, 3_000)]);
    world.advance(100);
    world.submit("3", QUEUE, vec![task(16_000, 9_000)]);
    world.advance(4_500);
    let starts = world.starts(name("1", 0, 0));
    assert!(starts.len() >= 2, "{starts:?}");
    assert!(world.running(name("1", 0, 0)).len() == 1);
}

#[test]
fn room_is_reserved_at_the_earliest_end_that_suffices() {
    let ends = vec![(3_000, cores(8)), (1_500, cores(4)), (2_000, cores(2))];
    let found = Reservation::find(1_000, cores(16), cores(15), cores(6), ends.clone());
    assert_eq!(found, Some(Reservation { ready_at: 2_000, spare: cores(1) }));
    assert_eq!(
        Reservation::find(1_000, cores(16), cores(15), cores(16), ends),
        None,
        "never enough"
    );
    let late = vec![(9_000, cores(8))];
    assert_eq!(
        Reservation::find(1_000, cores(16), cores(15), cores(6), late),
        None,
        "too far ahead"
    );
}

/// A worker of 16 cores that holds 15 has shrunk to eight: the first end frees no room.
#[test]
fn ends_at_a_shrunk_worker_free_its_excess_first() {
    let ends = vec![(1_500, cores(7)), (2_000, cores(4))];
    let found = Reservation::find(1_000, cores(8), cores(15), cores(4), ends);
    assert_eq!(found, Some(Reservation { ready_at: 2_000, spare: cores(0) }));
}

/// What may run beyond the reserved time takes from the spare room.
#[test]
fn spare_room_is_used_once() {
    let mut book = Book::default();
    let long = task(1_000, 9_000);
    book.insert(
        "w1".into(),
        Reservation { ready_at: 2_000, spare: Resources { memory_mib: 8_192, ..cores(1) } },
    );
    assert!(book.allows("w1", 1_000, &long, Some(9_000)));
    book.take("w1", 1_000, &long, Some(9_000));
    assert!(!book.allows("w1", 1_000, &long, Some(9_000)));
    assert!(book.allows("w1", 1_000, &long, Some(700)), "it ends before");
    assert!(book.allows("w2", 1_000, &long, None), "nothing is held there");
}

#[test]
fn durations_are_learned_by_queue() {
    let mut forecast = Forecast::default();
    (0..80).for_each(|_| forecast.observe("q", 1_000, 1_900));
    assert!((1_850..=1_900).contains(&forecast.duration_ms("q", 1_000)));
    assert_eq!(forecast.duration_ms("other", 1_000), 1_000);
    forecast.observe("q", 1_000, 600_000);
    assert!(forecast.duration_ms("q", 1_000) < 2_100, "one stuck run says little");
}

fn lasting(count: u16, cores: u64) -> Step {
    Step { lasting: true, ..step(count, cores) }
}

/// Takes a worker away for good.
fn lose(world: &mut World, worker: &str) {
    world.crash(worker);
    world.worker(worker).down_until = u64::MAX;
    world.worker(worker).gone = true;
    world.tell_members();
}

/// Loses the worker of a lasting task of twelve cores while tasks of four cores keep the others full. Returns how long
/// it is away, in milliseconds.
fn away_beside_small_tasks(queue: &str, small_ms: u64) -> u64 {
    let mut world = World::new(&["w1", "w2", "w3", "w4"]);
    world.run_ms = 600_000;
    world.submit("f", queue, vec![lasting(1, 12)]);
    world.advance(100);
    world.run_ms = small_ms;
    let mut lost_at = 0;
    // Three workers run twelve at a time.
    let interval_ms = small_ms / 13 / 10 * 10;
    for job in 0..30_000 / interval_ms {
        if lost_at == 0 && world.now > 3_000 + small_ms {
            let holder = world.running(name("f", 0, 0))[0].to_owned();
            lost_at = world.now;
            lose(&mut world, &holder);
        }
        world.submit(&job.to_string(), QUEUE, vec![task(4_000, small_ms)]);
        world.advance(interval_ms);
        if lost_at > 0 && world.starts(name("f", 0, 0)).len() > 1 {
            return world.now - lost_at;
        }
    }
    u64::MAX
}

/// Only first starts had room held for them: short tasks took each gap, and those of a higher priority went first.
#[test]
fn a_large_lasting_task_runs_again_although_small_ones_keep_coming() {
    for queue in [QUEUE, "render"] {
        for small_ms in [500, 1_000, 2_000] {
            let away = away_beside_small_tasks(queue, small_ms);
            assert!(away <= 6_000, "{queue}, {small_ms} ms: {away}");
        }
    }
}

/// Younger tasks that have never run start at other workers than the one that is held, although the cell has spare
/// capacity.
#[test]
fn a_lasting_task_that_has_run_goes_before_first_starts() {
    let mut world = World::new(&["w1", "w2", "w3", "w4", "w5"]);
    world.run_ms = 600_000;
    world.worker("w5").capacity = Some(Resources { memory_mib: 65_536, ..cores(8) });
    world.tell_members();
    world.submit("f", QUEUE, vec![lasting(1, 12)]);
    world.advance(200);
    world.submit("2", QUEUE, vec![Step { per_worker: 1, ..lasting(3, 5) }]);
    world.advance(200);
    let holder = world.running(name("f", 0, 0))[0].to_owned();
    lose(&mut world, &holder);
    world.advance(6_000);
    world.submit("a", QUEUE, vec![Step { per_worker: 1, ..lasting(4, 1) }]);
    world.advance(500);
    let runs = |world: &World, task| !world.running(name("a", 0, task)).is_empty();
    assert_eq!((0..4).filter(|task| runs(&world, *task)).count(), 3, "one worker is held");
    world.cancel("2");
    world.advance(500);
    assert_eq!(world.running(name("f", 0, 0)).len(), 1);
    assert_eq!((0..4).filter(|task| runs(&world, *task)).count(), 4);
}

/// A task that fits nowhere holds one worker back, not each that it could run at.
#[test]
fn first_starts_wait_for_no_lasting_task_that_fits_nowhere() {
    let mut world = World::new(&["w1", "w2", "w3", "w4", "w5"]);
    world.run_ms = 600_000;
    world.submit("f", QUEUE, vec![Step { per_worker: 1, ..lasting(4, 6) }]);
    world.advance(500);
    world.submit("2", QUEUE, vec![lasting(1, 12)]);
    world.advance(500);
    let holder = world.running(name("2", 0, 0))[0].to_owned();
    lose(&mut world, &holder);
    world.advance(8_000);
    world.submit("3", QUEUE, vec![lasting(1, 2)]);
    world.advance(500);
    assert_eq!(world.running(name("3", 0, 0)).len(), 1);
}

/// A pass ended before it came to a task of a lower priority that had run, for which there was room.
#[test]
fn urgent_tasks_that_fit_nowhere_hold_back_no_lasting_one_that_has_run() {
    let mut world = World::new(&["w1", "w2"]);
    world.run_ms = 600_000;
    world.submit("f", "render", vec![lasting(1, 4)]);
    world.advance(100);
    let holder = world.running(name("f", 0, 0))[0].to_owned();
    world.submit("1", QUEUE, vec![Step { per_worker: 1, ..task(12_000, 600_000) }]);
    world.submit("2", QUEUE, vec![Step { per_worker: 1, ..task(12_000, 600_000) }]);
    world.advance(100);
    for job in 0..400 {
        world.submit(
            &format!("a{job}"),
            QUEUE,
            vec![Step { per_worker: 1, ..task(12_000, 1_000) }],
        );
    }
    world.advance(1_000);
    lose(&mut world, &holder);
    world.advance(6_000);
    assert_eq!(world.running(name("f", 0, 0)).len(), 1);
}
