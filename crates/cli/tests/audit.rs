//! `oleanderstage audit`, its messages and its exit codes.

#![allow(clippy::unwrap_used)]

use {
    oleanderstage::audit::{self, Options},
    serde_json::{Value, json},
    std::{fs, path::PathBuf},
};

fn queue(name: &str, prefix: &str) -> Value {
    json!({
        "name": name, "host": "a.example", "prefix": prefix, "service": "desk", "priority": 0,
        "target_duration_ms": 300, "max_attempts": 3, "stretch": 1.5,
    })
}

fn config(version: u64, queues: &[Value]) -> Value {
    json!({
        "version": version, "routes": queues, "services": [{"name": "desk"}],
        "limits": {"max_body_bytes": 262_144},
    })
}

fn write(name: &str, value: &Value) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, value.to_string()).unwrap();
    path
}

/// Audits a file against one in force, and returns what is printed without the file's path.
fn audited(
    name: &str,
    value: &Value,
    in_force: Option<&Value>,
    json: bool,
) -> Result<String, String> {
    let file = write(&format!("audit-{name}.json"), value);
    let in_force = in_force.map(|value| write(&format!("audit-{name}-old.json"), value));
    let path = file.display().to_string();
    let result = audit::run(&Options { file, in_force, json });
    result.map_err(|error| error.to_string().replace(&path, "FILE"))
}

#[test]
fn a_sound_configuration_has_no_faults() {
    let sound = config(2, &[queue("q", "/q/"), queue("r", "/q/r/")]);
    assert_eq!(audited("sound", &sound, None, false).unwrap(), "no faults, no changes\n");
}

#[test]
fn each_fault_names_its_place_and_the_remedy() {
    let mut elsewhere = queue("elsewhere", "/e/");
    elsewhere["service"] = json!("desk-2");
    let mut slow = queue("slow", "/s/");
    slow["stretch"] = json!(0.5);
    slow["priority"] = json!(2);
    slow["target_duration_ms"] = json!(100);
    let queues = [
        queue("q", "/q/"),
        queue("hidden", "/q/"),
        queue("q", "/other/"),
        queue("pathless", "p/"),
        elsewhere,
        slow,
    ];
    let mut faulty = config(3, &queues);
    faulty["limits"]["max_body_bytes"] = json!(1_000);
    let in_force = config(3, &[queue("q", "/q/")]);
    insta::assert_snapshot!(audited("faulty", &faulty, Some(&in_force), false).unwrap_err());
}

#[test]
fn differences_from_the_version_in_force_are_listed() {
    let mut changed = queue("q", "/q/");
    changed["priority"] = json!(1);
    changed["stretch"] = json!(2.0);
    let new = config(9, &[changed, queue("new", "/n/")]);
    let old = config(4, &[queue("q", "/q/"), queue("old", "/o/")]);
    insta::assert_snapshot!(audited("changed", &new, Some(&old), false).unwrap());
    insta::assert_snapshot!(audited("changed-json", &new, Some(&old), true).unwrap());
}

#[test]
fn an_unreadable_file_is_an_error_with_its_line() {
    let missing = json!({"version": 1, "routes": [{"name": "q"}]});
    let error = audited("unreadable", &missing, None, false).unwrap_err();
    assert!(error.contains("line 1") && error.contains("prefix"), "{error}");
}
