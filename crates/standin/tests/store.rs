//! Tests the key-value service and the VM list through the clients that the scheduler uses.

#![allow(clippy::unwrap_used)]

use {
    oleanderstage_platform::{
        store::{Client, Condition, Event, Kind, Lease, Operation, Txn, Watch},
        vms::State,
    },
    oleanderstage_standin::{
        Platform, Store, Vms,
        faults::{Faults, Outage},
    },
    std::{fmt::Write, net::SocketAddr, time::Duration},
};

/// A platform, a client of it, and the text that is compared with the snapshot.
struct Bench {
    client: Client,
    platform: Platform,
    text: String,
}

impl Bench {
    async fn start() -> Self {
        Self::start_with(Store::default()).await
    }

    async fn start_with(store: Store) -> Self {
        let address: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let platform = Platform::start_with(address, store, Vms::default()).await.unwrap();
        let client = Client::new(&format!("http://{}", platform.address())).unwrap();
        Self { client, platform, text: String::new() }
    }

    async fn commit(&mut self, conditions: &[Condition], operations: &[Operation]) {
        let txn = Txn { conditions: conditions.into(), operations: operations.into() };
        let result = self.client.commit(&txn).await;
        match result {
            Ok(commit) => {
                self.push_line(&format!("commit {} at {}", commit.succeeded, commit.revision))
            }
            Err(error) => {
                self.push_line(&format!("commit {:?} in_doubt {}", error.kind, error.in_doubt()))
            }
        }
    }

    async fn put(&mut self, key: &str, text: &str) {
        self.commit(&[], &[put(key, text, None)]).await;
    }

    async fn list(&mut self, prefix: &str) {
        match self.client.list(prefix).await {
            Err(error) => {
                self.push_line(&format!("list {:?} in_doubt {}", error.kind, error.in_doubt()))
            }
            Ok(values) => {
                for value in values {
                    let text = String::from_utf8_lossy(&value.bytes).into_owned();
                    self.push_line(&format!(
                        "{} = {text} modified {} version {}",
                        value.key, value.modified, value.version
                    ));
                }
            }
        }
    }

    async fn next_event(&mut self, watch: &mut Watch) {
        match watch.next().await {
            Ok(Some(Event::Delete { key, revision })) => {
                self.push_line(&format!("watch delete {key} at {revision}"))
            }
            Ok(Some(Event::Put(value))) => {
                self.push_line(&format!("watch put {} at {}", value.key, value.modified))
            }
            Ok(None) => self.push_line("watch over"),
            Err(error) => self.push_line(&format!("watch {:?}", error.kind)),
        }
    }

    fn set_faults(&self, faults: Faults) {
        self.platform.store().set_faults(faults);
    }

    fn push_line(&mut self, line: &str) {
        writeln!(self.text, "{line}").unwrap();
    }
}

fn absent(key: &str) -> Condition {
    Condition::Absent { key: key.into() }
}

fn put(key: &str, text: &str, lease: Option<Lease>) -> Operation {
    Operation::Put { bytes: text.into(), key: key.into(), lease }
}

#[tokio::test]
async fn transactions_compare_and_swap() {
    let mut bench = Bench::start().await;
    bench.commit(&[absent("a/1")], &[put("a/1", "x", None), put("a/2", "y", None)]).await;
    bench.commit(&[absent("a/1")], &[put("a/1", "z", None)]).await;
    let modified = |revision| Condition::Modified { key: "a/1".into(), revision };
    bench.commit(&[modified(1)], &[put("a/1", "z", None)]).await;
    bench.commit(&[modified(2)], &[put("a/1", "z", None)]).await;
    let equals = |text: &str| Condition::Equals { bytes: text.into(), key: "a/1".into() };
    bench.commit(&[equals("x")], &[Operation::Delete { key: "a/2".into() }]).await;
    bench.commit(&[equals("z")], &[Operation::Delete { key: "a/2".into() }]).await;
    bench.put("b", "not under the prefix").await;
    bench.put("a/3", &"v".repeat(1_000_001)).await;
    bench.list("a/").await;
    insta::assert_snapshot!(bench.text);
}

