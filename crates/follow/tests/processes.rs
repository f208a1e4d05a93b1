//! Processes that follow the configuration over QUIC and from a stand-in of the key-value service.

#![allow(clippy::unwrap_used)]

use {
    oleanderstage_core::{
        Name,
        config::{Accepted, Revision},
    },
    oleanderstage_follow::{Follower, follower::KEY},
    oleanderstage_platform::store,
    oleanderstage_standin::{
        Platform,
        faults::{Faults, Outage},
    },
    oleanderstage_wire::{Call, Identity, Listener, keys},
    std::{fs, net::SocketAddr, path::PathBuf, time::Duration},
    tokio_util::sync::CancellationToken,
};

const TIMEOUT: Duration = Duration::from_secs(30);

struct Fixture {
    addresses: Vec<SocketAddr>,
    folder: PathBuf,
    names: Vec<Name>,
    platform: Platform,
}

fn free_address() -> SocketAddr {
    std::net::UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

impl Fixture {
    async fn start(topic: &str, processes: usize) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(topic);
        fs::create_dir_all(&folder).unwrap();
        let names: Vec<Name> =
            (0..processes).map(|i| Name::try_from(format!("entry-{i}")).unwrap()).collect();
        let set = keys::Set::generate(&names).unwrap();
        fs::write(folder.join("ca.pem"), &set.authority).unwrap();
        for (name, pair) in names.iter().zip(&set.pairs) {
            fs::write(folder.join(format!("{name}.pem")), &pair.certificate).unwrap();
            fs::write(folder.join(format!("{name}.key")), &pair.key).unwrap();
        }
        let platform = Platform::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let addresses = (0..processes).map(|_| free_address()).collect();
        Self { addresses, folder, names, platform }
    }

    /// Starts a process that follows the configuration and answers its peers.
    fn process(&self, index: usize) -> Follower {
        let name = &self.names[index];
        let path = |end: &str| self.folder.join(format!("{name}.{end}"));
        let authority = self.folder.join("ca.pem");
        let identity = Identity::read(name, &authority, &path("pem"), &path("key")).unwrap();
        let listener = Listener::bind(self.addresses[index], &identity).unwrap();
        let peers = (0..self.names.len()).filter(|peer| *peer != index);
        let links = peers.map(|p| listener.link(&self.names[p], self.addresses[p])).collect();
        let store = store::Client::new(&format!("http://{}", self.platform.address())).unwrap();
        let follower = Follower::start(store, links, CancellationToken::new());
        let (sender, mut calls) = tokio::sync::mpsc::channel(8);
        tokio::spawn(async move { listener.serve(sender).await });
        let answering = follower.clone();
        tokio::spawn(async move {
            while let Some(incoming) = calls.recv().await {
                let Call::Config { have } = incoming.call else { continue };
                let reply = answering.reply(have);
                let _ = incoming.answer(&reply).await;
            }
        });
        follower
    }

    /// Writes the revision to the key-value service.
    fn put(&self, revision: u64) {
        let accepted = Accepted {
            by: String::new(),
            config: Default::default(),
            past: vec![],
            revision: Revision(revision),
            submission: format!("s-{revision}"),
        };
        self.platform.store().put(KEY, &serde_json::to_vec(&accepted).unwrap());
    }
}

/// Waits until the revision is active.
async fn wait_for_revision(follower: &mut Follower, revision: u64) {
    tokio::time::timeout(TIMEOUT, async {
        while follower.current().map(|current| current.revision) != Some(Revision(revision)) {
            follower.changed().await;
        }
    })
    .await
    .unwrap();
}

#[tokio::test]
async fn processes_learn_from_the_store_and_from_one_another() {
    let fixture = Fixture::start("learn", 5).await;
    let mut followers: Vec<Follower> = (0..4).map(|index| fixture.process(index)).collect();
    assert!(followers[0].current().is_none());
    for revision in 1..4 {
        fixture.put(revision);
        for follower in &mut followers {
            wait_for_revision(follower, revision).await;
        }
    }
    fixture.platform.store().set_faults(Faults { outage: Outage::Silent, ..Default::default() });
    let mut fresh = fixture.process(4);
    wait_for_revision(&mut fresh, 3).await;
    fixture.platform.store().set_faults(Faults::default());
    fixture.put(2);
    tokio::time::sleep(Duration::from_secs(3)).await;
    followers.push(fresh);
    for follower in &followers {
        assert_eq!(follower.current().unwrap().revision, Revision(3));
    }
    fixture.put(4);
    for follower in &mut followers {
        wait_for_revision(follower, 4).await;
    }
    fixture.platform.stop().await;
}

#[tokio::test]
async fn seven_processes_apply_each_change() {
    let fixture = Fixture::start("seven", 7).await;
    let mut followers: Vec<Follower> = (0..7).map(|index| fixture.process(index)).collect();
    let started = std::time::Instant::now();
    let mut longest = Duration::ZERO;
    for revision in 1..6 {
        let put = std::time::Instant::now();
        fixture.put(revision);
        for follower in &mut followers {
            wait_for_revision(follower, revision).await;
        }
        longest = longest.max(put.elapsed());
    }
    let (reads, took) = (fixture.platform.store().counters().reads, started.elapsed());
    println!("5 changes, 7 processes: in force within {longest:?}; {reads} reads in {took:?}");
    fixture.platform.stop().await;
}

#[tokio::test]
async fn a_read_of_the_revision_alone_shows_each_change() {
    let fixture = Fixture::start("look", 1).await;
    let store = store::Client::new(&format!("http://{}", fixture.platform.address())).unwrap();
    assert_eq!(store.modified(KEY).await.unwrap(), None);
    fixture.put(1);
    let first = store.get(KEY).await.unwrap().unwrap();
    assert_eq!(store.modified(KEY).await.unwrap(), Some(first.modified));
    fixture.put(2);
    assert!(store.modified(KEY).await.unwrap() > Some(first.modified));
    fixture.platform.stop().await;
}

#[tokio::test]
async fn a_damaged_value_changes_nothing() {
    let fixture = Fixture::start("damaged", 1).await;
    let mut follower = fixture.process(0);
    fixture.put(1);
    wait_for_revision(&mut follower, 1).await;
    fixture.platform.store().put(KEY, b"{\"revision\": 2, \"config\": ");
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(follower.current().unwrap().revision, Revision(1));
    fixture.put(2);
    wait_for_revision(&mut follower, 2).await;
    fixture.platform.stop().await;
}
