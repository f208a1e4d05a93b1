//! The project's program as processes, and clients that call them.

use {
    crate::{
        case::{Case, pause, wait_until},
        http,
        json::{Json, object},
        record::Record,
    },
    std::{
        fs,
        io::Write,
        net::{Ipv4Addr, SocketAddr, TcpListener},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        time::Duration,
    },
};

/// The program of the deploy file.
pub const PROGRAM: &str = "target/release/oleanderstage-node";
/// The variable that holds the path of the settings file.
const SETTINGS_VARIABLE: &str = "OLEANDERSTAGE_BOOT";
/// Ports of each VM, which are free at its own loopback address.
const FRONT_PORT: u16 = 8_161;
const READY_PORT: u16 = 8_167;
const CONTROL_PORT: u16 = 8_166;
/// How long a client waits for an answer.
const DEADLINE: Duration = Duration::from_secs(3);
/// How long the fleet may take to start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The host of the queues.
pub const HOST: &str = "desk.example";

/// A VM's process; it is killed when this is dropped.
pub struct Vm {
    child: Child,
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
}

/// Settings that differ between deployments.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    pub cpu_share: f64,
    pub hold_max_ms: u64,
}

/// Returns a loopback address of this process's own with the given last number.
fn own_address(number: u8) -> Ipv4Addr {
    let id = std::process::id();
    Ipv4Addr::new(127, (64 + id / 250 % 128) as u8, (1 + id % 250) as u8, number)
}

impl Vm {
    /// Starts the program with the settings of a small deployment.
    pub fn start(
        number: u8,
        store: SocketAddr,
        deployment: Deployment,
        directory: &Path,
        record: &Record,
    ) -> std::io::Result<Self> {
        let ip = own_address(number);
        let zone = ["a", "b", "c", "d"][usize::from(number) % 4];
        let name = format!("front-{zone}-{number}");
        let (front, ready) = ((ip, FRONT_PORT).into(), (ip, READY_PORT).into());
        // Fails here if a port is taken.
        drop((TcpListener::bind(front)?, TcpListener::bind(ready)?));
        let Deployment { cpu_share, hold_max_ms } = deployment;
        let text = format!(
            "node_name={name}\nrole=node\nmachine_class=front\nserves=front\nip={ip}\nzone={zone}\n\
             region=r\nzones.a=r\nzones.b=r\nzones.c=r\nzones.d=r\nlisten.front={ip}:{FRONT_PORT}\n\
             listen.ready={ip}:{READY_PORT}\nlisten.control={ip}:{CONTROL_PORT}\n\
             internal_ports=7720,7735\nseeds=\nbootstrap=true\ncounts_as_loss=false\n\
             limits.cpu_share={cpu_share}\nlimits.cores=1\nlimits.memory_mb=260\n\
             limits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\n\
             entry=virtual_ip\nheartbeat_ms=1500\n\
             contracts=base,drain,config,cost,recover,sched,platform\nfault_tolerance.machines=2\n\
             bounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.drain_ms=2000\nbounds.grace_s=6\n\
             bounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\n\
             bounds.outer_ms=5000\nbounds.recovery_s=12\nbounds.hold_max_ms={hold_max_ms}\n\
             bounds.stop_timeout_ms=400\nbounds.gang_timeout_ms=3000\nbounds.cancel_ms=3000\n\
             bounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\n\
             bounds.far_x=2\nbounds.checkpoint_s=1\nbounds.restore_ms=250\nbounds.notice_ms=4500\n\
             bounds.lease_ms=3000\nbounds.thaw_ms=300\nbounds.pace_ms=100\nbounds.harm_ms=4000\n\
             orders=call\nplatform.address={store}\nplatform.form=kv\nplatform.writes_per_s=400\n\
             platform.reads_per_s=2000\nplatform.history_s=20\nplatform.value_bytes=1048576\n\
             platform.ttl_min_ms=1000\n"
        );
        let settings: PathBuf = directory.join(format!("{name}.conf"));
        fs::write(&settings, text)?;
        let log = fs::File::create(directory.join(format!("{name}.log")))?;
        let mut command = Command::new(PROGRAM);
        command.env(SETTINGS_VARIABLE, &settings).stdin(Stdio::null());
        let child = command.stdout(log.try_clone()?).stderr(log).spawn()?;
        record.line(format!("VM {name} started, process {}", child.id()));
        let mut pids = fs::File::options().create(true).append(true).open(directory.join("pids"))?;
        writeln!(pids, "{}", child.id())?;
        Ok(Self { child, name, front, ready })
    }

