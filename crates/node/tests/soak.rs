//! Short seeded runs of the soak. Each seed stays as a regression case, with its cause.

use {
    oleanderstage_soak::Plan,
    std::{path::PathBuf, time::Duration},
};

/// Seconds of faults in CI.
const FAULTS: Duration = Duration::from_secs(8);

fn soak(seed: u64) {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
    let plan = Plan {
        directory,
        faults_for: FAULTS,
        program: env!("CARGO_BIN_EXE_oleanderstage-node").into(),
        seed,
        vms: 4,
        workers: 8,
    };
    let report = oleanderstage_soak::run(plan).expect("a run");
    println!("{}", report.line());
    assert!(report.broken.is_empty(), "{:?}", report.broken);
    assert!(report.completed > 20, "{}", report.completed);
}

#[test]
fn promises_hold_under_random_faults() {
    soak(7);
}

/// A look and a start in one millisecond: a task ran twice.
#[test]
fn seed_114_keeps_its_promises() {
    soak(114);
}

/// An owner did not notice that its entry was gone, and started what its successor started.
#[test]
fn seed_223_keeps_its_promises() {
    soak(223);
}

/// Two tenures of one cell in one process took it from each other without end.
#[test]
fn seed_300_keeps_its_promises() {
    soak(300);
}

/// The same cause as 114, at two workers.
#[test]
fn seed_128_keeps_its_promises() {
    soak(128);
}
