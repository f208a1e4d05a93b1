//! Answers of keyed requests that this entry keeps, bounded in bytes and time.

use super::*;
use oleanderstage_core::{key, key_record::Grant};
use wire::StoredAnswer;

/// Bytes of bodies kept.
const MAX_BYTES: usize = 64 << 20;

/// Answers of keyed requests that this entry keeps, the oldest dropped first.
#[derive(Debug, Default)]
pub(crate) struct Keep {
    answers: BTreeMap<key::Id, Item>,
    bytes: usize,
    /// Keys by the age of their answer.
    order: VecDeque<(u64, key::Id, Grant)>,
}

#[derive(Debug)]
struct Item {
    answer: Arc<StoredAnswer>,
    grant: Grant,
}

impl Keep {
    /// Returns the answer of the run under `grant`.
    pub(crate) fn get(&self, id: &key::Id, grant: Grant) -> Option<Arc<StoredAnswer>> {
        let item = self.answers.get(id).filter(|item| item.grant == grant)?;
        Some(item.answer.clone())
    }

    /// Keeps an answer, and drops those that are too old or too many.
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
        while let Some((kept_ms, id, grant)) = self.order.front().copied() {
            if self.bytes <= MAX_BYTES && wall_ms < kept_ms + key::RECORD_RETENTION_MS {
                return;
            }
            self.order.pop_front();
            self.drop_one(&id, grant);
        }
    }

    fn drop_one(&mut self, id: &key::Id, grant: Grant) {
        if self.get(id, grant).is_none() {
            return;
        }
        if let Some(item) = self.answers.remove(id) {
            self.bytes -= item.answer.body.len();
        }
    }
}
