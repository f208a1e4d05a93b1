//! The order in which a VM reads the workers' entries while it takes cells over.

use {
    oleanderstage_fleet::{
        Registration, Registry,
        registry::{Change, Item},
    },
    std::sync::Arc,
};

fn item(worker: &str, revision: u64, draining: bool) -> Item {
    let registration = Registration {
        address: "10.0.0.1:1".into(),
        born: Some(1),
        capacity: Default::default(),
        draining,
        labels: Vec::new(),
        remaining_ms: None,
        service: "desk".into(),
        zone: "z".into(),
    };
    Item { worker: worker.into(), revision, registration: Some(registration) }
}

fn removed(worker: &str, revision: u64) -> Item {
    Item { worker: worker.into(), revision, registration: None }
}

fn drains(registry: &Registry, worker: &str) -> Option<bool> {
    registry.get(worker).map(|entry| entry.draining)
}

/// With 1,100 workers a watch is answered with at most 500 of their heartbeats, and VMs without
/// cells fell seconds behind. When one of them took a cell over, its late watch undid its full read:
/// it started tasks on workers that had been draining for ten seconds.
#[test]
fn a_late_watch_does_not_undo_a_newer_full_read() {
    let mut registry = Registry::default();
    registry.replace(0, 10, vec![item("w1", 5, false), item("w2", 6, false)]);
    registry.replace(9_000, 900, vec![item("w1", 800, true)]);
    let changes = registry.apply(
        None,
        500,
        vec![item("w1", 300, false), item("w2", 310, false), item("w3", 320, false)],
    );
    assert_eq!(changes, []);
    assert_eq!(drains(&registry, "w1"), Some(true));
    assert_eq!(drains(&registry, "w2"), None, "it left before the full read");
    assert_eq!(drains(&registry, "w3"), None, "it came and left before the full read");
    assert_eq!(registry.revision(), 900);
    assert!(registry.is_current(9_000));
}

#[test]
fn a_full_read_that_is_answered_late_is_ignored() {
    let mut registry = Registry::default();
    registry.replace(0, 10, vec![item("w1", 5, false)]);
    registry.apply(Some(300), 40, vec![item("w1", 40, true)]);
    registry.replace(200, 30, vec![item("w1", 25, false)]);
    assert_eq!(drains(&registry, "w1"), Some(true));
}

/// The pages of a full read are no snapshot: a later page holds changes above the revision of the
/// first one, which the watch then repeats.
#[test]
fn a_change_that_the_full_read_already_had_is_not_undone_by_the_watch() {
    let mut registry = Registry::default();
    registry.replace(0, 10, vec![item("w1", 14, true)]);
    assert_eq!(registry.apply(Some(5), 15, vec![removed("w1", 12), item("w1", 13, false)]), []);
    assert_eq!(drains(&registry, "w1"), Some(true));
    let changes = registry.apply(Some(9), 20, vec![removed("w1", 19)]);
    assert_eq!(changes, [Change::Gone(Arc::from("w1"))]);
}

#[test]
fn a_watch_that_was_cut_off_confirms_nothing() {
    let mut registry = Registry::default();
    registry.replace(100, 10, vec![item("w1", 5, false)]);
    registry.apply(None, 30, vec![item("w1", 30, false)]);
    assert!(registry.is_current(100) && !registry.is_current(101));
    registry.apply(Some(400), 31, Vec::new());
    assert!(registry.is_current(400));
}

/// Heartbeats rewrite every entry each second or two without changing what decisions depend on.
#[test]
fn a_heartbeat_is_no_change() {
    let mut registry = Registry::default();
    registry.replace(0, 10, vec![item("w1", 5, false)]);
    let version = registry.version();
    assert_eq!(registry.apply(Some(1), 20, vec![item("w1", 20, false)]), []);
    assert_eq!(registry.version(), version);
    let changes = registry.apply(Some(2), 30, vec![item("w1", 30, true)]);
    assert_eq!(changes, [Change::Seen(Arc::from("w1"))]);
    assert_ne!(registry.version(), version);
}

/// Owners started nothing for up to 1.7 s after an outage, until the watch that had been sent during
/// it timed out.
#[test]
fn an_outage_of_the_store_makes_no_entry_stale() {
    let mut registry = Registry::default();
    registry.replace(1_000, 10, vec![item("w1", 5, false)]);
    assert!(!registry.is_stale(2_600, 0, 1_600));
    assert!(registry.is_stale(2_601, 0, 1_600));
    assert!(!registry.is_stale(8_500, 7_000, 1_600), "the store is back since 7 s");
    assert!(registry.is_stale(8_601, 7_000, 1_600));
}
