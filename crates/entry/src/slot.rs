//! A slot at an endpoint, released when dropped.

use super::*;
use context::Context;
use service::State;

/// A slot at an endpoint, released when dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    pub(crate) address: SocketAddr,
    pub(crate) vm: Name,
    end: route::End,
    context: Arc<Context>,
    state: Arc<State>,
}

impl Slot {
    /// Acquires a slot of the best endpoint that is not in `exclude`, if one is free.
    pub(crate) fn acquire(
        context: &Arc<Context>,
        state: &Arc<State>,
        exclude: &[Name],
    ) -> Option<Self> {
        let mut exclude = exclude.to_vec();
        loop {
            let now = context.clock.now();
            let vm = lock(&state.table).pick(now, &exclude)?;
            let Some(address) = context.hosts.acquire(&vm) else {
                lock(&state.table).end(now, &vm, route::End::Cancelled);
                exclude.push(vm);
                continue;
            };
            let (context, state) = (context.clone(), state.clone());
            return Some(Self { address, end: route::End::Cancelled, context, state, vm });
        }
    }

    /// Releases the slot, and reports how its request ended.
    pub(crate) fn end(mut self, end: route::End) {
        self.end = end;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.context.hosts.release(&self.vm);
        lock(&self.state.table).end(self.context.clock.now(), &self.vm, self.end);
    }
}
