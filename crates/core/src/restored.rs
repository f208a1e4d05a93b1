//! What a new owner reads from the key-value service before it acts.

use super::*;

/// The durable state of a cell.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Restored {
    /// The jobs and their tasks.
    pub content: ledger::Content,
    /// Keys that nothing refers to.
    pub garbage: Vec<String>,
    /// The last group of the snapshot in force.
    pub head: u64,
    /// Bytes of the groups since the snapshot.
    pub journal_bytes: usize,
    /// The last group.
    pub sequence: u64,
    /// Keys in force: groups by sequence, and parts of the snapshot with `u64::MAX`.
    pub used: Vec<(u64, String)>,
}

impl Restored {
    /// Rebuilds the state from every value under the cell's prefix, in the order of the keys.
    ///
    /// # Errors
    ///
    /// Names the first value that is damaged, missing, from a newer release, or contradicts the
    /// values before it. Nothing is guessed.
    pub fn read(
        cell: &cell::Id,
        values: &[store::Value],
        chart: &Arc<stage::Life>,
    ) -> Result<Self, sealed::Error> {
        let values: BTreeMap<&str, &[u8]> =
            values.iter().map(|value| (value.key.as_str(), value.bytes.as_slice())).collect();
        let mut restored = Self::default();
        restored.snapshot(cell, &values)?;
        let mut ledger = Ledger::new(chart.clone(), std::mem::take(&mut restored.content));
        let groups = format!("{}journal/", journal::prefix(cell));
        for (key, bytes) in values.range(groups.as_str()..) {
            if !key.starts_with(&groups) {
                break;
            }
            restored.group(key, bytes, &mut ledger)?;
        }
        restored.content = ledger.content().clone();
        Ok(restored)
    }

    fn group(&mut self, key: &str, bytes: &[u8], ledger: &mut Ledger) -> Result<(), sealed::Error> {
        let group: Group = sealed::open(key, bytes)?;
        if group.sequence <= self.head {
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
        self.used.push((group.sequence, key.into()));
        Ok(())
    }

    fn snapshot(
        &mut self,
        cell: &cell::Id,
        values: &BTreeMap<&str, &[u8]>,
    ) -> Result<(), sealed::Error> {
        let key = journal::head(cell);
        let Some(bytes) = values.get(key.as_str()) else {
            self.drop_parts(cell, values);
            return Ok(());
        };
        let head: Head = sealed::open(&key, bytes)?;
        let mut content = Vec::new();
        for index in 0..head.parts {
            let key = journal::part(cell, head.sequence, index);
            let bytes = values.get(key.as_str());
            let bytes = bytes.ok_or_else(|| sealed::Error::damaged(&key, "it is missing"))?;
            content.extend(sealed::open::<Vec<u8>>(&key, bytes)?);
            self.used.push((u64::MAX, key));
        }
        let decoded = postcard::from_bytes(&content);
        self.content = decoded.map_err(|cause| sealed::Error::damaged(&key, cause))?;
        self.head = head.sequence;
        self.sequence = head.sequence;
        self.drop_parts(cell, values);
        Ok(())
    }

    /// Counts parts of other snapshots as garbage: a compaction was cut.
    fn drop_parts(&mut self, cell: &cell::Id, values: &BTreeMap<&str, &[u8]>) {
        let prefix = format!("{}/", journal::head(cell));
        let parts = values.keys().filter(|key| key.starts_with(&prefix));
        let unused = parts.filter(|key| !self.used.iter().any(|(_, used)| used == *key));
        let unused: Vec<String> = unused.map(|key| key.to_string()).collect();
        self.garbage.extend(unused);
    }
}
