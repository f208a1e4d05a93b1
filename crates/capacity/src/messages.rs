//! Sizes of messages and of the configuration, and the time to decode them.

use super::*;

/// Measures the bytes of a worker's report, by the tasks that run there.
pub fn report() -> Fit {
    Fit::measure("worker's report, JSON", "B", "running task", &[5, 20, 80], |tasks| {
        json_bytes(&report_of(tasks))
    })
}

/// Measures the time to decode a worker's report, by the tasks that run there.
pub fn report_decode() -> Fit {
    Fit::measure("decoding a report", "us", "running task", &[5, 20, 80], |tasks| {
        let text = serde_json::to_vec(&report_of(tasks)).unwrap_or_default();
        sample::mean_us(2_000, || {
            hint::black_box(serde_json::from_slice::<worker::Report>(&text).is_ok());
        })
    })
}

/// Measures the bytes of a batch of lease renewals, by the renewed runs.
pub fn renewals() -> Fit {
    Fit::measure("batch of renewals, JSON", "B", "running task", &[5, 20, 80], |tasks| {
        let renew = |i| worker::Command::Renew { lease_ms: 30_000, run: sample::run(i) };
        let commands: Vec<worker::Command> = (0..tasks).map(renew).collect();
        json_bytes(&commands)
    })
}

/// Measures the bytes of a probe between the system's processes, by the cells that the sender owns.
pub fn probe() -> Fit {
    Fit::measure("probe, postcard", "B", "owned cell", &[0, 4, 16], |cells| {
        let owned = (0..cells).map(|i| (sample::cell(i as u16), cell::Epoch(7)));
        let probe = call::Probe {
            cells: owned.collect(),
            incarnation: u64::MAX / 3,
            leaving: false,
            name: sample::name("scheduler-3"),
            revision: config::Revision(40_000),
        };
        postcard::to_stdvec(&Call::Probe(probe)).map_or(0.0, |bytes| bytes.len() as f64)
    })
}

/// Measures the bytes of the configuration, by its VMs.
pub fn configuration() -> Fit {
    Fit::measure("configuration, JSON", "B", "VM", &[100, 1_000, 10_000], |vms| {
        json_bytes(&configuration_of(vms))
    })
}

/// Measures the time to decode the configuration, by its VMs.
pub fn configuration_decode() -> Fit {
    Fit::measure("decoding a configuration", "us", "VM", &[100, 1_000, 10_000], |vms| {
        let text = serde_json::to_vec(&configuration_of(vms)).unwrap_or_default();
        sample::mean_us(5, || {
            hint::black_box(serde_json::from_slice::<config::Config>(&text).is_ok());
        })
    })
}

fn configuration_of(vms: usize) -> config::Config {
    config::Config { vms: (0..vms).map(sample::vm).collect(), ..Default::default() }
}

fn report_of(tasks: usize) -> serde_json::Value {
    let runs: Vec<worker::Run> = (0..tasks).map(sample::run).collect();
    let used = Resources { accelerators: 0, memory_mib: 1_850, processors_milli: 912 };
    let running = runs.iter().map(|run| worker::Running {
        lease_ms: 27_312,
        progress_milli: 481,
        run: run.clone(),
    });
    let usage = worker::Usage {
        runs: runs
            .iter()
            .map(|run| worker::RunUsage { resources: used, run: run.clone() })
            .collect(),
        services: vec![worker::ServiceUsage {
            load: 3.25,
            mean_ms: 41.7,
            requests: 811,
            service: sample::name("bulletin"),
        }],
        total: used,
    };
    serde_json::json!({
        "age_ms": 2_000, "clock_ms": 86_400_000u64, "epoch": 12, "incarnation": u64::MAX / 3,
        "running": running.collect::<Vec<_>>(), "over": [], "usage": usage,
    })
}

/// Returns the bytes of the value as JSON.
fn json_bytes(value: &impl serde::Serialize) -> f64 {
    serde_json::to_vec(value).map_or(0.0, |bytes| bytes.len() as f64)
}
