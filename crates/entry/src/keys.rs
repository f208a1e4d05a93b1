//! This entry's part in the permission of keyed runs: its owner, driven with a clock, the key-value
//! service and its peers.

use super::*;
use {
    clock::Clock,
    keep::Keep,
    node::Node,
    oleanderstage_core::{
        key::{self, Now},
        key_call::{Answer, Request},
        key_event::{self, Change, Reading},
        key_map::{Map, Member},
        key_owner::{GRANT_LIMIT, LEASE_TTL, Owner},
        key_record::{End, Grant, Record},
    },
    store::{Condition, Lease, Operation, Txn},
    tokio::sync::watch,
    tokio_util::task::TaskTracker,
};

/// Key of the map in the key-value service.
const MAP_KEY: &str = "oleanderstage/keys/map";
/// Before the keys of members, each under its member's lease.
const MEMBERS_PREFIX: &str = "oleanderstage/keys/members/";
/// Before all of these keys.
const PREFIX: &str = "oleanderstage/keys/";
/// How often the owner is asked what to do.
const TICK: Duration = Duration::from_millis(50);
/// How long a peer may take to answer.
pub(crate) const CALL_LIMIT: Duration = Duration::from_millis(700);
/// How often a run that was permitted is looked for until it begins.
const BEGIN_POLL: Duration = Duration::from_millis(20);
/// How long an entry that has told its records goes on answering: a new owner whose answer was lost
/// asks again after `RETRY_INTERVAL`, and may take `CALL_LIMIT`.
const FAREWELL: Duration = Duration::from_millis(1_500);
/// How long an entry that leaves waits for its partitions to be taken over.
const HANDOVER_LIMIT: Duration = Duration::from_secs(8);

/// This entry's part in the permission of keyed runs.
#[derive(Debug)]
pub(crate) struct Keys {
    pub(crate) keep: Mutex<Keep>,
    pub(crate) peers: Vec<Link>,
    /// Runs in progress, of which nothing is cut off when the entry leaves.
    pub(crate) tasks: TaskTracker,
    lease: Mutex<Option<Lease>>,
    owner: Mutex<Owner>,
    /// Ends of the runs in progress here.
    runs: Mutex<BTreeMap<key::Id, watch::Receiver<Option<End>>>>,
    store: store::Client,
    /// Version of the map that was last told in the log.
    version: AtomicU64,
}

impl Keys {
    pub(crate) fn new(me: Member, now: Now, peers: Vec<Link>, store: store::Client) -> Self {
        Self {
            keep: Mutex::default(),
            lease: Mutex::default(),
            owner: Mutex::new(Owner::new(me, now)),
            peers,
            runs: Mutex::default(),
            store,
            tasks: TaskTracker::new(),
            version: AtomicU64::new(0),
        }
    }

    /// Tells a change of the map in the log.
    fn tell(&self, map: Option<&Map>) {
        let Some(map) = map else { return };
        if self.version.swap(map.version, Ordering::Relaxed) == map.version {
            return;
        }
        let members: Vec<String> = map.members.iter().map(Member::to_string).collect();
        let members = members.join(" ");
        let owned = map.parts.iter().filter(|part| part.owner.is_some()).count();
        log::info!(members = members, owned = owned, version = map.version; "key_map_changed");
    }

    /// Answers a question of a peer, or of this entry itself.
    pub(crate) fn answer(&self, now: Now, ask: &Request) -> Answer {
        lock(&self.owner).answer(now, ask)
    }

    /// Begins a permitted run; returns the sender that its end is told to.
    pub(crate) fn begin(
        &self,
        now: Now,
        sent: Instant,
        record: &Record,
    ) -> Option<watch::Sender<Option<End>>> {
        let mut owner = lock(&self.owner);
        if !owner.begin(now, sent, record) {
            return None;
        }
        let (sender, receiver) = watch::channel(None);
        lock(&self.runs).insert(record.id, receiver);
        Some(sender)
    }

    /// Notes how a run ended, here.
    pub(crate) fn end(&self, now: Now, end: &wire::stored_answer::End) {
        if let Some(answer) = &end.answer {
            let answer = Arc::new(answer.clone());
            lock(&self.keep).put(now.wall_ms, end.id, end.grant, answer);
        }
        self.answer(now, &Request::Finish { end: end.end, grant: end.grant, id: end.id });
    }

    /// Returns whether the map in hand has that process as a member.
    pub(crate) fn has_member(&self, member: &Member) -> bool {
        lock(&self.owner).map().is_some_and(|map| map.members.contains(member))
    }

