//! The report as a table and as a page.

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

/// Three days of a service that is at its worst at the top of each sixth hour.
fn days() -> Report {
    let kept = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/umuyoboro.json");
    let config: Config = serde_json::from_str(&fs::read_to_string(kept).unwrap()).unwrap();
    let service = &config.services[0];
    let mut tally = Tally::default();
    let mut now = Instant::default();
    for minute in 0..72 * 60u64 {
        now = now + Duration::from_secs(60);
        let top = minute % 60 < 3;
        for request in 0..if top { 60 } else { 4 } {
            let spread = 12 + (minute * 7 + request * 13) % 80;
            let slow = if top && (minute + request) % 41 == 0 { 330 } else { 0 };
            let latency = Duration::from_millis(spread + slow);
            let vm = &config.vms[(request % 7) as usize].name;
            tally.count_answer(now, &service.name, Some(vm), latency, &service.objective);
        }
        if top && minute % 360 < 3 {
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
        insta::assert_snapshot!(report::table(&days()));
    });
}

#[test]
fn the_page_needs_nothing_else() {
    let page = html::page(&days());
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
