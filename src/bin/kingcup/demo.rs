//! `kingcup demo`: a whole fleet in this process under a mixed load.

use std::str::FromStr;

use kingcupfield::demo::{self, DemoConfig, Firm, Report};
use pico_args::Arguments;

use crate::args;
use crate::error::CliError;
use crate::output::{self, Form};

/// Runs the demonstration; a broken promise is a failure.
pub fn run(mut args: Arguments, form: Form) -> Result<(), CliError> {
    let seed = args.opt_value_from_str("--seed")?;
    let chosen = args.opt_free_from_fn(Firm::from_str)?;
    args::finish(args)?;
    let mut cfg = DemoConfig::new(chosen.unwrap_or(Firm::Harrowgate)).with_progress();
    if let Some(seed) = seed {
        cfg = cfg.with_seed(seed);
    }
    let report = crate::runtime()?.block_on(demo::run(cfg))?;
    output::print(form, &report, Report::to_string)?;
    if report.broke_a_promise() {
        return Err(CliError::PromiseBroken);
    }
    Ok(())
}
