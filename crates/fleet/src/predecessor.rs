//! What a new owner has to wait for before it starts tasks that the last one may have started: only
//! the workers that may still run something, and only as long as their leases can last. Answers this load:
//! VMs that are restarted in turn, or all at once, and outages of the store, while workers leave and crash.

use super::*;

/// The last owner of a cell, as its successor knows it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Predecessor {
    /// Workers that are not assigned to the cell any more, and may hold runs.
    pub former: BTreeSet<String>,
    /// Its number.
    pub generation: u32,
    /// Workers whose leases may last longer than those of the others, with how long after its last commit they may
    /// last, in milliseconds.
    pub long_leases: BTreeMap<String, u64>,
    /// How its ownership ended.
    pub end: End,
    /// Whether the store tells of all lasting tasks of the cell that have run.
    pub records_starts: bool,
    /// Whether it knew that orders of all owners before it were over.
    pub settled: bool,
    /// For how long after its last commit leases of owners before it may last, in milliseconds; 0 if
    /// unknown.
    pub settling_ms: u64,
    /// Workers that held no runs, and got none before a later head.
    pub vacated: BTreeSet<String>,
    /// The workers most of which it had to hear to extend leases while the store was silent.
    pub voters: BTreeSet<String>,
}

/// How the ownership of a cell ended, as far as its successor knows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum End {
    /// It may go on without the store.
    #[default]
    Unknown,
    /// Its process has ended.
    Ended,
    /// It grants no more leases.
    Stopped {
        /// When its leases and those of earlier owners are over, in milliseconds.
        leases_over_at: u64,
    },
}

impl Predecessor {
    /// Returns the last owner as its head shows it.
    pub fn new(head: &Head, end: End) -> Self {
        Self {
            former: head.former.clone(),
            generation: head.generation,
            long_leases: head.long_leases.clone(),
            end,
            records_starts: head.records_starts,
            settled: head.settled,
            settling_ms: head.settling_ms,
            vacated: head.vacated.clone(),
            voters: head.voters.clone(),
        }
    }

    /// Returns whether earlier owners extend no lease without hearing one of these workers: they are half of the
    /// voters or more, and the owners must hear more than half.
    pub fn is_quorum(&self, answers: impl Fn(&str) -> bool) -> bool {
        let answering = self.voters.iter().filter(|id| answers(id)).count();
        !self.voters.is_empty() && answering * 2 >= self.voters.len()
    }

    /// Returns when every lease that earlier owners granted is over, for a successor that had acquired
    /// the cell at `acquired_at`, and knew of the end at `known_at`. All times are in milliseconds.
    pub fn leases_over_at(&self, acquired_at: u64, known_at: u64, limits: &Limits) -> u64 {
        let lease_ms = limits.longest_lease_ms();
        let longest = acquired_at + limits.longest_silence_ms();
        match self.end {
            End::Stopped { leases_over_at } => leases_over_at,
            // Its process may have gone on without the store until just before its end was known.
            End::Ended if self.settled => longest.min(known_at + lease_ms),
            End::Ended if self.settling_ms > 0 => {
                longest.min(known_at + lease_ms.max(self.settling_ms))
            }
            End::Ended | End::Unknown => longest,
        }
    }
}
