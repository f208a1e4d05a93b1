//! What is wrong in a file, told whole.

#![allow(clippy::unwrap_used)]

use {
    miette::{Diagnostic, GraphicalReportHandler, GraphicalTheme},
    oleanderstage_settings::{Entry, Error, configuration, parse},
    quickcheck::{Gen, QuickCheck},
};

macro_rules! assert_told {
    ($told:expr) => {
        insta::with_settings!({ omit_expression => true }, { insta::assert_snapshot!($told) })
    };
}

const GOOD: &str = r#"// The bulletin service.
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

/// Returns the good configuration with the only element of `list` given twice.
fn double(list: &str) -> String {
    let start = GOOD.find(&format!("\"{list}\": [{{")).unwrap() + list.len() + 5;
    let end = start + GOOD[start..].find("}],").unwrap() + 1;
    format!("{},{}", &GOOD[..end], &GOOD[start..])
}

fn told(text: &str) -> String {
    render(&configuration("config.jsonc", text).unwrap_err())
}

/// Returns the good configuration with each `old` replaced by its `new`.
fn with(changes: &[(&str, &str)]) -> String {
    changes.iter().fold(GOOD.to_owned(), |text, (old, new)| {
        assert!(text.contains(old), "{old}");
        text.replacen(old, new, 1)
    })
}

#[test]
fn comments_and_trailing_commas_are_taken() {
    let config = configuration("config.jsonc", GOOD).unwrap();
    assert_eq!(config.vms[0].services, [config.services[0].name.clone()]);
}

#[test]
fn every_fault_is_told_at_once() {
    assert_told!(told(&with(&[
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
fn contradictions_are_told_with_their_figures() {
    assert_told!(told(&with(&[
        ("\"latency_ms\": 400", "\"latency_ms\": 4000"),
        ("\"processors_milli\": 4000", "\"processors_milli\": 40000"),
        ("\"processors_milli\": 64000", "\"processors_milli\": 0"),
    ])));
}

#[test]
fn names_and_addresses_are_unique() {
    assert_told!(told(&double("services")));
    assert_told!(told(&double("vms")));
}

#[test]
fn what_is_not_json_is_told_with_its_place() {
    assert_told!(told(""));
    assert_told!(told("// nothing but a comment\n"));
    assert_told!(told(&with(&[("\"idempotent\": true,", "\"idempotent\": true")])));
    assert_told!(told("{ 'services': [] }"));
    assert_told!(told("[]"));
}

#[test]
fn a_configuration_above_the_value_limit_is_refused() {
    let vm = &GOOD[GOOD.find("{\n        \"name\": \"w-1\"").unwrap()..GOOD.rfind("],").unwrap()];
    let vms: Vec<String> = (1..6_000)
        .map(|index| {
            vm.replace("w-1", &format!("w-{index}"))
                .replace(":7001", &format!(":{}", 10_000 + index))
        })
        .collect();
    let text = GOOD.replace(vm, &vms.join(","));
    let error = configuration("config.jsonc", &text).unwrap_err();
    let messages: Vec<_> = error.faults.iter().map(|fault| fault.message.clone()).collect();
    assert_told!(messages.join("\n"));
}

#[test]
fn settings_are_checked_alike() {
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
    assert_told!(render(&parse::<Entry>("entry.jsonc", text).unwrap_err()));
}

#[test]
fn any_damage_is_told_with_a_place_in_the_file() {
    fn holds(damages: Vec<(usize, Option<char>)>) -> bool {
        let mut chars: Vec<char> = GOOD.chars().collect();
        for (place, insert) in damages {
            let place = place % chars.len();
            match insert {
                Some(new) => chars[place] = new,
                None => drop(chars.remove(place)),
            }
        }
        let text: String = chars.into_iter().collect();
        let Err(error) = configuration("config.jsonc", &text) else { return true };
        let inside = |span: &miette::SourceSpan| span.offset() + span.len() <= text.len().max(1);
        !error.faults.is_empty() && error.faults.iter().all(|fault| inside(&fault.span))
    }
    let random = Gen::from_size_and_seed(12, 20_261_203);
    let holds = holds as fn(Vec<(usize, Option<char>)>) -> bool;
    QuickCheck::new().rng(random).tests(5_000).quickcheck(holds);
}
