//! Jobs that would be late are rejected, and only those.

mod world;

use {
    oleanderstage_fleet::{
        Event, Fit, Head, Queue, Step, Submission, Throughput,
        admission::{Balancer, Demand},
        gate::{Gate, Outlook, Verdict},
        job,
        load::Added,
        pressure::Pressure,
        task,
    },
    world::{QUEUE, World, filling, id, name, serving, step},
};

const IMAGE: &str = "study";

/// Tail latency of a serving task without load, in milliseconds.
const IDLE_TAIL_MS: f64 = 4.0;
/// The contention that a serving task's own load adds near its peak.
const PEAK_LOAD: f64 = 0.6;
/// The contention that the image adds when it uses a whole worker; a task of it uses an eighth.
const LEVEL: f64 = 0.35;
/// What a filling task uses, in thousandths of a core.
const FILLING_MILLI: f64 = 2_000.0;

fn queue() -> Queue {
    world::queue("render", 2)
}

fn submission(tasks: u16) -> Submission {
    let step = Step { estimate_ms: 1_000, ..filling(tasks, IMAGE) };
    Submission { steps: vec![step], ..Submission::default() }
}

/// A cell with `backlog` core-milliseconds of work before it at a rate of 8 cores.
fn head(cell: u32, backlog: u64) -> Head {
    let throughput = [(IMAGE.into(), Throughput { backlog, milli: 8_000 })].into();
    Head { cell, throughput, total_milli: 64_000, ..Head::default() }
}

fn outlook(balancer: &Balancer, now: u64, job: job::Id) -> Option<Outlook> {
    let (queue, submission) = (queue(), submission(4));
    balancer.outlook(now, &Demand::new(job, &submission, &queue), &submission, &queue)
}

/// Eight cores get through 8 core-seconds before the job and its own 8 in two seconds.
#[test]
fn a_job_is_expected_when_the_work_before_it_is_done() {
    let mut balancer = Balancer::default();
    balancer.observe(100, head(0, 8_000), 1);
    let expected = Outlook { expected_ms: 2_000, objective_ms: 1_750 };
    assert_eq!(outlook(&balancer, 200, id("1")), Some(expected));
}

#[test]
fn a_job_is_judged_by_the_fastest_cell() {
    let mut balancer = Balancer::default();
    balancer.observe(100, head(0, 800_000), 1);
    balancer.observe(100, head(1, 0), 2);
    let outlook = outlook(&balancer, 200, id("1")).expect("an outlook");
    assert_eq!(outlook.expected_ms, 1_000);
}

/// A herd arrives at one VM between two reads of the heads.
#[test]
fn jobs_sent_since_the_head_was_read_count() {
    let mut balancer = Balancer::default();
    balancer.observe(100, head(0, 0), 1);
    let (queue, submission) = (queue(), submission(4));
    for number in 0..10 {
        let id = id(&number.to_string());
        assert_eq!(balancer.choose(&Demand::new(id, &submission, &queue)), Some(0));
    }
    let outlook = outlook(&balancer, 200, id("a")).expect("an outlook");
    assert_eq!(outlook.expected_ms, 11_000);
}

/// The owner is lost, the store is away, a new owner has not seen enough, or an image is new.
#[test]
fn nothing_is_rejected_on_old_or_missing_figures() {
    let mut balancer = Balancer::default();
    assert_eq!(outlook(&balancer, 200, id("1")), None);
    balancer.observe(100, head(0, 800_000), 1);
    assert!(outlook(&balancer, 200, id("1")).is_some());
    assert_eq!(outlook(&balancer, 3_000, id("1")), None, "an old head");
    balancer.observe(3_000, head(0, 800_000), 1);
    assert_eq!(outlook(&balancer, 3_100, id("1")), None, "the same head, read again");
    balancer.observe(3_000, head(0, 800_000), 2);
    let unknown = Head { cell: 1, total_milli: 64_000, ..Head::default() };
    balancer.observe(3_000, unknown, 3);
    assert_eq!(outlook(&balancer, 3_100, id("1")), None, "a cell of which nothing is known");
    assert_eq!(Gate::default().decide(id("1"), IMAGE, None), Verdict::Accept);
}

#[test]
fn rejections_begin_and_end_at_different_waits() {
    let mut gate = Gate::default();
    let mut rejects = |expected_ms| {
        let outlook = Outlook { expected_ms, objective_ms: 1_000 };
        gate.decide(id("1"), IMAGE, Some(outlook)) != Verdict::Accept
    };
    let waits = [500, 950, 1_050, 950, 850, 750, 950];
    assert_eq!(waits.map(&mut rejects), [false, false, true, true, true, false, false]);
}

#[test]
fn rejected_callers_are_told_the_wait_and_do_not_return_together() {
    let outlook = Some(Outlook { expected_ms: 11_000, objective_ms: 1_000 });
    let wait = |number: u32| match Gate::default().decide(id(&number.to_string()), IMAGE, outlook) {
        Verdict::Reject { retry_after_ms } => retry_after_ms,
        Verdict::Accept => 0,
    };
    let waits: Vec<u64> = (0..200).map(wait).collect();
    assert!(waits.iter().all(|wait| (8_000..=12_000).contains(wait)), "{waits:?}");
    assert!(waits.iter().min() < Some(&8_400) && waits.iter().max() > Some(&11_600), "{waits:?}");
}

