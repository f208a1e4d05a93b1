//! Evacuation of availability zones.

mod world;

use {
    oleanderstage_fleet::{
        Assignment, Evacuation, Event,
        action::Report,
        assignment::{Member, Vm},
        evacuation::Request,
    },
    std::{collections::BTreeMap, sync::Arc},
    world::{QUEUE, World, filling, id, name, serving, step},
};

/// Returns two workers in zone a and two in zone b.
fn two_zones() -> World {
    let mut world = World::new(&["a1", "a2", "b1", "b2"]);
    for (id, worker) in &mut world.workers {
        worker.zone = if id.starts_with('a') { "a" } else { "b" };
    }
    let members = world.members();
    world.handle(Event::Workers(members));
    world
}

fn evacuate(world: &mut World, zones: &[&str]) {
    world.handle(Event::Evacuated(zones.iter().map(|zone| Arc::from(*zone)).collect()));
}

/// Returns the starts carried out in a zone after a time in milliseconds.
fn starts_in(world: &World, zone: &str, after: u64) -> usize {
    let workers = world.workers.values().filter(|worker| worker.zone == zone);
    workers.flat_map(|worker| &worker.starts).filter(|(at, ..)| *at > after).count()
}

fn request(zone: &str, evacuated: bool) -> Request {
    Request { zone: zone.into(), evacuated }
}

#[test]
fn an_evacuated_zone_gets_no_new_runs_and_what_runs_there_goes_on() {
    let mut world = two_zones();
    world.run_ms = 2_000;
    world.submit("1", QUEUE, vec![step(16, 4)]);
    world.advance(300);
    let before = world.now;
    evacuate(&mut world, &["a"]);
    for job in ["2", "3", "4", "5"] {
        world.submit(job, QUEUE, vec![step(8, 2)]);
        world.submit(&format!("f{job}"), "render", vec![filling(4, "edition")]);
    }
    world.advance(9_000);
    assert_eq!(starts_in(&world, "a", before), 0);
    assert_eq!(world.starts(name("1", 0, 0)).len(), 1);
    assert_eq!(world.state("5"), oleanderstage_fleet::State::Completed);
    evacuate(&mut world, &[]);
    world.submit("6", QUEUE, vec![step(16, 4)]);
    world.advance(300);
    assert_eq!(starts_in(&world, "a", before), 8);
}

/// A start without an answer is sent again; to a worker of an evacuated zone it is blocked instead.
#[test]
fn an_unanswered_start_is_not_repeated_in_an_evacuated_zone() {
    let mut world = two_zones();
    world.run_ms = 60_000;
    for worker in world.workers.values_mut().filter(|worker| worker.zone == "a") {
        worker.unreachable = true;
    }
    world.submit("1", QUEUE, vec![step(16, 4)]);
    let before = world.now;
    evacuate(&mut world, &["a"]);
    for worker in world.workers.values_mut() {
        worker.unreachable = false;
    }
    world.advance(5_000);
    assert_eq!(starts_in(&world, "a", before), 0);
}

#[test]
fn a_lasting_task_that_fails_in_an_evacuated_zone_restarts_elsewhere() {
    let mut world = two_zones();
    world.run_ms = 3_000;
    world.submit("1", QUEUE, vec![serving(4, "feed")]);
    world.advance(300);
    let before = world.now;
    evacuate(&mut world, &["a"]);
    world.advance(8_000);
    assert_eq!(starts_in(&world, "a", before), 0);
    assert_eq!((0..4).filter(|&task| world.running(name("1", 0, task)).len() == 1).count(), 4);
}

/// The new owner learns of the zones before it places anything.
#[test]
fn a_new_owner_starts_nothing_in_an_evacuated_zone() {
    let mut world = two_zones();
    world.run_ms = 60_000;
    evacuate(&mut world, &["a"]);
    world.submit("1", QUEUE, vec![step(16, 4)]);
    world.take_over();
    evacuate(&mut world, &["a"]);
    let before = world.now;
    world.advance(15_000);
    assert_eq!(starts_in(&world, "a", before), 0);
}

