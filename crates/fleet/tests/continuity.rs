//! Tells pauses of the process from silence of the store.

use oleanderstage_fleet::{Continuity, continuity::MAX_GAP_MS};

#[test]
fn a_process_that_is_observed_often_has_run_all_the_while() {
    let mut continuity = Continuity::default();
    for step in 0..50 {
        assert_eq!(continuity.observe(1_000_000 + step * MAX_GAP_MS), None);
    }
    assert!(continuity.has_run_for(1_000_000 + 50 * MAX_GAP_MS, 50 * MAX_GAP_MS));
}

#[test]
fn a_pause_is_told_once_and_the_time_counts_from_its_end() {
    let mut continuity = Continuity::default();
    assert_eq!(continuity.observe(1_000), None);
    assert_eq!(continuity.observe(5_000), Some(4_000));
    assert_eq!(continuity.observe(5_001), None);
    assert!(!continuity.has_run_for(6_799, 1_800));
    assert!(continuity.has_run_for(6_800, 1_800));
}
