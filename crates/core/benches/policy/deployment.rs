//! The two current deployments.

use super::*;

/// Availability zones of each deployment.
pub(crate) const ZONES: usize = 4;
/// Slots of each worker: requests that its service may have in progress.
pub(crate) const SLOTS: u32 = 8;
/// Connections that each worker accepts.
pub(crate) const CONNECTIONS: u32 = 64;
/// Planned share of the slots in use at the peak on a worker dedicated to services.
const PLANNED_SHARE: f64 = 0.85;

/// Size and load of a fleet and of its urgent service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deployment {
    /// Share of the slots in use outside the peak.
    pub(crate) base_load: f64,
    /// Round trip between a caller and an entry, in milliseconds.
    pub(crate) caller_ms: f64,
    /// Processors of a worker, in whole cores.
    pub(crate) cores: u64,
    /// Memory of a worker, in GiB.
    pub(crate) memory_gib: u64,
    /// Name of the deployment.
    pub(crate) name: &'static str,
    /// Latency up to which a request counts as answered in time, in milliseconds.
    pub(crate) objective_ms: u64,
    /// Share of the slots in use at the daily or hourly peak.
    pub(crate) peak_load: f64,
    /// Processors reserved for the service on each worker, in whole cores.
    pub(crate) reserved_cores: u64,
    /// Memory reserved for the service on each worker, in GiB.
    pub(crate) reserved_gib: u64,
    /// Median time of a request on an idle worker, in milliseconds.
    pub(crate) service_ms: f64,
    /// Processors of the smallest batch tasks, in whole cores; others have two or four times as
    /// many.
    pub(crate) task_cores: u64,
    /// Number of workers.
    pub(crate) workers: usize,
    /// Workers per rack.
    pub(crate) workers_per_rack: usize,
    /// Round trip between zones, in milliseconds.
    pub(crate) zone_ms: f64,
}

impl Deployment {
    /// Both deployments.
    pub(crate) const ALL: [Self; 2] = [Self::UMUYOBORO, Self::FYRTARN];

    const FYRTARN: Self = Self {
        base_load: 0.35,
        caller_ms: 3.0,
        cores: 64,
        memory_gib: 250,
        name: "fyrtarn",
        objective_ms: 1_500,
        peak_load: 0.6,
        reserved_cores: 24,
        reserved_gib: 64,
        service_ms: 300.0,
        task_cores: 2,
        workers: 65,
        workers_per_rack: 8,
        zone_ms: 1.5,
    };

    const UMUYOBORO: Self = Self {
        base_load: 0.25,
        caller_ms: 1.0,
        cores: 16,
        memory_gib: 64,
        name: "umuyoboro",
        objective_ms: 2_000,
        peak_load: 0.7,
        reserved_cores: 6,
        reserved_gib: 16,
        service_ms: 400.0,
        task_cores: 1,
        workers: 50,
        workers_per_rack: 6,
        zone_ms: 1.0,
    };

    /// Returns the resources of a worker.
    pub(crate) fn capacity(&self) -> Resources {
        amount(self.cores, self.memory_gib)
    }

    /// Returns the requests per second that all workers together can answer without batch work.
    pub(crate) fn capacity_rate(&self) -> f64 {
        let mean_ms = self.service_ms * truth::MEAN_PER_MEDIAN * truth::own_slowdown(1.0);
        self.workers as f64 * f64::from(SLOTS) * 1_000.0 / mean_ms
    }

    /// Returns how many workers the policy without sharing dedicates to services.
    pub(crate) fn dedicated(&self) -> usize {
        (self.workers as f64 * self.peak_load / PLANNED_SHARE).ceil() as usize
    }

    /// Returns the resources reserved for the service on each worker.
    pub(crate) fn reserved(&self) -> Resources {
        amount(self.reserved_cores, self.reserved_gib)
    }

    /// Returns the processors of all workers that are not reserved for the service, in whole cores.
    pub(crate) fn shared_cores(&self) -> u64 {
        self.workers as u64 * (self.cores - self.reserved_cores)
    }
}

/// Returns resources without accelerators.
pub(crate) fn amount(cores: u64, gib: u64) -> Resources {
    Resources { accelerators: 0, memory_mib: gib * 1_024, processors_milli: cores * 1_000 }
}
