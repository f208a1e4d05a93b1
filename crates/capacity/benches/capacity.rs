//! Prints every slope that `docs/CAPACITY.md` is worked out from.

use oleanderstage_capacity::{Slope, entries, messages, schedulers};

fn main() {
    println!("| cost | measured at sizes | line |");
    println!("| --- | --- | --- |");
    let slopes = [
        messages::report(),
        messages::report_decode(),
        messages::renewals(),
        messages::probe(),
        messages::configuration(),
        messages::configuration_decode(),
        entries::table_memory(),
        entries::choice(),
        entries::limiter_memory(),
        schedulers::journal(),
        schedulers::snapshot(),
        schedulers::snapshot_decode(),
        schedulers::ledger_memory(),
        schedulers::placement(),
        schedulers::placement_memory(),
    ];
    slopes.iter().for_each(Slope::print);
}
