//! Holds room for large tasks. Small tasks leave gaps that large ones can't use, and under steady load a
//! large task waits as long as small ones keep coming. A task that fits nowhere therefore reserves the
//! worker that has room for it first, and others start there only if they end before, or leave that room
//! (EASY backfill). Filling tasks are not held back, since they give way.
//!
//! Reservations last for one placement pass. The next one makes them anew from what is known then, so
//! that none outlives its job, its worker or its owner.

use super::*;

/// The reservations of one placement pass, by worker.
#[derive(Debug, Default)]
pub struct Book {
    reservations: BTreeMap<Arc<str>, Reservation>,
    /// The number of reservations for lasting tasks.
    for_lasting: usize,
}

/// A worker's room that is held for a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reservation {
    /// When the task is expected to have room, in milliseconds.
    pub ready_at: u64,
    /// What other tasks may take of the room that is free at that time.
    pub spare: Resources,
}

/// The most reservations of one pass: enough for the first tasks that wait, without holding much of a
/// cell.
const MAX_RESERVATIONS: usize = 8;
/// The most of them for lasting tasks, whose room may come free late.
const MAX_LASTING_RESERVATIONS: usize = 2;
/// How far ahead room is reserved, in milliseconds: forecasts of later ends are too far off.
const HORIZON_MS: u64 = 4_000;
/// How long a task is expected to run at most when it starts before a reservation, in percent of its
/// expected time.
const BACKFILL_PERCENT: u64 = 130;

impl Book {
    /// Returns whether no more reservations are made in this pass.
    pub fn is_full(&self) -> bool {
        self.reservations.len() >= MAX_RESERVATIONS
    }

    /// Returns whether no more reservations for lasting tasks are made in this pass.
    pub fn is_full_for_lasting(&self) -> bool {
        self.is_full() || self.for_lasting >= MAX_LASTING_RESERVATIONS
    }

    /// Returns the reservation of a worker.
    pub fn get(&self, worker: &str) -> Option<&Reservation> {
        self.reservations.get(worker)
    }

    /// Holds the room of a worker.
    pub fn insert(&mut self, worker: Arc<str>, reservation: Reservation) {
        self.reservations.insert(worker, reservation);
    }

    /// Holds the room of a worker for a lasting task.
    pub fn insert_for_lasting(&mut self, worker: Arc<str>, reservation: Reservation) {
        self.for_lasting += 1;
        self.insert(worker, reservation);
    }

    /// Returns whether a task that takes `duration_ms` may start at a worker; `None` if it lasts.
    pub fn allows(&self, worker: &str, now: u64, step: &Step, duration_ms: Option<u64>) -> bool {
        let Some(reservation) = self.reservations.get(worker) else { return true };
        let ends_before = duration_ms.is_some_and(|duration_ms| {
            now.saturating_add(duration_ms.saturating_mul(BACKFILL_PERCENT) / 100)
                <= reservation.ready_at
        });
        step.fills || ends_before || step.reserved().fits(&reservation.spare)
    }

    /// Takes what a task that has started at a worker leaves of the spare room, if it may still run when
    /// the reserved task starts.
    pub fn take(&mut self, worker: &str, now: u64, step: &Step, duration_ms: Option<u64>) {
        let Some(reservation) = self.reservations.get_mut(worker) else { return };
        let ends_before =
            duration_ms.is_some_and(|duration_ms| now + duration_ms <= reservation.ready_at);
        if !ends_before {
            reservation.spare = reservation.spare.saturating_sub(&step.reserved());
        }
    }
}

impl Reservation {
    /// Returns the reservation of a worker for a task of `needed` resources: the earliest time within
    /// `HORIZON_MS` at which it has room. Its runs hold `reserved`, which is more than its capacity once
    /// that has shrunk; `ends` holds their expected ends in milliseconds, with what each frees.
    pub fn find(
        now: u64,
        capacity: Resources,
        reserved: Resources,
        needed: Resources,
        mut ends: Vec<(u64, Resources)>,
    ) -> Option<Self> {
        ends.sort_by_key(|(at, _)| *at);
        let mut held = reserved;
        for (ready_at, freed) in ends {
            if ready_at > now + HORIZON_MS {
                return None;
            }
            held = held.saturating_sub(&freed);
            if !held.fits(&capacity) {
                continue;
            }
            let room = capacity.saturating_sub(&held);
            if needed.fits(&room) {
                return Some(Self { ready_at, spare: room.saturating_sub(&needed) });
            }
        }
        None
    }
}
