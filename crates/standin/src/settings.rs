//! Settings of `oleanderstage-standin`.

use super::*;

/// Settings of one process of stand-ins.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The key-value service and the VM list, if this process serves them.
    #[serde(default)]
    pub platform: Option<Platform>,
    /// The workers that this process simulates.
    #[serde(default)]
    pub workers: Vec<Worker>,
}

/// The key-value service and the VM list.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Where they listen, as `IP:PORT`.
    #[schemars(extend("format" = "ip-port"))]
    pub address: SocketAddr,
    /// Reads and new watches accepted per second.
    #[serde(default = "default_reads_per_second")]
    pub reads_per_second: u32,
    /// Lag after which the VM list shows a change, in milliseconds.
    #[serde(default = "default_vm_list_lag_ms")]
    pub vm_list_lag_ms: u64,
    /// VMs that are on the list at the start.
    #[serde(default)]
    pub vms: Vec<Name>,
    /// Writes accepted per second.
    #[serde(default = "default_writes_per_second")]
    pub writes_per_second: u32,
}

/// One worker.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// Its actual behaviour.
    #[serde(default)]
    pub behaviour: Behaviour,
    /// Its VM, as in the operators' configuration.
    pub vm: config::Vm,
}

fn default_vm_list_lag_ms() -> u64 {
    vms::DEFAULT_LAG.as_millis() as u64
}

fn default_reads_per_second() -> u32 {
    store::DEFAULT_READS_PER_SECOND
}

fn default_writes_per_second() -> u32 {
    store::DEFAULT_WRITES_PER_SECOND
}