#[tokio::test]
async fn keys_are_deleted_with_their_lease() {
    let mut bench = Bench::start().await;
    let lease = bench.client.grant(Duration::from_millis(2_900)).await.unwrap();
    let mut watch = bench.client.watch("owner", 0).await.unwrap();
    bench.commit(&[], &[put("owner", "s-1", Some(lease))]).await;
    bench.next_event(&mut watch).await;
    bench.client.keep_alive(lease).await.unwrap();
    bench.next_event(&mut watch).await;
    let error = bench.client.keep_alive(lease).await.unwrap_err();
    bench.push_line(&format!("keep_alive {:?}", error.kind));
    bench.commit(&[], &[put("owner", "s-1", Some(lease))]).await;
    let error = bench.client.revoke(lease).await.unwrap_err();
    bench.push_line(&format!("revoke {:?}", error.kind));
    bench.list("owner").await;
    insta::assert_snapshot!(bench.text);
}

#[tokio::test]
async fn watches_report_every_change_since_a_revision() {
    let mut bench = Bench::start().await;
    bench.put("a/1", "x").await;
    bench.put("b", "x").await;
    let mut watch = bench.client.watch("a/", 1).await.unwrap();
    bench.put("a/2", "x").await;
    bench.commit(&[], &[Operation::Delete { key: "a/1".into() }]).await;
    for _ in 0..3 {
        bench.next_event(&mut watch).await;
    }
    bench.set_faults(Faults { outage: Outage::Refusing, ..Faults::default() });
    bench.next_event(&mut watch).await;
    let counters = bench.platform.store().counters();
    bench.push_line(&format!("{counters:?}"));
    insta::assert_snapshot!(bench.text);
}

#[tokio::test]
async fn a_lost_answer_leaves_doubt_and_takes_effect() {
    let mut bench = Bench::start().await;
    bench.set_faults(Faults { lose_answers: 1, ..Faults::default() });
    bench.put("a", "x").await;
    bench.list("a").await;
    bench.put("a", "y").await;
    bench.list("a").await;
    insta::assert_snapshot!(bench.text);
}

#[tokio::test]
async fn an_outage_leaves_writes_in_doubt() {
    let mut bench = Bench::start().await;
    bench.set_faults(Faults { outage: Outage::Refusing, ..Faults::default() });
    bench.put("a", "x").await;
    bench.list("a").await;
    bench.set_faults(Faults { outage: Outage::Silent, ..Faults::default() });
    bench.put("a", "x").await;
    bench.list("a").await;
    bench.set_faults(Faults::default());
    bench.list("a").await;
    bench.platform.stop().await;
    bench.put("a", "x").await;
    insta::assert_snapshot!(bench.text);
}

#[tokio::test]
async fn rates_are_limited() {
    let bench = Bench::start_with(Store::new(1, 1)).await;
    let mut refused = 0;
    for _ in 0..200 {
        let result = bench.client.get("a").await;
        refused += u32::from(result.is_err_and(|error| error.kind == Kind::Refused));
    }
    let counters = bench.platform.store().counters();
    assert!(refused > 0);
    assert_eq!((counters.refused, counters.reads), (u64::from(refused), 200 - u64::from(refused)));
}

#[tokio::test]
async fn the_vm_list_lags() {
    let bench = Bench::start().await;
    let url = format!("http://{}/vms", bench.platform.address());
    let client = oleanderstage_platform::vms::Client::new(&url).unwrap();
    let name = "worker-1".try_into().unwrap();
    bench.platform.vms().add(&name);
    bench.platform.vms().set_lag(Duration::from_secs(3_600));
    bench.platform.vms().set(&name, Some(State::Leaving));
    assert_eq!(client.list().await.unwrap()[0].state, State::Live);
    bench.platform.vms().set_lag(Duration::ZERO);
    bench.platform.vms().set(&name, Some(State::Leaving));
    assert_eq!(client.list().await.unwrap()[0].state, State::Leaving);
}
