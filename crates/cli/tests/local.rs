//! Checks the settings under `examples/local`.

#![allow(clippy::unwrap_used)]

use {
    oleanderstage_settings::{Entry, Scheduler, read},
    std::path::{Path, PathBuf},
};

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/local").join(name)
}

#[test]
fn the_example_settings_are_valid_and_consistent() {
    let entry: Entry = read(&example("entry.jsonc")).unwrap();
    let scheduler: Scheduler = read(&example("scheduler.jsonc")).unwrap();
    let standin: oleanderstage_standin::settings::Settings =
        read(&example("standin.jsonc")).unwrap();
    let platform = standin.platform.unwrap();
    assert_eq!(entry.schedulers[0].address, scheduler.quic);
    assert_eq!(scheduler.entries[0].address, entry.quic);
    assert_eq!(entry.store, format!("http://{}", platform.address));
    assert_eq!(entry.store, scheduler.store);
    let vms: Vec<_> = standin.workers.into_iter().map(|worker| worker.vm.name).collect();
    assert_eq!(platform.vms, vms);
}
