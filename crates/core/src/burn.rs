//! Service-level burn: how fast each service uses up the requests that its objective lets fail.

use {super::*, config::Objective, hdrhistogram::Histogram};

pub use {cause::Cause, page::Page, report::Report, tally::Tally};

use ring::Ring;

#[path = "burn_cause.rs"]
mod cause;
#[path = "burn_page.rs"]
pub mod page;
#[path = "burn_report.rs"]
pub mod report;
#[path = "burn_ring.rs"]
mod ring;
#[path = "burn_tally.rs"]
mod tally;

/// The short window: what burns now.
pub const SHORT: Duration = Duration::from_secs(60 * 60);
/// The long window, which the budget is for.
pub const LONG: Duration = Duration::from_secs(72 * 60 * 60);
/// Width of one slot of the short window.
const SHORT_SLOT: Duration = Duration::from_secs(60);
/// Width of one slot of the long window, and of the series.
pub const LONG_SLOT: Duration = Duration::from_secs(20 * 60);
/// Significant digits of latencies.
const DIGITS: u8 = 2;
/// The highest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 3_600_000_000;

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, DIGITS).expect("the bounds are valid")
}
