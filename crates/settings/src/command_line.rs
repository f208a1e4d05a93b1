//! The command line of a program that does not end by itself.

use super::*;

/// Returns the program's arguments, of which the first is its name, or `name`; `None` when only help was
/// asked for, which is then printed.
pub fn arguments<T: FromArgs>(
    name: &str,
    given: impl Iterator<Item = String>,
) -> miette::Result<Option<T>> {
    let given: Vec<String> = given.collect();
    let texts: Vec<&str> = given.iter().map(String::as_str).collect();
    let (name, rest) = texts.split_first().unwrap_or((&name, &[]));
    match T::from_args(&[name], rest) {
        Ok(arguments) => Ok(Some(arguments)),
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            Ok(None)
        }
        Err(exit) => Err(miette::miette!("{}", exit.output.trim())),
    }
}
