//! Tests of the Python package: the output of the examples, and the errors for mistakes.

#![allow(clippy::unwrap_used)]

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize().unwrap()
}

fn python(arguments: &[&str]) -> Output {
    Command::new("python3")
        .args(arguments)
        .current_dir(root())
        .env("PYTHONPATH", "python")
        .env("PYTHONDONTWRITEBYTECODE", "1")
        .output()
        .unwrap()
}

#[test]
fn the_examples_print_the_stored_output_and_pass_the_check() {
    for name in ["umuyoboro", "fyrtarn"] {
        let output = python(&[&format!("examples/{name}.py")]);
        let path = format!("examples/{name}.json");
        let expected = fs::read_to_string(root().join(&path)).unwrap();
        assert_eq!(String::from_utf8(output.stdout).unwrap(), expected);
        let check = Command::new(env!("CARGO_BIN_EXE_oleanderstage"))
            .args(["check", &path])
            .current_dir(root())
            .output()
            .unwrap();
        assert!(check.status.success(), "{}", String::from_utf8_lossy(&check.stderr));
    }
}

#[test]
fn a_mistake_is_reported_at_the_call_that_makes_it() {
    let output = python(&["crates/cli/tests/mistakes.py"]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    insta::with_settings!({ omit_expression => true }, {
        insta::assert_snapshot!(String::from_utf8(output.stdout).unwrap());
    });
}
