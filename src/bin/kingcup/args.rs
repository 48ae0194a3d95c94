//! Small helpers over `pico-args` that turn leftovers into clear errors.

use std::ffi::OsStr;
use std::net::SocketAddr;
use std::path::PathBuf;

use pico_args::Arguments;

use crate::error::CliError;

/// Takes the next word as a path; `what` names it in the error.
pub fn path(args: &mut Arguments, what: &str) -> Result<PathBuf, CliError> {
    let take = args.opt_free_from_os_str(|s| Ok::<_, String>(PathBuf::from(s)))?;
    let path = take.ok_or_else(|| CliError::Usage(format!("{what} is missing")))?;
    refuse_option(path.as_os_str())?;
    Ok(path)
}

/// Takes the path that follows the option `name`, if it is there.
pub fn optional_path(
    args: &mut Arguments,
    name: &'static str,
) -> Result<Option<PathBuf>, CliError> {
    Ok(args.opt_value_from_os_str(name, |s| Ok::<_, String>(PathBuf::from(s)))?)
}

/// Takes the next word; `what` names it in the error.
pub fn word(args: &mut Arguments, what: &str) -> Result<String, CliError> {
    let word = args.opt_free_from_str::<String>()?;
    let word = word.ok_or_else(|| CliError::Usage(format!("{what} is missing")))?;
    refuse_option(OsStr::new(&word))?;
    Ok(word)
}

/// Ends the command line: anything left is unknown.
pub fn finish(args: Arguments) -> Result<(), CliError> {
    match args.finish().into_iter().next() {
        None => Ok(()),
        Some(word) => Err(unknown(&word)),
    }
}

fn refuse_option(word: &OsStr) -> Result<(), CliError> {
    if word.to_string_lossy().starts_with('-') {
        return Err(unknown(word));
    }
    Ok(())
}

fn unknown(word: &OsStr) -> CliError {
    CliError::Usage(format!("unknown argument {:?}", word.to_string_lossy()))
}

/// Takes the rest of the command line as one or more addresses `IP:port`.
pub fn addresses(mut args: Arguments, what: &str) -> Result<Vec<String>, CliError> {
    let mut addresses = Vec::new();
    while let Some(address) = optional_address(&mut args)? {
        addresses.push(address);
    }
    finish(args)?;
    if addresses.is_empty() {
        return Err(CliError::Usage(format!("{what} is missing")));
    }
    Ok(addresses)
}

/// Takes the rest of the command line as one address `IP:port`.
pub fn address(mut args: Arguments, what: &str) -> Result<String, CliError> {
    let address = optional_address(&mut args)?;
    finish(args)?;
    address.ok_or_else(|| CliError::Usage(format!("{what} is missing")))
}

fn optional_address(args: &mut Arguments) -> Result<Option<String>, CliError> {
    let Some(word) = args.opt_free_from_str::<String>()? else {
        return Ok(None);
    };
    refuse_option(OsStr::new(&word))?;
    match word.parse::<SocketAddr>() {
        Ok(_) => Ok(Some(word)),
        Err(_) => Err(CliError::Usage(format!("{word:?} is no address IP:port"))),
    }
}
