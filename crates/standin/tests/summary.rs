//! Tests that the summary of a ledger counts each kind of violation.

#![allow(clippy::unwrap_used)]

use {
    oleanderstage_core::{
        Name, Resources, cell, job, task,
        worker::{End, Run},
    },
    oleanderstage_standin::{
        ledger::{self, Record},
        summary::Summary,
    },
};

fn name(text: &str) -> Name {
    text.try_into().unwrap()
}

fn run(attempt: u32, (start_us, end_us): (u64, Option<u64>), end: Option<End>) -> ledger::Run {
    let job = job::Id { cell: "zone-1.0".parse().unwrap(), serial: 1 };
    ledger::Run {
        checkpoint: None,
        end,
        end_us,
        epoch: cell::Epoch(1),
        run: Run { attempt: task::Attempt(attempt), task: task::Id { index: 0, job } },
        start_us,
        vm: name("vm-1"),
    }
}

fn request(key: Option<&str>, id: &str, idempotent: bool) -> ledger::Request {
    ledger::Request {
        end_us: None,
        idempotent,
        key: key.map(str::to_owned),
        request: id.into(),
        service: name("publish"),
        start_us: 0,
        vm: name("vm-1"),
    }
}

fn summary_of(runs: &[ledger::Run]) -> Summary {
    Summary::from(&Record { runs: runs.into(), ..Record::default() })
}

fn repeated(requests: &[ledger::Request]) -> u64 {
    Summary::from(&Record { requests: requests.into(), ..Record::default() }).repeated
}

#[test]
fn a_doubled_task_is_counted() {
    let stopped = Some(End::Stopped);
    let first = run(1, (10, Some(20)), stopped.clone());
    assert_eq!(summary_of(&[first.clone(), run(2, (20, Some(30)), stopped.clone())]).doubled, 0);
    assert_eq!(summary_of(&[first.clone(), run(2, (19, Some(30)), stopped.clone())]).doubled, 1);
    assert_eq!(summary_of(&[run(2, (15, None), None), first.clone()]).doubled, 1);
    let finished = |attempt, span| run(attempt, span, Some(End::Finished));
    let twice = [finished(1, (10, Some(20))), finished(2, (30, Some(40)))];
    assert_eq!(summary_of(&twice).doubled, 1);
    assert_eq!(summary_of(&twice).finished, 1);
}

#[test]
fn a_checkpoint_resumed_twice_is_counted() {
    let resumed = |attempt, span, end| ledger::Run {
        checkpoint: Some("500 a".into()),
        ..run(attempt, span, Some(end))
    };
    let lapsed = resumed(2, (10, Some(20)), End::Lapsed);
    let kept = resumed(3, (30, Some(40)), End::Checkpointed { token: "700 a".into() });
    let again = resumed(4, (50, Some(60)), End::Finished);
    assert_eq!(summary_of(&[lapsed, kept.clone()]).resumed_twice, 0);
    assert_eq!(summary_of(&[kept, again]).resumed_twice, 1);
}

#[test]
fn a_repeated_request_is_counted() {
    assert_eq!(repeated(&[request(Some("k"), "1", true), request(Some("k"), "2", true)]), 0);
    assert_eq!(repeated(&[request(Some("k"), "1", false), request(Some("l"), "2", false)]), 0);
    assert_eq!(repeated(&[request(Some("k"), "1", false), request(Some("k"), "2", false)]), 1);
    assert_eq!(repeated(&[request(None, "1", false), request(None, "1", false)]), 1);
}

#[test]
fn an_overfull_vm_is_counted() {
    let amount = |processors_milli| Resources { processors_milli, ..Resources::default() };
    let peak = |most| ledger::Peak { capacity: amount(4), most: amount(most), slots: 0 };
    let summary = |most| {
        let peaks = [(name("vm-1"), peak(most))].into();
        Summary::from(&Record { peaks, ..Record::default() }).overfull
    };
    assert_eq!((summary(4), summary(5)), (0, 1));
}
