//! The order in which tasks get room.
#![allow(clippy::unwrap_used)]

use oleanderstage_core::{
    Name, Resources, config,
    journal::Key,
    queue::{Queue, Skipped, Waiting},
};

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn amount(cores: u64) -> Resources {
    Resources { accelerators: 0, memory_mib: cores, processors_milli: cores * 1_000 }
}

/// Queues tasks of these teams and classes, in the order of acceptance.
fn queue(tasks: &[(&str, &str)]) -> Queue {
    let mut queue = Queue::default();
    let team = |team| config::Team { name: name(team), quota: amount(10) };
    queue.quotas.apply(&["news", "shops"].map(team));
    for (i, (team, class)) in tasks.iter().enumerate() {
        let key = Key { index: 0, serial: i as u128 };
        queue.push(Waiting { class: name(class), key, order: i as u64, team: name(team) });
    }
    queue
}

/// Takes tasks until none is left; those of the loud class find no room.
fn placed(mut queue: Queue) -> Vec<u64> {
    let mut skipped = Skipped::default();
    let mut placed = Vec::new();
    while let Some(waiting) = queue.first(&skipped).cloned() {
        if waiting.class == name("loud") {
            skipped.insert_class(&waiting);
            continue;
        }
        queue.remove(&waiting);
        queue.quotas.charge(&waiting.team, &amount(1)).unwrap();
        placed.push(waiting.order);
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
fn a_skipped_team_waits_as_a_whole() {
    let queue = queue(&[("news", "quiet"), ("news", "calm"), ("shops", "quiet")]);
    let mut skipped = Skipped::default();
    let first = queue.first(&skipped).cloned().unwrap();
    skipped.insert_team(&first);
    assert_eq!(queue.first(&skipped).map(|waiting| waiting.order), Some(2));
}
