//! The entry point of the program.

fn main() -> miette::Result<()> {
    oleanderstage_node::run(std::env::args())
}
