//! Starts the program.

fn main() -> miette::Result<()> {
    oleanderstage_soak::main()
}
