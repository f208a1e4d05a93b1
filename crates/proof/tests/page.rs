//! Checks that `docs/PROOFS.md` names only tests that exist.

#![allow(clippy::unwrap_used)]

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

/// Shorter words in backticks are not taken as names of tests.
const MIN_NAME_BYTES: usize = 20;

/// Returns the test files of all crates in `folder`.
fn test_files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let crates = entries.map(|path| path.join("tests")).filter(|path| path.is_dir());
    crates
        .flat_map(|path| fs::read_dir(path).unwrap().map(|entry| entry.unwrap().path()))
        .filter(|path| path.extension().is_some_and(|extension| extension == "rs"))
        .collect()
}

fn is_test_name(word: &str) -> bool {
    word.len() >= MIN_NAME_BYTES
        && word.bytes().all(|b| b.is_ascii_lowercase() || b"_0123456789".contains(&b))
}

#[test]
fn every_test_that_the_page_of_proofs_names_exists() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = fs::read_to_string(root.join("docs/PROOFS.md")).unwrap();
    let named: BTreeSet<&str> =
        page.split('`').skip(1).step_by(2).filter(|w| is_test_name(w)).collect();
    let code: String = test_files(&root.join("crates"))
        .iter()
        .map(|path| fs::read_to_string(path).unwrap())
        .collect();
    let missing: Vec<&&str> =
        named.iter().filter(|name| !code.contains(&format!("fn {name}("))).collect();
    assert!(named.len() > 50, "{} names", named.len());
    assert!(missing.is_empty(), "{missing:?}");
}
