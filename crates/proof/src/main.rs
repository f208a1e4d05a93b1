//! Plays any one program of the system, for the proofs of this crate.

fn main() -> miette::Result<()> {
    oleanderstage_proof::run(std::env::args())
}
