//! How much of a cell lasting jobs may hold.

mod world;

use {
    oleanderstage_fleet::{Headroom, Step, headroom::Demand},
    world::{QUEUE, World, name, serving, step},
};

const TOTAL: u64 = 1_000_000;
const BASE: u64 = 700_000;

fn calm(urgent_milli: u64) -> Demand {
    Demand { filling_milli: 100_000, urgent_milli, waiting_milli: 0 }
}

/// Observes the same demand twice a second.
fn observe(headroom: &mut Headroom, from_s: u64, to_s: u64, demand: Demand) {
    (2 * from_s..2 * to_s).for_each(|half| headroom.observe(500 * half, demand, TOTAL));
}

#[test]
fn room_that_short_work_does_not_need_goes_to_lasting_jobs() {
    let mut headroom = Headroom::default();
    observe(&mut headroom, 0, 3, calm(20_000));
    assert_eq!(headroom.lasting_limit(TOTAL), BASE, "a short calm shows nothing");
    observe(&mut headroom, 3, 13, calm(20_000));
    assert!((880_000..=900_000).contains(&headroom.lasting_limit(TOTAL)));
}

/// Before traffic starts nothing is known of it, and lasting jobs keep what they get for minutes.
#[test]
fn a_cell_without_short_work_keeps_its_room_for_it() {
    let mut headroom = Headroom::default();
    observe(&mut headroom, 0, 60, Demand::default());
    assert_eq!(headroom.lasting_limit(TOTAL), BASE);
}

#[test]
fn short_work_that_waits_ends_the_growth_at_once() {
    let mut headroom = Headroom::default();
    observe(&mut headroom, 0, 13, calm(20_000));
    observe(&mut headroom, 13, 14, Demand { waiting_milli: 30_000, ..calm(20_000) });
    assert_eq!(headroom.lasting_limit(TOTAL), BASE);
    observe(&mut headroom, 14, 17, calm(20_000));
    assert_eq!(headroom.lasting_limit(TOTAL), BASE, "after a burst it starts anew");
}

#[test]
fn room_for_twice_the_peak_of_urgent_work_is_kept() {
    let mut headroom = Headroom::default();
    observe(&mut headroom, 0, 1, calm(100_000));
    observe(&mut headroom, 1, 13, calm(10_000));
    let limit = headroom.lasting_limit(TOTAL);
    assert!((800_000..880_000).contains(&limit), "{limit}");
}

/// Filling work that two fifths of the processors do was crowded out by lasting jobs.
#[test]
fn room_that_filling_work_uses_is_kept() {
    let mut headroom = Headroom::default();
    observe(&mut headroom, 0, 13, Demand { filling_milli: 500_000, ..calm(40_000) });
    let limit = headroom.lasting_limit(TOTAL);
    assert!((BASE..800_000).contains(&limit), "{limit}");
}

/// Lasting jobs waited for minutes in a cell of which a quarter stood empty.
#[test]
fn waiting_lasting_jobs_start_while_short_work_finds_room() {
    let mut world = World::new(&["w1", "w2", "w3", "w4"]);
    world.run_ms = 60_000;
    for job in 1..=6 {
        world.submit(&format!("{job}"), QUEUE, vec![serving(2, "feed")]);
    }
    world.advance(200);
    assert_eq!(world.starts(name("6", 0, 0)).len(), 1);
    assert!(world.starts(name("6", 0, 1)).is_empty(), "48 of 64 cores are more than the base");
    for job in 0..20 {
        let id = format!("a{job}");
        world.submit(&id, "render", vec![Step { checkpoints: false, ..step(1, 1) }]);
        world.advance(500);
        world.cancel(&id);
    }
    assert_eq!(world.starts(name("6", 0, 1)).len(), 1);
}
