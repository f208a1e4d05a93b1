//! Recovery of a cell's durable state by its new owner.

use super::*;

/// The durable state of a cell, as read from the key-value service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovery {
    /// The jobs and their tasks.
    pub content: ledger::Content,
    /// Keys that nothing refers to, to be deleted.
    pub garbage: Vec<String>,
    /// The last group that the current snapshot includes.
    pub snapshot_sequence: u64,
    /// Size of the groups since the snapshot, in bytes.
    pub journal_bytes: usize,
    /// Sequence number of the last group.
    pub sequence: u64,
    /// Keys in use: those of groups by sequence number, and parts of the snapshot under `u64::MAX`.
    pub live_keys: Vec<(u64, String)>,
}

impl Recovery {
    /// Rebuilds the state from every value under the cell's prefix, in the order of the keys.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first value that is damaged, missing, from a newer release,
    /// or contradicts the values before it. Damaged state is never repaired by guessing.
    pub fn from_values(
        cell: &cell::Id,
        values: &[store::Value],
        chart: &Arc<stage::Life>,
    ) -> Result<Self, sealed::Error> {
        let values: BTreeMap<&str, &[u8]> =
            values.iter().map(|value| (value.key.as_str(), value.bytes.as_slice())).collect();
        let mut recovery = Self::default();
        recovery.load_snapshot(cell, &values)?;
        let mut ledger = Ledger::new(chart.clone(), std::mem::take(&mut recovery.content));
        let groups = format!("{}journal/", journal::prefix(cell));
        for (key, bytes) in values.range(groups.as_str()..) {
            if !key.starts_with(&groups) {
                break;
            }
            recovery.apply_group(key, bytes, &mut ledger)?;
        }
        recovery.content = ledger.content().clone();
        Ok(recovery)
    }

    fn apply_group(
        &mut self,
        key: &str,
        bytes: &[u8],
        ledger: &mut Ledger,
    ) -> Result<(), sealed::Error> {
        let group: Group = sealed::open(key, bytes)?;
        if group.sequence <= self.snapshot_sequence {
            self.garbage.push(key.into());
            return Ok(());
        }
        if group.sequence != self.sequence + 1 {
            let cause = format!("group {} does not follow group {}", group.sequence, self.sequence);
            return Err(sealed::Error::damaged(key, cause));
        }
        for record in &group.records {
            ledger.apply(record).map_err(|cause| sealed::Error::damaged(key, cause))?;
        }
        self.journal_bytes += bytes.len();
        self.sequence = group.sequence;
        self.live_keys.push((group.sequence, key.into()));
        Ok(())
    }

    fn load_snapshot(
        &mut self,
        cell: &cell::Id,
        values: &BTreeMap<&str, &[u8]>,
    ) -> Result<(), sealed::Error> {
        let key = journal::head_key(cell);
        let Some(bytes) = values.get(key.as_str()) else {
            self.mark_unused_parts(cell, values);
            return Ok(());
        };
        let head: Head = sealed::open(&key, bytes)?;
        let mut content = Vec::new();
        for index in 0..head.parts {
            let key = journal::part_key(cell, head.sequence, index);
            let bytes = values.get(key.as_str());
            let bytes = bytes.ok_or_else(|| sealed::Error::damaged(&key, "it is missing"))?;
            content.extend(sealed::open::<Vec<u8>>(&key, bytes)?);
            self.live_keys.push((u64::MAX, key));
        }
        let decoded = postcard::from_bytes(&content);
        self.content = decoded.map_err(|cause| sealed::Error::damaged(&key, cause))?;
        self.snapshot_sequence = head.sequence;
        self.sequence = head.sequence;
        self.mark_unused_parts(cell, values);
        Ok(())
    }

    /// Marks parts of other snapshots as garbage, which an interrupted compaction leaves behind.
    fn mark_unused_parts(&mut self, cell: &cell::Id, values: &BTreeMap<&str, &[u8]>) {
        let prefix = format!("{}/", journal::head_key(cell));
        let parts = values.keys().filter(|key| key.starts_with(&prefix));
        let unused =
            parts.filter(|key| !self.live_keys.iter().any(|(_, live_key)| live_key == *key));
        let unused: Vec<String> = unused.map(|key| key.to_string()).collect();
        self.garbage.extend(unused);
    }
}
