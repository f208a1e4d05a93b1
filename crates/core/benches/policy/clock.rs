//! Virtual time.

use super::*;

/// Events in the order of their time, and of their making where times are equal.
#[derive(Debug, Default)]
pub(crate) struct Clock {
    events: Vec<Option<Event>>,
    free: Vec<usize>,
    queue: BinaryHeap<Reverse<(Instant, u64, usize)>>,
    serial: u64,
}

impl Clock {
    /// Adds an event.
    pub(crate) fn at(&mut self, at: Instant, event: Event) {
        let index = self.free.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[index] = Some(event);
        self.serial += 1;
        self.queue.push(Reverse((at, self.serial, index)));
    }

    /// Takes the next event.
    pub(crate) fn next(&mut self) -> Option<(Instant, Event)> {
        let Reverse((at, _, index)) = self.queue.pop()?;
        self.free.push(index);
        self.events[index].take().map(|event| (at, event))
    }
}
