//! Prints the costs that `docs/CAPACITY.md` is calculated from, as rows of a Markdown table.

use oleanderstage_capacity::{Fit, entries, messages, schedulers};

fn main() {
    println!("| cost | measured at sizes | line |");
    println!("| --- | --- | --- |");
    let fits = [
        messages::report(),
        messages::report_decode(),
        messages::renewals(),
        messages::probe(),
        messages::configuration(),
        messages::configuration_decode(),
        entries::table_memory(),
        entries::pick(),
        entries::limiter_memory(),
        schedulers::journal(),
        schedulers::snapshot(),
        schedulers::snapshot_decode(),
        schedulers::ledger_memory(),
        schedulers::placement(),
        schedulers::placement_memory(),
    ];
    fits.iter().for_each(Fit::print);
}
