//! Idempotency keys, which identify a request across its repetitions, and how long they are valid.

use super::*;

/// How long a key identifies its request, from its mint time or first use.
pub const RETENTION_MS: u64 = 600_000;
/// Maximum lead of a key's mint time over an entry's clock, and of one entry's clock over
/// another's.
pub const MAX_CLOCK_SKEW_MS: u64 = 5_000;
/// How long a record is kept. Longer than `RETENTION_MS` by three times the clock skew, so that the
/// record of a valid key is always found.
pub const RECORD_RETENTION_MS: u64 = RETENTION_MS + 3 * MAX_CLOCK_SKEW_MS;
/// Number of partitions of the key space.
pub const PARTITIONS: u16 = 64;

/// Identifies a request across its repetitions by a hash of the caller, the service and the key's
/// text.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Id {
    /// Unique to caller, service and text.
    pub hash: u128,
    /// When the key was minted, in milliseconds since 1970; known only for a UUID of version 7.
    pub minted_ms: Option<u64>,
}

/// A hash of what must be identical in every repetition: method, path and body.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u128);

/// The time by both clocks of an entry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Now {
    /// The monotonic clock.
    pub at: Instant,
    /// The wall clock, in milliseconds since 1970.
    pub wall_ms: u64,
}

impl Id {
    /// Returns the id of the key `text` that `caller` sent to `service`.
    pub fn new(caller: &str, service: &Name, text: &str) -> Self {
        let scoped = format!("{}:{caller}/{service}/{text}", caller.len());
        Self { hash: xxhash_rust::xxh3::xxh3_128(scoped.as_bytes()), minted_ms: minted_ms(text) }
    }

    /// Returns the partition that the key belongs to.
    pub fn partition(&self) -> u16 {
        (self.hash % u128::from(PARTITIONS)) as u16
    }

    /// Returns whether the mint time is further ahead of `wall_ms` than clock skew explains.
    pub fn is_from_future(&self, wall_ms: u64) -> bool {
        self.minted_ms.is_some_and(|minted| minted > wall_ms + MAX_CLOCK_SKEW_MS)
    }

    /// Returns whether the absence of a record proves that no run of the key was granted: none can
    /// have been granted by `horizon_ms`, and a later record would still be kept.
    pub fn rules_out_earlier_run(&self, horizon_ms: u64, wall_ms: u64) -> bool {
        match self.minted_ms {
            Some(minted) => {
                let after = horizon_ms == 0 || minted > horizon_ms + 2 * MAX_CLOCK_SKEW_MS;
                after && wall_ms < minted + RETENTION_MS
            }
            None => horizon_ms == 0 || wall_ms > horizon_ms + RECORD_RETENTION_MS,
        }
    }
}

/// Returns the mint time of a UUID of version 7.
fn minted_ms(text: &str) -> Option<u64> {
    if text.len() != 36 || !text.is_ascii() {
        return None;
    }
    let digits: String = text.split('-').collect();
    let value = u128::from_str_radix(&digits, 16).ok().filter(|_| digits.len() == 32)?;
    let (version, variant) = ((value >> 76) & 0xf, (value >> 62) & 0x3);
    (version == 7 && variant == 2).then_some((value >> 80) as u64)
}