    /// Returns the link to the entry of that name.
    pub(crate) fn link(&self, entry: &Name) -> Option<&Link> {
        self.peers.iter().find(|link| link.peer == *entry)
    }

    /// Takes the names on the VM list.
    pub(crate) fn list(&self, now: Now, vms: &[vms::Vm]) {
        let names = vms.iter().map(|vm| vm.name.clone()).collect();
        lock(&self.owner).update_vm_list(now, &names);
    }

    /// Returns this process.
    pub(crate) fn me(&self) -> Member {
        lock(&self.owner).me().clone()
    }

    /// Returns the owner of a key's partition, by the map in hand.
    pub(crate) fn owner_of(&self, id: &key::Id) -> Option<Member> {
        lock(&self.owner).map()?.owner(id.partition()).cloned()
    }

    /// Returns how the run of `record` stands, as far as this entry knows, and its answer if that is
    /// kept here. The runner waits for the end, or makes sure that a run not begun never will.
    pub(crate) async fn stand(
        &self,
        clock: Clock,
        record: &Record,
        wait: Duration,
    ) -> (Option<End>, Option<Arc<wire::StoredAnswer>>) {
        let begun_by = clock.now() + GRANT_LIMIT;
        let end = loop {
            let (held, run) = self.look(record);
            match (held, run) {
                (None, Some(mut run)) => {
                    let ended = tokio::time::timeout(wait, run.wait_for(Option::is_some)).await;
                    break ended.ok().and_then(Result::ok).and_then(|end| *end);
                }
                (None, None) if record.runner == self.me() => {}
                (held, _) => break held,
            }
            if clock.now() >= begun_by {
                break self.never(clock.both(), record);
            }
            tokio::time::sleep(BEGIN_POLL).await;
        };
        (end, lock(&self.keep).get(&record.id, record.grant))
    }

    /// Returns the end of a run, and the run if it is in progress here, at one point in time.
    fn look(&self, record: &Record) -> (Option<End>, Option<watch::Receiver<Option<End>>>) {
        let owner = lock(&self.owner);
        let held = owner.record(&record.id).filter(|held| held.grant == record.grant);
        (held.and_then(|held| held.end), lock(&self.runs).get(&record.id).cloned())
    }

    /// Makes sure that a run that has not begun here never will.
    fn never(&self, now: Now, record: &Record) -> Option<End> {
        let mut owner = lock(&self.owner);
        if lock(&self.runs).contains_key(&record.id) {
            return None;
        }
        owner.answer(now, &Request::Settle { record: record.clone() });
        let ask = Request::Finish { end: End::NotRun, grant: record.grant, id: record.id };
        owner.answer(now, &ask);
        let held = owner.record(&record.id).filter(|held| held.grant == record.grant);
        held.and_then(|held| held.end)
    }

    /// Forgets that a run is in progress.
    pub(crate) fn over(&self, id: &key::Id, sender: &watch::Sender<Option<End>>, end: End) {
        sender.send_replace(Some(end));
        lock(&self.runs).remove(id);
    }

    /// Returns who may hold a record beside its owner, this entry.
    pub(crate) fn witnesses(&self, id: &key::Id) -> Vec<Member> {
        lock(&self.owner).witnesses(id)
    }

    fn take(&self, now: Now, event: key_event::Event) {
        lock(&self.owner).handle(now, event);
    }
}

/// Drives the owner until dropped.
pub(crate) async fn drive(node: Arc<Node>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let actions = lock(&node.keys.owner).tick(node.now());
        for action in actions {
            tokio::spawn(act(node.clone(), action));
        }
    }
}

/// Gives this entry's partitions up, and waits for their new owners and for every run here.
pub(crate) async fn leave(node: &Arc<Node>) {
    let keys = &node.keys;
    lock(&keys.owner).leave();
    keys.tasks.close();
    keys.tasks.wait().await;
    let handed_over = async {
        while !lock(&keys.owner).has_left() {
            tokio::time::sleep(TICK).await;
        }
    };
    if !keys.peers.is_empty() {
        match tokio::time::timeout(HANDOVER_LIMIT, handed_over).await {
            Ok(()) => tokio::time::sleep(FAREWELL).await,
            Err(_) => log::warn!("keys_not_handed_over"),
        }
    }
    let lease = lock(&keys.lease).take();
    if let Some(lease) = lease
        && let Err(error) = keys.store.revoke(lease).await
    {
        log::info!(error = error.to_string(); "lease_not_revoked");
    }
}

