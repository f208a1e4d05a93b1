//! Bad workers told from impossible jobs.
#![allow(clippy::unwrap_used)]

use {
    oleanderstage_core::{
        Instant, Name, job,
        probation::{Judge, Standing, Verdict},
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
    let mut judge = Judge::default();
    assert_eq!(judge.failed(NOW, &vm(0), &job(1), "exit 1"), None);
    assert_eq!(judge.failed(NOW, &vm(0), &job(2), "exit 1"), None);
    let verdict = judge.failed(NOW, &vm(0), &job(3), "exit 1");
    assert_eq!(verdict, Some(Verdict::Probation { until: seconds(30), vm: vm(0) }));
    for i in 1..8 {
        assert_eq!(judge.failed(NOW, &vm(i), &job(1), "exit 1"), None, "vm-{i}");
    }
}

#[test]
fn a_job_that_fails_on_workers_that_do_other_work_is_given_up_with_its_reason() {
    let mut judge = Judge::default();
    let mut verdicts = Vec::new();
    for i in 0..3 {
        assert_eq!(judge.failed(NOW, &vm(i), &job(1), "no such codec"), None);
        verdicts.extend(judge.succeeded(seconds(1), &vm(i), &job(2)));
        assert_eq!(judge.standing(NOW, &vm(i)), Standing::Good);
    }
    let reason = "failed on `vm-0`, `vm-1`, `vm-2` and succeeded nowhere: no such codec".into();
    assert_eq!(verdicts, [Verdict::GiveUp { job: job(1), reason }]);
}

#[test]
fn a_job_alone_in_the_cell_is_given_up_after_eight_workers() {
    let mut judge = Judge::default();
    for i in 0..7 {
        assert_eq!(judge.failed(NOW, &vm(i), &job(1), "exit 1"), None);
    }
    let verdict = judge.failed(NOW, &vm(7), &job(1), "exit 1");
    assert!(matches!(verdict, Some(Verdict::GiveUp { .. })), "{verdict:?}");
    assert!((0..8).all(|i| judge.standing(NOW, &vm(i)) == Standing::Good));
}

#[test]
fn a_worker_that_fails_one_job_that_runs_elsewhere_is_on_probation() {
    let mut judge = Judge::default();
    judge.succeeded(NOW, &vm(1), &job(1));
    let verdicts: Vec<_> =
        (0..3).filter_map(|_| judge.failed(NOW, &vm(0), &job(1), "disk full")).collect();
    assert_eq!(verdicts, [Verdict::Probation { until: seconds(30), vm: vm(0) }]);
}

#[test]
fn probation_ends_in_a_trial_and_doubles_until_one_succeeds() {
    let mut judge = Judge::default();
    for serial in 0..3 {
        judge.failed(NOW, &vm(0), &job(serial), "exit 1");
    }
    assert_eq!(judge.standing(seconds(29), &vm(0)), Standing::Probation);
    assert_eq!(judge.standing(seconds(30), &vm(0)), Standing::Trial);
    let verdict = judge.failed(seconds(30), &vm(0), &job(9), "exit 1");
    assert_eq!(verdict, Some(Verdict::Probation { until: seconds(90), vm: vm(0) }));
    assert_eq!(judge.standing(seconds(90), &vm(0)), Standing::Trial);
    assert_eq!(judge.succeeded(seconds(90), &vm(0), &job(10)), [Verdict::Return { vm: vm(0) }]);
    assert_eq!(judge.standing(seconds(90), &vm(0)), Standing::Good);
}

#[test]
fn a_tenth_of_fifty_workers_failing_fast_gives_no_good_job_up() {
    let mut judge = Judge::default();
    let mut attempts = 0;
    for serial in 0..40_u128 {
        for task in 0..10 {
            let at = (serial as usize * 7 + task * 11) % 50;
            if at >= 5 || judge.standing(NOW, &vm(at)) != Standing::Good {
                continue;
            }
            attempts += 1;
            let verdict = judge.failed(NOW, &vm(at), &job(serial), "exit 1");
            assert!(!matches!(verdict, Some(Verdict::GiveUp { .. })));
        }
    }
    assert_eq!(attempts, 15);
}

#[test]
fn a_run_that_started_before_a_failure_vouches_for_nothing() {
    let mut judge = Judge::default();
    for i in 0..4 {
        judge.failed(seconds(10), &vm(i), &job(1), "exit 1");
        judge.failed(seconds(10), &vm(i), &job(2), "exit 1");
        assert_eq!(judge.succeeded(seconds(9), &vm(i), &job(3)), []);
        let verdict = judge.failed(seconds(11), &vm(i), &job(4), "exit 1");
        assert_eq!(verdict, Some(Verdict::Probation { until: seconds(41), vm: vm(i) }));
        assert_eq!(judge.succeeded(seconds(12), &vm(i), &job(3)), [], "in probation");
        assert_eq!(judge.standing(seconds(12), &vm(i)), Standing::Probation);
    }
}
