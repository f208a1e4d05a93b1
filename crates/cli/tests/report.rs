//! Tests of the report as a table and as an HTML page.

#![allow(clippy::unwrap_used)]

use {
    oleanderstage::{html, report},
    oleanderstage_core::{
        Instant, Name,
        burn::{Cause, Report, Tally, report::Missing},
        config::Config,
    },
    std::{fs, path::Path, time::Duration},
};

/// Returns the report on three days of a service. It has more requests and slow answers in the
/// first three minutes of each hour, and refuses one in each of these minutes of every sixth hour.
/// The outcome of one request is unknown, and one of two entries is missing.
fn three_day_report() -> Report {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/umuyoboro.json");
    let config: Config = serde_json::from_str(&fs::read_to_string(path).unwrap()).unwrap();
    let service = &config.services[0];
    let mut tally = Tally::default();
    let mut now = Instant::default();
    for minute in 0..72 * 60u64 {
        now = now + Duration::from_secs(60);
        let peak = minute % 60 < 3;
        for request in 0..if peak { 60 } else { 4 } {
            let usual_ms = 12 + (minute * 7 + request * 13) % 80;
            let delay_ms = if peak && (minute + request) % 41 == 0 { 330 } else { 0 };
            let latency = Duration::from_millis(usual_ms + delay_ms);
            let vm = &config.vms[(request % 7) as usize].name;
            tally.count_answer(now, &service.name, Some(vm), latency, &service.objective);
        }
        if peak && minute % 360 < 3 {
            tally.count_request(now, &service.name, Cause::Overloaded);
        }
    }
    tally.count_request(now, &Name::try_from("bulletin").unwrap(), Cause::Unknown);
    let page = tally.page(now, &config.services);
    let reason = "cannot reach `http://10.0.1.7:8080/report`: <timed out>".into();
    let missing = Missing { entry: "http://10.0.1.7:8080".into(), reason };
    Report::merge(&[("http://10.0.1.1:8080".into(), page)], vec![missing])
}

#[test]
fn the_table_says_what_is_missing() {
    insta::with_settings!({ omit_expression => true }, {
        insta::assert_snapshot!(report::table(&three_day_report()));
    });
}

#[test]
fn the_page_is_self_contained() {
    let page = html::page(&three_day_report());
    fs::write(Path::new(env!("CARGO_TARGET_TMPDIR")).join("burn.html"), &page).unwrap();
    assert!(!page.contains("src=") && !page.contains("href=") && !page.contains("url("));
    insta::with_settings!({ omit_expression => true }, {
        insta::assert_snapshot!(page);
    });
}

#[test]
fn a_service_without_requests_is_shown_as_such() {
    let config: Config = serde_json::from_str(
        r#"{"services": [{"name":"publish","body_limit_bytes":1,"caller_concurrency":1,
        "deadline_ms":2000,"idempotent":false,"objective":{"latency_ms":400,"share":0.99},
        "reserve":{"processors_milli":1,"memory_mib":1}}]}"#,
    )
    .unwrap();
    let page = Tally::default().page(Instant::default(), &config.services);
    let report = Report::merge(&[("http://10.0.1.1:8080".into(), page)], vec![]);
    assert!(html::page(&report).contains("No answers yet."));
    insta::with_settings!({ omit_expression => true }, {
        insta::assert_snapshot!(report::table(&report));
    });
}
