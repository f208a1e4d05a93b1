//! Command line of a program that runs until it is stopped.

use super::*;

/// Parses the arguments `given`, the first of which is the program's name; if there are none,
/// `name` is used. Prints the help and returns `None` if only help was requested.
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
