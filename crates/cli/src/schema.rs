//! `oleanderstage schema`: the JSON schema of a configuration.

use super::*;

/// Print the JSON schema of a configuration, for libraries in other languages.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "schema")]
pub struct Options {}

/// Returns the schema.
pub fn run(_: &Options) -> Result<String, Error> {
    let schema = schemars::schema_for!(Config);
    Ok(format!("{:#}", schema.as_value()))
}
