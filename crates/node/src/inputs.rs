//! The part of this VM's shared state that a cell decides from.

use super::*;

/// What was last passed on to a cell of the configuration, the other cells' heads, the workers and the zones to be evacuated.
#[derive(Default)]
pub(crate) struct Inputs {
    config_version: u64,
    heads_read_at: u64,
    /// The version of the zones to be evacuated.
    evacuation_version: u64,
    /// Since when the cell is assigned to another VM, or this VM leaves, in milliseconds.
    pub(crate) leaving_since: Option<u64>,
    /// The incarnation of the last owner and the revision of its last head, until its process is known to
    /// have ended.
    predecessor: Option<(String, u64)>,
    /// Whether the workers' entries were too old for new runs.
    stale: bool,
    /// The value of [`Node::view`] for the members that the cell has.
    view: Option<(u64, u64, bool)>,
}

impl Inputs {
    /// Returns the inputs of a cell whose last owner was the incarnation `owner`, with a head of `revision`.
    pub(crate) fn new(owner: String, revision: u64) -> Self {
        Self { predecessor: Some((owner, revision)), ..Self::default() }
    }

    /// Returns the changes since the last call, in an order in which the cell places nothing from
    /// entries that are too old.
    pub(crate) fn changes(&mut self, executor: &Executor, now: u64) -> Vec<Event> {
        let node = &executor.node;
        let stale = node.is_view_stale(now);
        let stale_changed = stale != self.stale;
        self.stale = stale;
        let mut events = Vec::new();
        let has_ended = |(owner, revision): &mut (String, u64)| node.has_ended(owner, *revision);
        if self.predecessor.take_if(has_ended).is_some() {
            events.push(Event::PredecessorEnded(End::Ended));
        }
        if stale_changed {
            log::info!(cell = executor.cell, stale; "view_stale");
        }
        if stale_changed && stale {
            events.push(Event::ViewStale(true));
        }
        let evacuation = node.evacuation.borrow();
        if evacuation.version() != self.evacuation_version {
            self.evacuation_version = evacuation.version();
            events.push(Event::Evacuated(evacuation.zones().clone()));
        }
        let config = node.config.borrow().clone();
        if let Some(config) = config.filter(|config| config.version != self.config_version) {
            self.config_version = config.version;
            events.push(Event::Configured(config));
        }
        let heads_read_at = node.heads_read_at.get();
        if heads_read_at != self.heads_read_at {
            self.heads_read_at = heads_read_at;
            let heads = node.heads.borrow().clone();
            let owners = heads.len();
            events.push(Event::Heads { heads, owners });
        }
        let view = node.view();
        if self.view != Some(view) {
            self.view = Some(view);
            events.extend(self.members_event(executor, now));
        }
        if stale_changed && !stale {
            events.push(Event::ViewStale(false));
        }
        events
    }

    /// Returns the event for a changed view: the members, or the first notice that the cell is to be
    /// released.
    fn members_event(&mut self, executor: &Executor, now: u64) -> Option<Event> {
        let Some(members) = executor.node.assigned_members(executor.cell) else {
            let is_first = self.leaving_since.is_none();
            self.leaving_since.get_or_insert(now);
            return is_first.then_some(Event::Leaving);
        };
        executor.update_addresses(&members);
        Some(Event::Workers(members))
    }
}
