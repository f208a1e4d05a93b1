//! Whether the jobs of all cells leave memory for a further one.

use oleanderstage_fleet::{Head, Memory, Step, Submission};

const MIB: u64 = 1 << 20;

fn head(cell: u32, held_bytes: u64) -> Head {
    Head { cell, held_bytes, ..Head::default() }
}

/// A VM of 100 MiB has 25 MiB for the jobs of all cells.
#[test]
fn jobs_of_all_cells_fit_into_the_smallest_vm() {
    let mut memory = Memory::default();
    assert!(memory.accept(0, MIB, 100));
    memory.observe(&head(0, 10 * MIB), 2);
    memory.observe(&head(1, 13 * MIB), 2);
    memory.observe(&head(1, MIB), 1);
    assert_eq!(memory.held_bytes(), 23 * MIB);
    assert!(memory.accept(5_000, MIB, 100));
    assert!(!memory.accept(5_000, MIB, 100), "one was accepted just now");
    assert!(memory.accept(7_000, MIB, 100), "the heads count it by now");
    memory.observe(&head(0, 0), 3);
    assert!(memory.accept(7_000, 5 * MIB, 100));
}

/// Large jobs must not shut small ones out.
#[test]
fn a_large_job_leaves_room_for_small_ones() {
    let mut memory = Memory::default();
    let large = (0..100).filter(|_| memory.accept(0, 5 * MIB, 100)).count();
    let small = (0..100).filter(|_| memory.accept(0, MIB / 100, 100)).count();
    assert_eq!((large, small), (4, 100));
}

/// What other processes accept at the same time shows only later.
#[test]
fn what_comes_here_is_expected_at_the_other_processes_too() {
    let accepted = |processes| {
        let mut memory = Memory::default();
        memory.set_processes(processes);
        (0..100).filter(|_| memory.accept(0, MIB, 100)).count()
    };
    assert_eq!(accepted(1), 24);
    assert_eq!(accepted(10), 5);
    assert_eq!(accepted(1_000), 1);
}

/// A VM whose settings don't tell its memory counts as one of 256 MiB.
#[test]
fn unknown_memory_has_a_default() {
    let accepted = |memory_mib| {
        let mut memory = Memory::default();
        (0..100).filter(|_| memory.accept(0, MIB, memory_mib)).count()
    };
    assert_eq!((accepted(0), accepted(256), accepted(128)), (62, 62, 30));
}

/// The largest jobs that callers may submit fit into the smallest VM of the platform.
#[test]
fn any_legal_job_fits_into_an_idle_system() {
    let wide =
        Submission { steps: vec![Step { count: 20_000, ..Step::default() }], ..Default::default() };
    let long = Submission {
        steps: vec![Step { count: 1, ..Step::default() }; 20_000],
        ..Default::default()
    };
    let repeated = Submission {
        occurrences: 20_000,
        steps: vec![Step { count: 1, ..Step::default() }],
        ..Default::default()
    };
    for submission in [wide, long, repeated] {
        assert_eq!(submission.check(), Ok(()));
        let bytes = submission.job_footprint_bytes() as u64;
        assert!(Memory::default().accept(0, bytes, 160), "{bytes}");
    }
}
