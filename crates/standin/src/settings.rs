//! Settings of `oleanderstage-standin`.

use super::*;

/// Settings of one process of stand-ins.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The key-value service and the VM list, if this process plays them.
    #[serde(default)]
    pub platform: Option<Platform>,
    /// The workers that this process plays.
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
    /// Reads and waiting watches that are taken a second.
    #[serde(default = "reads")]
    pub reads_per_second: u32,
    /// How late the VM list shows a change, in milliseconds.
    #[serde(default = "lag")]
    pub vm_list_lag_ms: u64,
    /// VMs that are on the list at the start.
    #[serde(default)]
    pub vms: Vec<Name>,
    /// Writes that are taken a second.
    #[serde(default = "writes")]
    pub writes_per_second: u32,
}

/// One worker.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// How it behaves.
    #[serde(default)]
    pub behaviour: Behaviour,
    /// Its VM, as the operators' configuration has it.
    pub vm: config::Vm,
}

fn lag() -> u64 {
    vms::DEFAULT_LAG.as_millis() as u64
}

fn reads() -> u32 {
    store::READS_PER_SECOND
}

fn writes() -> u32 {
    store::WRITES_PER_SECOND
}
