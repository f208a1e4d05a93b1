//! Assignment of cells and workers, choice of cells for new jobs, and moves of jobs between cells.

mod world;

use {
    oleanderstage_fleet::{
        Assignment, Event, Head, Queue, Settling, Step, Submission,
        action::Report,
        admission::{Balancer, Demand},
        assignment::{Member, Vm},
        job,
        listing::EndReason,
    },
    std::collections::{BTreeMap, BTreeSet},
    world::{QUEUE, World, id, name, step},
};

fn vms(names: &[(&str, u64)]) -> BTreeMap<String, Vm> {
    names
        .iter()
        .map(|(name, milli)| {
            (
                (*name).to_owned(),
                Vm {
                    processors_milli: *milli,
                    memory_mib: 0,
                    incarnation: String::new(),
                    revision: 0,
                },
            )
        })
        .collect()
}

fn workers(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("w{number:03}")).collect()
}

fn processors(names: &[String]) -> BTreeMap<&str, Member<'_>> {
    let member = Member { processors_milli: 16_000, zone: None };
    names.iter().map(|name| (name.as_str(), member)).collect()
}

fn queue(priority: u32) -> Queue {
    Queue {
        advised: false,
        host: String::new(),
        max_attempts: 1,
        name: "q".into(),
        objective_ms: 0,
        prefix: "/".into(),
        priority,
        service: "desk".into(),
        stretch: 1.0,
        version: 1,
    }
}

fn submission(count: u16) -> Submission {
    Submission { steps: vec![step(count, 1)], ..Submission::default() }
}

fn head(cell: u32, total: u64, free: u64) -> Head {
    Head { cell, free_milli: free, largest_milli: free, total_milli: total, ..Head::default() }
}

fn heads(heads: Vec<(Head, u64)>) -> Event {
    let owners = heads.len();
    Event::Heads { heads, owners }
}

/// TWICE: an owner that lives would be taken for ended.
#[test]
fn a_later_process_of_the_same_vm_shows_that_an_owner_has_ended() {
    let vm = |incarnation: &str, revision| Vm {
        incarnation: incarnation.into(),
        processors_milli: 500,
        memory_mib: 0,
        revision,
    };
    let owner = "x@10.0.0.1/10.0.0.1:80#5.5";
    assert!(vm("x@10.0.0.1/10.0.0.1:80#6.6", 9).replaces(owner, 8));
    assert!(vm("x@10.0.0.1/10.0.0.1:80#6.1", 9).replaces(owner, 8), "the machine started again");
    assert!(vm("x@10.0.0.1/10.0.0.1:80#4.6", 9).replaces(owner, 8), "the time was set back");
    assert!(!vm("x@10.0.0.1/10.0.0.1:80#6.6", 7).replaces(owner, 8), "written before the owner's");
    assert!(!vm("x@10.0.0.1/10.0.0.1:80#4.4", 9).replaces(owner, 8), "a late entry");
    assert!(!vm("x@10.0.0.1/10.0.0.1:81#6.6", 9).replaces(owner, 8), "both may hold their ports");
    assert!(!vm("x@10.0.0.2/10.0.0.2:80#6.6", 9).replaces(owner, 8), "another VM of the same name");
    assert!(!vm(owner, 9).replaces(owner, 8), "the same process");
    assert!(!vm("", 9).replaces("", 8), "unknown");
}

#[test]
fn an_entry_is_that_of_a_later_process_if_it_came_after_the_own_one() {
    let entry = Vm {
        incarnation: "x@10.0.0.1#2.1".into(),
        processors_milli: 500,
        memory_mib: 0,
        revision: 9,
    };
    assert!(entry.is_later_than("x@10.0.0.1#1.1", 8));
    assert!(entry.is_later_than("x@10.0.0.2#1.1", 8), "a process on another machine");
    assert!(!entry.is_later_than("x@10.0.0.1#3.1", 0), "a process that has not written one yet");
    assert!(!entry.is_later_than("x@10.0.0.1#3.1", 10), "written before the own one");
    assert!(!entry.is_later_than("x@10.0.0.1#2.1", 8), "the same process");
}

