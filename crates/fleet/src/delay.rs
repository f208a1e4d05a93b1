//! Lasting jobs that wait because lasting tasks hold all that they may, for the decision log.

use super::*;

/// What is known of a lasting job that waits for the limit of lasting jobs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Delay {
    /// Whether a lasting task of a job that ranks after it has started in this cell meanwhile.
    pub overtaken: bool,
}

impl Cell {
    /// Notes that a lasting job waits for the limit, and reports it once.
    pub(crate) fn note_delay(&mut self, clock: Clock, id: job::Id) {
        if self.delays.contains_key(&id) {
            return;
        }
        let Some(job) = self.jobs.get(&id) else { return };
        let waiting = job.waiting_tasks();
        let milli = |&(step, _): &(u16, u16)| {
            job.stage(0, step).map_or(0, |stage| stage.step.reserved().processors_milli)
        };
        let quota = self.quota();
        let delayed = action::Report::Delayed {
            job: id,
            tasks: waiting.len(),
            milli: waiting.iter().map(milli).fold(0, u64::saturating_add),
            lasting_milli: quota.held_milli,
            limit_milli: quota.limit_milli,
            waited_ms: clock.unix.saturating_sub(job.accepted_at_ms),
        };
        self.delays.insert(id, Delay::default());
        self.report(delayed);
    }

    /// Reports each delayed job that the start of a lasting task of another one overtakes, once.
    pub(crate) fn note_overtaken(&mut self, by: job::Id) {
        let rank = |id: &job::Id| {
            let job = self.jobs.get(id)?;
            Some((job.queue.priority, job.accepted_at_ms, *id))
        };
        let Some(own) = rank(&by) else { return };
        let overtaken = |(id, delay): &(&job::Id, &Delay)| {
            let waits = self.jobs.get(id).is_some_and(Job::has_unstarted);
            !delay.overtaken && waits && rank(id).is_some_and(|rank| rank < own)
        };
        let overtaken: Vec<job::Id> =
            self.delays.iter().filter(overtaken).map(|(id, _)| *id).collect();
        for id in overtaken {
            self.delays.insert(id, Delay { overtaken: true });
            self.report(action::Report::Overtaken { job: id, by });
        }
    }
}
