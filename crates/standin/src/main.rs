//! The program `oleanderstage-standin`: key-value service, VM list and workers for tests.

fn main() -> miette::Result<()> {
    oleanderstage_standin::run(std::env::args())
}
