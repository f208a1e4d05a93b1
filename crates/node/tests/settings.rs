//! The command line's check of a settings file.

use std::{fs, path::PathBuf, process::Command};

/// Checks a settings file and returns whether the program accepts it, with its output.
fn check(name: &str, text: &str) -> (bool, String) {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("a file");
    let output = Command::new(env!("CARGO_BIN_EXE_oleanderstage-node"))
        .args(["--check", "--settings"])
        .arg(&path)
        .output()
        .expect("a run");
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&text).into_owned())
}

#[test]
fn valid_settings_pass_the_check() {
    let text = "node_name=a\nzone=z\nip=127.0.0.1\nlisten.front=127.0.0.1:1\n\
                listen.ready=127.0.0.1:2\nplatform.address=127.0.0.1:3\n\
                platform.ttl_min_ms=1000\nlimits.cpu_share=0.1\nlimits.cores=1\n\
                bounds.hold_max_ms=6000\nbounds.stop_timeout_ms=400\n\
                bounds.gang_timeout_ms=3000\nbounds.grace_s=6\nbounds.drain_ms=2000\nheartbeat_ms=1500\n";
    let (valid, text) = check("good.conf", text);
    assert!(valid, "{text}");
    assert!(text.contains("is in order"), "{text}");
}

#[test]
fn all_faults_are_reported_together() {
    let (valid, text) = check("bad.conf", "zone=z\nip=nowhere\n");
    assert!(!valid);
    assert!(text.contains("`node_name` is missing"), "{text}");
    assert!(text.contains("`ip` is `nowhere`"), "{text}");
}
