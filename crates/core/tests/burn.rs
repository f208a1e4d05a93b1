//! Service-level burn: counting at entries, merging of their pages, sliding windows.

#![allow(clippy::unwrap_used)]

use {
    oleanderstage_core::{
        Instant, Name,
        burn::{Cause, LONG, Page, Report, SHORT, Tally, report::Missing},
        config::Service,
    },
    std::time::Duration,
};

const MINUTE: Duration = Duration::from_secs(60);

fn service(share: f64) -> Service {
    let text = format!(
        r#"{{"name":"bulletin","body_limit_bytes":1,"caller_concurrency":1,"deadline_ms":2000,
        "idempotent":true,"objective":{{"latency_ms":400,"share":{share}}},
        "reserve":{{"processors_milli":1,"memory_mib":1}}}}"#
    );
    serde_json::from_str(&text).unwrap()
}

fn name() -> Name {
    Name::try_from("bulletin").unwrap()
}

/// One entry's tally and its clock.
struct Entry {
    now: Instant,
    tally: Tally,
}

impl Entry {
    fn new() -> Self {
        Self { now: Instant::default(), tally: Tally::default() }
    }

    fn answers(mut self, count: u64, milliseconds: u64) -> Self {
        let latency = Duration::from_millis(milliseconds);
        for _ in 0..count {
            let vm = Name::try_from("worker-1").unwrap();
            let objective = service(0.99).objective;
            self.tally.count_answer(self.now, &name(), Some(&vm), latency, &objective);
        }
        self
    }

    fn fails(mut self, count: u64, cause: Cause) -> Self {
        (0..count).for_each(|_| self.tally.count_request(self.now, &name(), cause));
        self
    }

    fn page(&self) -> Page {
        self.tally.page(self.now, [&service(0.99)])
    }

    fn wait(mut self, time: Duration) -> Self {
        self.now = self.now + time;
        self
    }
}

fn merge(entries: &[Entry]) -> Report {
    let page = |(index, entry): (usize, &Entry)| (format!("entry-{index}"), entry.page());
    let pages: Vec<_> = entries.iter().enumerate().map(page).collect();
    Report::merge(&pages, vec![])
}

#[test]
fn entries_are_merged_and_missing_ones_are_named() {
    let first = Entry::new().answers(900, 20).wait(MINUTE * 90).answers(80, 120).answers(5, 800);
    let second = Entry::new()
        .wait(MINUTE * 30)
        .answers(1_000, 30)
        .fails(12, Cause::Overloaded)
        .fails(3, Cause::Unknown);
    let pages = [("entry-1".into(), first.page()), ("entry-2".into(), second.page())];
    let missing = Missing { entry: "entry-3".into(), reason: "connection refused".into() };
    let report = Report::merge(&pages, vec![missing]);
    insta::with_settings!({ omit_expression => true }, {
        insta::assert_snapshot!(serde_json::to_string_pretty(&report).unwrap());
    });
}

#[test]
fn merging_is_as_exact_as_counting_in_one_place() {
    let whole = Entry::new().answers(70, 3).answers(50, 90).answers(9, 1_700).fails(2, Cause::Late);
    let parts = [
        Entry::new().answers(70, 3).answers(9, 1_700),
        Entry::new().answers(50, 90).fails(2, Cause::Late),
    ];
    assert_eq!(merge(&parts).services, merge(&[whole]).services);
}

#[test]
fn old_failures_leave_the_windows() {
    let mut entry = Entry::new().fails(5, Cause::Unknown);
    for (wait, short, long) in [
        (SHORT - MINUTE, 5, 5),
        (MINUTE * 2, 0, 5),
        (LONG - SHORT - MINUTE * 30, 0, 5),
        (MINUTE * 60, 0, 0),
    ] {
        entry = entry.wait(wait);
        let service = &merge(std::slice::from_ref(&entry)).services[0];
        assert_eq!((service.short.bad, service.long.bad), (short, long), "{:?}", entry.now);
    }
}

#[test]
fn the_budget_is_used_up_at_a_rate_of_one() {
    let service = &merge(&[Entry::new().answers(990, 20).fails(10, Cause::Unknown)]).services[0];
    assert!((service.long.burn_rate - 1.0).abs() < 1e-9);
    assert!(service.budget_left.abs() < 1e-9);
    let service = &merge(&[Entry::new()]).services[0];
    assert_eq!((service.long.burn_rate, service.budget_left), (0.0, 1.0));
}

#[test]
fn a_page_stays_small() {
    let mut entry = Entry::new();
    for step in 0..20_000u64 {
        entry = entry.wait(Duration::from_secs(15)).answers(1, step % 5_000);
    }
    let bytes = serde_json::to_string(&entry.page()).unwrap().len();
    assert!(bytes < 60_000, "{bytes} bytes");
}