    /// Returns whether the platform would send callers there.
    pub fn is_ready(&self) -> bool {
        http::call(self.ready, "ready", "GET", "/-/ready", None, DEADLINE)
            .is_ok_and(|(status, _)| status == 200)
    }

    /// Submits a job once; returns the status of the answer.
    pub fn submit(&self, path: &str, spec: &str, steps: Vec<Json>, record: &Record) -> Option<u16> {
        let body = object(vec![("spec", spec.into()), ("steps", Json::List(steps))]);
        let answer = http::call(self.front, HOST, "POST", path, Some(&body), DEADLINE);
        let status = answer.as_ref().ok().map(|(status, _)| *status);
        record.line(format!("client: POST {path} at {}: {status:?} {body}", self.name));
        status
    }

    /// Asks for a job's state; returns the status of the answer and the state.
    pub fn state(&self, path: &str, record: &Record) -> Option<(u16, String)> {
        let answer = http::call(self.front, HOST, "GET", path, None, DEADLINE).ok();
        let answer = answer.map(|(status, body)| (status, body.get("state").text().to_owned()));
        record.line(format!("client: GET {path} at {}: {answer:?}", self.name));
        answer
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts VMs numbered from 1, each with a listener of the store, and waits until they are ready and
/// have taken `cells` cells.
pub fn start(case: &Case, vms: u8, cells: usize, deployment: Deployment) -> Result<Vec<Vm>, String> {
    let mut fleet = Vec::new();
    for number in 1..=vms {
        let address = case.store.listen(usize::from(number)).map_err(|error| error.to_string())?;
        let vm = Vm::start(number, address, deployment, &case.directory, &case.record);
        fleet.push(vm.map_err(|error| format!("VM: {error}"))?);
    }
    wait_until("VMs", START_TIMEOUT, || fleet.iter().all(Vm::is_ready))?;
    // The processes write a key under this prefix for each part of the fleet that one of them has.
    wait_until("owners", START_TIMEOUT, || case.store.items("h/").len() >= cells)?;
    pause(3_000);
    Ok(fleet)
}

/// Returns a route of the configuration, with priority 0.
pub fn route(name: &str, prefix: &str, service: &str) -> Json {
    route_with_priority(name, prefix, service, 0)
}

/// Returns a route of the configuration.
pub fn route_with_priority(name: &str, prefix: &str, service: &str, priority: u64) -> Json {
    object(vec![
        ("name", name.into()),
        ("host", HOST.into()),
        ("prefix", prefix.into()),
        ("service", service.into()),
        ("priority", priority.into()),
        ("max_attempts", 3.into()),
        ("stretch", Json::Number(1.5)),
        ("target_duration_ms", 1_000.into()),
        ("timeout_ms", 3_000.into()),
    ])
}

/// Returns a configuration.
pub fn config(version: u64, routes: Vec<Json>, services: &[&str]) -> Json {
    let service =
        |name: &&str| object(vec![("name", (*name).into()), ("admission_check", Json::Bool(true))]);
    object(vec![
        ("version", version.into()),
        ("routes", Json::List(routes)),
        ("services", Json::List(services.iter().map(service).collect())),
        ("limits", object(vec![("max_body_bytes", 262_144.into())])),
    ])
}

/// Returns a job's ID of 16 hexadecimal digits.
pub fn job_id(case: u64, number: u64) -> String {
    format!("{:016x}", 0xc0de_0000_0000_0000_u64 | case << 32 | number.wrapping_mul(0x9e37) << 4 | 7)
}
