//! Runs one of the system's programs, for the tests of this crate.

fn main() -> miette::Result<()> {
    oleanderstage_proof::run(std::env::args())
}
