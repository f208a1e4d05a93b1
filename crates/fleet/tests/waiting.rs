//! The order in which waiting jobs are placed when the load exceeds the capacity.

mod world;

use {
    oleanderstage_fleet::{Event, Step, load::Added, pressure::Pressure},
    world::{QUEUE, World, filling, name, serving, step},
};

/// More jobs than the misses after which a placement pass ends.
const STUCK_JOBS: usize = 60;

/// Sends the owner estimates by which the image is very harmful to serving tasks.
fn send_harmful_estimates(world: &mut World, image: &str) {
    let mut pressure = Pressure::default();
    for _ in 0..20 {
        pressure.observe("feed", Added { level: 0.3, variance: 0.01 }, &[(image, 0.1)]);
    }
    world.handle(Event::Pressure(pressure));
}

/// A hundred jobs of one image that fit nowhere were first in the order, and the placement pass
/// ended before it reached the others, although the load was low.
#[test]
fn jobs_of_an_image_without_a_place_hold_back_no_others() {
    let mut world = World::new(&["w1"]);
    world.run_ms = 60_000;
    world.submit("1", QUEUE, vec![serving(3, "feed")]);
    world.advance(300);
    send_harmful_estimates(&mut world, "loud");
    world.advance(1_000);
    for number in 0..STUCK_JOBS {
        world.submit(&format!("a{number}"), "render", vec![filling(1, "loud")]);
    }
    world.advance(100);
    world.submit("2", "render", vec![filling(1, "quiet")]);
    world.advance(1_000);
    assert_eq!(world.starts(name("2", 0, 0)).len(), 1);
    assert!(world.starts(name("a0", 0, 0)).is_empty());
}

/// When jobs were placed in the order of arrival, every job of a burst was late.
#[test]
fn a_job_that_can_still_be_in_time_goes_before_a_late_one() {
    let mut world = World::new(&["w1"]);
    world.run_ms = 3_000;
    let whole = || Step { estimate_ms: 500, ..step(1, 16) };
    world.submit("1", QUEUE, vec![whole()]);
    world.advance(100);
    world.submit("2", QUEUE, vec![whole()]);
    world.advance(2_700);
    world.submit("3", QUEUE, vec![whole()]);
    world.advance(500);
    assert_eq!(world.starts(name("3", 0, 0)).len(), 1);
    assert!(world.starts(name("2", 0, 0)).is_empty());
    world.advance(3_500);
    assert_eq!(world.starts(name("2", 0, 0)).len(), 1, "late jobs are done too");
}
