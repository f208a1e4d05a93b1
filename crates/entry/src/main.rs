//! Starts the entry.

fn main() -> std::process::ExitCode {
    oleanderstage_entry::run()
}
