//! `kingcup load`: sends a mix of requests and reports what the callers received.

use std::io::{IsTerminal, stderr};
use std::path::PathBuf;
use std::time::Duration;

use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use kingcupfield::load::call::PlannedCall;
use kingcupfield::load::{Arrival, Arrivals, Caller, Mix, Report, plot, runner};
use pico_args::Arguments;

use crate::args;
use crate::error::CliError;
use crate::output::{self, Form};

const DEFAULT_SEED: u64 = 1;
const REDRAWS_PER_SECOND: u8 = 5;

/// What the command line says.
#[derive(Debug)]
struct Options {
    mix: Mix,
    seed: u64,
    svg: Option<PathBuf>,
    addresses: Vec<String>,
}

/// Runs the load and prints its report.
pub fn run(args: Arguments, form: Form) -> Result<(), CliError> {
    let options = options(args)?;
    let report = crate::runtime()?.block_on(send(&options));
    if let Some(path) = &options.svg {
        plot::plot(&report, path)?;
    }
    output::print(form, &report, Report::text)
}

fn options(mut args: Arguments) -> Result<Options, CliError> {
    let rate: Option<f64> = args.opt_value_from_str("--rate")?;
    let seconds: Option<f64> = args.opt_value_from_str("--seconds")?;
    let seed = args.opt_value_from_str("--seed")?.unwrap_or(DEFAULT_SEED);
    let path = |s: &std::ffi::OsStr| Ok::<_, String>(PathBuf::from(s));
    let svg = args.opt_value_from_os_str("--svg", path)?;
    let mix = args.opt_value_from_os_str("--mix", path)?;
    let mix = mix.ok_or_else(|| CliError::Usage("--mix FILE is missing".to_owned()))?;
    let mix = with_phase(Mix::read(&mix)?, rate, seconds)?;
    let addresses = args::addresses(args, "the address of an instance for callers")?;
    Ok(Options {
        mix,
        seed,
        svg,
        addresses,
    })
}

fn with_phase(mix: Mix, rate: Option<f64>, seconds: Option<f64>) -> Result<Mix, CliError> {
    let (Some(rate), Some(seconds)) = (rate, seconds) else {
        if rate.is_some() || seconds.is_some() {
            let message = "--rate and --seconds go together and replace the phases of the mix";
            return Err(CliError::Usage(message.to_owned()));
        }
        return Ok(mix);
    };
    let length = Duration::try_from_secs_f64(seconds)
        .map_err(|e| CliError::Usage(format!("--seconds {seconds}: {e}")))?;
    let mix = mix.with_phase(rate, length);
    match mix.fault() {
        None => Ok(mix),
        Some(reason) => Err(CliError::Usage(reason)),
    }
}

async fn send(options: &Options) -> Report {
    let caller = Caller::new(options.addresses.clone());
    let seed = options.seed;
    let planned = Arrivals::new(&options.mix, seed).count() as u64;
    let bar = progress_bar(planned);
    let arrivals = Arrivals::new(&options.mix, seed);
    let call = |arrival: &Arrival<'_>, at| {
        let (caller, call) = (caller.clone(), PlannedCall::new(arrival, seed));
        async move { caller.call(call, at).await }
    };
    let tally = runner::run(arrivals, call, |sent, ended| {
        bar.set_position(ended);
        bar.set_message(format!("{} in flight", sent - ended));
    })
    .await;
    bar.finish_and_clear();
    Report::new(&tally, seed)
}

fn progress_bar(planned: u64) -> ProgressBar {
    let target = if stderr().is_terminal() {
        ProgressDrawTarget::stderr_with_hz(REDRAWS_PER_SECOND)
    } else {
        ProgressDrawTarget::hidden()
    };
    let bar = ProgressBar::with_draw_target(Some(planned), target);
    let style = ProgressStyle::with_template("{elapsed_precise} {bar:40} {pos}/{len} {msg}");
    match style {
        Ok(style) => bar.with_style(style),
        Err(_) => bar,
    }
}
