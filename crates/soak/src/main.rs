//! The program `oleanderstage-soak`.

fn main() -> miette::Result<()> {
    oleanderstage_soak::main()
}
