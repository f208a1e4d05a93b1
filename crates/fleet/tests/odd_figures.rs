//! Absurd figures in what the owner of a cell reads.

mod world;

use {
    oleanderstage_fleet::{
        Event, Head, Listing, State, Step, Submission, Throughput,
        admission::{Balancer, Demand},
        listing::{End, EndReason, Running},
    },
    world::{QUEUE, World, filling, id, name, queue, step},
};

/// Sums and times overflowed, which ends a process that checks for it.
#[test]
fn a_worker_with_absurd_figures_disturbs_no_other() {
    let mut world = World::new(&["w1", "w2"]);
    world.run_ms = 60_000;
    world.submit("1", QUEUE, vec![Step { lasting: true, per_worker: 1, ..step(2, 1) }]);
    world.submit("2", "render", vec![filling(4, "bulk")]);
    world.advance(500);
    let rows = |run| {
        let tasks = [name("1", 0, 0), name("1", 0, 1), name("2", 0, 0), name("9", 0, 0)];
        let row = |task| Running {
            checkpoint: String::new(),
            measurement: f64::MAX,
            progress: u32::MAX,
            run,
            task,
        };
        tasks.map(row).to_vec()
    };
    let end = |number, run| End {
        checkpoint: String::new(),
        reason: EndReason::Stopped,
        number,
        run,
        task: name("1", 0, 1),
    };
    for (clock_ms, run) in [(u64::MAX, u32::MAX), (0, 0), (u64::MAX, 1), (1, u32::MAX)] {
        for complete in [false, true] {
            let listing = Listing {
                born: Some(0),
                clock_ms,
                complete,
                ended: vec![end(u64::MAX, run), end(0, run)],
                running: rows(run),
                ..Listing::default()
            };
            let sent = world.now;
            world.handle(Event::Poll { worker: "w1".into(), sent, answer: Ok(listing) });
            world.advance(700);
        }
    }
    world.run_ms = 500;
    world.submit("3", QUEUE, vec![step(1, 8)]);
    world.advance(3_000);
    assert_eq!(world.state("3"), State::Completed);
}

#[test]
fn heads_with_absurd_figures_are_compared() {
    let max = u64::MAX;
    let absurd = |cell| Head {
        backlog: [(0, max), (1, max)].into(),
        cell,
        free_milli: 1,
        largest_milli: max,
        lasting_limit_milli: max,
        lasting_milli: max,
        throughput: [("bulk".into(), Throughput { backlog: max, milli: 0 })].into(),
        total_milli: max,
        usable_milli: [("bulk".into(), 0)].into(),
        ..Head::default()
    };
    let mut balancer = Balancer::default();
    for processes in [1, 100] {
        balancer.set_processes(processes);
        (0..3).for_each(|cell| balancer.observe(0, absurd(cell), u64::from(cell) + 1));
        for step in [step(9, 4), Step { lasting: true, ..step(9, 4) }, filling(9, "bulk")] {
            let submission = Submission { steps: vec![step.clone()], ..Submission::default() };
            let queue = queue(QUEUE, 3);
            let demand = Demand::new(id("1"), &submission, &queue);
            assert!(balancer.choose(&demand).is_some());
            balancer.find_better_cell(0, &demand, max);
            balancer.find_room(&[0], "desk", &step, 9, false);
            balancer.find_room(&[0], "desk", &step, 9, true);
            balancer.outlook(1, &demand, &submission, &queue);
        }
    }
}
