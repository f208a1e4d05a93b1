//! Starts the program.

fn main() -> std::process::ExitCode {
    oleanderstage::run()
}
