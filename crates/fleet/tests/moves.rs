//! Jobs in cells whose workers can't hold them.

#![allow(clippy::unwrap_used)]

mod world;

use {
    oleanderstage_core::resources::Resources,
    oleanderstage_fleet::{
        Event, Head, Inventory, Queue, State, Step, Submission,
        action::Report,
        admission::{Balancer, Demand},
        job,
    },
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::collections::BTreeMap,
    world::{QUEUE, Store, Worker, config, id, name, queue, site::Site, step},
};

const JOB: &str = "1";
/// The label that all workers of these racks have.
const LABELS: [&str; 2] = ["r2", "r3"];

/// Returns cells with one plain worker each.
fn site(cells: u32) -> Site {
    Site::new(cells, 300)
}

/// Adds a worker to a cell.
fn add(site: &mut Site, cell: usize, id: &str, worker: Worker) {
    site.with(cell, |world| {
        world.workers.insert(id.into(), worker);
        let members = world.members();
        world.handle(Event::Workers(members));
    });
}

/// Returns a worker that is the only one with the label `LABELS[number]`.
fn labelled(number: u32) -> Worker {
    Worker { rack: number + 1, ..Worker::default() }
}

fn needs_label(number: usize, step: Step) -> Step {
    Step { label: Some(LABELS[number].into()), ..step }
}

fn resources(change: impl FnOnce(&mut Resources)) -> Resources {
    let mut resources = Resources { accelerators: 0, memory_mib: 65_536, processors_milli: 16_000 };
    change(&mut resources);
    resources
}

/// What only one worker of the site has, and a step that asks for it.
fn rare() -> Vec<(&'static str, Worker, Step)> {
    let capable = |capacity| Worker { capacity: Some(capacity), ..Worker::default() };
    let asks = |resources| Step { resources, ..step(1, 1) };
    let memory = resources(|own| own.memory_mib = 131_072);
    let processors = resources(|own| own.processors_milli = 32_000);
    let accelerators = resources(|own| own.accelerators = 4);
    vec![
        ("label", labelled(0), needs_label(0, step(1, 1))),
        ("memory", capable(memory), asks(Resources { processors_milli: 1_000, ..memory })),
        ("processors", capable(processors), asks(Resources { memory_mib: 1, ..processors })),
        (
            "accelerators",
            capable(accelerators),
            asks(Resources { accelerators: 4, memory_mib: 1, processors_milli: 1 }),
        ),
        (
            "filling memory",
            capable(memory),
            Step {
                fills: true,
                image: "bulk".into(),
                ..asks(Resources { processors_milli: 1_000, ..memory })
            },
        ),
        ("gang", capable(processors), Step { gang: true, ..step(2, 16) }),
    ]
}

fn moves(site: &Site) -> usize {
    let moved = |report: &&Report| matches!(report, Report::Moved { .. });
    site.worlds.iter().flat_map(|world| &world.reports).filter(moved).count()
}

/// Returns the starts of a task in all cells, as run numbers in the order of time.
fn runs(site: &Site, task: oleanderstage_fleet::task::Name) -> Vec<u32> {
    let workers = site.worlds.iter().flat_map(|world| world.workers.values());
    let mut starts: Vec<(u64, u32)> = workers
        .flat_map(|worker| &worker.starts)
        .filter(|(_, other, _)| *other == task)
        .map(|(at, _, run)| (*at, *run))
        .collect();
    starts.sort_unstable();
    starts.into_iter().map(|(_, run)| run).collect()
}

fn state(site: &Site, job: &str) -> State {
    site.tickets[&id(job)].0.state
}

/// LOST: accepted jobs stayed in a cell without any worker that can hold them; another has one, idle.
#[test]
fn a_job_goes_to_a_cell_that_can_hold_it() {
    for (what, worker, step) in rare() {
        for lasting in [false, true] {
            let mut site = site(2);
            add(&mut site, 1, "rare", worker_like(&worker));
            site.advance(1_000);
            let step = Step { lasting, ..step.clone() };
            site.with(0, |world| world.submit(JOB, QUEUE, vec![step.clone()]));
            site.advance(2_000);
            let started = site.worlds[1].workers["rare"].starts.len();
            assert!(started > 0, "{what}, lasting: {lasting}");
            if !lasting {
                assert_eq!(state(&site, JOB), State::Completed, "{what}");
            }
        }
    }
}

