//! Reads files of settings.

use super::*;

/// Reads the settings at `path`: JSON with comments and trailing commas. An error lists every fault
/// of the file.
pub fn read<T: DeserializeOwned + JsonSchema>(path: &Path) -> Result<T, Box<Error>> {
    let name = path.display().to_string();
    let text =
        fs::read_to_string(path).map_err(|cause| Box::new(Error::unreadable(&name, &cause)))?;
    parse(&name, &text)
}

/// Decodes the settings `text` of the file `name`, like `read`.
pub fn parse<T: DeserializeOwned + JsonSchema>(name: &str, text: &str) -> Result<T, Box<Error>> {
    let document = document::parse(name, text)?;
    let faults = schema::check(&document, &schemars::schema_for!(T));
    document::decode(name, text, document, faults)
}
