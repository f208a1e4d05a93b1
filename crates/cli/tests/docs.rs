//! The operators' pages against the code.

#![allow(clippy::unwrap_used)]

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize().unwrap()
}

/// Returns the events that the sources of `library` log.
fn events(library: &str) -> Vec<String> {
    let folder = root().join("crates").join(library).join("src");
    let files = fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let texts = files.map(|path| fs::read_to_string(path).unwrap());
    texts
        .flat_map(|text| text.split("log::").skip(1).filter_map(event).collect::<Vec<_>>())
        .collect()
}

/// Returns the message of a call of a log macro.
fn event(call: &str) -> Option<String> {
    call.contains("!(").then_some(())?;
    let (before, _) = call.split_once("\")")?;
    let (_, name) = before.rsplit_once('"')?;
    Some(name.to_owned())
}

#[test]
fn every_log_event_is_on_the_page_and_the_page_has_no_other() {
    let logged: BTreeSet<String> =
        ["entry", "follow", "scheduler"].into_iter().flat_map(events).collect();
    let page = fs::read_to_string(root().join("docs/operators/log-events.md")).unwrap();
    let first = |line: &str| line.split('|').nth(1).unwrap_or_default().to_owned();
    let cells: Vec<String> =
        page.lines().filter(|line| line.starts_with("| `")).map(first).collect();
    let listed: BTreeSet<String> = cells
        .iter()
        .flat_map(|cell| cell.split('`').skip(1).step_by(2))
        .map(str::to_owned)
        .collect();
    assert_eq!(logged, listed);
}

#[test]
fn links_between_pages_lead_somewhere() {
    let folder = root().join("docs/operators");
    for page in [
        "README.md",
        "install-and-settings.md",
        "first-configuration.md",
        "report.md",
        "log-events.md",
    ] {
        let text = fs::read_to_string(folder.join(page)).unwrap();
        for target in text.split("](").skip(1).filter_map(|rest| rest.split(')').next()) {
            assert!(folder.join(target).exists(), "`{page}` links to `{target}`");
        }
    }
}
