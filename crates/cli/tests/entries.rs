//! Runs the operators' commands against running entries.

#![allow(clippy::unwrap_used)]

use {
    oleanderstage_core::Name,
    oleanderstage_entry::Entry,
    oleanderstage_platform::http,
    oleanderstage_settings as settings,
    oleanderstage_standin::Platform,
    oleanderstage_wire::keys,
    std::{fs, net::SocketAddr, path::PathBuf, time::Duration},
    tokio::process::Command,
    tokio_util::sync::CancellationToken,
};

/// Replaces the first brace of `CONFIG` to add a VM.
const VMS: &str = r#"{ "vms": [{
    "name": "worker-1",
    "address": "127.0.0.1:1",
    "connections": 64,
    "rack": "rack-1",
    "resources": { "processors_milli": 16000, "memory_mib": 65536 },
    "services": ["bulletin"],
    "slots": 8,
    "zone": "kigali-1",
}],"#;

const CONFIG: &str = r#"{ "services": [{
    "name": "bulletin",
    "body_limit_bytes": 1000000,
    "caller_concurrency": 8,
    "deadline_ms": 2000,
    "idempotent": true,
    "objective": { "latency_ms": 400, "share": 0.9 },
    "reserve": { "processors_milli": 1000, "memory_mib": 1024 },
}] }"#;

struct Cluster {
    entries: Vec<Entry>,
    folder: PathBuf,
    platform: Platform,
}

fn free_udp_address() -> SocketAddr {
    std::net::UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

impl Cluster {
    /// Starts two entries that have the `schedulers` in their settings.
    async fn start(topic: &str, schedulers: &[settings::Peer]) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(topic);
        fs::create_dir_all(&folder).unwrap();
        fs::write(folder.join("config.jsonc"), CONFIG).unwrap();
        let names = [name("entry-1"), name("entry-2"), name("scheduler-1")];
        let set = keys::Set::generate(&names).unwrap();
        fs::write(folder.join("ca.pem"), &set.authority).unwrap();
        let platform = Platform::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let addresses = [free_udp_address(), free_udp_address()];
        let mut cluster = Self { entries: vec![], folder, platform };
        for (name, pair) in names.iter().zip(&set.pairs) {
            fs::write(cluster.folder.join(format!("{name}.pem")), &pair.certificate).unwrap();
            fs::write(cluster.folder.join(format!("{name}.key")), &pair.key).unwrap();
        }
        for own in 0..2 {
            let (other, zone) = (1 - own, name("kigali-1"));
            let peer = settings::Peer {
                address: addresses[other],
                name: names[other].clone(),
                zone: zone.clone(),
            };
            let settings = settings::Entry {
                http: "127.0.0.1:0".parse().unwrap(),
                memory_mib: 0,
                metrics: None,
                name: names[own].clone(),
                peers: vec![peer],
                quic: addresses[own],
                schedulers: schedulers.to_vec(),
                store: cluster.store_url(),
                tls: cluster.tls(&names[own]),
                vm_list: format!("{}/vms", cluster.store_url()),
                zone,
            };
            let entry = Entry::start(settings, CancellationToken::new()).await.unwrap();
            cluster.entries.push(entry);
        }
        cluster
    }

    fn entry_url(&self, index: usize) -> String {
        format!("http://{}", self.entries[index].address())
    }

    /// Runs `oleanderstage`; returns its output and its exit code. `STORE`, `ONE` and `TWO` stand
    /// for addresses in the arguments, and replace them at the same width in the output.
    async fn run(&self, arguments: &str) -> (String, i32) {
        let names =
            [("STORE", self.store_url()), ("ONE", self.entry_url(0)), ("TWO", self.entry_url(1))];
        let resolved = names
            .iter()
            .fold(arguments.to_owned(), |text, (name, address)| text.replace(name, address));
        let output = Command::new(env!("CARGO_BIN_EXE_oleanderstage"))
            .args(resolved.split_whitespace())
            .current_dir(&self.folder)
            .env("NO_COLOR", "1")
            .kill_on_drop(true)
            .output()
            .await
            .unwrap();
        let printed = [output.stdout, output.stderr].concat();
        let printed = String::from_utf8(printed).unwrap();
        let printed = names.iter().fold(printed, |text, (name, address)| {
            text.replace(address.as_str(), &format!("{name:<width$}", width = address.len()))
        });
        (printed, output.status.code().unwrap())
    }

    /// Starts a scheduler with the name and the address of `peer`.
    fn start_scheduler(&self, peer: &settings::Peer) {
        let settings = settings::Scheduler {
            entries: vec![],
            metrics: None,
            name: peer.name.clone(),
            peers: vec![],
            quic: peer.address,
            store: self.store_url(),
            tls: self.tls(&peer.name),
            vm_list: format!("{}/vms", self.store_url()),
            zone: peer.zone.clone(),
        };
        tokio::spawn(oleanderstage_scheduler::serve(settings, CancellationToken::new()));
    }

    fn tls(&self, name: &Name) -> settings::Tls {
        settings::Tls {
            authority: self.folder.join("ca.pem"),
            certificate: self.folder.join(format!("{name}.pem")),
            key: self.folder.join(format!("{name}.key")),
        }
    }

    fn store_url(&self) -> String {
        format!("http://{}", self.platform.address())
    }
}