#[test]
fn cells_follow_the_strength_of_vms_and_workers_are_spread_evenly() {
    let names = workers(48);
    let map = Assignment::default()
        .next(&vms(&[("a", 100), ("b", 100), ("c", 100), ("weak", 20)]), &processors(&names));
    assert_eq!(map.owners.len(), 2);
    assert!(map.owners.iter().all(|owner| owner != "weak"));
    assert_eq!(map.members(0).count(), 24);
    assert_eq!(map.members(1).count(), 24);
}

#[test]
fn a_large_fleet_gets_more_cells_than_its_processors_ask_for() {
    let names = workers(490);
    let strong: Vec<String> = (0..10).map(|number| format!("vm-{number}")).collect();
    let strong: Vec<(&str, u64)> = strong.iter().map(|name| (name.as_str(), 500)).collect();
    let map = Assignment::default().next(&vms(&strong), &processors(&names));
    assert_eq!(map.owners.len(), 7);
    assert!((0..7).all(|cell| map.members(cell).count() == 70));
}

#[test]
fn a_cell_of_a_lost_vm_goes_to_the_one_with_the_fewest() {
    let names = workers(48);
    let map = Assignment::default().next(&vms(&[("a", 100), ("b", 100)]), &processors(&names));
    let lost = map.owners[0].clone();
    let left: Vec<(&str, u64)> =
        [("a", 100), ("b", 100), ("c", 100)].into_iter().filter(|(vm, _)| *vm != lost).collect();
    let next = map.next(&vms(&left), &processors(&names));
    assert_eq!(next.owners[0], "c");
    assert_eq!(next.owners[1], map.owners[1]);
    assert_eq!(next.workers, map.workers);
}

#[test]
fn a_vm_with_two_cells_gives_one_to_a_vm_without() {
    let names = workers(96);
    let three = vms(&[("a", 100), ("b", 100), ("c", 100)]);
    let map = Assignment::default().next(&three, &processors(&names));
    let alone = map.next(&vms(&[("a", 100)]), &processors(&names));
    assert!(alone.owners.iter().all(|owner| owner == "a"));
    let next = alone.next(&three, &processors(&names));
    assert_eq!(next.cells("a").len(), alone.owners.len() - 1, "one at a time");
}

#[test]
fn new_workers_join_the_smallest_cell() {
    let names = workers(48);
    let two = vms(&[("a", 100), ("b", 100)]);
    let mut map = Assignment::default().next(&two, &processors(&names));
    map.workers.retain(|_, cell| *cell == 0);
    let next = map.next(&two, &processors(&names));
    assert_eq!(next.members(1).count(), 24);
}

/// A process that has just started sees heads of cells whose workers have not answered their owner
/// yet: they publish no processors.
/// TWICE: a worker that was cut off from the store only was dropped, and another cell got it.
#[test]
fn a_worker_without_an_entry_stays_in_its_cell_until_the_head_lists_it_as_vacated() {
    let workers = ["w1", "w2"].map(|id| (id.to_owned(), 1)).into();
    let mut assignment = Assignment { workers, ..Assignment::default() };
    let missing = ["w1", "w2"].into();
    let vacated = |cell, ids: &[&str]| {
        let vacated = ids.iter().map(|id| (*id).to_owned()).collect();
        (Head { vacated, ..head(cell, 1, 1) }, 1)
    };
    assignment.remove_workers(&missing, &[], 9);
    assignment.remove_workers(&missing, &[vacated(0, &["w1", "w2"]), vacated(1, &[])], 9);
    assert_eq!(assignment.workers.len(), 2);
    assignment.remove_workers(&missing, &[vacated(1, &["w2"])], 9);
    assert_eq!(assignment.members(1).collect::<Vec<_>>(), ["w1"]);
}

