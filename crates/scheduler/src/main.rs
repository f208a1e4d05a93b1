//! Starts the program.

fn main() -> miette::Result<()> {
    oleanderstage_scheduler::run(std::env::args())
}