fn scheduler_peer() -> settings::Peer {
    let (name, zone) = (name("scheduler-1"), name("kigali-1"));
    settings::Peer { address: free_udp_address(), name, zone }
}

#[tokio::test]
async fn a_submission_is_in_force_at_all_entries_and_a_drain_takes_one_out() {
    let cluster = Cluster::start("entries", &[]).await;
    let submit = "submit config.jsonc --store STORE --submission s-1 --wait ONE --wait TWO";
    let (text, exit) = cluster.run(submit).await;
    assert_eq!(exit, 0, "{text}");
    assert_eq!(text, "accepted as revision 1 (submission s-1)\nin force at 2 of 2 entries\n");
    let (text, _) = cluster.run("status ONE TWO").await;
    insta::with_settings!({ omit_expression => true }, { insta::assert_snapshot!("status", text) });
    let (text, exit) = cluster.run("drain TWO").await;
    assert_eq!(exit, 0, "{text}");
    let deadline = tokio::time::Instant::now() + Duration::from_secs(30);
    while cluster.run("status TWO").await.1 == 0 {
        assert!(tokio::time::Instant::now() < deadline, "the entry has not left in 30 s");
    }
    cluster.platform.stop().await;
}

#[tokio::test]
async fn status_shows_schedulers_cells_and_vms_over_all_entries() {
    let peer = scheduler_peer();
    let cluster = Cluster::start("detail", std::slice::from_ref(&peer)).await;
    cluster.start_scheduler(&peer);
    fs::write(cluster.folder.join("config.jsonc"), CONFIG.replacen('{', VMS, 1)).unwrap();
    let submit = "submit config.jsonc --store STORE --wait ONE --wait TWO";
    let (text, exit) = cluster.run(submit).await;
    assert_eq!(exit, 0, "{text}");
    let deadline = tokio::time::Instant::now() + Duration::from_secs(30);
    let mut text = String::new();
    while !(text.contains("kigali-1.0") && text.trim_end().ends_with("  8"))
        || text.contains("not heard")
    {
        assert!(tokio::time::Instant::now() < deadline, "{text}");
        text = cluster.run("status --detail ONE TWO").await.0;
    }
    insta::with_settings!({ omit_expression => true }, { insta::assert_snapshot!("detail", text) });
    cluster.platform.stop().await;
}

#[tokio::test]
async fn a_scheduler_that_does_not_answer_is_named_by_wait() {
    let cluster = Cluster::start("silent", &[scheduler_peer()]).await;
    let (text, exit) = cluster.run("submit config.jsonc --store STORE --wait ONE").await;
    assert_eq!(exit, 6, "{text}");
    assert!(text.contains("scheduler `scheduler-1` does not answer"), "{text}");
    cluster.platform.stop().await;
}

#[tokio::test]
async fn the_report_counts_refusals_over_both_entries() {
    let cluster = Cluster::start("report", &[]).await;
    let submit = "submit config.jsonc --store STORE --wait ONE --wait TWO";
    let (text, exit) = cluster.run(submit).await;
    assert_eq!(exit, 0, "{text}");
    let client = http::client("entries", Duration::from_secs(10)).unwrap();
    for index in [0, 1, 1] {
        let url = format!("{}/services/bulletin/", cluster.entry_url(index));
        assert_eq!(client.get(url).send().await.unwrap().status(), 503);
    }
    let (text, exit) = cluster.run("report ONE TWO http://127.0.0.1:1").await;
    assert_eq!(exit, 0, "{text}");
    insta::with_settings!({ omit_expression => true }, { insta::assert_snapshot!("report", text) });
    cluster.platform.stop().await;
}
