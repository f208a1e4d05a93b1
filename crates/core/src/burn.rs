//! Service-level burn: how fast each service uses up its error budget, the share of requests that
//! its objective allows to fail.

use {super::*, config::Objective, hdrhistogram::Histogram};

pub use {cause::Cause, page::Page, report::Report, tally::Tally};

use counter::Counter;

#[path = "burn_cause.rs"]
mod cause;
#[path = "burn_counter.rs"]
mod counter;
#[path = "burn_page.rs"]
pub mod page;
#[path = "burn_report.rs"]
pub mod report;
#[path = "burn_tally.rs"]
mod tally;

/// Length of the short window, which shows the current burn rate.
pub const SHORT: Duration = Duration::from_secs(60 * 60);
/// Length of the long window, to which the error budget applies.
pub const LONG: Duration = Duration::from_secs(72 * 60 * 60);
/// Length of a time slot of the short window.
const SHORT_SLOT: Duration = Duration::from_secs(60);
/// Length of a time slot of the long window, and of the series.
pub const LONG_SLOT: Duration = Duration::from_secs(20 * 60);
/// Significant decimal digits of recorded latencies.
const LATENCY_DIGITS: u8 = 2;
/// Highest latency recorded, in microseconds; longer ones count as this.
const MAX_LATENCY_US: u64 = 3_600_000_000;

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, LATENCY_DIGITS).expect("the bounds are valid")
}
