//! Faults of settings and configurations, as they are reported.

#![allow(clippy::unwrap_used)]

use {
    miette::{Diagnostic, GraphicalReportHandler, GraphicalTheme},
    oleanderstage_settings::{Entry, Error, parse, parse_configuration},
    quickcheck::{Gen, QuickCheck},
};

macro_rules! assert_report {
    ($report:expr) => {
        insta::with_settings!({ omit_expression => true }, { insta::assert_snapshot!($report) })
    };
}

const VALID: &str = r#"// The bulletin service.
{
    "classes": [{ "name": "edition", "checkpoints": true }],
    "services": [{
        "name": "bulletin",
        "body_limit_bytes": 1000000,
        "caller_concurrency": 8,
        "deadline_ms": 2000,
        "idempotent": true,
        "objective": { "latency_ms": 400, "share": 0.999 }, /* of the hour */
        "reserve": { "processors_milli": 4000, "memory_mib": 8192 },
    }],
    "teams": [{ "name": "news", "quota": { "processors_milli": 64000, "memory_mib": 65536 } }],
    "vms": [{
        "name": "w-1",
        "address": "127.0.0.1:7001",
        "connections": 64,
        "rack": "r-1",
        "resources": { "processors_milli": 16000, "memory_mib": 65536 },
        "services": ["bulletin"],
        "slots": 8,
        "zone": "kigali-1",
    }],
}
"#;

fn render(error: &Error) -> String {
    let mut text = String::new();
    let handler = GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor());
    handler.with_width(100).render_report(&mut text, error as &dyn Diagnostic).unwrap();
    text
}

/// Returns the valid configuration with the only element of `list` repeated.
fn with_duplicate(list: &str) -> String {
    let start = VALID.find(&format!("\"{list}\": [{{")).unwrap() + list.len() + 5;
    let end = start + VALID[start..].find("}],").unwrap() + 1;
    format!("{},{}", &VALID[..end], &VALID[start..])
}

/// Returns the rendered error of an invalid configuration.
fn report(text: &str) -> String {
    render(&parse_configuration("config.jsonc", text).unwrap_err())
}

/// Returns the valid configuration with each `old` replaced by its `new`.
fn with_changes(changes: &[(&str, &str)]) -> String {
    changes.iter().fold(VALID.to_owned(), |text, (old, new)| {
        assert!(text.contains(old), "{old}");
        text.replacen(old, new, 1)
    })
}

#[test]
fn comments_and_trailing_commas_are_accepted() {
    let config = parse_configuration("config.jsonc", VALID).unwrap();
    assert_eq!(config.vms[0].services, [config.services[0].name.clone()]);
}

#[test]
fn every_fault_is_reported_at_once() {
    assert_report!(report(&with_changes(&[
        ("\"deadline_ms\": 2000", "\"deadline_s\": 2"),
        ("\"caller_concurrency\": 8", "\"caller_concurrency\": 0"),
        ("\"share\": 0.999", "\"share\": 1.0"),
        ("\"slots\": 8", "\"slots\": -8"),
        ("\"connections\": 64", "\"connections\": \"64\""),
        ("127.0.0.1:7001", "worker.example"),
        ("\"rack\": \"r-1\"", "\"rack\": \"R 1\""),
        ("[\"bulletin\"]", "[\"buletin\"]"),
    ])));
}

#[test]
fn contradictions_are_reported_with_their_values() {
    assert_report!(report(&with_changes(&[
        ("\"latency_ms\": 400", "\"latency_ms\": 4000"),
        ("\"processors_milli\": 4000", "\"processors_milli\": 40000"),
        ("\"processors_milli\": 64000", "\"processors_milli\": 0"),
    ])));
}

#[test]
fn names_and_addresses_are_unique() {
    assert_report!(report(&with_duplicate("services")));
    assert_report!(report(&with_duplicate("vms")));
}

#[test]
fn malformed_files_are_reported_with_their_place() {
    assert_report!(report(""));
    assert_report!(report("// nothing but a comment\n"));
    assert_report!(report(&with_changes(&[("\"idempotent\": true,", "\"idempotent\": true")])));
    assert_report!(report("{ 'services': [] }"));
    assert_report!(report("[]"));
}

#[test]
fn a_configuration_above_the_value_limit_is_refused() {
    let vm =
        &VALID[VALID.find("{\n        \"name\": \"w-1\"").unwrap()..VALID.rfind("],").unwrap()];
    let vms: Vec<String> = (1..6_000)
        .map(|index| {
            vm.replace("w-1", &format!("w-{index}"))
                .replace(":7001", &format!(":{}", 10_000 + index))
        })
        .collect();
    let text = VALID.replace(vm, &vms.join(","));
    let error = parse_configuration("config.jsonc", &text).unwrap_err();
    let messages: Vec<_> = error.faults.iter().map(|fault| fault.message.clone()).collect();
    assert_report!(messages.join("\n"));
}

#[test]
fn settings_are_checked_like_the_configuration() {
    let text = r#"{
        "http": "127.0.0.1",
        "name": "entry-1",
        "peers": [{ "name": "entry-2", "address": "127.0.0.1:7102", "zone": "Kigali 2" }],
        "quic": "127.0.0.1:7001",
        "schedulers": [],
        "store": "127.0.0.1:2379",
        "tls": { "authority": "ca.pem", "certificate": "entry-1.pem", "secret": "entry-1.key" },
        "vm_list": "http://127.0.0.1:2380/vms",
    }"#;
    assert_report!(render(&parse::<Entry>("entry.jsonc", text).unwrap_err()));
}

#[test]
fn any_damage_is_reported_with_a_place_in_the_file() {
    fn holds(damages: Vec<(usize, Option<char>)>) -> bool {
        let mut chars: Vec<char> = VALID.chars().collect();
        for (place, insert) in damages {
            let place = place % chars.len();
            match insert {
                Some(new) => chars[place] = new,
                None => drop(chars.remove(place)),
            }
        }
        let text: String = chars.into_iter().collect();
        let Err(error) = parse_configuration("config.jsonc", &text) else { return true };
        let inside = |span: &miette::SourceSpan| span.offset() + span.len() <= text.len().max(1);
        !error.faults.is_empty() && error.faults.iter().all(|fault| inside(&fault.span))
    }
    let random = Gen::from_size_and_seed(12, 20_261_203);
    let holds = holds as fn(Vec<(usize, Option<char>)>) -> bool;
    QuickCheck::new().rng(random).tests(5_000).quickcheck(holds);
}
