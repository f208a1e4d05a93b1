//! Estimates of slowdowns, and the measures that the model advises.
#![allow(clippy::unwrap_used)]

use {
    oleanderstage_core::{
        Instant, Name,
        interference::{Advice, Limits, Model, Running, Worker},
        job,
        placement::Assessment,
        task, worker,
    },
    std::time::Duration,
};

const BASELINE_MS: f64 = 100.0;
const LAG: Duration = Duration::from_secs(2);

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn run(index: u32) -> worker::Run {
    let job = job::Id { cell: "kigali-1.0".parse().unwrap(), serial: 1 };
    worker::Run { attempt: task::Attempt(1), task: task::Id { index, job } }
}

/// A model of twenty workers with 16 cores and one service, with the true slowdowns of the classes.
struct Fixture {
    model: Model,
    now: Instant,
    /// True slowdown by each class if it uses all processors of a worker.
    slowdowns: Vec<(Name, f64)>,
    /// Number of reports so far, which determines the noise.
    report_count: u32,
}

impl Fixture {
    fn new(slowdowns: &[(&str, f64)]) -> Self {
        let limits = Limits { hold: 0.06, release: 0.05, throttle: 0.08, ..Limits::default() };
        let mut model = Model::new(limits);
        let worker =
            |i| Worker { processors_milli: 16_000, slots: 8, vm: name(&format!("vm-{i}")) };
        model.apply(&(0..20).map(worker).collect::<Vec<_>>());
        let slowdowns = slowdowns.iter().map(|(class, x)| (name(class), *x)).collect();
        Self { model, now: Instant::from_millis(100_000), slowdowns, report_count: 0 }
    }

    /// Records a report of a worker that runs these classes on 4 cores each.
    fn report(&mut self, vm: &str, classes: &[&str], load: f64) {
        self.report_count += 1;
        let noise = f64::from(self.report_count * 7_919 % 101) / 500.0 - 0.1;
        let slowdown: f64 = classes.iter().map(|class| self.slowdown(class) * 0.25).sum();
        let service = worker::ServiceUsage {
            load: load * 8.0,
            mean_ms: BASELINE_MS * (1.0 + slowdown) * (1.0 + noise),
            requests: 12,
            service: name("bulletin"),
        };
        let usage = worker::Usage { services: vec![service], ..worker::Usage::default() };
        let running: Vec<Running> = classes.iter().enumerate().map(running).collect();
        self.model.report(self.now, &name(vm), LAG, &usage, &running);
    }

    /// Records reports of twenty workers every two seconds, each worker with one of the mixes.
    fn reports(&mut self, rounds: usize, load: f64) {
        let mixes: [&[&str]; 5] =
            [&[], &["mild"], &["noisy"], &["mild", "noisy"], &["mild", "mild"]];
        for _ in 0..rounds {
            self.now = self.now + Duration::from_secs(2);
            for i in 0..20 {
                self.report(&format!("vm-{i}"), mixes[i % 5], load);
            }
        }
    }

    fn slowdown(&self, class: &str) -> f64 {
        self.slowdowns.iter().find(|(name, _)| name.as_str() == class).unwrap().1
    }

    fn pair(&self, class: &str, load: f64) -> f64 {
        self.model.pair_slowdown(&name("bulletin"), &name(class), load)
    }
}

fn running((index, class): (usize, &&str)) -> Running {
    Running {
        checkpoints: index % 2 == 0,
        class: name(class),
        processors_milli: 4_000,
        run: run(index as u32),
        since: Instant::from_millis(0),
    }
}

fn assert_near(estimate: f64, expected: f64, tolerance: f64) {
    assert!((estimate - expected).abs() < tolerance, "estimated {estimate}, is {expected}");
}

#[test]
fn estimates_pairs_from_noisy_reports() {
    let mut fixture = Fixture::new(&[("mild", 0.1), ("noisy", 0.8)]);
    fixture.reports(30, 0.4);
    assert_near(fixture.pair("mild", 0.4), 0.1, 0.05);
    assert_near(fixture.pair("noisy", 0.4), 0.8, 0.08);
}

#[test]
fn an_unseen_band_starts_from_the_mean_of_the_class() {
    let mut fixture = Fixture::new(&[("mild", 0.1), ("noisy", 0.8)]);
    fixture.reports(30, 0.4);
    assert_near(fixture.pair("noisy", 0.9), 0.8, 0.15);
    assert_eq!(fixture.pair("unheard-of", 0.9), 0.2);
}

#[test]
fn follows_a_shift_within_a_minute() {
    let mut fixture = Fixture::new(&[("mild", 0.1), ("noisy", 0.8)]);
    fixture.reports(90, 0.4);
    fixture.slowdowns = vec![(name("mild"), 0.9), (name("noisy"), 0.1)];
    fixture.reports(30, 0.4);
    assert_near(fixture.pair("mild", 0.4), 0.9, 0.12);
    assert_near(fixture.pair("noisy", 0.4), 0.1, 0.12);
}

