//! Reads and checks settings. Each is a flag of the command line and an environment variable.

use std::fmt;
use std::str::FromStr;

use clap::{Arg, ArgMatches};
use thiserror::Error;

/// Exit code of a process that got a setting that is not allowed.
pub const INVALID_SETTING_EXIT_CODE: i32 = 2;

/// A setting that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("setting --{name} is `{value}`; allowed is {allowed}")]
pub struct Error {
    /// Name of the flag, without dashes.
    pub name: String,
    /// The value that was given.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl Error {
    /// Creates the error for a value of a setting.
    pub fn new(name: &str, value: impl fmt::Display, allowed: impl Into<String>) -> Self {
        Self {
            name: name.to_owned(),
            value: value.to_string(),
            allowed: allowed.into(),
        }
    }
}

/// Creates a flag that can also be set by an environment variable: `IBISSPOOL_` and the flag's name
/// in capitals, with underscores for hyphens.
pub fn setting_flag(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    let variable = format!("IBISSPOOL_{}", name.to_uppercase().replace('-', "_"));
    Arg::new(name)
        .long(name)
        .env(variable)
        .value_name(value)
        .help(help)
}

/// Parses a setting that has a default or is required. `allowed` describes the allowed values in
/// the error.
///
/// # Errors
/// Fails if the value cannot be parsed as the type.
pub fn read_setting<T>(matches: &ArgMatches, name: &str, allowed: &str) -> Result<T, Error>
where
    T: FromStr,
{
    let text = matches.get_one::<String>(name).map_or("", String::as_str);
    text.parse()
        .map_err(|_error| Error::new(name, text, allowed))
}

/// Parses a whole number and checks that it lies from `min` to `max`, both included.
///
/// # Errors
/// Fails if the value is not a whole number or is out of range.
pub fn read_setting_in_range(
    matches: &ArgMatches,
    name: &str,
    min: u64,
    max: u64,
) -> Result<u64, Error> {
    let allowed = format!("a whole number from {min} to {max}");
    let value = read_setting::<u64>(matches, name, &allowed)?;
    if (min..=max).contains(&value) {
        return Ok(value);
    }
    Err(Error::new(name, value, allowed))
}

/// Parses a whole number of at most `max` that may be absent: `None` if it is 0, empty or not given.
/// Platforms leave a setting without a value empty.
///
/// # Errors
/// Fails if the value is not a whole number or is above `max`.
pub fn read_optional_in_range(
    matches: &ArgMatches,
    name: &str,
    max: u64,
) -> Result<Option<u64>, Error> {
    if matches.get_one::<String>(name).is_none_or(String::is_empty) {
        return Ok(None);
    }
    let value = read_setting_in_range(matches, name, 0, max)?;
    Ok((value > 0).then_some(value))
}

/// Reads a name of 1 to 64 ASCII letters, digits, dots and hyphens.
///
/// # Errors
/// Fails if the name is empty, longer or has other characters.
pub fn read_name(matches: &ArgMatches, flag: &str) -> Result<String, Error> {
    const ALLOWED: &str = "1 to 64 letters, digits, dots or hyphens";
    let name = read_setting::<String>(matches, flag, ALLOWED)?;
    let is_valid = (1..=64).contains(&name.len())
        && name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b == b'.' || b == b'-');
    if is_valid {
        Ok(name)
    } else {
        Err(Error::new(flag, name, ALLOWED))
    }
}
