//! Distinction between workers that fail every task and jobs that can never run.
#![allow(clippy::unwrap_used)]

use {
    oleanderstage_core::{
        Instant, Name, job,
        probation::{Decision, State, Tracker},
    },
    std::time::Duration,
};

const NOW: Instant = Instant::from_millis(0);

fn vm(i: usize) -> Name {
    format!("vm-{i}").as_str().try_into().unwrap()
}

fn job(serial: u128) -> job::Id {
    job::Id { cell: "kigali-1.0".parse().unwrap(), serial }
}

fn seconds(seconds: u64) -> Instant {
    NOW + Duration::from_secs(seconds)
}

#[test]
fn a_worker_that_fails_three_jobs_is_on_probation_and_no_job_is_blamed() {
    let mut tracker = Tracker::default();
    assert_eq!(tracker.record_failure(NOW, &vm(0), &job(1), "exit 1"), None);
    assert_eq!(tracker.record_failure(NOW, &vm(0), &job(2), "exit 1"), None);
    let decision = tracker.record_failure(NOW, &vm(0), &job(3), "exit 1");
    assert_eq!(decision, Some(Decision::Probation { until: seconds(30), vm: vm(0) }));
    for i in 1..8 {
        assert_eq!(tracker.record_failure(NOW, &vm(i), &job(1), "exit 1"), None, "vm-{i}");
    }
}

#[test]
fn a_job_that_fails_on_workers_that_do_other_work_is_given_up_with_its_reason() {
    let mut tracker = Tracker::default();
    let mut decisions = Vec::new();
    for i in 0..3 {
        assert_eq!(tracker.record_failure(NOW, &vm(i), &job(1), "no such codec"), None);
        decisions.extend(tracker.record_success(seconds(1), &vm(i), &job(2)));
        assert_eq!(tracker.state(NOW, &vm(i)), State::Healthy);
    }
    let reason = "failed on `vm-0`, `vm-1`, `vm-2` and succeeded nowhere: no such codec".into();
    assert_eq!(decisions, [Decision::FailJob { job: job(1), reason }]);
}

#[test]
fn a_job_alone_in_the_cell_is_given_up_after_eight_workers() {
    let mut tracker = Tracker::default();
    for i in 0..7 {
        assert_eq!(tracker.record_failure(NOW, &vm(i), &job(1), "exit 1"), None);
    }
    let decision = tracker.record_failure(NOW, &vm(7), &job(1), "exit 1");
    assert!(matches!(decision, Some(Decision::FailJob { .. })), "{decision:?}");
    assert!((0..8).all(|i| tracker.state(NOW, &vm(i)) == State::Healthy));
}

#[test]
fn a_worker_that_fails_one_job_that_runs_elsewhere_is_on_probation() {
    let mut tracker = Tracker::default();
    tracker.record_success(NOW, &vm(1), &job(1));
    let decisions: Vec<_> =
        (0..3).filter_map(|_| tracker.record_failure(NOW, &vm(0), &job(1), "disk full")).collect();
    assert_eq!(decisions, [Decision::Probation { until: seconds(30), vm: vm(0) }]);
}

#[test]
fn probation_ends_in_a_trial_and_doubles_until_one_succeeds() {
    let mut tracker = Tracker::default();
    for serial in 0..3 {
        tracker.record_failure(NOW, &vm(0), &job(serial), "exit 1");
    }
    assert_eq!(tracker.state(seconds(29), &vm(0)), State::Probation);
    assert_eq!(tracker.state(seconds(30), &vm(0)), State::Trial);
    let decision = tracker.record_failure(seconds(30), &vm(0), &job(9), "exit 1");
    assert_eq!(decision, Some(Decision::Probation { until: seconds(90), vm: vm(0) }));
    assert_eq!(tracker.state(seconds(90), &vm(0)), State::Trial);
    assert_eq!(
        tracker.record_success(seconds(90), &vm(0), &job(10)),
        [Decision::Reinstate { vm: vm(0) }]
    );
    assert_eq!(tracker.state(seconds(90), &vm(0)), State::Healthy);
}

#[test]
fn a_tenth_of_fifty_workers_failing_fast_gives_no_good_job_up() {
    let mut tracker = Tracker::default();
    let mut attempts = 0;
    for serial in 0..40_u128 {
        for task in 0..10 {
            let at = (serial as usize * 7 + task * 11) % 50;
            if at >= 5 || tracker.state(NOW, &vm(at)) != State::Healthy {
                continue;
            }
            attempts += 1;
            let decision = tracker.record_failure(NOW, &vm(at), &job(serial), "exit 1");
            assert!(!matches!(decision, Some(Decision::FailJob { .. })));
        }
    }
    assert_eq!(attempts, 15);
}

#[test]
fn a_run_that_started_before_a_failure_confirms_nothing() {
    let mut tracker = Tracker::default();
    for i in 0..4 {
        tracker.record_failure(seconds(10), &vm(i), &job(1), "exit 1");
        tracker.record_failure(seconds(10), &vm(i), &job(2), "exit 1");
        assert_eq!(tracker.record_success(seconds(9), &vm(i), &job(3)), []);
        let decision = tracker.record_failure(seconds(11), &vm(i), &job(4), "exit 1");
        assert_eq!(decision, Some(Decision::Probation { until: seconds(41), vm: vm(i) }));
        assert_eq!(tracker.record_success(seconds(12), &vm(i), &job(3)), [], "in probation");
        assert_eq!(tracker.state(seconds(12), &vm(i)), State::Probation);
    }
}
