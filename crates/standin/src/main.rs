//! Starts the program.

fn main() -> miette::Result<()> {
    oleanderstage_standin::run(std::env::args())
}
