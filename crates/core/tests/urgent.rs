//! Routing, admission and retries of urgent requests.

#![allow(clippy::unwrap_used)]

use {
    oleanderstage_core::{
        Instant, Name,
        admission::{Limiter, Reason},
        retry::Budget,
        route::{self, EJECT_AFTER_FAILURES, End, Endpoint, Table},
    },
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::{collections::BTreeMap, time::Duration},
};

const ANSWERED: End = End::Answered { latency: Duration::from_millis(10) };

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn vm(index: usize) -> Name {
    name(&format!("vm-{index}"))
}

fn endpoint(index: usize, zone: &str, slots: u32) -> Endpoint {
    Endpoint { connections: 64, rack: name("rack"), slots, vm: vm(index), zone: name(zone) }
}

fn table(endpoints: &[Endpoint]) -> Table {
    let mut table = Table::new(name("near"), 7);
    table.apply(Instant(0), endpoints);
    table
}

fn fleet(count: usize) -> Vec<Endpoint> {
    (0..count).map(|i| endpoint(i, if i % 2 == 0 { "near" } else { "far" }, 8)).collect()
}

#[derive(Clone, Debug)]
enum Step {
    End(usize, u8),
    Leave(usize),
    Pick,
    Wait(u16),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 16 {
            0..8 => Self::Pick,
            8..14 => Self::End(usize::arbitrary(g), u8::arbitrary(g)),
            14 => Self::Leave(usize::arbitrary(g) % 6),
            _ => Self::Wait(u16::arbitrary(g)),
        }
    }
}

fn end_of(kind: u8) -> End {
    match kind % 5 {
        0 | 1 => ANSWERED,
        2 => End::Failed,
        3 => End::Lost,
        _ => End::Refused,
    }
}

/// Runs `steps` and returns whether no endpoint got more requests than it has slots, nor any after
/// it left.
fn slots_are_respected(steps: Vec<Step>) -> bool {
    let mut table = table(&(0..6).map(|i| endpoint(i, "near", 2)).collect::<Vec<_>>());
    let (mut now, mut outstanding, mut left) = (Instant(0), Vec::new(), Vec::new());
    for step in steps {
        match step {
            Step::End(at, kind) if !outstanding.is_empty() => {
                let vm: Name = outstanding.swap_remove(at % outstanding.len());
                table.end(now, &vm, end_of(kind));
            }
            Step::End(..) => {}
            Step::Leave(index) => {
                table.leave(now, &vm(index));
                left.push(vm(index));
            }
            Step::Pick => {
                let Some(vm) = table.pick(now, &[]) else { continue };
                if left.contains(&vm) {
                    return false;
                }
                outstanding.push(vm);
            }
            Step::Wait(millis) => now = now + Duration::from_millis(millis.into()),
        }
        let mut counts = BTreeMap::<&Name, u32>::new();
        outstanding.iter().for_each(|vm| *counts.entry(vm).or_default() += 1);
        if counts.values().any(|count| *count > 2) {
            return false;
        }
    }
    true
}

#[test]
fn no_endpoint_has_more_than_its_slots_or_anything_after_it_left() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 11))
        .tests(300)
        .quickcheck(slots_are_respected as fn(Vec<Step>) -> bool);
}

#[test]
fn the_callers_zone_comes_first_until_it_is_full() {
    let mut table = table(&fleet(4));
    let picks: Vec<Name> = (0..4).map(|_| table.pick(Instant(0), &[]).unwrap()).collect();
    assert!(picks.iter().all(|vm| *vm == name("vm-0") || *vm == name("vm-2")), "{picks:?}");
    let rest = (0..28).filter(|_| table.pick(Instant(0), &[]).is_some()).count();
    assert_eq!(rest, 28);
    assert_eq!(table.pick(Instant(0), &[]), None);
}

#[test]
fn an_excluded_endpoint_is_not_chosen_and_the_only_other_one_is() {
    let mut table = table(&[endpoint(0, "near", 64), endpoint(1, "near", 64)]);
    for _ in 0..64 {
        assert_eq!(table.pick(Instant(0), &[vm(0)]), Some(vm(1)));
    }
}