/// TWICE: a worker that was dropped with runs came into another cell, whose owner renewed their lease.
#[test]
fn a_worker_that_was_dropped_with_runs_comes_back_into_its_cell() {
    let mut assignment =
        Assignment { owners: vec!["a".into(), "a".into()], ..Assignment::default() };
    let former = Head { former: ["w1".into()].into(), ..head(1, 1, 1) };
    let workers = ["w1".to_owned(), "w2".to_owned()];
    assignment.restore_workers(&processors(&workers), &[(head(0, 1, 1), 1), (former, 1)]);
    let next = assignment.next(&vms(&[("a", 1_000)]), &processors(&workers));
    assert_eq!(next.members(1).collect::<Vec<_>>(), ["w1"]);
    assert_eq!(next.members(0).collect::<Vec<_>>(), ["w2"]);
}

#[test]
fn a_cell_without_processors_is_not_chosen_and_divides_nothing() {
    let mut balancer = Balancer::default();
    balancer.observe(0, head(0, 1, 0), 1);
    let (job, queue) = (submission(4), queue(0));
    let mut filling = submission(4);
    filling.steps[0].fills = true;
    filling.steps[0].image = "loud".into();
    assert_eq!(balancer.choose(&Demand::new(id("1"), &filling, &queue)), Some(0));
    let mut no_workers = head(0, 0, 0);
    no_workers.usable_milli.insert("loud".into(), 0);
    balancer.observe(0, no_workers, 2);
    assert_eq!(balancer.find_better_cell(0, &Demand::new(id("1"), &filling, &queue), 100), None);
    assert_eq!(balancer.choose(&Demand::new(id("1"), &job, &queue)), None);
    assert_eq!(balancer.find_better_cell(0, &Demand::new(id("1"), &job, &queue), 100), None);
}

#[test]
fn a_burst_at_one_front_spreads_before_cells_publish_their_load() {
    let mut balancer = Balancer::default();
    for cell in 0..4 {
        balancer.observe(0, head(cell, 64_000, 64_000), 1);
    }
    let (job, queue) = (submission(8), queue(0));
    let mut counts = [0; 4];
    for _ in 0..16 {
        let cell = balancer.choose(&Demand::new(id("1"), &job, &queue)).expect("a cell");
        counts[cell as usize] += 1;
    }
    assert_eq!(counts, [4, 4, 4, 4]);
}

#[test]
fn a_filling_job_goes_where_its_image_finds_unused_processors() {
    let mut balancer = Balancer::default();
    let mut contended = head(0, 64_000, 64_000);
    contended.usable_milli.insert("loud".into(), 1_000);
    let mut free = head(1, 64_000, 32_000);
    free.usable_milli.insert("loud".into(), 32_000);
    balancer.observe(0, contended, 1);
    balancer.observe(0, free, 1);
    let mut job = submission(8);
    job.steps[0].fills = true;
    job.steps[0].image = "loud".into();
    assert_eq!(balancer.choose(&Demand::new(id("1"), &job, &queue(2))), Some(1));
}

#[test]
fn a_job_that_has_not_begun_is_passed_on_to_a_cell_that_serves_it_sooner() {
    let mut world = World::new(&["w1"]);
    world.run_ms = 60_000;
    world.submit("1", QUEUE, vec![step(16, 1)]);
    world.submit("2", QUEUE, vec![step(4, 1)]);
    let busy = Head { backlog: [(0, 900_000)].into(), ..head(0, 16_000, 0) };
    world.handle(heads(vec![(busy, 9), (head(1, 64_000, 64_000), 9)]));
    world.advance(1_200);
    assert!(world.reports.contains(&Report::Moved { job: id("2"), to: 1 }));
    assert!(world.records.contains_key(&(1, id("2"))));
    assert!(!world.records.contains_key(&(0, id("2"))));
    assert_eq!(world.tickets[&id("2")].0.cell, 1);
}

/// Four tasks were moved to a cell with room for three. The fourth could not return when its first
/// worker was back, and did not run for the rest of the day.
#[test]
fn no_more_lasting_tasks_go_to_a_cell_than_it_has_room_for() {
    let mut world = World::new(&["w1"]);
    world.run_ms = 600_000;
    let mut lasting = step(5, 6);
    lasting.lasting = true;
    world.submit("1", QUEUE, vec![lasting]);
    world.advance(300);
    let other = Head { largest_milli: 13_000, ..head(1, 64_000, 32_000) };
    world.handle(heads(vec![(other, 9)]));
    world.advance(2_500);
    let record: &job::Record = &world.records[&(1, id("1"))];
    assert_eq!(record.tasks, Some([(0, 2), (0, 3)].into()));
    world.add_worker("w2");
    world.advance(1_000);
    assert_eq!(world.starts(name("1", 0, 4)).len(), 1);
}