/// A start that is carried out late, or was sent before the request was known, is adopted: the run
/// is listed, and no second one is started elsewhere.
#[test]
fn a_run_that_began_late_in_an_evacuated_zone_is_kept() {
    let mut world = two_zones();
    world.run_ms = 3_000;
    for worker in world.workers.values_mut() {
        worker.loses_answers = true;
    }
    world.submit("1", QUEUE, vec![step(8, 8)]);
    evacuate(&mut world, &["a"]);
    for worker in world.workers.values_mut() {
        worker.loses_answers = false;
    }
    world.advance(9_000);
    assert_eq!(world.state("1"), oleanderstage_fleet::State::Completed);
    for task in 0..8 {
        let runs = world.starts(name("1", 0, task));
        let numbers: Vec<u32> = runs.iter().map(|(_, run)| *run).collect();
        assert!(numbers.windows(2).all(|pair| pair[0] <= pair[1]), "{runs:?}");
    }
}

#[test]
fn the_room_of_an_evacuated_zone_is_not_offered_to_new_jobs() {
    let mut world = two_zones();
    evacuate(&mut world, &["a"]);
    world.advance(1_200);
    assert_eq!(world.head.0.total_milli, 32_000);
    evacuate(&mut world, &["a", "b"]);
    world.advance(1_200);
    assert_eq!(world.head.0.total_milli, 0, "new jobs are rejected or go to other cells");
}

/// A cell without room passes its whole backlog on at once, not a few jobs at a time.
#[test]
fn a_cell_without_room_passes_its_waiting_jobs_on_at_once() {
    let mut world = two_zones();
    evacuate(&mut world, &["a", "b"]);
    world.advance(600);
    for job in 0..30 {
        world.submit(&format!("{job}"), QUEUE, vec![step(1, 2)]);
    }
    let other = oleanderstage_fleet::Head {
        cell: 1,
        free_milli: 64_000,
        largest_milli: 16_000,
        total_milli: 64_000,
        ..oleanderstage_fleet::Head::default()
    };
    let own = world.head.clone();
    world.handle(Event::Heads { heads: vec![own, (other, 9)], owners: 2 });
    world.advance(1_000);
    let moved = world.reports.iter().filter(|report| matches!(report, Report::Moved { .. }));
    assert_eq!(moved.count(), 30);
    assert!(world.cell.job(&id("0")).is_none());
}

#[test]
fn requests_apply_in_their_order() {
    let mut evacuation = Evacuation::default();
    assert!(evacuation.is_stale(0, 0, 4_000), "nothing was read");
    evacuation.replace(1_000, ["a".into(), "b".into()].into());
    assert_eq!(evacuation.replace(1_100, ["b".into()].into()), [request("a", false)]);
    let again = vec![request("b", false), request("b", true), request("a", true)];
    evacuation.apply(Some(1_200), again);
    assert_eq!(evacuation.zones().len(), 2);
    assert!(!evacuation.is_stale(5_200, 0, 4_000));
    assert!(evacuation.is_stale(5_201, 0, 4_000));
    assert!(!evacuation.is_stale(5_201, 3_000, 4_000), "the store was away");
    evacuation.invalidate();
    assert!(evacuation.is_stale(5_201, 3_000, 4_000));
}

#[test]
fn each_cell_has_workers_of_all_zones() {
    let names: Vec<String> = (0..144).map(|number| format!("w{number:03}")).collect();
    let zone = |number: usize| Some(["a", "b", "c"][number / 48]);
    let members: BTreeMap<&str, Member<'_>> = (0..)
        .zip(&names)
        .map(|(number, name)| {
            (name.as_str(), Member { processors_milli: 16_000, zone: zone(number) })
        })
        .collect();
    let vms = ["x", "y"]
        .map(|name| {
            (
                name.to_owned(),
                Vm {
                    processors_milli: 500,
                    memory_mib: 0,
                    incarnation: String::new(),
                    revision: 0,
                },
            )
        })
        .into();
    let map = Assignment::default().next(&vms, &members);
    for cell in 0..map.owners.len() as u32 {
        for zone in ["a", "b", "c"] {
            let in_zone = map.members(cell).filter(|name| members[name].zone == Some(zone));
            assert_eq!(in_zone.count(), 48 / map.owners.len(), "zone {zone} in cell {cell}");
        }
    }
}
