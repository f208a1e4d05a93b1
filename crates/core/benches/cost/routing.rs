//! The choice of an endpoint.

use super::*;

/// Requests measured.
const REQUESTS: u64 = 50_000;
/// Requests in progress for each worker.
const OUTSTANDING: usize = 3;
/// Availability zones.
const ZONES: usize = 4;

/// Measures the choice of an endpoint and its end.
pub(crate) fn route(workers: usize) -> Measure {
    let mut table = route::Table::new(zone(0), 1);
    let endpoint = |i: usize| route::Endpoint {
        connections: 64,
        rack: name(&format!("rack-{}", i / 6)),
        slots: 8,
        vm: vm(i),
        zone: zone(i / 6 % ZONES),
    };
    table.apply(Instant::default(), &(0..workers).map(endpoint).collect::<Vec<_>>());
    let mut outstanding: std::collections::VecDeque<Name> =
        (0..workers * OUTSTANDING).filter_map(|_| table.pick(Instant::default(), &[])).collect();
    let before = table.examined();
    let start = std::time::Instant::now();
    for at in 0..REQUESTS {
        let now = Instant::from_millis(at);
        outstanding.extend(table.pick(now, &[]));
        let Some(vm) = outstanding.pop_front() else { continue };
        let latency = Duration::from_millis(300 + at % 100);
        table.end(now, &vm, route::End::Answered { latency });
    }
    Measure {
        decision: "request routed",
        examined: table.examined() - before,
        number: REQUESTS,
        took: start.elapsed(),
        workers,
    }
}

fn zone(zone: usize) -> Name {
    name(&format!("zone-{zone}"))
}