/// The commit of a job's first start was applied after a split of the job was planned, and took the
/// split for its own: the tasks ran nowhere.
#[test]
fn a_split_that_is_planned_while_a_commit_is_pending_loses_no_task() {
    let mut world = World::new(&["w1"]);
    world.run_ms = 600_000;
    let mut lasting = step(3, 6);
    lasting.lasting = true;
    world.store = world::Store::Down;
    world.submit("1", QUEUE, vec![lasting]);
    world.advance(300);
    let other = Head { largest_milli: 16_000, ..head(1, 64_000, 32_000) };
    world.handle(heads(vec![(other, 9)]));
    world.advance(1_500);
    world.store = world::Store::Up;
    world.advance(1_500);
    let record: &job::Record = &world.records[&(1, id("1"))];
    assert_eq!(record.tasks, Some([(0, 2)].into()));
}

#[test]
fn lasting_tasks_without_room_go_to_a_cell_that_has_it() {
    let mut world = World::new(&["w1"]);
    world.run_ms = 600_000;
    let mut lasting = step(3, 6);
    lasting.lasting = true;
    world.submit("1", QUEUE, vec![lasting]);
    world.advance(300);
    let other = Head { largest_milli: 16_000, ..head(1, 64_000, 32_000) };
    world.handle(heads(vec![(other, 9)]));
    world.advance(2_500);
    let record: &job::Record = &world.records[&(1, id("1"))];
    assert_eq!(record.tasks, Some([(0, 2)].into()));
    assert_eq!(world.records[&(0, id("1"))].tasks, Some([(0, 0), (0, 1)].into()));
    assert_eq!(world.tickets[&id("1")].0.also, [1]);
    assert_eq!(world.starts(name("1", 0, 0)).len(), 1);
    world.take_over();
    world.advance(1_000);
    assert!(world.starts(name("1", 0, 2)).is_empty(), "another cell runs it");
}

/// A lasting job of three tasks, of which this cell runs two and cell 1 one; then their worker is replaced by
/// one that is too small.
fn split_world() -> World {
    let mut world = World::new(&["w1"]);
    world.run_ms = 600_000;
    world.submit("1", QUEUE, vec![Step { lasting: true, ..step(3, 6) }]);
    world.advance(300);
    world.handle(heads(vec![(roomy_head(), 9)]));
    world.advance(2_500);
    assert_eq!(world.records[&(1, id("1"))].tasks, Some([(0, 2)].into()));
    world.replaces_crashed = true;
    world.crash("w1");
    world.worker("w1'").capacity = Some(step(1, 4).resources);
    let members = world.members();
    world.handle(Event::Workers(members));
    world
}

fn roomy_head() -> Head {
    Head { largest_milli: 16_000, ..head(1, 64_000, 32_000) }
}

/// Two cells: a worker was lost after the split, and the tasks that it had held waited for ten seconds beside
/// a quarter of the other cell, where the job had some already.
#[test]
fn tasks_follow_into_a_cell_that_has_some_of_their_job() {
    let mut world = split_world();
    world.handle(heads(vec![(roomy_head(), 10)]));
    world.advance(8_000);
    let all = [(0, 0), (0, 1), (0, 2)].into();
    assert_eq!(world.records[&(1, id("1"))].tasks, Some(all));
    assert_eq!(world.records[&(0, id("1"))].tasks, Some([].into()));
    let ticket = &world.tickets[&id("1")].0;
    assert_eq!((&*ticket.also, ticket.additions), (&[1][..], 1));
    world.add_worker("w2");
    world.advance(1_000);
    assert!(world.workers["w2"].held.is_empty(), "another cell runs them");
}

