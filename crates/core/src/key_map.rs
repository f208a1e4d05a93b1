//! Which entry owns which partition of the key space, as one value of the key-value service.

use {super::*, key::PARTITIONS};

/// One process of an entry; a restarted entry is another member.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Member {
    /// Differs at each start of the process.
    pub incarnation: u64,
    /// The entry.
    pub name: Name,
}

/// Which entry owns which partition. Changed only by compare-and-swap, after a member of the
/// previous version has agreed never to confirm that version again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Map {
    /// Members that are leaving and take no more partitions.
    pub leaving: BTreeSet<Member>,
    /// All members.
    pub members: BTreeSet<Member>,
    /// The partitions, `PARTITIONS` of them.
    pub parts: Vec<Part>,
    /// Rises with each change.
    pub version: u64,
}

/// One partition of the key space.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// The number of owners so far; 0 before the first.
    pub epoch: u64,
    /// When a member other than the owner was last lost, in milliseconds since 1970.
    pub lost_ms: u64,
    /// The owner; `None` after it handed the partition over, or was lost.
    pub owner: Option<Member>,
}

impl Map {
    /// Returns the first version of the map, in which its only member owns every partition.
    pub fn first(member: &Member) -> Self {
        let part = Part { epoch: 1, lost_ms: 0, owner: Some(member.clone()) };
        Self {
            leaving: BTreeSet::new(),
            members: BTreeSet::from([member.clone()]),
            parts: vec![part; PARTITIONS.into()],
            version: 1,
        }
    }

    /// Returns whether the map has every partition.
    pub fn is_complete(&self) -> bool {
        self.parts.len() == usize::from(PARTITIONS)
    }

    /// Returns the member that should own `partition`, by rendezvous hashing over the members in
    /// `present` that are not leaving.
    pub fn preferred_owner(&self, partition: u16, present: &BTreeSet<Member>) -> Option<&Member> {
        let stays = |member: &&Member| present.contains(member) && !self.leaving.contains(member);
        self.members.iter().filter(stays).max_by_key(|member| weight(member, partition))
    }

    /// Returns the owner of `partition`.
    pub fn owner(&self, partition: u16) -> Option<&Member> {
        self.parts.get(usize::from(partition))?.owner.as_ref()
    }

    /// Removes the members in `lost`, which leaves their partitions without an owner.
    pub fn remove(&mut self, lost: &BTreeSet<Member>, wall_ms: u64) {
        for part in &mut self.parts {
            match &part.owner {
                Some(owner) if lost.contains(owner) => part.owner = None,
                Some(_) => part.lost_ms = wall_ms,
                None => {}
            }
        }
        self.leaving.retain(|member| !lost.contains(member));
        self.members.retain(|member| !lost.contains(member));
    }
}

impl Display for Member {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{}/{:016x}", self.name, self.incarnation)
    }
}

/// Returns the weight of a member for a partition in rendezvous hashing.
fn weight(member: &Member, partition: u16) -> u64 {
    xxhash_rust::xxh3::xxh3_64(format!("{member}/{partition}").as_bytes())
}
