//! Which connections end when a bound is reached.

#![allow(clippy::unwrap_used)]

use {
    oleanderstage_intake::{Cause, Limit, Phase, Table, table::CONNECTION_BYTES},
    quickcheck::quickcheck,
};

fn limit(bytes: usize, connections: usize) -> Limit {
    Limit { bytes, connections: vec![connections, 1], request_ms: 30_000, stall_ms: 12_000 }
}

fn opened(table: &mut Table, now: u64) -> u64 {
    let (id, closed) = table.open(now, 0).unwrap();
    assert_eq!(closed, []);
    id
}

#[test]
fn idle_connections_give_their_places_first_and_the_longest_idle_of_them() {
    let mut table = Table::new(limit(1 << 20, 3));
    let stalled = opened(&mut table, 0);
    table.enter(stalled, Phase::Receiving, 0);
    let (first, second) = (opened(&mut table, 1), opened(&mut table, 2));
    table.enter(first, Phase::Receiving, 3);
    table.enter(first, Phase::Idle, 4);
    assert_eq!(table.open(5, 0).unwrap().1, [second]);
    // Another listener has places of its own.
    assert_eq!(table.open(6, 1).unwrap().1, []);
    assert_eq!(table.open(7, 0).unwrap().1, [first]);
}

#[test]
fn a_whole_request_gives_its_place_to_nobody() {
    let mut table = Table::new(limit(1 << 20, 2));
    let (working, stalled) = (opened(&mut table, 0), opened(&mut table, 0));
    table.enter(working, Phase::Working, 0);
    table.enter(stalled, Phase::Receiving, 1);
    let (third, closed) = table.open(2, 0).unwrap();
    assert_eq!(closed, [stalled]);
    table.enter(third, Phase::Working, 3);
    assert!(table.open(4, 0).is_err());
    assert_eq!(table.take_ended(), [(Cause::Connections, 2), (Cause::Refused, 1)].into());
    // Each refusal lets one more of them end after its answer, the one at work for longest first.
    assert_eq!((table.is_last(working), table.is_last(third)), (true, false));
    table.enter(working, Phase::Idle, 5);
    table.close(working);
    assert_eq!(table.open(6, 0).unwrap().1, []);
}

#[test]
fn memory_is_taken_from_who_has_waited_longest_for_its_next_bytes() {
    let mut table = Table::new(limit(4 * CONNECTION_BYTES + 3_000, 8));
    let ids: Vec<u64> = (0..4).map(|now| opened(&mut table, now)).collect();
    for (&id, at) in ids.iter().zip([10, 30, 20, 5]) {
        table.enter(id, Phase::Receiving, at);
        table.enter(id, if id == ids[3] { Phase::Working } else { Phase::Receiving }, at);
    }
    assert_eq!(table.grow(ids[1], 3_000).unwrap(), []);
    assert_eq!(table.grow(ids[1], 1).unwrap(), [ids[0]]);
    assert_eq!(table.grow(ids[1], CONNECTION_BYTES).unwrap(), [ids[2]]);
    // Only the whole request is left, and more than it leaves can't be held: nothing ends in vain.
    assert!(table.grow(ids[1], 3 * CONNECTION_BYTES).is_err());
    assert!(table.grow(ids[0], 1).is_err(), "it is closed");
    table.shrink(ids[1], 3_001 + CONNECTION_BYTES);
    assert_eq!(table.used(), 2 * CONNECTION_BYTES);
}

#[test]
fn what_waits_too_long_for_its_client_ends() {
    let mut table = Table::new(limit(1 << 20, 8));
    let ids: Vec<u64> = (0..4).map(|_| opened(&mut table, 0)).collect();
    table.enter(ids[0], Phase::Receiving, 0);
    table.enter(ids[1], Phase::Working, 0);
    table.enter(ids[2], Phase::Sending, 0);
    assert_eq!(table.expire(12_000), []);
    assert_eq!(table.expire(12_001), [ids[0], ids[2]]);
    // An idle connection stays; a request that trickles in does not.
    for at in (0..=30).map(|second| 20_000 + second * 1_000) {
        table.enter(ids[3], Phase::Receiving, at);
        assert_eq!(table.expire(at), []);
    }
    assert_eq!(table.expire(50_001), [ids[3]]);
    let ended = table.take_ended();
    assert_eq!(ended, [(Cause::Request, 2), (Cause::Unread, 1)].into());
    assert_eq!(table.len(), 1);
}

#[test]
fn limits_follow_the_vm() {
    let limit = Limit::new(160 << 20, 4_100, &[90, 5, 5], 3_000);
    assert_eq!(limit.connections, [1_755, 97, 97]);
    assert_eq!(limit.bytes, (160 << 20) / 100 * 25);
    assert_eq!((limit.request_ms, limit.stall_ms), (30_000, 12_000));
    let default = Limit::new(0, 0, &[100], 3_000);
    assert_eq!((default.bytes, default.connections), ((256 << 20) / 100 * 25, vec![1_948]));
}

quickcheck! {
    /// Whatever clients do, the bounds hold and no whole request is closed.
    fn bounds_hold(steps: Vec<(u8, u8, u16)>) -> bool {
        let limit = limit(20 * CONNECTION_BYTES, 12);
        let mut table = Table::new(limit.clone());
        let mut open: Vec<(u64, Phase)> = Vec::new();
        for (now, (what, which, bytes)) in (0..).zip(steps) {
            let now = now * 500;
            let chosen = open.get(usize::from(which) % open.len().max(1)).map(|(id, _)| *id);
            let closed = match (what % 6, chosen) {
                (0, _) | (_, None) => match table.open(now, 0) {
                    Ok((id, closed)) => {
                        open.push((id, Phase::Idle));
                        closed
                    }
                    Err(_) => Vec::new(),
                },
                (1, Some(id)) => table.grow(id, bytes.into()).unwrap_or_default(),
                (2, Some(id)) => {
                    table.shrink(id, bytes.into());
                    Vec::new()
                }
                (3, Some(id)) => {
                    let phases = [Phase::Idle, Phase::Receiving, Phase::Sending, Phase::Working];
                    let phase = phases[usize::from(bytes) % 4];
                    table.enter(id, phase, now);
                    open.iter_mut().filter(|(other, _)| *other == id).for_each(|o| o.1 = phase);
                    Vec::new()
                }
                (4, Some(id)) => {
                    table.close(id);
                    open.retain(|(other, _)| *other != id);
                    Vec::new()
                }
                _ => table.expire(now),
            };
            let working = |id: &u64| open.iter().any(|o| o.0 == *id && o.1 == Phase::Working);
            if closed.iter().any(working) || table.used() > limit.bytes || table.len() > 12 {
                return false;
            }
            open.retain(|(id, _)| !closed.contains(id));
        }
        table.len() == open.len()
    }
}