async fn act(node: Arc<Node>, action: key_event::Action) {
    let sent = node.clock.now();
    let event = match action {
        key_event::Action::Send { request, to } => {
            let (from, answer) = ask_peer(&node, &to, &request).await;
            key_event::Event::Answered { answer, request, from, sent, to }
        }
        key_event::Action::Commit(change) => {
            let register = change.register;
            let succeeded = commit(&node.keys, change).await;
            key_event::Event::Committed { register, sent, succeeded }
        }
        key_event::Action::Read => {
            let reading = read(&node.keys).await;
            node.keys.tell(reading.as_ref().and_then(|reading| reading.map.as_ref()));
            key_event::Event::Read(reading)
        }
        key_event::Action::Renew => {
            key_event::Event::Renewed { sent, succeeded: renew(&node.keys).await }
        }
    };
    node.keys.take(node.now(), event);
}

/// Asks the entry `to`.
pub(crate) async fn ask_peer(
    node: &Node,
    to: &Name,
    ask: &Request,
) -> (Option<Member>, Option<Answer>) {
    let Some(link) = node.keys.link(to) else { return (None, None) };
    match link.call(&Call::Key(ask.clone()), CALL_LIMIT).await {
        Ok(Reply::Key { answer, from }) => (Some(from), Some(answer)),
        Ok(_) => (None, None),
        Err(error) => {
            log::debug!(error = error.to_string(); "key_peer_silent");
            (None, None)
        }
    }
}

async fn commit(keys: &Keys, change: Change) -> Option<bool> {
    let me = keys.me();
    let map_key = MAP_KEY.to_owned();
    let mut txn = Txn::default();
    txn.conditions.push(match change.modified {
        0 => Condition::Absent { key: map_key.clone() },
        revision => Condition::Modified { key: map_key.clone(), revision },
    });
    let absent = change.absent.iter().map(|member| Condition::Absent { key: member_key(member) });
    txn.conditions.extend(absent);
    if let Some(map) = &change.map {
        let bytes = serde_json::to_vec(map).unwrap_or_default();
        txn.operations.push(Operation::Put { bytes, key: map_key, lease: None });
    }
    if change.register {
        let lease = keys.store.grant(LEASE_TTL).await.ok()?;
        *lock(&keys.lease) = Some(lease);
        let key = member_key(&me);
        txn.operations.push(Operation::Put { bytes: vec![], key, lease: Some(lease) });
    }
    match keys.store.commit(&txn).await {
        Ok(commit) => Some(commit.succeeded),
        Err(error) => {
            log::info!(error = error.to_string(); "key_map_not_written");
            (!error.in_doubt()).then_some(false)
        }
    }
}

fn member_key(member: &Member) -> String {
    format!("{MEMBERS_PREFIX}{member}")
}

fn parse_member(key: &str) -> Option<Member> {
    let (name, incarnation) = key.strip_prefix(MEMBERS_PREFIX)?.split_once('/')?;
    let name = Name::try_from(name).ok()?;
    Some(Member { incarnation: u64::from_str_radix(incarnation, 16).ok()?, name })
}

/// Reads the map and the members; a map that can't be read is reported and not guessed at.
async fn read(keys: &Keys) -> Option<Reading> {
    let values = keys.store.list(PREFIX).await.ok()?;
    let present = values.iter().filter_map(|value| parse_member(&value.key)).collect();
    let Some(value) = values.iter().find(|value| value.key == MAP_KEY) else {
        return Some(Reading { map: None, modified: 0, present });
    };
    match serde_json::from_slice::<Map>(&value.bytes) {
        Ok(map) if map.is_complete() => {
            Some(Reading { map: Some(map), modified: value.modified, present })
        }
        Ok(_) => {
            log::error!(key = MAP_KEY; "key_map_incomplete");
            None
        }
        Err(error) => {
            log::error!(error = error.to_string(), key = MAP_KEY; "key_map_damaged");
            None
        }
    }
}

async fn renew(keys: &Keys) -> Option<bool> {
    let lease = (*lock(&keys.lease))?;
    match keys.store.keep_alive(lease).await {
        Ok(_) => Some(true),
        Err(error) if error.kind == store::Kind::Lapsed => Some(false),
        Err(_) => None,
    }
}

/// Returns the record's end for whom it is told to.
pub(crate) fn ended(
    record: &Record,
    end: End,
    answer: Option<wire::StoredAnswer>,
) -> wire::stored_answer::End {
    let (grant, id): (Grant, key::Id) = (record.grant, record.id);
    wire::stored_answer::End { answer, end, grant, id }
}