/// Returns another worker with the same properties.
fn worker_like(worker: &Worker) -> Worker {
    Worker {
        capacity: worker.capacity,
        rack: worker.rack,
        service: worker.service,
        ..Worker::default()
    }
}

/// LOST: the same for the workers of a service that has none in the job's cell.
#[test]
fn a_job_goes_to_a_cell_with_workers_of_its_service() {
    let mut site = site(2);
    let other = Queue { service: "other".into(), ..queue("other", 0) };
    for cell in 0..2 {
        let config = config(2, vec![queue(QUEUE, 0), other.clone()]);
        site.with(cell, |world| world.handle(Event::Configured(config)));
    }
    add(&mut site, 1, "rare", Worker { service: "other", ..Worker::default() });
    site.advance(1_000);
    site.with(0, |world| world.submit(JOB, "other", vec![step(1, 1)]));
    site.advance(2_000);
    assert_eq!(state(&site, JOB), State::Completed);
}

/// LOST: timed jobs were not moved at all.
#[test]
fn a_timed_job_goes_to_a_cell_that_can_hold_it() {
    let mut site = site(2);
    add(&mut site, 1, "rare", labelled(0));
    site.advance(1_000);
    let start_at_ms = 1_700_000_000_000 + site.worlds[0].now + 500;
    let submission = Submission {
        interval_ms: 1_000,
        occurrences: 3,
        spec: "work".into(),
        start_at_ms,
        steps: vec![needs_label(0, step(1, 1))],
    };
    let record = job::Record {
        accepted_at_ms: start_at_ms - 500,
        begun: false,
        crashes: Vec::new(),
        declared: None,
        last_run: 0,
        progress: None,
        queue: QUEUE.into(),
        submission,
        tasks: None,
        ticket: None,
        unstarted: Default::default(),
    };
    site.with(0, |world| world.accept(id(JOB), record));
    site.advance(5_000);
    assert_eq!(site.worlds[1].workers["rare"].starts.len(), 3);
    assert_eq!(state(&site, JOB), State::Completed);
}

/// LOST: a job that had begun stayed where its next step can't run. What is done stays done, and what has
/// failed counts.
#[test]
fn a_job_that_has_begun_goes_on_in_a_cell_that_can_hold_the_rest() {
    let mut site = site(2);
    add(&mut site, 0, "near", labelled(0));
    add(&mut site, 1, "far", labelled(0));
    site.advance(1_000);
    let second = Step { after: vec![0], ..needs_label(0, step(1, 1)) };
    site.with(0, |world| world.submit(JOB, QUEUE, vec![step(3, 1), second]));
    site.advance(100);
    site.worlds[0].worker("near").fails_runs = true;
    site.advance(400);
    assert_eq!(runs(&site, name(JOB, 1, 0)), [1]);
    site.advance(200);
    site.lose_worker(0, "near");
    site.worlds[1].worker("far").fails_runs = true;
    site.advance(8_000);
    assert_eq!(moves(&site), 1);
    for index in 0..3 {
        assert_eq!(runs(&site, name(JOB, 0, index)).len(), 1, "task {index}");
    }
    assert_eq!(runs(&site, name(JOB, 1, 0)), [1, 2, 3], "the second one was lost");
    assert_eq!(state(&site, JOB), State::Failed, "two attempts failed, one in each cell");
}

/// LOST: each step can run in another cell only.
#[test]
fn a_job_goes_from_cell_to_cell_if_none_can_hold_all_of_it() {
    for ordered in [false, true] {
        let mut site = site(3);
        add(&mut site, 1, "one", labelled(0));
        add(&mut site, 2, "two", labelled(1));
        site.advance(1_000);
        let after = if ordered { vec![0] } else { Vec::new() };
        let steps = vec![
            needs_label(0, step(2, 1)),
            Step { after: after.clone(), ..needs_label(1, step(2, 1)) },
            Step { after: if ordered { vec![1] } else { after }, ..needs_label(0, step(2, 1)) },
        ];
        site.with(0, |world| world.submit(JOB, QUEUE, steps));
        site.advance(6_000);
        assert_eq!(state(&site, JOB), State::Completed, "ordered: {ordered}");
        for step in 0..3 {
            assert_eq!(runs(&site, name(JOB, step, 0)).len(), 1);
        }
    }
}