/// The other cell's owner adds a task to the job here, and this cell starts it, also under a new owner.
#[test]
fn tasks_that_another_cell_adds_are_started() {
    let mut world = split_world();
    add_task_2(&mut world);
    let record = world.records[&(0, id("1"))].clone();
    let revision = world.revision;
    world.handle(Event::Accepted { id: id("1"), record, revision });
    world.add_worker("w2");
    world.add_worker("w3");
    world.advance(8_000);
    for index in 0..3 {
        assert_eq!(world.running(name("1", 0, index)).len(), 1, "{index}");
    }
    world.take_over();
    world.advance(4_000);
    for index in 0..3 {
        assert_eq!(world.running(name("1", 0, index)).len(), 1, "{index}");
    }
}

/// The addition is in the store, and its change has not been seen here: a split now would write a record without
/// the added task, which would then run nowhere.
#[test]
fn a_cell_that_has_not_seen_an_addition_moves_nothing() {
    let mut world = split_world();
    add_task_2(&mut world);
    for revision in 10..18 {
        world.handle(heads(vec![(roomy_head(), revision)]));
        world.advance(1_000);
    }
    let all: BTreeSet<(u16, u16)> = [(0, 0), (0, 1), (0, 2)].into();
    assert_eq!(world.records[&(0, id("1"))].tasks, Some(all.clone()));
    let record = world.records[&(0, id("1"))].clone();
    let revision = world.revision;
    world.handle(Event::Accepted { id: id("1"), record, revision });
    world.handle(heads(vec![(Head { largest_milli: 64_000, ..roomy_head() }, 18)]));
    world.advance(4_000);
    assert_eq!(world.records[&(1, id("1"))].tasks, Some(all));
}

/// Writes what the owner of cell 1 commits when it adds its task to this cell's.
fn add_task_2(world: &mut World) {
    world.revision += 1;
    let revision = world.revision;
    let (ticket, at) = world.tickets.get_mut(&id("1")).expect("the ticket");
    ticket.additions += 1;
    *at = revision;
    let ticket = ticket.clone();
    for (cell, tasks) in [(0, vec![(0, 0), (0, 1), (0, 2)]), (1, vec![])] {
        let record = world.records.get_mut(&(cell, id("1"))).expect("the record");
        record.tasks = Some(tasks.into_iter().collect());
        record.ticket = Some(ticket.clone());
    }
}

/// All fronts saw the same empty cells when 214 lasting jobs arrived within a quarter of a second,
/// and each front chose the first cell: it was full, and others nearly empty.
#[test]
fn lasting_jobs_at_many_fronts_spread_over_cells_that_look_alike() {
    const JOBS: usize = 214;
    let lasting =
        Submission { steps: vec![Step { lasting: true, ..step(24, 3) }], ..Submission::default() };
    let mut counts = [0_usize; 16];
    for job in 0..JOBS {
        let mut front = Balancer::default();
        front.set_processes(147);
        (0..16).for_each(|cell| front.observe(0, head(cell, 1_280_000, 1_280_000), 1));
        let queue = queue(0);
        let demand = Demand::new(id(&format!("{job:x}")), &lasting, &queue);
        counts[front.choose(&demand).expect("a cell") as usize] += 1;
    }
    let mean = JOBS / counts.len();
    assert!(counts.iter().all(|&count| count >= mean / 3 && count <= mean * 2), "{counts:?}");
}

#[test]
fn many_fronts_send_more_jobs_to_cells_with_more_room() {
    let mut counts = [0; 2];
    for job in 0..300 {
        let mut front = Balancer::default();
        front.set_processes(147);
        front.observe(0, head(0, 1_280_000, 300_000), 1);
        front.observe(0, head(1, 1_280_000, 600_000), 1);
        let demand = submission(8);
        let queue = queue(0);
        let demand = Demand::new(id(&format!("{job:x}")), &demand, &queue);
        counts[front.choose(&demand).expect("a cell") as usize] += 1;
    }
    assert!((75..=125).contains(&counts[0]), "a third of 300: {counts:?}");
}

