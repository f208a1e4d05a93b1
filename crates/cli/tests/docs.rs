//! Compares the operators' pages with the code.

#![allow(clippy::unwrap_used)]

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize().unwrap()
}

/// Returns the log events of the library in `crates/{library}`.
fn library_events(library: &str) -> Vec<String> {
    sources(&format!("crates/{library}/src")).iter().flat_map(|text| logged_in(text)).collect()
}

/// Returns the texts of the sources in a folder.
fn sources(folder: &str) -> Vec<String> {
    let files = fs::read_dir(root().join(folder)).unwrap().map(|entry| entry.unwrap().path());
    files.map(|path| fs::read_to_string(path).unwrap()).collect()
}

/// Returns the log events in the text of a source.
fn logged_in(text: &str) -> Vec<String> {
    let text: String = text.lines().map(str::trim).collect();
    text.split("log::").skip(1).filter_map(event_name).collect()
}

/// Returns the log events of a cell's decisions. The node logs them all with the message `{name}`.
fn decision_events() -> Vec<String> {
    let text = fs::read_to_string(root().join("crates/node/src/meter.rs")).unwrap();
    let (_, body) = text.split_once("let name = match report").unwrap();
    let (body, _) = body.split_once("};").unwrap();
    body.split('"')
        .skip(1)
        .step_by(2)
        .filter(|word| word.contains('_') || *word == "pace")
        .map(str::to_owned)
        .collect()
}

/// Returns the event name, which is the message, of a call of a log macro.
fn event_name(call: &str) -> Option<String> {
    call.contains("!(").then_some(())?;
    let (before, _) = call.split_once("\")")?;
    let (_, name) = before.rsplit_once('"')?;
    Some(name.to_owned())
}

#[test]
fn every_log_event_is_on_the_page_and_the_page_has_no_other() {
    let mut logged: BTreeSet<String> =
        ["entry", "follow", "node", "scheduler"].into_iter().flat_map(library_events).collect();
    logged.extend(sources("platform/src").iter().flat_map(|text| logged_in(text)));
    logged.remove("{name}");
    logged.extend(decision_events());
    let page = fs::read_to_string(root().join("docs/operators/log-events.md")).unwrap();
    let first_column = |line: &str| line.split('|').nth(1).unwrap_or_default().to_owned();
    let event_cells: Vec<String> =
        page.lines().filter(|line| line.starts_with("| `")).map(first_column).collect();
    let listed: BTreeSet<String> = event_cells
        .iter()
        .flat_map(|cell| cell.split('`').skip(1).step_by(2))
        .map(str::to_owned)
        .collect();
    assert_eq!(logged, listed);
}

#[test]
fn links_between_pages_resolve() {
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
            assert!(
                folder.join(target).exists(),
                "`{page}` links to `{target}`, which does not exist"
            );
        }
    }
}
