//! Syntax of a file: JSON with comments and trailing commas, without any other extension.

use super::*;

/// Parses `text` of the file `name` into a syntax tree with source ranges.
pub(crate) fn parse<'a>(name: &str, text: &'a str) -> Result<Value<'a>, Box<Error>> {
    let fail = |fault| Box::new(Error::new(name, text, vec![fault]));
    let parsed = parse_to_ast(text, &CollectOptions::default(), &options()).map_err(|error| {
        let help = "write JSON; comments and trailing commas are allowed";
        fail(Fault::new(&error.range(), error.kind().to_string(), help))
    })?;
    parsed.value.ok_or_else(|| {
        let help = "write an object, `{ ... }`; docs/operators has an example";
        fail(Fault::new(&Range::new(0, 0), format!("`{name}` is empty"), help))
    })
}

/// Decodes the tree into `T`. Fails with `faults` if there are any.
pub(crate) fn decode<T: DeserializeOwned>(
    name: &str,
    text: &str,
    value: Value,
    mut faults: Vec<Fault>,
) -> Result<T, Box<Error>> {
    let range = value.range();
    if faults.is_empty() {
        match serde_json::from_value(value.into()) {
            Ok(decoded) => return Ok(decoded),
            Err(error) => {
                let help = "see `oleanderstage schema` for what is expected";
                faults.push(Fault::new(&range, error.to_string(), help));
            }
        }
    }
    Err(Box::new(Error::new(name, text, faults)))
}

fn options() -> ParseOptions {
    ParseOptions {
        allow_bare_decimal_point_numbers: false,
        allow_comments: true,
        allow_extended_string_escapes: false,
        allow_hexadecimal_numbers: false,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_non_finite_numbers: false,
        allow_single_quoted_strings: false,
        allow_trailing_commas: true,
        allow_unary_plus_numbers: false,
    }
}
