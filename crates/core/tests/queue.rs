//! The order in which tasks are placed.
#![allow(clippy::unwrap_used)]

use oleanderstage_core::{
    Name, Resources, config,
    journal::Key,
    queue::{Entry, Exclusions, Queue},
};

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn amount(cores: u64) -> Resources {
    Resources { accelerators: 0, memory_mib: cores, processors_milli: cores * 1_000 }
}

/// Queues tasks with these teams and batch classes, in the order of acceptance.
fn queue(tasks: &[(&str, &str)]) -> Queue {
    let mut queue = Queue::default();
    let team = |team| config::Team { name: name(team), quota: amount(10) };
    queue.quotas.apply(&["news", "shops"].map(team));
    for (i, (team, class)) in tasks.iter().enumerate() {
        let key = Key { index: 0, serial: i as u128 };
        queue.push(Entry { class: name(class), key, order: i as u64, team: name(team) });
    }
    queue
}

/// Places tasks until none is left, and returns their order; no worker has room for class `loud`.
fn placed(mut queue: Queue) -> Vec<u64> {
    let mut excluded = Exclusions::default();
    let mut placed = Vec::new();
    while let Some(entry) = queue.first(&excluded).cloned() {
        if entry.class == name("loud") {
            excluded.exclude_class(&entry);
            continue;
        }
        queue.remove(&entry);
        queue.quotas.charge(&entry.team, &amount(1)).unwrap();
        placed.push(entry.order);
    }
    placed
}

#[test]
fn a_class_without_room_holds_no_other_up() {
    let tasks = [("news", "loud"), ("news", "quiet"), ("news", "loud"), ("news", "quiet")];
    assert_eq!(placed(queue(&tasks)), [1, 3]);
}

#[test]
fn teams_take_turns_and_classes_go_by_acceptance() {
    let tasks = [("news", "quiet"), ("news", "calm"), ("news", "quiet"), ("shops", "quiet")];
    assert_eq!(placed(queue(&tasks)), [0, 3, 1, 2]);
}

#[test]
fn an_excluded_team_is_skipped_in_every_class() {
    let queue = queue(&[("news", "quiet"), ("news", "calm"), ("shops", "quiet")]);
    let mut excluded = Exclusions::default();
    let first = queue.first(&excluded).cloned().unwrap();
    excluded.exclude_team(&first);
    assert_eq!(queue.first(&excluded).map(|entry| entry.order), Some(2));
}
