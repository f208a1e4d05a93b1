//! Permission of keyed runs: drives the owner state machine of core with the clock, and carries out
//! its actions on the key-value service and peers.

use super::*;
use {
    cache::Cache,
    clock::Clock,
    context::Context,
    oleanderstage_core::{
        key::{self, Now},
        key_call::{Answer, Request},
        key_event::{self, Change, Reading},
        key_map::{Map, Member},
        key_owner::{GRANT_VALIDITY, LEASE_TTL, Owner},
        key_record::{End, Grant, Record},
    },
    store::{Condition, Lease, Operation, Txn},
    tokio::sync::watch,
    tokio_util::task::TaskTracker,
};

/// Key of the map in the key-value service.
const MAP_KEY: &str = "oleanderstage/keys/map";
/// Prefix of the keys of members; each key is attached to its member's lease.
const MEMBERS_PREFIX: &str = "oleanderstage/keys/members/";
/// Common prefix of the keys above.
const KEYS_PREFIX: &str = "oleanderstage/keys/";
/// Interval at which the owner state machine is polled for actions.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a call to a peer.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval at which a permitted run that has not begun is checked again.
const BEGIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which a leaving entry still answers after it has handed its records over: a new owner
/// that did not receive the answer asks again after `key_owner::RETRY_INTERVAL`, and the call may
/// take `CALL_TIMEOUT`.
const HANDOVER_GRACE: Duration = Duration::from_millis(1_500);
/// Time for which a leaving entry waits for new owners of its partitions.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(8);

/// The owner state machine of this entry, with the runs, answers and connections that it needs.
#[derive(Debug)]
pub(crate) struct Keys {
    /// Answers of finished runs.
    pub(crate) answers: Mutex<Cache>,
    pub(crate) peers: Vec<Link>,
    /// Runs in progress; a leaving entry waits for them.
    pub(crate) tasks: TaskTracker,
    lease: Mutex<Option<Lease>>,
    owner: Mutex<Owner>,
    /// The ends of the runs in progress at this entry, once known.
    runs: Mutex<BTreeMap<key::Id, watch::Receiver<Option<End>>>>,
    store: store::Client,
    /// Version of the map in the latest log line about it.
    logged_version: AtomicU64,
}

impl Keys {
    pub(crate) fn new(me: Member, now: Now, peers: Vec<Link>, store: store::Client) -> Self {
        Self {
            answers: Mutex::default(),
            lease: Mutex::default(),
            owner: Mutex::new(Owner::new(me, now)),
            peers,
            runs: Mutex::default(),
            store,
            tasks: TaskTracker::new(),
            logged_version: AtomicU64::new(0),
        }
    }

    /// Logs the map if its version has changed.
    fn log_map_change(&self, map: Option<&Map>) {
        let Some(map) = map else { return };
        if self.logged_version.swap(map.version, Ordering::Relaxed) == map.version {
            return;
        }
        let members: Vec<String> = map.members.iter().map(Member::to_string).collect();
        let members = members.join(" ");
        let owned = map.parts.iter().filter(|part| part.owner.is_some()).count();
        log::info!(members = members, owned = owned, version = map.version; "key_map_changed");
    }

    /// Answers a request of a peer or of this entry.
    pub(crate) fn answer(&self, now: Now, request: &Request) -> Answer {
        lock(&self.owner).answer(now, request)
    }

    /// Registers a permitted run as in progress; its permission was requested at `asked_at`. Returns
    /// the sender for its end, or `None` if the run must not begin any more.
    pub(crate) fn begin(
        &self,
        now: Now,
        asked_at: Instant,
        record: &Record,
    ) -> Option<watch::Sender<Option<End>>> {
        let mut owner = lock(&self.owner);
        if !owner.begin(now, asked_at, record) {
            return None;
        }
        let (end_sender, end_receiver) = watch::channel(None);
        lock(&self.runs).insert(record.id, end_receiver);
        Some(end_sender)
    }

