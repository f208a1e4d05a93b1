//! Static division of an endpoint's slots and connections among the entries, without coordination.

use super::*;

/// Share of one entry in the slots and connections of one VM. The shares of all entries add up to
/// no more than the VM has, as long as every entry is configured with the same list of entries.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Share {
    /// Number of connections.
    pub connections: u32,
    /// Number of requests in progress; never above `connections`.
    pub slots: u32,
}

impl Share {
    /// Returns the share of `own` in `slots` and `connections` of `vm`. `entries` lists all entries
    /// in any order, `own` included. They are ranked by a hash that depends on the VM; the
    /// remainder of each division goes to the first ones.
    pub fn of(own: &Name, entries: &[Name], vm: &Name, slots: u32, connections: u32) -> Self {
        let rank = entries.iter().filter(|entry| weight(entry, vm) > weight(own, vm)).count();
        let divide = |total: u32| {
            let count = entries.len().max(1) as u32;
            total / count + u32::from((rank as u32) < total % count)
        };
        let connections = divide(connections);
        Self { connections, slots: divide(slots).min(connections) }
    }
}

/// Returns the rendezvous weight of `entry` for `vm`. The name breaks ties between equal hashes.
fn weight<'a>(entry: &'a Name, vm: &Name) -> (u64, &'a Name) {
    let text = format!("{entry}/{vm}");
    (xxhash_rust::xxh3::xxh3_64(text.as_bytes()), entry)
}
