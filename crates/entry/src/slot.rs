//! A slot at an endpoint, given back when dropped.

use super::*;
use node::Node;
use service::State;

/// A slot at an endpoint, given back when dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    pub(crate) address: SocketAddr,
    pub(crate) vm: Name,
    end: route::End,
    node: Arc<Node>,
    state: Arc<State>,
}

impl Slot {
    /// Takes a slot of the best endpoint that is not in `exclude`, if one is free.
    pub(crate) fn take(node: &Arc<Node>, state: &Arc<State>, exclude: &[Name]) -> Option<Self> {
        let mut exclude = exclude.to_vec();
        loop {
            let now = node.clock.now();
            let vm = lock(&state.table).pick(now, &exclude)?;
            let Some(address) = node.hosts.take(&vm) else {
                lock(&state.table).end(now, &vm, route::End::Cancelled);
                exclude.push(vm);
                continue;
            };
            let (node, state) = (node.clone(), state.clone());
            return Some(Self { address, end: route::End::Cancelled, node, state, vm });
        }
    }

    /// Gives the slot back, saying how its request ended.
    pub(crate) fn end(mut self, end: route::End) {
        self.end = end;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.node.hosts.give(&self.vm);
        lock(&self.state.table).end(self.node.clock.now(), &self.vm, self.end);
    }
}
