//! Memory and processor time of an entry, by endpoints and callers.

use super::*;

/// Measures the memory of a routing table, by its endpoints.
pub fn table_memory() -> Fit {
    Fit::measure("routing table, resident", "B", "endpoint", &[5_000, 20_000, 80_000], |count| {
        sample::retained_bytes(|| table(count))
    })
}

/// Measures the time to pick an endpoint and end the request, by endpoints.
pub fn pick() -> Fit {
    Fit::measure("choosing an endpoint", "us", "endpoint", &[100, 1_000, 10_000], |count| {
        let mut table = table(count);
        sample::mean_us(20_000, || {
            if let Some(vm) = table.pick(Instant(0), &[]) {
                table.end(Instant(0), &vm, route::End::Cancelled);
            }
        })
    })
}

/// Measures the memory of a service's limiter, by callers with a request in progress.
pub fn limiter_memory() -> Fit {
    let sizes = [5_000, 20_000, 80_000];
    Fit::measure("limiter, resident", "B", "caller in progress", &sizes, |count| {
        sample::retained_bytes(|| {
            let mut limiter = admission::Limiter::new(8, u32::MAX, 1);
            for caller in 0..count {
                let _ = limiter.admit(&format!("caller-{caller:06}"), time::Duration::MAX);
            }
            limiter
        })
    })
}

fn table(count: usize) -> route::Table {
    let endpoints: Vec<route::Endpoint> = (0..count).map(endpoint).collect();
    let mut table = route::Table::new(sample::name("zone-0"), 1);
    table.apply(Instant(0), &endpoints);
    table
}

fn endpoint(index: usize) -> route::Endpoint {
    let vm = sample::vm(index);
    route::Endpoint {
        connections: vm.connections,
        rack: vm.rack,
        slots: vm.slots,
        vm: vm.name,
        zone: vm.zone,
    }
}
