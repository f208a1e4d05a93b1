//! Static shares of an endpoint's slots and connections among the entries, with no coordination.

use super::*;

/// What one entry may use of one VM's guards. The shares of all entries add up to the guards at
/// most, as long as every entry is configured with the same entries.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Share {
    /// Connections.
    pub connections: u32,
    /// Requests in progress; never above `connections`.
    pub slots: u32,
}

impl Share {
    /// Returns the share of `own` among `entries` (`own` among them, in any order) of the guards
    /// of `vm`. The entries are ranked for each VM by a hash; the remainders go to the first ones.
    pub fn of(own: &Name, entries: &[Name], vm: &Name, slots: u32, connections: u32) -> Self {
        let rank = entries.iter().filter(|entry| weight(entry, vm) > weight(own, vm)).count();
        let part = |whole: u32| {
            let count = entries.len().max(1) as u32;
            whole / count + u32::from((rank as u32) < whole % count)
        };
        let connections = part(connections);
        Self { connections, slots: part(slots).min(connections) }
    }
}

/// Returns the rendezvous weight of `entry` for `vm`, without ties between different names.
fn weight<'a>(entry: &'a Name, vm: &Name) -> (u64, &'a Name) {
    let text = format!("{entry}/{vm}");
    (xxhash_rust::xxh3::xxh3_64(text.as_bytes()), entry)
}
