//! Output to stdout for people or, with `--json`, for programs.

use std::io::{ErrorKind, Write, stdout};

use serde::Serialize;

use crate::error::CliError;

/// For whom the output is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// Aligned text.
    People,
    /// JSON.
    Programs,
}

/// Prints `value` as JSON, or the text that `people` makes of it.
pub fn print<T, F>(form: Form, value: &T, people: F) -> Result<(), CliError>
where
    T: Serialize,
    F: FnOnce(&T) -> String,
{
    match form {
        Form::People => text(&people(value)),
        Form::Programs => {
            let json =
                serde_json::to_string_pretty(value).map_err(|e| CliError::Form(e.to_string()))?;
            text(&format!("{json}\n"))
        }
    }
}

/// Prints `text` as it is.
pub fn text(text: &str) -> Result<(), CliError> {
    let mut out = stdout().lock();
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        // The reader, for example `head`, has seen enough; that is no failure.
        Err(e) if e.kind() == ErrorKind::BrokenPipe => Ok(()),
        done => Ok(done?),
    }
}
