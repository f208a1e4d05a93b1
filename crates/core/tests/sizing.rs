//! Corrections of declared resources and run times.
#![allow(clippy::unwrap_used)]

use {
    oleanderstage_core::{
        Name, Resources,
        sizing::{MIN_RUNS, Sample, Table},
    },
    std::time::Duration,
};

fn amount(cores: u64, mib: u64) -> Resources {
    Resources { accelerators: 1, memory_mib: mib, processors_milli: cores * 1_000 }
}

/// Records `runs` runs with these measurements, and returns the corrected resources and run time of
/// a task that declares twice as much.
fn corrected(runs: usize, measured: Resources, seconds: u64) -> (Resources, Duration) {
    let (team, class): (Name, Name) = ("news".parse().unwrap(), "render".parse().unwrap());
    let mut table = Table::default();
    for _ in 0..runs {
        let sample = Sample {
            declared: amount(4, 1_000),
            declared_run: Duration::from_secs(10),
            measured,
            measured_run: Duration::from_secs(seconds),
        };
        table.record(&team, &class, &sample);
    }
    let run = table.run_time(&team, &class, Duration::from_secs(20));
    (table.resources(&team, &class, &amount(8, 2_000)), run)
}

#[test]
fn a_declaration_stands_until_enough_runs_were_measured() {
    let result = corrected(MIN_RUNS - 1, amount(1, 100), 30);
    assert_eq!(result, (amount(8, 2_000), Duration::from_secs(20)));
}

#[test]
fn sizes_are_scaled_with_a_margin_and_whole_accelerators_stay() {
    let (resources, run) = corrected(MIN_RUNS, amount(1, 2_000), 30);
    let expected = Resources { accelerators: 1, memory_mib: 4_800, processors_milli: 2_400 };
    assert_eq!((resources, run), (expected, Duration::from_secs(60)));
}
