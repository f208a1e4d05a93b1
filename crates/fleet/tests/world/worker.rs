//! A fake worker, with what befalls it.

use {
    oleanderstage_fleet::{Listing, event::Refusal, listing, listing::How, task},
    std::collections::BTreeMap,
};

/// A run at a fake worker.
#[derive(Clone, Debug)]
pub struct Held {
    pub run: u32,
    pub left_ms: u64,
    pub pace: u32,
    pub checkpoint: String,
}

/// A fake worker, with what befalls it.
#[derive(Debug, Default)]
pub struct Worker {
    pub acknowledged: u64,
    pub born: u64,
    pub dark: bool,
    pub draining: bool,
    pub fence: u64,
    pub held: BTreeMap<task::Name, Held>,
    pub ended: Vec<listing::End>,
    pub ends: u64,
    /// Every start it carried out: time, task, run.
    pub starts: Vec<(u64, task::Name, u32)>,
    pub figures: BTreeMap<task::Name, f64>,
    pub lease_until: u64,
    /// Starts are carried out and not answered.
    pub mute: bool,
    pub fails_all: bool,
    pub past: BTreeMap<task::Name, u32>,
    pub replaced: bool,
    pub gone: bool,
}

impl Worker {
    pub fn end(&mut self, task: task::Name, run: u32, how: How, checkpoint: String) {
        self.ends += 1;
        let past = self.past.entry(task).or_default();
        *past = (*past).max(run);
        self.ended.push(listing::End { checkpoint, how, number: self.ends, run, task });
    }

    pub fn start(
        &mut self,
        now: u64,
        task: task::Name,
        run: u32,
        lease_until: u64,
        run_ms: u64,
        checkpoint: String,
    ) -> Result<(), Refusal> {
        if self.dark {
            return Err(Refusal::Unknown);
        }
        if self.replaced {
            return Err(Refusal::Reborn);
        }
        if self.past.get(&task).is_some_and(|past| *past >= run) {
            return Err(Refusal::Old);
        }
        self.lease_until = self.lease_until.max(lease_until);
        if self.held.get(&task).is_none_or(|held| held.run < run) {
            let held = Held { run, left_ms: run_ms, pace: 100, checkpoint };
            self.held.insert(task, held);
            self.starts.push((now, task, run));
        }
        if self.mute { Err(Refusal::Unknown) } else { Ok(()) }
    }

    pub fn stop(&mut self, task: task::Name, run: u32) -> Result<(), Refusal> {
        if self.dark {
            return Err(Refusal::Unknown);
        }
        let past = self.past.entry(task).or_default();
        *past = (*past).max(run);
        if let Some(held) = self.held.remove(&task) {
            self.end(task, held.run, How::Stopped, held.checkpoint);
        }
        Ok(())
    }

    pub fn listing(&self, now: u64) -> Listing {
        let running = self
            .held
            .iter()
            .map(|(task, held)| listing::Running {
                checkpoint: held.checkpoint.clone(),
                figure: self.figures.get(task).copied().unwrap_or(1_000.0),
                progress: 50,
                run: held.run,
                task: *task,
            })
            .collect();
        Listing { born: Some(self.born), clock_ms: now, ended: self.ended.clone(), running }
    }

    /// Begins a new life under the same id.
    pub fn bear(&mut self) {
        *self = Self {
            born: self.born + 1,
            starts: std::mem::take(&mut self.starts),
            ..Self::default()
        };
    }
}
