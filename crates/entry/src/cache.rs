//! Cache of the answers to keyed requests, bounded in bytes and age.

use super::*;
use oleanderstage_core::{key, key_record::Grant};
use wire::StoredAnswer;

/// Maximum sum of the body lengths, in bytes.
const MAX_BYTES: usize = 64 << 20;

/// Answers of keyed requests, of which the oldest are dropped first.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    answers: BTreeMap<key::Id, Item>,
    /// Sum of the body lengths.
    bytes: usize,
    /// Keys in the order of insertion, with the wall-clock time in milliseconds since 1970.
    order: VecDeque<(u64, key::Id, Grant)>,
}

#[derive(Debug)]
struct Item {
    answer: Arc<StoredAnswer>,
    grant: Grant,
}

impl Cache {
    /// Returns the answer of the run permitted by `grant`.
    pub(crate) fn get(&self, id: &key::Id, grant: Grant) -> Option<Arc<StoredAnswer>> {
        let item = self.answers.get(id).filter(|item| item.grant == grant)?;
        Some(item.answer.clone())
    }

    /// Inserts an answer, and drops the oldest ones until both bounds hold.
    pub(crate) fn put(
        &mut self,
        wall_ms: u64,
        id: key::Id,
        grant: Grant,
        answer: Arc<StoredAnswer>,
    ) {
        self.bytes += answer.body.len();
        if let Some(old) = self.answers.insert(id, Item { answer, grant }) {
            self.bytes -= old.answer.body.len();
        }
        self.order.push_back((wall_ms, id, grant));
        while let Some((inserted_ms, id, grant)) = self.order.front().copied() {
            if self.bytes <= MAX_BYTES && wall_ms < inserted_ms + key::RECORD_RETENTION_MS {
                return;
            }
            self.order.pop_front();
            self.remove(&id, grant);
        }
    }

    /// Removes an answer, unless it was replaced by one of another grant.
    fn remove(&mut self, id: &key::Id, grant: Grant) {
        if self.get(id, grant).is_none() {
            return;
        }
        if let Some(item) = self.answers.remove(id) {
            self.bytes -= item.answer.body.len();
        }
    }
}
