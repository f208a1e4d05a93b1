//! Samples of the size of today, and the clocks that measure them.

use super::*;

/// Bytes of a page in `/proc/self/statm`.
const PAGE_BYTES: f64 = 4_096.0;

/// Returns a checked name.
pub fn name(text: impl Display) -> Name {
    Name::try_from(text.to_string()).unwrap_or_else(|error| panic!("{error}"))
}

/// Returns a cell's name.
pub fn cell(index: u16) -> cell::Id {
    cell::Id { index, zone: name("kigali-1") }
}

/// Returns the run of one task.
pub fn run(index: usize) -> worker::Run {
    let job = job::Id { cell: cell(0), serial: 0x0123_4567_89ab_cdef_0123_4567_89ab_cdef };
    worker::Run { attempt: task::Attempt(1), task: task::Id { index: index as u32, job } }
}

/// Returns one VM of a configuration.
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

/// Returns the resident memory of this process, in bytes.
pub fn resident() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok()).unwrap_or(0.0) * PAGE_BYTES
}

/// Returns the memory that the value of `make` keeps, in bytes, by resident memory. The value is
/// never freed, so that a later measurement can't reuse its pages.
pub fn memory<T>(make: impl FnOnce() -> T) -> f64 {
    let before = resident();
    let value = hint::black_box(make());
    let after = resident();
    std::mem::forget(value);
    after - before
}

/// Returns the mean wall time of `work`, in microseconds, over `times` calls.
pub fn micros(times: u32, mut work: impl FnMut()) -> f64 {
    let start = time::Instant::now();
    (0..times).for_each(|_| work());
    start.elapsed().as_secs_f64() * 1e6 / f64::from(times)
}