/// LOST: tasks of a lasting job that has begun, of which only the first waiting step was looked at.
#[test]
fn lasting_tasks_go_to_a_cell_that_can_hold_them() {
    let mut site = Site::new(2, 600_000);
    add(&mut site, 0, "near", labelled(0));
    add(&mut site, 1, "far", labelled(0));
    site.advance(1_000);
    let lasting = |step: Step| Step { lasting: true, ..step };
    let steps =
        vec![lasting(step(1, 1)), lasting(step(1, 17)), lasting(needs_label(0, step(2, 1)))];
    site.with(0, |world| world.submit(JOB, QUEUE, steps));
    site.advance(1_000);
    site.lose_worker(0, "near");
    site.advance(9_000);
    for index in 0..2 {
        assert!(site.worlds[1].workers["far"].held.contains_key(&name(JOB, 2, index)));
    }
}

/// Jobs that no cell can hold stay where they are, and start once a worker comes, in whichever cell.
#[test]
fn a_job_that_no_cell_can_hold_stays_until_one_can() {
    let mut site = site(3);
    site.with(0, |world| world.submit(JOB, QUEUE, vec![needs_label(0, step(1, 1))]));
    site.advance(5_000);
    assert_eq!(moves(&site), 0);
    add(&mut site, 2, "late", labelled(0));
    site.advance(2_000);
    assert_eq!(moves(&site), 1);
    assert_eq!(state(&site, JOB), State::Completed);
}

/// A job whose cell can hold it is not moved to one that can't, however busy its cell is.
#[test]
fn a_job_waits_for_a_busy_worker_that_can_hold_it() {
    let mut site = site(2);
    add(&mut site, 0, "near", labelled(0));
    site.advance(1_000);
    site.worlds[0].run_ms = 5_000;
    let busy = needs_label(0, step(1, 16));
    site.with(0, |world| {
        world.submit("a", QUEUE, vec![busy.clone()]);
        world.submit("b", QUEUE, vec![step(1, 16)]);
        world.submit(JOB, QUEUE, vec![busy]);
    });
    site.advance(4_000);
    assert_eq!(moves(&site), 0);
    site.advance(8_000);
    assert_eq!(state(&site, JOB), State::Completed);
}

fn head(cell: u32, inventory: Option<Inventory>) -> Head {
    Head {
        cell,
        free_milli: 64_000,
        inventory,
        largest_milli: 16_000,
        total_milli: 64_000,
        ..Head::default()
    }
}

/// Returns the inventory of one worker.
fn inventory(worker: &Worker) -> Inventory {
    let mut world = world::World::unanswered(&[]);
    world.workers.insert("w".into(), worker_like(worker));
    let entries: Vec<_> = world.members().into_values().flatten().collect();
    Inventory::new(&entries)
}

/// LOST: the cell of a new job was chosen by free processors alone.
#[test]
fn a_new_job_is_sent_to_a_cell_that_can_hold_it() {
    for (what, worker, step) in rare() {
        for processes in [2, 40] {
            let mut balancer = Balancer::default();
            balancer.set_processes(processes);
            for cell in 0..4 {
                let held =
                    if cell == 2 { inventory(&worker) } else { inventory(&Worker::default()) };
                let busy = Head { backlog: [(0, 100_000)].into(), ..head(cell, Some(held)) };
                let free = head(cell, Some(inventory(&Worker::default())));
                balancer.observe(0, if cell == 2 { busy } else { free }, 1);
            }
            let submission = Submission { steps: vec![step.clone()], ..Submission::default() };
            let queue = queue(QUEUE, 0);
            let demand = Demand::new(id(JOB), &submission, &queue);
            assert_eq!(balancer.choose(&demand), Some(2), "{what}, {processes} processes");
        }
    }
}

/// Owners of earlier versions tell no inventory, and would run the tasks of a moved job again.
#[test]
fn a_job_that_has_begun_goes_to_no_owner_of_an_earlier_version() {
    let mut site = site(2);
    add(&mut site, 0, "near", labelled(0));
    site.advance(1_000);
    let second = Step { after: vec![0], ..needs_label(0, step(1, 1)) };
    site.with(0, |world| world.submit(JOB, QUEUE, vec![step(1, 1), second]));
    site.advance(100);
    site.lose_worker(0, "near");
    site.worlds[1].policy.inventory = false;
    site.take_over(1);
    site.advance(8_000);
    assert_eq!(moves(&site), 0);
}

