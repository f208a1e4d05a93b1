//! Cost of choosing an endpoint for a request.

use super::*;

/// Number of requests measured.
const REQUESTS: u64 = 50_000;
/// Requests in progress per worker.
const OUTSTANDING_PER_WORKER: usize = 3;
/// Number of availability zones.
const ZONES: usize = 4;

/// Measures choosing an endpoint for a request, together with ending another request.
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
    let mut outstanding: std::collections::VecDeque<Name> = (0..workers * OUTSTANDING_PER_WORKER)
        .filter_map(|_| table.pick(Instant::default(), &[]))
        .collect();
    let before = table.examined();
    let start = std::time::Instant::now();
    for index in 0..REQUESTS {
        let now = Instant::from_millis(index);
        outstanding.extend(table.pick(now, &[]));
        let Some(vm) = outstanding.pop_front() else { continue };
        let latency = Duration::from_millis(300 + index % 100);
        table.end(now, &vm, route::End::Answered { latency });
    }
    Measure {
        decision: "request routed",
        examined: table.examined() - before,
        count: REQUESTS,
        elapsed: start.elapsed(),
        workers,
    }
}

fn zone(zone: usize) -> Name {
    name(&format!("zone-{zone}"))
}
