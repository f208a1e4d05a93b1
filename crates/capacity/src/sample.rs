//! Sample values as large as in the current deployments, and measurements of memory and time.

use super::*;

/// Size of a page in `/proc/self/statm`, in bytes.
const PAGE_BYTES: f64 = 4_096.0;

/// Returns the checked name; panics if it is not valid.
pub fn name(text: impl Display) -> Name {
    Name::try_from(text.to_string()).unwrap_or_else(|error| panic!("{error}"))
}

/// Returns the ID of a cell.
pub fn cell(index: u16) -> cell::Id {
    cell::Id { index, zone: name("kigali-1") }
}

/// Returns the first attempt at a task.
pub fn run(index: usize) -> worker::Run {
    let job = job::Id { cell: cell(0), serial: 0x0123_4567_89ab_cdef_0123_4567_89ab_cdef };
    worker::Run { attempt: task::Attempt(1), task: task::Id { index: index as u32, job } }
}

/// Returns a VM of a configuration.
pub fn vm(index: usize) -> config::Vm {
    config::Vm {
        address: ([10, (index >> 16) as u8, (index >> 8) as u8, index as u8], 8_080).into(),
        connections: 64,
        name: name(format!("worker-{index:05}")),
        rack: name(format!("rack-{:04}", index / 8)),
        resources: Resources { accelerators: 2, memory_mib: 65_536, processors_milli: 16_000 },
        services: vec![name("bulletin")],
        slots: 8,
        zone: name(format!("zone-{}", index % 18)),
    }
}

/// Returns the resident memory of this process, in bytes; 0 if it cannot be read.
pub fn resident_bytes() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok()).unwrap_or(0.0) * PAGE_BYTES
}

/// Returns the growth of resident memory by the value that `make` returns, in bytes. The value is
/// never freed, so that a later measurement can't reuse its pages.
pub fn retained_bytes<T>(make: impl FnOnce() -> T) -> f64 {
    let before = resident_bytes();
    let value = hint::black_box(make());
    let after = resident_bytes();
    std::mem::forget(value);
    after - before
}

/// Returns the mean wall time of `count` calls of `work`, in microseconds.
pub fn mean_us(count: u32, mut work: impl FnMut()) -> f64 {
    let start = time::Instant::now();
    (0..count).for_each(|_| work());
    start.elapsed().as_secs_f64() * 1e6 / f64::from(count)
}
