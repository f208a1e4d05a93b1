//! Decides whether the jobs of all cells leave memory for a further one. Answers this load: jobs that are small
//! to submit and large to hold come faster than they end, and each cell's owner has to hold all of them. Any VM
//! may have to own every cell, so that the smallest bounds them all.

use super::*;

/// The memory that the jobs of all cells take, as far as this process knows.
#[derive(Debug, Default)]
pub struct Memory {
    /// The bytes of each cell's jobs and the revision of the head that told them.
    held: BTreeMap<u32, (u64, u64)>,
    /// The number of processes that accept jobs at the same time.
    processes: u64,
    /// When jobs were accepted here that heads may not count yet, in milliseconds, and their bytes.
    sent: VecDeque<(u64, u64)>,
}

/// The memory of a VM whose entry doesn't tell it, in MiB.
const DEFAULT_MEMORY_MIB: u64 = 256;
/// The share of a VM's memory that jobs may take, in percent.
const JOBS_PERCENT: u64 = 25;
/// The share that they may take if every process has accepted as much lately as this one, in percent.
const LATELY_PERCENT: u64 = 50;
/// Time after which the heads count an accepted job, in milliseconds: owners write them every 0.5 s, and others
/// read them at least every 1.2 s.
const COUNTED_AFTER_MS: u64 = 2_000;
/// How many times a job has to fit into the memory that is left. Large jobs leave room for small ones.
const FITTING: u64 = 2;

impl Memory {
    /// Sets the number of processes that accept jobs at the same time.
    pub fn set_processes(&mut self, processes: usize) {
        self.processes = processes as u64;
    }

    /// Updates what the jobs of a cell take from its head; ignores one that is not newer than the last.
    pub fn observe(&mut self, head: &Head, revision: u64) {
        let held = self.held.entry(head.cell).or_default();
        if revision > held.1 {
            *held = (head.held_bytes, revision);
        }
    }

    /// Returns whether there is room for a job at `now`, in milliseconds, if the smallest VM has `memory_mib`;
    /// 0 stands for a default. If so, it counts as accepted.
    pub fn accept(&mut self, now: u64, job_bytes: u64, memory_mib: u64) -> bool {
        while self.sent.front().is_some_and(|(at, _)| now >= at + COUNTED_AFTER_MS) {
            self.sent.pop_front();
        }
        let mib = if memory_mib == 0 { DEFAULT_MEMORY_MIB } else { memory_mib };
        let percent = |percent| mib.saturating_mul(1 << 20) / 100 * percent;
        let held = self.held_bytes();
        let sent: u64 = self.sent.iter().map(|(_, bytes)| bytes).sum();
        let with_job = held.saturating_add(sent).saturating_add(job_bytes.saturating_mul(FITTING));
        let everywhere = sent.saturating_add(job_bytes).saturating_mul(self.processes.max(1));
        // The first one in a while tells nothing of what comes elsewhere.
        let lately = if sent == 0 { 0 } else { held.saturating_add(everywhere) };
        let fits = with_job <= percent(JOBS_PERCENT) && lately <= percent(LATELY_PERCENT);
        if fits {
            self.sent.push_back((now, job_bytes));
        }
        fits
    }

    /// Returns the bytes of all cells' jobs by their heads.
    pub fn held_bytes(&self) -> u64 {
        self.held.values().map(|(bytes, _)| bytes).fold(0, |sum, bytes| sum.saturating_add(*bytes))
    }
}