/// A lasting job waited in a full cell for the whole day: the wait for its room was taken to be a
/// second, as for short tasks, and so no other cell seemed to serve it much sooner.
#[test]
fn a_lasting_job_without_room_moves_to_a_cell_that_has_it() {
    let mut world = World::new(&["w1"]);
    world.run_ms = 600_000;
    let lasting = |count| Step { lasting: true, ..step(count, 2) };
    world.submit("1", QUEUE, vec![lasting(8)]);
    world.submit("2", QUEUE, vec![lasting(1)]);
    world.advance(600);
    let full = Head { lasting_milli: 16_000, ..head(0, 16_000, 0) };
    world.handle(heads(vec![(full, 9), (head(1, 16_000, 8_000), 9)]));
    world.advance(600);
    assert!(world.reports.contains(&Report::Moved { job: id("2"), to: 1 }));
}

/// A cell whose processors are held by lasting tasks has little that becomes free.
#[test]
fn short_jobs_wait_longer_where_lasting_tasks_hold_the_processors() {
    let mut balancer = Balancer::default();
    balancer.observe(0, Head { lasting_milli: 60_000, ..head(0, 64_000, 0) }, 1);
    balancer.observe(0, Head { lasting_milli: 8_000, ..head(1, 64_000, 0) }, 1);
    let job = submission(8);
    assert_eq!(balancer.choose(&Demand::new(id("1"), &job, &queue(0))), Some(1));
}

/// Lasting jobs took every core of a cell within a quarter of a second, and urgent short jobs waited
/// for the rest of the day.
#[test]
fn lasting_jobs_leave_room_for_urgent_short_ones() {
    let mut world = World::new(&["w1", "w2"]);
    world.run_ms = 600_000;
    let lasting = || vec![Step { lasting: true, ..step(5, 2) }];
    for job in ["1", "2", "3"] {
        world.submit(job, QUEUE, lasting());
    }
    world.advance(500);
    assert_eq!(world.starts(name("2", 0, 4)).len(), 1);
    assert_eq!(world.starts(name("3", 0, 0)).len(), 1, "22 of 32 cores are within the limit");
    assert!((1..5).all(|task| world.starts(name("3", 0, task)).is_empty()));
    world.submit("4", QUEUE, vec![step(4, 2)]);
    world.advance(100);
    assert_eq!(world.starts(name("4", 0, 3)).len(), 1);
    world.cancel("1");
    world.advance(500);
    assert_eq!(world.starts(name("3", 0, 4)).len(), 1, "the rest starts once another has ended");
}

/// The tasks of a job that has begun restart at once, also in a cell without room for more jobs.
#[test]
fn a_lasting_task_that_ends_is_not_held_back() {
    let mut world = World::new(&["w1", "w2"]);
    world.run_ms = 600_000;
    world.submit("1", QUEUE, vec![Step { lasting: true, ..step(11, 2) }]);
    world.submit("2", QUEUE, vec![Step { lasting: true, ..step(4, 2) }]);
    world.advance(500);
    world.run_ms = 600_000;
    let held = world.worker("w1").held[&name("1", 0, 0)].run;
    world.worker("w1").held.remove(&name("1", 0, 0));
    world.worker("w1").end(name("1", 0, 0), held, EndReason::Failed, String::new());
    world.advance(500);
    assert_eq!(world.starts(name("1", 0, 0)).len(), 2);
}

/// The platform counts a job as lost if it waits for seconds while half the fleet is free.
#[test]
fn a_wide_lasting_job_starts_while_there_is_room_to_spare() {
    let mut world = World::new(&["w1", "w2"]);
    world.run_ms = 600_000;
    world.submit("1", QUEUE, vec![Step { lasting: true, ..step(6, 2) }]);
    world.submit("2", QUEUE, vec![Step { lasting: true, ..step(9, 2) }]);
    world.advance(300);
    let started = (0..9).filter(|&task| world.starts(name("2", 0, task)).len() == 1);
    assert_eq!(started.count(), 5, "it begins at once, and stays within the limit");
}