    /// Records the end of a run at this entry, and keeps its answer.
    pub(crate) fn record_end(&self, now: Now, end: &wire::stored_answer::End) {
        if let Some(answer) = &end.answer {
            let answer = Arc::new(answer.clone());
            lock(&self.answers).put(now.wall_ms, end.id, end.grant, answer);
        }
        self.answer(now, &Request::Finish { end: end.end, grant: end.grant, id: end.id });
    }

    /// Returns whether that process is a member in the latest map read.
    pub(crate) fn has_member(&self, member: &Member) -> bool {
        lock(&self.owner).map().is_some_and(|map| map.members.contains(member))
    }

    /// Returns the link to the entry of that name.
    pub(crate) fn link(&self, entry: &Name) -> Option<&Link> {
        self.peers.iter().find(|link| link.peer == *entry)
    }

    /// Passes the names on the VM list to the owner state machine.
    pub(crate) fn apply_vm_list(&self, now: Now, vms: &[vms::Vm]) {
        let names = vms.iter().map(|vm| vm.name.clone()).collect();
        lock(&self.owner).update_vm_list(now, &names);
    }

    /// Returns this process as a member of the map.
    pub(crate) fn own_member(&self) -> Member {
        lock(&self.owner).me().clone()
    }

    /// Returns the owner of a key's partition by the latest map read.
    pub(crate) fn owner_of(&self, id: &key::Id) -> Option<Member> {
        lock(&self.owner).map()?.owner(id.partition()).cloned()
    }

    /// Returns the end of the run of `record` as known to this entry, and its answer if kept here. If
    /// this entry is the runner, waits for the end for up to `wait`, and rules out a run that has not
    /// begun within `GRANT_VALIDITY`.
    pub(crate) async fn run_state(
        &self,
        clock: Clock,
        record: &Record,
        wait: Duration,
    ) -> (Option<End>, Option<Arc<wire::StoredAnswer>>) {
        let begin_deadline = clock.now() + GRANT_VALIDITY;
        let end = loop {
            let (recorded_end, run) = self.look_up(record);
            match (recorded_end, run) {
                (None, Some(mut run)) => {
                    let ended = tokio::time::timeout(wait, run.wait_for(Option::is_some)).await;
                    break ended.ok().and_then(Result::ok).and_then(|end| *end);
                }
                (None, None) if record.runner == self.own_member() => {}
                (recorded_end, _) => break recorded_end,
            }
            if clock.now() >= begin_deadline {
                break self.rule_out(clock.key_now(), record);
            }
            tokio::time::sleep(BEGIN_POLL_INTERVAL).await;
        };
        (end, lock(&self.answers).get(&record.id, record.grant))
    }

    /// Returns the recorded end of a run, and its receiver if it is in progress here. Reads both
    /// under the lock of the owner, so that they are consistent.
    fn look_up(&self, record: &Record) -> (Option<End>, Option<watch::Receiver<Option<End>>>) {
        let owner = lock(&self.owner);
        let held = owner.record(&record.id).filter(|held| held.grant == record.grant);
        (held.and_then(|held| held.end), lock(&self.runs).get(&record.id).cloned())
    }

    /// Ensures that a run that has not begun here never begins. Returns its recorded end, if
    /// any, and `None` if the run has begun after all.
    fn rule_out(&self, now: Now, record: &Record) -> Option<End> {
        let mut owner = lock(&self.owner);
        if lock(&self.runs).contains_key(&record.id) {
            return None;
        }
        owner.answer(now, &Request::Settle { record: record.clone() });
        let request = Request::Finish { end: End::NotRun, grant: record.grant, id: record.id };
        owner.answer(now, &request);
        let held = owner.record(&record.id).filter(|held| held.grant == record.grant);
        held.and_then(|held| held.end)
    }

    /// Sends the end of a run to those who wait for it, and removes it from the runs in progress.
    pub(crate) fn finish_run(
        &self,
        id: &key::Id,
        end_sender: &watch::Sender<Option<End>>,
        end: End,
    ) {
        end_sender.send_replace(Some(end));
        lock(&self.runs).remove(id);
    }