#[test]
fn heads_and_records_of_earlier_versions_are_read() {
    let head: Head =
        serde_json::from_str(r#"{"cell":1,"generation":2,"owner":"x","sequence":3}"#).unwrap();
    assert_eq!(head.inventory, None);
    let text = r#"{"accepted_at_ms":1,"queue":"q","submission":{"spec":"s","steps":[]}}"#;
    let record: job::Record = serde_json::from_str(text).unwrap();
    assert_eq!((record.last_run, &record.progress), (0, &None));
    assert!(!serde_json::to_string(&record).unwrap().contains("last_run"));
}

#[test]
fn whatever_fails_jobs_that_move_are_done_once() {
    let moved: usize = (0..24).map(survive_random_faults).sum();
    assert!(moved > 24, "{moved}");
}

/// Workers with a label are lost, and come, owners change, answers are lost, and changes of records come
/// late. Returns the number of moves.
fn survive_random_faults(seed: u64) -> usize {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let cells = random.random_range(2..4);
    let mut site = site(cells as u32);
    for round in 0..20 {
        let steps = (0..random.random_range(1..4)).map(|number: u16| {
            let after =
                if number > 0 && random.random_bool(0.7) { vec![number - 1] } else { Vec::new() };
            let plain = Step { after, ..step(random.random_range(1..4), 2) };
            match random.random_range(0..3) {
                0 => plain,
                label => needs_label(label - 1, plain),
            }
        });
        let steps: Vec<Step> = steps.collect();
        let cell = random.random_range(0..cells);
        site.with(cell, |world| world.submit(&format!("a{round}"), QUEUE, steps));
        let cell = random.random_range(0..cells);
        match random.random_range(0..8) {
            0..3 => {
                let present = site.worlds[cell].workers.iter().filter(|(_, worker)| !worker.gone);
                let ids: Vec<String> = present.map(|(id, _)| id.clone()).collect();
                if !ids.is_empty() {
                    let id = &ids[random.random_range(0..ids.len())];
                    // Unrelated crashes give jobs up (issue 24).
                    site.worlds[cell].worker(id).draining = true;
                    let members = site.worlds[cell].members();
                    site.with(cell, |world| world.handle(Event::Workers(members)));
                    site.advance(random.random_range(0..60) * 10);
                    site.lose_worker(cell, id);
                }
            }
            3..5 => add(&mut site, cell, &format!("c{cell}r{round}"), labelled(round % 2)),
            5 => site.take_over(cell),
            6 => {
                let stores = [Store::Up, Store::Up, Store::Down, Store::LosesAnswers];
                site.worlds[cell].store = stores[random.random_range(0..stores.len())];
            }
            _ => site.watch_ms[cell] = [10, 200, 2_000][random.random_range(0..3)],
        }
        site.advance(random.random_range(1..12) * 100);
    }
    for cell in 0..cells {
        site.worlds[cell].store = Store::Up;
        site.watch_ms[cell] = world::site::WATCH_MS;
        add(&mut site, cell, &format!("c{cell}plain"), Worker::default());
    }
    add(&mut site, 0, "last0", labelled(0));
    add(&mut site, cells - 1, "last1", labelled(1));
    site.advance(60_000);
    for round in 0..20 {
        let job = format!("a{round}");
        assert_eq!(state(&site, &job), State::Completed, "seed {seed}, {job}");
    }
    assert_none_starts_after_done(&site, seed);
    moves(&site)
}

/// TWICE: a start after a run has ended as done. An end of a worker that has left unheard doesn't count.
fn assert_none_starts_after_done(site: &Site, seed: u64) {
    let workers = || site.worlds.iter().flat_map(|world| &world.workers);
    let mut done: BTreeMap<_, u64> = BTreeMap::new();
    for (_, worker) in workers().filter(|(_, worker)| !worker.gone) {
        for (at, task) in &worker.done {
            let first = done.entry(*task).or_insert(*at);
            *first = (*first).min(*at);
        }
    }
    for (id, worker) in workers() {
        for (at, task, run) in &worker.starts {
            let late = done.get(task).is_some_and(|done| at > done);
            assert!(!late, "seed {seed}: {task} run {run} starts at {id} after it was done");
        }
    }
}