/// All owners changed after an outage in which the workers' leases ran out. Lasting jobs that had run
/// for 40 s moved to other cells, where they were new and were held back.
#[test]
fn a_lasting_job_that_ran_before_it_moved_is_not_held_back() {
    let mut world = World::new(&["w1", "w2"]);
    world.run_ms = 600_000;
    let lasting = |count| vec![Step { lasting: true, ..step(count, 2) }];
    world.submit("1", QUEUE, lasting(11));
    world.submit("2", QUEUE, lasting(4));
    world.advance(500);
    assert!(world.starts(name("2", 0, 0)).is_empty(), "a new one is held back");
    world.cancel("2");
    world.submit("3", QUEUE, lasting(1));
    let record = world.records[&(0, id("3"))].clone();
    world.accept(id("4"), job::Record { begun: true, ..record });
    world.advance(500);
    assert_eq!(world.starts(name("4", 0, 0)).len(), 1);
}

/// Replaces the owner of a cell that has lost its worker for good, and tells the new one that another cell has room.
fn lose_worker_and_owner(world: &mut World) {
    world.crash("w1");
    world.worker("w1").down_until = u64::MAX;
    world.worker("w1").gone = true;
    world.add_worker("w2");
    world.worker("w2").unreachable = true;
    world.take_over();
    world.advance(10_000);
    let full = Head { lasting_milli: 16_000, ..head(0, 16_000, 0) };
    world.handle(heads(vec![(full, 9), (head(1, 16_000, 8_000), 9)]));
    world.advance(600);
}

#[test]
fn a_recovered_lasting_job_that_has_run_and_moves_counts_as_begun() {
    let mut world = World::new(&["w1"]);
    world.run_ms = 600_000;
    world.submit("1", QUEUE, vec![Step { lasting: true, ..step(1, 2) }]);
    world.advance(500);
    assert_eq!(world.starts(name("1", 0, 0)).len(), 1);
    lose_worker_and_owner(&mut world);
    let record = &world.records[&(1, id("1"))];
    assert!(record.begun && record.unstarted.is_empty());
}

/// Each new owner took all waiting lasting jobs for ones that had run, and started them past the limit.
#[test]
fn a_recovered_lasting_job_that_never_ran_moves_as_such() {
    let mut world = World::new(&["w1"]);
    world.run_ms = 600_000;
    world.submit("1", QUEUE, vec![Step { lasting: true, ..step(8, 2) }]);
    world.submit("2", QUEUE, vec![Step { lasting: true, ..step(1, 2) }]);
    world.advance(500);
    assert!(world.starts(name("2", 0, 0)).is_empty());
    world.take_over();
    world.advance(600);
    let full = Head { lasting_milli: 16_000, ..head(0, 16_000, 0) };
    world.handle(heads(vec![(full, 9), (head(1, 16_000, 8_000), 9)]));
    world.advance(600);
    assert!(!world.records[&(1, id("2"))].begun);
}

/// Every lease ran out in an outage of 6.7 s. The first of 147 VMs that was back, a weak one, took all
/// 16 cells, and gave them away one by one for ten seconds while lasting tasks did not run.
#[test]
fn after_an_outage_the_first_vm_does_not_take_every_cell() {
    let all = vms(&[("a", 500), ("b", 500), ("c", 500), ("weak", 69)]);
    let map = Assignment { owners: ["a", "b", "c"].map(String::from).into(), ..Default::default() };
    let mut settling = Settling::default();
    settling.observe(1_000, all.len());
    settling.observe(9_000, 0);
    let first = vms(&[("weak", 69)]);
    settling.observe(10_000, 1);
    assert!(settling.must_wait(10_000, &map, &first));
    settling.observe(10_300, 4);
    assert!(!settling.must_wait(10_300, &map, &all), "all owners are back");
    assert!(!settling.must_wait(10_800, &map, &first), "no other VM came for half a second");
}

#[test]
fn the_loss_of_one_vm_is_not_delayed_by_others_that_come() {
    let map = Assignment { owners: ["a", "b", "c"].map(String::from).into(), ..Default::default() };
    let mut settling = Settling::default();
    settling.observe(10_000, 3);
    assert!(!settling.must_wait(10_001, &map, &vms(&[("a", 500), ("b", 500), ("d", 500)])));
}
