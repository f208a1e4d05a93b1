//! Which jobs a placement pass looks at when many find no worker. Each pass begins with the first ones, so that
//! urgent jobs are found at once, and goes on from where the last one stopped, so that none is passed over for
//! good.

/// The part of the ranked jobs that a pass looks at.
#[derive(Debug)]
pub(crate) struct Window {
    /// The searches of this pass that found no worker.
    misses: usize,
    /// The position at which the last pass stopped; 0 if it came to the end.
    resume_at: usize,
}

/// Number of searches that find no worker after which a pass ends, so that a long queue costs little more than
/// a short one.
pub(crate) const MAX_MISSES: usize = 48;
/// The most of them among the jobs before the position at which the last pass stopped.
const MAX_FIRST_MISSES: usize = MAX_MISSES / 2;

impl Window {
    /// Returns the window of a pass after one that stopped at a position.
    pub(crate) fn new(resume_at: usize) -> Self {
        Self { misses: 0, resume_at }
    }

    /// Returns the position after a job for which `misses` searches found no worker; `None` at the end of the
    /// pass.
    pub(crate) fn next(&mut self, position: usize, misses: usize) -> Option<usize> {
        self.misses += misses;
        if self.misses >= MAX_MISSES {
            return None;
        }
        let next = position + 1;
        if self.misses >= MAX_FIRST_MISSES { Some(next.max(self.resume_at)) } else { Some(next) }
    }
}
