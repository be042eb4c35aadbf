//! Checked settings: each is a flag and an environment variable.

use std::fmt;
use std::str::FromStr;

use clap::{Arg, ArgMatches};
use thiserror::Error;

/// Exit code for a setting that is not allowed.
pub const INVALID: i32 = 2;

/// A setting that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("setting --{name} is `{value}`; allowed is {allowed}")]
pub struct Error {
    /// Name of the flag.
    pub name: String,
    /// The value given.
    pub value: String,
    /// What is allowed.
    pub allowed: String,
}

impl Error {
    /// Makes the error for a value of a setting.
    pub fn new(name: &str, value: impl fmt::Display, allowed: impl Into<String>) -> Self {
        Self {
            name: name.to_owned(),
            value: value.to_string(),
            allowed: allowed.into(),
        }
    }
}

/// Makes a flag that is also the environment variable `IBISSPOOL_` with its name.
pub fn flag(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    let variable = format!("IBISSPOOL_{}", name.to_uppercase().replace('-', "_"));
    Arg::new(name)
        .long(name)
        .env(variable)
        .value_name(value)
        .help(help)
}

/// Reads a setting that has a default or is required.
///
/// # Errors
/// Fails if the value cannot be read as the type.
pub fn read<T>(matches: &ArgMatches, name: &str, allowed: &str) -> Result<T, Error>
where
    T: FromStr,
{
    let text = matches.get_one::<String>(name).map_or("", String::as_str);
    text.parse()
        .map_err(|_error| Error::new(name, text, allowed))
}

/// Reads a number and checks that it lies within bounds.
///
/// # Errors
/// Fails if the value is no number or lies outside.
pub fn read_within(matches: &ArgMatches, name: &str, least: u64, most: u64) -> Result<u64, Error> {
    let allowed = format!("a whole number from {least} to {most}");
    let value = read::<u64>(matches, name, &allowed)?;
    if (least..=most).contains(&value) {
        return Ok(value);
    }
    Err(Error::new(name, value, allowed))
}

/// Reads a name of letters, digits, dots and hyphens.
///
/// # Errors
/// Fails if the name is empty, too long or has other characters.
pub fn read_name(matches: &ArgMatches, flag: &str) -> Result<String, Error> {
    const ALLOWED: &str = "1 to 64 letters, digits, dots or hyphens";
    let name = read::<String>(matches, flag, ALLOWED)?;
    let fits = (1..=64).contains(&name.len())
        && name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b == b'.' || b == b'-');
    if fits {
        Ok(name)
    } else {
        Err(Error::new(flag, name, ALLOWED))
    }
}
