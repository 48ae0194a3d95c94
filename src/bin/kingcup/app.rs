//! Chooses the command.

use std::ffi::OsString;

use pico_args::Arguments;

use crate::error::CliError;
use crate::help::HELP;
use crate::output::{self, Form};
use crate::{args, demo, load, operate, table};

/// Runs the command that `words`, without the program's name, spell out.
pub fn run(words: Vec<OsString>) -> Result<(), CliError> {
    let mut args = Arguments::from_vec(words);
    if args.contains(["-h", "--help"]) {
        return output::text(HELP);
    }
    if args.contains(["-V", "--version"]) {
        return output::text(concat!("kingcup ", env!("CARGO_PKG_VERSION"), "\n"));
    }
    let form = if args.contains("--json") {
        Form::Programs
    } else {
        Form::People
    };
    match args.subcommand()?.as_deref() {
        Some("demo") => demo::run(args, form),
        Some("table") => table::run(args, form),
        Some("load") => load::run(args, form),
        Some("status") => operate::status(args, form),
        Some("dump") => operate::dump(args),
        Some("explain") => operate::explain(args, form),
        Some("drain") => operate::drain(args, form),
        Some(other) => Err(CliError::Usage(format!("unknown command {other:?}"))),
        None => {
            args::finish(args)?;
            Err(CliError::Usage("a command is missing".to_owned()))
        }
    }
}
