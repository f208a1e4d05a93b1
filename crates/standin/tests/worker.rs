//! Tests the simulated worker through the client that the scheduler uses.

#![allow(clippy::unwrap_used)]

use {
    oleanderstage_core::{
        Name, Resources, cell, config, job, task,
        worker::{Batch, Command, Report, Run, Validity},
    },
    oleanderstage_platform::workers::{Answer, Client},
    oleanderstage_standin::{Behaviour, Worker, faults::Fault, summary::Summary},
    std::{fmt::Write, time::Duration},
};

const TIMEOUT: Duration = Duration::from_secs(20);

/// A worker, a client for its commands, and the text that is compared with the snapshot.
struct Bench {
    client: Client,
    http: reqwest::Client,
    text: String,
    worker: Worker,
}

impl Bench {
    async fn start(slots: u32, connections: u32) -> Self {
        let vm = config::Vm {
            address: "127.0.0.1:0".parse().unwrap(),
            connections,
            name: name("vm-1"),
            rack: name("rack-1"),
            resources: resources(4_000),
            services: vec![name("bulletin")],
            slots,
            zone: name("zone-1"),
        };
        let behaviour = Behaviour { usage_lag_ms: 0, ..Behaviour::default() };
        let worker = Worker::start(vm, behaviour).await.unwrap();
        let http = oleanderstage_platform::client("test", TIMEOUT).unwrap();
        Self { client: Client::new(), http, text: String::new(), worker }
    }

    async fn send(&mut self, epoch: u64, commands: &[Command]) {
        let report = self.client.report(self.worker.address(), &cell(), TIMEOUT).await.unwrap();
        let validity = Validity { incarnation: report.incarnation, until_ms: u64::MAX };
        self.send_with_validity(epoch, commands, validity).await;
    }

    async fn send_with_validity(&mut self, epoch: u64, commands: &[Command], validity: Validity) {
        let batch = Batch {
            cell: cell(),
            commands: commands.into(),
            epoch: cell::Epoch(epoch),
            validity: Some(validity),
        };
        match self.client.send(self.worker.address(), &batch, TIMEOUT).await.unwrap() {
            Answer::Report(report) => self.push_report(&report),
            Answer::Stale { highest } => self.push_line(&format!("stale, highest {}", highest.0)),
        }
    }

