//! Reading a file of settings.

use super::*;

/// Reads the settings at `path`: JSON with comments and trailing commas.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<T, Box<Error>> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|error| {
        Box::new(Error {
            help: "name a readable file of settings with `--settings`".into(),
            message: format!("cannot read `{name}`: {error}"),
            source: NamedSource::new(&name, String::new()),
            span: None,
        })
    })?;
    jsonc_parser::parse_to_serde_value(&text, &Default::default()).map_err(|error| {
        Box::new(Error {
            help: "see docs/operators/settings.md for each setting".into(),
            message: error.to_string(),
            source: NamedSource::new(&name, text.clone()),
            span: None,
        })
    })
}
