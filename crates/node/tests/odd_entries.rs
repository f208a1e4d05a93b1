//! Entries of other writers among those that the program reads, with real processes.

#![allow(clippy::unwrap_used)]

mod process;

use {
    oleanderstage_standin::{UsersLedger, UsersStore, UsersWorker},
    process::{Process, TIMEOUT, config, run, step, wait_until},
    serde_json::{Value, json},
    std::time::{Duration, Instant},
};

/// Depth of an entry that no reader should follow.
const DEPTH: usize = 100_000;

/// Returns a worker's entry, at an address where nobody answers.
fn entry() -> Value {
    json!({
        "service": "desk", "address": "127.0.0.1:9", "zone": "a", "version": "v1", "slots": 8,
        "state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": 1,
        "capacity": {"cpu": 16_000, "mem_mb": 65_536, "gpu": 0}, "labels": ["a", "r1"],
    })
}

/// Returns the entry with one field replaced by a text, which need not be valid.
fn with(field: &str, text: &str) -> Vec<u8> {
    let mut entry = entry();
    entry[field] = json!("@@");
    entry.to_string().replace("\"@@\"", text).into_bytes()
}

fn nested() -> String {
    format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH))
}

/// Returns values that name no worker to use.
fn odd_values() -> Vec<Vec<u8>> {
    let capacity = |cpu: &str| with("capacity", &format!(r#"{{"cpu":{cpu},"mem_mb":1,"gpu":0}}"#));
    let many_labels: Vec<String> = (0..50_000).map(|number| format!("label-{number}")).collect();
    let mut missing = entry();
    missing.as_object_mut().unwrap().remove("address");
    vec![
        Vec::new(),
        vec![0xff, 0xfe, 0x00],
        b"null".to_vec(),
        b"[]".to_vec(),
        b"{\"service\":\"desk\"".to_vec(),
        nested().into_bytes(),
        with("version", &nested()),
        with("labels", &nested()),
        with("labels", "[1,2]"),
        with("labels", "{}"),
        with("labels", &json!(many_labels).to_string()),
        capacity("1e400"),
        capacity("18446744073709551615"),
        capacity("18446744073709551616"),
        capacity("-1"),
        capacity("\"x\""),
        with("capacity", r#"{"cpu":16000,"mem_mb":18446744073709551615,"gpu":4294967295}"#),
        with("seq", "1e999"),
        with("born", "1e30"),
        with("born", "-5"),
        with("address", "\"127.0.0.1:65536\""),
        with("address", "\"127.0.0.1:0\""),
        with("address", "\"0.0.0.0:9\""),
        with("address", "\"255.255.255.255:9\""),
        with("address", "\"desk.example:80\""),
        with("address", "9"),
        with("state", "\"odd\""),
        with("state", "7"),
        with("service", "\"nobody\""),
        with("service", "{}"),
        with("zone", "null"),
        missing.to_string().into_bytes(),
    ]
}

/// LOST: the list of workers could not be read beyond a page whose last key needs escapes in a URL.
#[test]
fn odd_keys_disturb_no_reading_of_pages() {
    run(async {
        let (store, address) = UsersStore::start().await.unwrap();
        store.put("op/config", &config());
        // More than two pages, each of which ends with such a key.
        for number in 0..1_200 {
            store.put_bytes(&format!("servers/a {number:04} &=#?%+ü"), b"null".to_vec());
        }
        let ledger = UsersLedger::default();
        let (worker, worker_address) = UsersWorker::start("i-1", ledger.clone()).await.unwrap();
        worker.register(&store, worker_address, false);
        let mut vm = Process::start("vm-odd-keys", address, 2_000);
        vm.submit("000000000000000a", 300, json!([step(4, &[])])).await;
        wait_until("the job", TIMEOUT, || ledger.tasks().len() == 4).await;
        assert!(vm.is_running());
    });
}

/// Returns jobs with absurd figures. None of them can be done, but for those that have no work.
fn odd_jobs() -> Vec<String> {
    let max = u64::MAX;
    let step = |fields: String| format!(r#"{{"spec":"300 1000","steps":[{{"count":1{fields}}}]}}"#);
    let timed = |fields: String| {
        format!(r#"{{"spec":"300 1000","steps":[{{"count":1,"cpu":1}}],"repeat_count":3{fields}}}"#)
    };
    let wide = r#"{"spec":"300 1000","steps":[{"count":20000,"cpu":18446744073709551615}]}"#;
    let many: Vec<String> = (0..200).map(|_| format!(r#"{{"count":100,"cpu":{max}}}"#)).collect();
    vec![
        step(format!(r#","cpu":{max}"#)),
        step(format!(r#","cpu":{max},"fills":true,"image":"odd""#)),
        step(format!(r#","cpu":{max},"fills":true,"image":"odd","estimate_ms":{max}"#)),
        step(format!(r#","mem_mb":{max}"#)),
        step(format!(r#","gpu":{}"#, u32::MAX)),
        step(format!(r#","cpu":{max},"mem_mb":{max},"estimate_ms":{max},"long_running":true"#)),
        step(format!(r#","cpu":{max},"target_ms":{max},"long_running":true,"image":"odd""#)),
        step(format!(r#","cpu":{max},"gang":true,"anti_affinity":65535"#)),
        timed(format!(r#","start_at_ms":{max},"interval_ms":{max}"#)),
        timed(format!(r#","start_at_ms":{max},"interval_ms":1"#)),
        timed(format!(r#","start_at_ms":1,"interval_ms":{max}"#)),
        format!(r#"{{"spec":"300 1000","steps":[{}]}}"#, many.join(",")),
        wide.into(),
        wide.into(),
    ]
}

/// Processes that end by themselves, and LOST: jobs with absurd figures overflowed sums and times.
#[test]
fn odd_jobs_disturb_no_others() {
    run(async {
        let (store, address) = UsersStore::start().await.unwrap();
        let mut config = config();
        let mut odd = config["routes"][0].clone();
        odd["name"] = json!("odd");
        odd["prefix"] = json!("/odd/");
        odd["target_duration_ms"] = json!(u64::MAX);
        odd["stretch"] = json!(1e300);
        config["routes"].as_array_mut().unwrap().push(odd);
        store.put("op/config", &config);
        let ledger = UsersLedger::default();
        let (worker, worker_address) = UsersWorker::start("i-1", ledger.clone()).await.unwrap();
        worker.register(&store, worker_address, false);
        let mut vm = Process::start("vm-odd-jobs", address, 2_000);
        vm.submit("000000000000000a", 300, json!([step(1, &[])])).await;
        for (number, body) in odd_jobs().into_iter().enumerate() {
            for prefix in ["/q/", "/odd/"] {
                let id = format!("{prefix}00000000000{number:04x}{}", prefix.len() % 10);
                vm.post(&id, &body).await;
            }
        }
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        vm.restart();
        vm.submit("000000000000000b", 300, json!([step(16, &[]), step(1, &[0])])).await;
        wait_until("the job", TIMEOUT, || ledger.entry("000000000000000b.0.1.0").done == 1).await;
        assert!(vm.is_running());
        // Occurrences that are due at the end of time don't start.
        let starts = ledger.tasks();
        let early = |task: &str| starts.iter().any(|(name, _)| name.starts_with(task));
        assert!(!early("0000000000000083.") && !early("0000000000000093."));
        assert!(early("00000000000000a3.0.") && !early("00000000000000a3.1."));
    });
}

/// Writes values that can't be read, or are not what their keys say, among the records of the program itself.
fn put_odd_records(store: &UsersStore) {
    let deep = nested().into_bytes();
    let head = json!({
        "cell": 7, "generation": u32::MAX, "owner": "x", "sequence": u64::MAX,
        "total_milli": u64::MAX, "free_milli": u64::MAX, "largest_milli": u64::MAX,
    });
    let head = head.to_string().into_bytes();
    let records: [(&str, &[u8]); 12] = [
        ("m/map", &deep),
        ("m/odd", b"{}"),
        ("m/vm/aaa", &deep),
        ("m/vm/aab", br#"{"processors_milli":-1}"#),
        ("h/0", &deep),
        ("h/1", &head),
        ("h/odd", &head),
        ("c/0/odd", b"{}"),
        ("c/0/00000000000000aa", &deep),
        ("p/0/00000000000000aa", br#"{"done":[[0,0,[1e400]]]}"#),
        ("k/0", &deep),
        ("j/00000000000000bb", &deep),
    ];
    for (key, value) in records {
        store.put_bytes(key, value.to_vec());
    }
}

/// LOST: VMs whose own records had been overwritten assigned no cells, or sent jobs to cells that don't exist.
#[test]
fn odd_records_keep_no_vm_from_working() {
    run(async {
        let (store, address) = UsersStore::start().await.unwrap();
        store.put("op/config", &config());
        store.put_bytes("op/evacuate/odd/\"zone", vec![0xff]);
        put_odd_records(&store);
        let ledger = UsersLedger::default();
        let (worker, worker_address) = UsersWorker::start("i-1", ledger.clone()).await.unwrap();
        worker.register(&store, worker_address, false);
        let mut vm = Process::start("vm-odd-records", address, 2_000);
        vm.submit("000000000000000a", 300, json!([step(4, &[])])).await;
        wait_until("the first job", TIMEOUT, || ledger.tasks().len() == 4).await;
        put_odd_records(&store);
        vm.submit("000000000000000b", 300, json!([step(4, &[]), step(1, &[0])])).await;
        wait_until("the second job", TIMEOUT, || ledger.entry("000000000000000b.0.1.0").done == 1)
            .await;
        vm.restart();
        vm.submit("000000000000000c", 300, json!([step(4, &[])])).await;
        wait_until("the third job", TIMEOUT, || ledger.tasks().len() == 4 + 5 + 4).await;
        assert!(vm.is_running());
        assert_eq!(ledger.violations(), Vec::<String>::new());
    });
}

/// Writes the odd values among the entries of workers.
fn put_odd_entries(store: &UsersStore, round: usize) {
    for (number, value) in odd_values().into_iter().enumerate() {
        // Before and after the entries of workers.
        let id = format!("{}{number:02}-{round}", if number % 2 == 0 { "a" } else { "z" });
        store.put_bytes(&format!("servers/{id}"), value);
    }
}

/// Processes that end by themselves, and LOST: another writer's entries among those of the workers ended the
/// processes that read them, or kept these from following the list, or from starting work again.
#[test]
fn odd_entries_of_workers_disturb_nothing() {
    run(async {
        let (store, address) = UsersStore::start().await.unwrap();
        store.put("op/config", &config());
        put_odd_entries(&store, 0);
        let ledger = UsersLedger::default();
        let (first, first_address) = UsersWorker::start("i-1", ledger.clone()).await.unwrap();
        first.register(&store, first_address, false);
        let mut vm = Process::start("vm-odd", address, 2_000);
        vm.submit("000000000000000a", 300, json!([step(4, &[])])).await;
        wait_until("the first job", TIMEOUT, || ledger.tasks().len() == 4).await;
        put_odd_entries(&store, 1);
        vm.submit("000000000000000b", 300, json!([step(16, &[]), step(1, &[0])])).await;
        wait_until("the second job", TIMEOUT, || ledger.tasks().len() == 4 + 17).await;

        // A worker that comes later is found.
        let (second, second_address) = UsersWorker::start("i-2", ledger.clone()).await.unwrap();
        second.register(&store, second_address, false);
        first.register(&store, first_address, true);
        vm.submit("000000000000000c", 2_500, json!([step(1, &[]), step(1, &[0])])).await;
        wait_until("the third job", TIMEOUT, || ledger.tasks().len() == 4 + 17 + 1).await;
        assert!(vm.is_running());

        // A new owner waits for no worker that isn't one.
        vm.restart();
        wait_until("its end", TIMEOUT, || ledger.entry("000000000000000c.0.0.0").done == 1).await;
        let ended = Instant::now();
        wait_until("its next step", TIMEOUT, || ledger.tasks().len() == 4 + 17 + 2).await;
        let took = ended.elapsed();
        assert!(took < Duration::from_millis(1_500), "{took:?}");
        assert!(vm.is_running());
        assert_eq!(ledger.violations(), Vec::<String>::new());
        drop((first, second));
    });
}
