//! Event queue that drives the virtual time of the simulation.

use super::*;

/// Pending events, ordered by time and, at equal times, by the order in which they were added.
#[derive(Debug, Default)]
pub(crate) struct Clock {
    events: Vec<Option<Event>>,
    /// Indices in `events` that can be reused.
    free: Vec<usize>,
    queue: BinaryHeap<Reverse<(Instant, u64, usize)>>,
    serial: u64,
}

impl Clock {
    /// Schedules an event at a point in time.
    pub(crate) fn schedule(&mut self, at: Instant, event: Event) {
        let index = self.free.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[index] = Some(event);
        self.serial += 1;
        self.queue.push(Reverse((at, self.serial, index)));
    }

    /// Removes and returns the next event with its time.
    pub(crate) fn next(&mut self) -> Option<(Instant, Event)> {
        let Reverse((at, _, index)) = self.queue.pop()?;
        self.free.push(index);
        self.events[index].take().map(|event| (at, event))
    }
}
