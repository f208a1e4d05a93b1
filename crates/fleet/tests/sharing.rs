//! Filling tasks beside serving ones, at the load that made tails rise.

mod world;

use {
    oleanderstage_fleet::{
        Step,
        action::{Report, StopReason},
        pressure::{Pressure, Served},
    },
    world::{QUEUE, World, name, step},
};

const TARGET_MS: u64 = 18;

fn serving(count: u16, image: &str) -> Step {
    Step { image: image.into(), lasting: true, target_ms: TARGET_MS, ..step(count, 4) }
}

fn filling(count: u16, image: &str) -> Step {
    Step { checkpoints: true, fills: true, image: image.into(), ..step(count, 2) }
}

/// Feeds polls of workers with a mix of filling images, of which only `loud` raises the tail.
fn learn(pressure: &mut Pressure, looks: usize) {
    let images = ["loud", "quiet", "calm"];
    for look in 0..looks {
        let uses: Vec<(&str, f64)> = images
            .iter()
            .enumerate()
            .map(|(number, image)| (*image, 0.05 * ((look * 7 + number * 5) % 4) as f64))
            .filter(|(_, share)| *share > 0.0)
            .collect();
        let pressed: f64 =
            uses.iter().filter(|(image, _)| *image == "loud").map(|(_, share)| 8.0 * share).sum();
        let tail = 8.0 * pressed.exp();
        pressure.observe(Served { image: "feed", target_ms: TARGET_MS }, tail, &uses);
        if look % 10 == 9 {
            pressure.settle(0.5, &Pressure::default());
        }
    }
    pressure.settle(0.5, &Pressure::default());
}

#[test]
fn the_harmful_pair_is_told_from_harmless_ones_seen_beside_it() {
    let mut pressure = Pressure::default();
    learn(&mut pressure, 60);
    assert!(pressure.pair("feed", "loud") > 5.0, "{}", pressure.pair("feed", "loud"));
    assert!(pressure.pair("feed", "quiet") < 0.1, "{}", pressure.pair("feed", "quiet"));
    assert!(pressure.pair("feed", "calm") < 0.1, "{}", pressure.pair("feed", "calm"));
}

/// Cells of 70 workers learned more slowly than those of 117, each from its own polls alone.
#[test]
fn what_another_cell_learned_counts() {
    let mut other = Pressure::default();
    learn(&mut other, 60);
    let mut own = Pressure::default();
    let served = Served { image: "feed", target_ms: TARGET_MS };
    own.observe(served, 8.0, &[("late", 0.1), ("quiet", 0.1)]);
    own.settle(0.5, &other);
    assert!(own.pair("feed", "loud") > 5.0, "{}", own.pair("feed", "loud"));
    assert!(own.pair("feed", "quiet") < 0.1);
    own.settle(0.5, &Pressure::default());
    assert!(own.pair("feed", "loud") < 1.6, "only its own evidence is kept");
}

#[test]
fn serving_images_that_are_pressed_alike_are_alike() {
    let mut pressure = Pressure::default();
    learn(&mut pressure, 60);
    assert!(pressure.likeness("feed", "feed") > 0.99);
    assert!(pressure.likeness("feed", "other") < 0.01);
}

/// One pace for all filling tasks of a worker stopped them all, while one image did the harm.
#[test]
fn only_the_image_that_harms_is_paced() {
    let mut world = World::new(&["w1"]);
    world.run_ms = 20_000;
    world.submit("1", QUEUE, vec![serving(1, "feed")]);
    world.submit("2", "render", vec![filling(2, "loud")]);
    world.submit("3", "render", vec![filling(2, "quiet")]);
    world.pass(500);
    for round in 0..12 {
        let loud = round % 2 == 0;
        let pace = world.worker("w1").held[&name("2", 0, 0)].pace;
        let tail = if loud && pace > 20 { 60.0 } else { 7.0 };
        let figures = &mut world.worker("w1").figures;
        figures.insert(name("1", 0, 0), tail);
        for index in 0..2 {
            figures.insert(name("2", 0, index), if loud { 20.0 * f64::from(pace) } else { 0.0 });
            figures.insert(name("3", 0, index), if loud { 0.0 } else { 2_000.0 });
        }
        world.pass(1_000);
    }
    assert!(world.worker("w1").held[&name("2", 0, 0)].pace < 60);
    assert_eq!(world.worker("w1").held[&name("3", 0, 0)].pace, 100);
}

#[test]
fn a_tail_over_its_target_for_a_second_halts_what_fills() {
    let mut world = World::new(&["w1"]);
    world.run_ms = 60_000;
    world.submit("1", QUEUE, vec![serving(1, "feed")]);
    world.submit("2", "render", vec![filling(2, "loud")]);
    world.pass(300);
    world.worker("w1").figures.insert(name("1", 0, 0), 90.0);
    world.pass(3_400);
    assert_eq!(world.worker("w1").held[&name("2", 0, 0)].pace, 0, "well before four seconds");
}

#[test]
fn a_task_paced_to_nothing_moves_to_a_worker_where_it_harms_nobody() {
    let mut world = World::new(&["w1", "w2"]);
    world.run_ms = 60_000;
    world.submit("1", QUEUE, vec![serving(1, "feed")]);
    let holder = world.starts(name("1", 0, 0))[0].0.clone();
    let other = if holder == "w1" { "w2" } else { "w1" };
    world.worker(other).draining = true;
    let members = world.members();
    world.handle(oleanderstage_fleet::Event::Workers(members));
    world.submit("2", "render", vec![filling(1, "loud")]);
    assert_eq!(world.running(name("2", 0, 0)), [holder.as_str()]);
    world.worker(&holder).figures.insert(name("1", 0, 0), 90.0);
    world.pass(2_500);
    world.worker(other).draining = false;
    let members = world.members();
    world.handle(oleanderstage_fleet::Event::Workers(members));
    world.pass(1_500);
    assert_eq!(world.running(name("2", 0, 0)), [other]);
    let moved =
        |report: &Report| matches!(report, Report::Stop { reason: StopReason::Crowded, .. });
    assert!(world.reports.iter().any(moved));
}

#[test]
fn lasting_tasks_leave_a_worker_that_drains() {
    let mut world = World::new(&["w1", "w2"]);
    world.run_ms = 600_000;
    world.submit("1", QUEUE, vec![serving(2, "feed")]);
    world.pass(300);
    world.worker("w1").draining = true;
    let members = world.members();
    world.handle(oleanderstage_fleet::Event::Workers(members));
    world.pass(2_000);
    assert!(world.worker("w1").held.is_empty());
    assert_eq!(world.worker("w2").held.len(), 2);
}

/// Each new owner in a rolling restart learned every harmful pair anew.
#[test]
fn a_new_owner_knows_what_earlier_ones_learned() {
    let mut world = World::new(&["w1"]);
    world.run_ms = 60_000;
    world.submit("1", QUEUE, vec![serving(1, "feed")]);
    world.submit("2", "render", vec![filling(2, "loud")]);
    world.pass(300);
    world.worker("w1").figures.insert(name("1", 0, 0), 90.0);
    world.pass(4_000);
    let learned = world.learned.pair("feed", "loud");
    assert!(learned > 2.0, "{learned}");
    world.worker("w1").figures.clear();
    world.take_over();
    world.pass(600);
    assert!(world.worker("w1").held[&name("2", 0, 0)].pace < 60);
}