#[test]
fn takes_no_more_and_throttles_the_worst_once() {
    let mut fixture = Fixture::new(&[("mild", 0.1), ("noisy", 0.8)]);
    fixture.reports(30, 0.4);
    let vm = name("vm-3");
    let refused = fixture.model.assess(&vm, &name("noisy"), 4_000);
    assert_eq!(refused, Assessment::Refuse);
    let advice = fixture.model.advise(fixture.now, &vm);
    assert_eq!(advice, [Advice::Throttle { run: run(1), share_milli: 50 }]);
    assert!(fixture.model.advise(fixture.now, &vm).is_empty());
}

#[test]
fn leaves_a_mild_mix_alone() {
    let mut fixture = Fixture::new(&[("mild", 0.1), ("noisy", 0.8)]);
    fixture.reports(30, 0.4);
    assert!(fixture.model.advise(fixture.now, &name("vm-4")).is_empty());
    let assessment = fixture.model.assess(&name("vm-0"), &name("mild"), 4_000);
    assert!(matches!(assessment, Assessment::Cost(cost) if cost < 0.05), "{assessment:?}");
}

#[test]
fn lifts_a_throttle_step_by_step_once_the_worker_is_calm() {
    let mut fixture = Fixture::new(&[("mild", 0.1), ("noisy", 0.8)]);
    fixture.reports(30, 0.4);
    let vm = name("vm-2");
    let first = fixture.model.advise(fixture.now, &vm);
    assert_eq!(first, [Advice::Throttle { run: run(0), share_milli: 250 }]);
    fixture.slowdowns = vec![(name("mild"), 0.1), (name("noisy"), 0.05)];
    let mut lifted = Vec::new();
    for _ in 0..60 {
        fixture.reports(1, 0.4);
        lifted.extend(fixture.model.advise(fixture.now, &vm));
    }
    let expected =
        [Advice::Throttle { run: run(0), share_milli: 500 }, Advice::Release { run: run(0) }];
    assert_eq!(lifted, expected);
}

#[test]
fn evicts_the_run_that_loses_least_when_throttling_is_not_enough_and_within_the_budget() {
    let mut fixture = Fixture::new(&[("storm", 20.0)]);
    let vms: Vec<String> = (0..20).map(|i| format!("vm-{i}")).collect();
    let mut counts = [0; 3];
    for round in 0..10 {
        fixture.now = fixture.now + Duration::from_secs(2);
        for (i, vm) in vms.iter().enumerate() {
            fixture.report(vm, if i < 8 { &["storm", "storm"] } else { &[] }, 0.4);
            for advice in fixture.model.advise(fixture.now, &name(vm)) {
                match advice {
                    Advice::Hold => counts[0] += 1,
                    Advice::Throttle { share_milli, .. } => {
                        assert_eq!(share_milli, 50);
                        counts[1] += 1;
                    }
                    Advice::Evict { run: evicted } => {
                        assert_eq!(evicted, run(0), "the one with checkpoints");
                        assert!(round >= 4, "before the throttle settled");
                        counts[2] += 1;
                    }
                    Advice::Release { run } => panic!("released {run:?}"),
                }
            }
        }
    }
    assert_eq!(counts[1..], [16, 4]);
    assert!(counts[0] >= 8, "held {} times", counts[0]);
}

#[test]
fn counts_a_run_from_its_start_and_throttles_one_that_fits_nowhere_else() {
    let mut fixture = Fixture::new(&[("mild", 0.1), ("noisy", 0.8)]);
    fixture.reports(30, 0.4);
    let vm = name("vm-0");
    let start = |index| Running { run: run(index), ..running((0, &"noisy")) };
    let advice = fixture.model.start_run(fixture.now, &vm, &start(7));
    assert_eq!(advice, Some(Advice::Throttle { run: run(7), share_milli: 250 }));
    assert_near(fixture.model.slowdown(&vm), 0.05, 0.015);
    let refused = fixture.model.assess(&vm, &name("noisy"), 4_000);
    assert_eq!(refused, Assessment::Refuse);
    assert!(matches!(fixture.model.assess(&vm, &name("mild"), 100), Assessment::Cost(_)));
}

#[test]
fn throttles_a_mild_run_where_all_slots_are_in_use() {
    let started = |load| {
        let mut fixture = Fixture::new(&[("mild", 0.15), ("noisy", 0.8)]);
        fixture.reports(30, load);
        fixture.model.start_run(fixture.now, &name("vm-0"), &running((0, &"mild")))
    };
    assert_eq!(started(0.5), None);
    assert_eq!(started(1.0), Some(Advice::Throttle { run: run(0), share_milli: 250 }));
}

#[test]
fn a_repeated_measurement_counts_once() {
    let mut single = Fixture::new(&[("mild", 0.1), ("noisy", 0.8)]);
    single.reports(3, 0.4);
    let mut repeated = Fixture::new(&[("mild", 0.1), ("noisy", 0.8)]);
    repeated.reports(3, 0.4);
    let usage = worker::Usage {
        services: vec![worker::ServiceUsage {
            load: 3.2,
            mean_ms: 900.0,
            requests: 12,
            service: name("bulletin"),
        }],
        ..worker::Usage::default()
    };
    for late in 0..5 {
        let (now, age) =
            (repeated.now + Duration::from_secs(late), LAG + Duration::from_secs(late));
        repeated.model.report(now, &name("vm-2"), age, &usage, &[]);
    }
    assert_eq!(repeated.pair("noisy", 0.4).to_bits(), single.pair("noisy", 0.4).to_bits());
}