    /// Waits until no run is in progress, and adds the report.
    async fn wait_until_idle(&mut self) {
        loop {
            let report = self.client.report(self.worker.address(), &cell(), TIMEOUT).await.unwrap();
            if report.running.is_empty() {
                return self.push_report(&report);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn request(&self, path: &str, id: &str) -> String {
        let url = format!("http://{}/services/{path}", self.worker.address());
        let response = self
            .http
            .post(url)
            .header("oleanderstage-request", id)
            .header("idempotency-key", "k-1")
            .header("oleanderstage-idempotent", "false")
            .body("clip")
            .send()
            .await
            .unwrap();
        let header = |name| {
            let value = response.headers().get(name);
            value.map_or("-", |value| value.to_str().unwrap()).to_owned()
        };
        let head = format!(
            "{} outcome {} reason {} request {}",
            response.status().as_u16(),
            header("oleanderstage-outcome"),
            header("oleanderstage-reason"),
            header("oleanderstage-request"),
        );
        format!("{head} body {:?}", response.text().await.unwrap())
    }

    fn push_line(&mut self, line: &str) {
        writeln!(self.text, "{line}").unwrap();
    }

    fn push_report(&mut self, report: &Report) {
        let over = report.over.iter().map(|over| format!(" {}:{:?}", over.run.attempt.0, over.end));
        let over: String = over.collect();
        let line = format!("epoch {} running {} over{over}", report.epoch.0, report.running.len());
        self.push_line(&line);
    }

    fn push_summary(&mut self) {
        let summary: Summary = self.worker.ledger().summary();
        self.push_line(&format!("{summary:#?}"));
    }
}

fn cell() -> cell::Id {
    "zone-1.0".parse().unwrap()
}

fn name(text: &str) -> Name {
    text.try_into().unwrap()
}

fn resources(processors_milli: u64) -> Resources {
    Resources { accelerators: 0, memory_mib: 1_024, processors_milli }
}

fn run(attempt: u32) -> Run {
    let job = job::Id { cell: cell(), serial: 7 };
    Run { attempt: task::Attempt(attempt), task: task::Id { index: 0, job } }
}

fn start(attempt: u32, run_ms: u64, lease_ms: u64) -> Command {
    Command::Start {
        checkpoint: None,
        class: name("render"),
        lease_ms,
        payload: String::new(),
        resources: resources(3_000),
        run: run(attempt),
        run_ms,
    }
}

#[tokio::test]
async fn runs_end_as_commanded() {
    let mut bench = Bench::start(8, 64).await;
    bench.send(1, &[start(1, 600_000_000, 600_000)]).await;
    bench.send(1, &[start(2, 1, 600_000)]).await;
    bench.send(1, &[Command::Checkpoint { run: run(1) }]).await;
    bench.send(1, &[1, 2].map(|attempt| Command::Acknowledge { run: run(attempt) })).await;
    bench.send(1, &[start(3, 600_000, 600_000), Command::Stop { run: run(3) }]).await;
    bench.send(1, &[start(4, 600_000, 1)]).await;
    bench.wait_until_idle().await;
    bench.send(1, &[start(5, 1, 600_000)]).await;
    bench.wait_until_idle().await;
    bench.worker.set_fault(Fault::FailEverything);
    bench.send(1, &[start(6, 600_000, 600_000)]).await;
    bench.wait_until_idle().await;
    bench.push_summary();
    insta::assert_snapshot!(bench.text);
}

#[tokio::test]
async fn a_stale_epoch_does_nothing() {
    let mut bench = Bench::start(8, 64).await;
    bench.send(2, &[]).await;
    bench.send(1, &[start(1, 600_000, 600_000)]).await;
    bench.send(2, &[start(2, 600_000, 600_000)]).await;
    bench.send(3, &[]).await;
    bench.send(2, &[Command::Stop { run: run(2) }]).await;
    bench.send(3, &[]).await;
    insta::assert_snapshot!(bench.text);
}

#[tokio::test]
async fn late_commands_are_ignored() {
    let mut bench = Bench::start(8, 64).await;
    let report = bench.client.report(bench.worker.address(), &cell(), TIMEOUT).await.unwrap();
    let Report { clock_ms, incarnation, .. } = report;
    let commands = [start(1, 600_000, 600_000)];
    tokio::time::sleep(Duration::from_millis(5)).await;
    bench.send_with_validity(1, &commands, Validity { incarnation, until_ms: clock_ms }).await;
    let other = Validity { incarnation: incarnation + 1, until_ms: u64::MAX };
    bench.send_with_validity(2, &commands, other).await;
    bench.send_with_validity(2, &commands, Validity { incarnation, until_ms: u64::MAX }).await;
    insta::assert_snapshot!(bench.text);
}

#[tokio::test]
async fn a_guard_refuses_beyond_the_slots() {
    let mut bench = Bench::start(1, 64).await;
    let (first, second) =
        tokio::join!(bench.request("bulletin/stitch?work_ms=3000", "r-1"), async {
            while bench.worker.is_idle() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            bench.request("bulletin/stitch", "r-2").await
        });
    let third = bench.request("unhosted/x", "r-3").await;
    let fourth = bench.request("bulletin/stitch?work_ms=0", "r-4").await;
    for answer in [first, second, third, fourth] {
        bench.push_line(&answer);
    }
    bench.push_summary();
    insta::assert_snapshot!(bench.text);
}

#[tokio::test]
async fn a_guard_refuses_beyond_the_connections() {
    let mut bench = Bench::start(8, 1).await;
    let first_connection = tokio::net::TcpStream::connect(bench.worker.address()).await.unwrap();
    let refused = bench.request("bulletin/stitch", "r-1").await;
    drop(first_connection);
    let answered = loop {
        let answer = bench.request("bulletin/stitch", "r-2").await;
        if answer.starts_with("200") {
            break answer;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    bench.push_line(&refused);
    bench.push_line(&answered);
    insta::assert_snapshot!(bench.text);
}

#[tokio::test]
async fn an_open_connection_goes_silent_for_good() {
    let bench = Bench::start(8, 64).await;
    let (address, cell) = (bench.worker.address(), cell());
    bench.client.report(address, &cell, TIMEOUT).await.unwrap();
    bench.worker.set_fault(Fault::Silence);
    let timeout = Duration::from_millis(500);
    let error = bench.client.report(address, &cell, timeout).await.unwrap_err();
    assert!(error.to_string().contains("cannot fetch a report"), "{error}");
    bench.client.report(address, &cell, TIMEOUT).await.unwrap();
}

#[tokio::test]
async fn a_frozen_worker_keeps_its_leases() {
    let mut bench = Bench::start(8, 64).await;
    bench.send(1, &[start(1, 600_000, 300)]).await;
    bench.worker.set_fault(Fault::Freeze);
    tokio::time::sleep(Duration::from_millis(600)).await;
    bench.worker.set_fault(Fault::None);
    bench.wait_until_idle().await;
    let record = bench.worker.ledger().record();
    let duration_us = record.runs[0].end_us.unwrap() - record.runs[0].start_us;
    bench.push_line(&format!("ran {} ms", duration_us / 1_000));
    insta::assert_snapshot!(bench.text);
}