#[test]
fn failing_endpoints_are_ejected_but_only_a_third_of_them() {
    let mut table = table(&(0..9).map(|i| endpoint(i, "near", 8)).collect::<Vec<_>>());
    let mut reached = std::collections::BTreeSet::new();
    for _ in 0..200 {
        let vm = table.pick(Instant(0), &[]).unwrap();
        table.end(Instant(0), &vm, End::Failed);
    }
    for _ in 0..200 {
        let vm = table.pick(Instant(0), &[]).unwrap();
        table.end(Instant(0), &vm, End::Failed);
        reached.insert(vm);
    }
    assert_eq!(reached.len(), 6);
}

#[test]
fn an_ejected_endpoint_returns_after_its_pause() {
    let mut table = table(&fleet(1));
    for _ in 0..EJECT_AFTER_FAILURES {
        let vm = table.pick(Instant(0), &[]).unwrap();
        table.end(Instant(0), &vm, End::Lost);
    }
    assert_eq!(table.pick(Instant(0), &[]), None);
    assert_eq!(table.pick(Instant(0) + route::EJECTION_INCREMENT, &[]), Some(vm(0)));
}

#[test]
fn a_choice_examines_no_more_endpoints_in_a_large_fleet() {
    let examined = [100, 1_000, 10_000].map(|count| {
        let mut table = table(&fleet(count));
        (0..100).for_each(|_| drop(table.pick(Instant(0), &[])));
        table.examined()
    });
    assert_eq!(examined, [400, 400, 400]);
}

#[test]
fn a_new_endpoint_starts_slowly() {
    let mut table = table(&[endpoint(0, "near", 64)]);
    let later = Instant::from_millis(60_000);
    table.apply(later, &[endpoint(0, "near", 64), endpoint(1, "near", 64)]);
    let picks: Vec<Name> = (0..55).map(|_| table.pick(later, &[]).unwrap()).collect();
    let fresh = picks.iter().filter(|picked| **picked == vm(1)).count();
    assert!(fresh <= 10, "{fresh} of 55 to the new endpoint");
}

#[test]
fn with_every_endpoint_failing_attempts_stay_under_the_budget() {
    let mut budget = Budget::new(3);
    let mut attempts = 0;
    for _ in 0..1_000 {
        budget.earn();
        attempts += 1;
        while budget.try_spend() {
            attempts += 1;
        }
    }
    assert!(attempts < 1_100, "{attempts} attempts for 1,000 requests");
}

#[test]
fn a_callers_flood_leaves_room_for_others() {
    let mut limiter = Limiter::new(4, 16, 5);
    let flood = (0..100).filter(|_| limiter.admit("flood", Duration::MAX).is_ok()).count();
    assert_eq!(flood, 4);
    assert_eq!(limiter.admit("flood", Duration::MAX).unwrap_err().reason, Reason::CallerLimit);
    assert!(limiter.admit("other", Duration::MAX).is_ok());
}

#[test]
fn a_request_that_cannot_be_answered_in_time_is_refused_at_once() {
    let mut limiter = Limiter::new(4, 16, 5);
    for _ in 0..64 {
        limiter.admit("a", Duration::MAX).unwrap();
        limiter.end("a", Some(Duration::from_millis(40)));
    }
    let refusal = limiter.admit("a", Duration::from_millis(10)).unwrap_err();
    assert_eq!(refusal.reason, Reason::Deadline);
    assert!(refusal.retry_after >= Duration::from_millis(1));
}

#[test]
fn the_limit_shrinks_when_latency_grows_and_recovers() {
    let mut limiter = Limiter::new(100, 100, 5);
    let mut serve = |millis: u64, answers: u32| {
        for _ in 0..answers {
            limiter.admit("a", Duration::MAX).unwrap();
            limiter.end("a", Some(Duration::from_millis(millis)));
        }
        limiter.limit()
    };
    assert_eq!(serve(10, 64), 100);
    let shrunk = serve(100, 320);
    assert!(shrunk < 50, "{shrunk}");
    assert_eq!(serve(10, 6_400), 100);
}

#[test]
fn the_expected_wait_is_the_mean_latency() {
    let mut table = table(&fleet(4));
    assert_eq!(table.expected_wait(), Duration::ZERO);
    for millis in [80, 80, 160] {
        let vm = table.pick(Instant(0), &[]).unwrap();
        table.end(Instant(0), &vm, End::Answered { latency: Duration::from_millis(millis) });
    }
    assert_eq!(table.expected_wait(), Duration::from_millis(90));
}