    /// Returns the members that may hold a record owned by this entry as its witness.
    pub(crate) fn witnesses(&self, id: &key::Id) -> Vec<Member> {
        lock(&self.owner).witnesses(id)
    }

    fn apply(&self, now: Now, event: key_event::Event) {
        lock(&self.owner).handle(now, event);
    }
}

/// Drives the owner state machine until dropped.
pub(crate) async fn drive(context: Arc<Context>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let actions = lock(&context.keys.owner).tick(context.key_now());
        for action in actions {
            tokio::spawn(execute(context.clone(), action));
        }
    }
}

/// Releases this entry's partitions, and waits for their new owners and for the runs in progress.
pub(crate) async fn leave(context: &Arc<Context>) {
    let keys = &context.keys;
    lock(&keys.owner).leave();
    keys.tasks.close();
    keys.tasks.wait().await;
    let handed_over = async {
        while !lock(&keys.owner).has_left() {
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    };
    if !keys.peers.is_empty() {
        match tokio::time::timeout(HANDOVER_TIMEOUT, handed_over).await {
            Ok(()) => tokio::time::sleep(HANDOVER_GRACE).await,
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

/// Carries out an action and passes its result to the owner state machine.
async fn execute(context: Arc<Context>, action: key_event::Action) {
    let sent = context.clock.now();
    let event = match action {
        key_event::Action::Send { request, to } => {
            let (from, answer) = ask_peer(&context, &to, &request).await;
            key_event::Event::Answered { answer, request, from, sent, to }
        }
        key_event::Action::Commit(change) => {
            let register = change.register;
            let succeeded = commit(&context.keys, change).await;
            key_event::Event::Committed { register, sent, succeeded }
        }
        key_event::Action::Read => {
            let reading = read(&context.keys).await;
            context.keys.log_map_change(reading.as_ref().and_then(|reading| reading.map.as_ref()));
            key_event::Event::Read(reading)
        }
        key_event::Action::Renew => {
            key_event::Event::Renewed { sent, succeeded: renew(&context.keys).await }
        }
    };
    context.keys.apply(context.key_now(), event);
}

/// Sends a request about keys to the entry `to`. Returns the answer and the process that gave it,
/// both `None` if the call failed.
pub(crate) async fn ask_peer(
    context: &Context,
    to: &Name,
    request: &Request,
) -> (Option<Member>, Option<Answer>) {
    let Some(link) = context.keys.link(to) else { return (None, None) };
    match link.call(&Call::Key(request.clone()), CALL_TIMEOUT).await {
        Ok(Reply::Key { answer, from }) => (Some(from), Some(answer)),
        Ok(_) => (None, None),
        Err(error) => {
            log::debug!(error = error.to_string(); "key_peer_silent");
            (None, None)
        }
    }
}

/// Writes a change of the map to the key-value service. Returns whether it was committed, or `None`
/// if that is not known or no lease was granted.
async fn commit(keys: &Keys, change: Change) -> Option<bool> {
    let own = keys.own_member();
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
        let key = member_key(&own);
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

/// Reads the map and the members. A map that can't be decoded or is incomplete is logged as an
/// error, and the reading fails.
async fn read(keys: &Keys) -> Option<Reading> {
    let values = keys.store.list(KEYS_PREFIX).await.ok()?;
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

/// Renews the lease. Returns `Some(false)` if it has lapsed, and `None` if the result is not known
/// or there is no lease.
async fn renew(keys: &Keys) -> Option<bool> {
    let lease = (*lock(&keys.lease))?;
    match keys.store.keep_alive(lease).await {
        Ok(_) => Some(true),
        Err(error) if error.kind == store::Kind::Lapsed => Some(false),
        Err(_) => None,
    }
}

/// Returns the message that reports the end of a run to another holder of its record.
pub(crate) fn end_message(
    record: &Record,
    end: End,
    answer: Option<wire::StoredAnswer>,
) -> wire::stored_answer::End {
    let (grant, id): (Grant, key::Id) = (record.grant, record.id);
    wire::stored_answer::End { answer, end, grant, id }
}