/// Estimates that are off by ten times, either way, say little after a while.
#[test]
fn estimates_without_a_relation_to_durations_lose_their_weight() {
    let mut fit = Fit::new(1_700);
    for number in 0..100 {
        fit.observe(if number % 2 == 0 { 170 } else { 17_000 }, 1_700);
    }
    for estimate_ms in [0, 170, 17_000] {
        let expected_ms = fit.expected_ms(estimate_ms);
        assert!((1_000..2_900).contains(&expected_ms), "{estimate_ms} {expected_ms}");
    }
}

#[test]
fn estimates_that_hold_keep_their_weight() {
    let mut fit = Fit::new(1_000);
    for number in 0..100 {
        let estimate_ms = 500 + number * 50;
        fit.observe(estimate_ms, estimate_ms * 2);
    }
    assert!((900..1_150).contains(&fit.expected_ms(500)), "{}", fit.expected_ms(500));
    assert!((9_000..11_500).contains(&fit.expected_ms(5_000)), "{}", fit.expected_ms(5_000));
}

/// For twenty seconds much more comes than the workers beside whose serving tasks it may run get through.
/// Accepted all the same, nearly all jobs were late.
#[test]
fn beyond_what_fits_more_jobs_are_in_time_when_some_are_rejected() {
    let (all, _) = in_time_of_a_burst(false);
    let (some, rejected) = in_time_of_a_burst(true);
    assert!(rejected > 20, "{rejected}");
    assert!(some > 5 * all, "{all} {some}");
}

/// The contention of the image is known.
fn pressure() -> Pressure {
    let mut pressure = Pressure::default();
    for _ in 0..200 {
        pressure.observe("feed", Added { level: LEVEL / 2.0, variance: 0.01 }, &[(IMAGE, 0.5)]);
    }
    pressure
}

/// Lets workers list the use of filling tasks, and the tail latency that these bring about beside them.
fn measure(world: &mut World) {
    let is_filling = |task: &task::Name| ![id("a"), id("c")].contains(&task.job);
    for worker in world.workers.values_mut() {
        let filling = worker.held.iter().filter(|(task, _)| is_filling(task));
        let share: f64 = filling.map(|(_, held)| f64::from(held.pace) / 100.0 / 8.0).sum();
        let tail_ms = IDLE_TAIL_MS / (1.0 - PEAK_LOAD - share * LEVEL);
        for (task, held) in &worker.held {
            let used_milli = FILLING_MILLI * f64::from(held.pace) / 100.0;
            let measurement = if is_filling(task) { used_milli } else { tail_ms };
            worker.measurements.insert(*task, measurement);
        }
    }
}

/// Returns how many jobs of a burst are in time, and how many are rejected.
fn in_time_of_a_burst(admission: bool) -> (usize, usize) {
    let mut world = World::new(&["w1", "w2", "w3", "w4"]);
    world.run_ms = 600_000;
    world.submit("a", QUEUE, vec![Step { per_worker: 1, ..serving(4, "feed") }]);
    world.submit("c", QUEUE, vec![Step { lasting: true, per_worker: 1, ..step(4, 6) }]);
    world.advance(500);
    world.run_ms = 1_000;
    world.handle(Event::Pressure(pressure()));
    let (mut balancer, mut gate, queue) = (Balancer::default(), Gate::default(), queue());
    let mut accepted = Vec::new();
    let mut rejected = 0;
    for number in 0..130 {
        measure(&mut world);
        let (job, submission) = (format!("b{number}"), submission(4));
        let (head, revision) = world.head.clone();
        balancer.observe(world.now, head, revision);
        let demand = Demand::new(id(&job), &submission, &queue);
        let outlook = balancer.outlook(world.now, &demand, &submission, &queue);
        if admission && gate.decide(id(&job), IMAGE, outlook) != Verdict::Accept {
            rejected += 1;
        } else {
            balancer.choose(&demand);
            world.submit(&job, "render", submission.steps);
            accepted.push((id(&job), world.now));
        }
        world.advance(150);
    }
    world.advance(60_000);
    let objective_ms = queue.latency_objective_ms(1_000);
    let done_at = |id: &job::Id| world.done_at(id);
    let in_time = accepted
        .iter()
        .filter(|(id, at)| done_at(id).is_some_and(|done| done <= at + objective_ms));
    (in_time.count(), rejected)
}

/// Jobs that had waited were started with all their tasks at a twentieth of the pace, in a cell of which
/// little was reserved: two hundred tasks on four workers, and none in time.
#[test]
fn jobs_that_have_waited_start_slowly_with_one_task_only() {
    let mut world = World::new(&["w1", "w2", "w3", "w4"]);
    world.run_ms = 600_000;
    world.submit("a", QUEUE, vec![Step { per_worker: 1, ..serving(4, "feed") }]);
    world.advance(500);
    world.handle(Event::Pressure(pressure()));
    for number in 0..20 {
        world.submit(&format!("b{number}"), "render", submission(4).steps);
    }
    for _ in 0..80 {
        measure(&mut world);
        world.advance(50);
    }
    let running = |number: u32, index: u16| {
        let name = name(&format!("b{number}"), 0, index);
        usize::from(!world.running(name).is_empty())
    };
    let tasks = |number: u32| (0..4).map(|index| running(number, index)).sum::<usize>();
    let counts: Vec<usize> = (0..20).map(tasks).collect();
    let with = |least: usize| counts.iter().filter(|count| **count >= least).count();
    assert!(with(1) == 20 && with(2) < 6, "{counts:?}");
}
