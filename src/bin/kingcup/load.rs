//! `kingcup load`: sends a mix of requests and reports outcomes and latencies.

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

/// Command-line options; `svg` is the path of the chart to write.
#[derive(Debug)]
struct Options {
    mix: Mix,
    seed: u64,
    svg: Option<PathBuf>,
    addresses: Vec<String>,
}

/// Sends the requests of the mix and prints the report.
pub fn run(args: Arguments, form: Form) -> Result<(), CliError> {
    let options = parse_options(args)?;
    let report = crate::runtime()?.block_on(send_mix(&options));
    if let Some(path) = &options.svg {
        plot::plot(&report, path)?;
    }
    output::print(form, &report, Report::text)
}

fn parse_options(mut args: Arguments) -> Result<Options, CliError> {
    let rate: Option<f64> = args.opt_value_from_str("--rate")?;
    let seconds: Option<f64> = args.opt_value_from_str("--seconds")?;
    let seed = args.opt_value_from_str("--seed")?.unwrap_or(DEFAULT_SEED);
    let parse_path = |s: &std::ffi::OsStr| Ok::<_, String>(PathBuf::from(s));
    let svg = args.opt_value_from_os_str("--svg", parse_path)?;
    let mix = args.opt_value_from_os_str("--mix", parse_path)?;
    let mix = mix.ok_or_else(|| CliError::Usage("--mix FILE is missing".to_owned()))?;
    let mix = replace_phases(Mix::read(&mix)?, rate, seconds)?;
    let addresses = args::addresses(args, "the address of an instance for callers")?;
    Ok(Options {
        mix,
        seed,
        svg,
        addresses,
    })
}

fn replace_phases(mix: Mix, rate: Option<f64>, seconds: Option<f64>) -> Result<Mix, CliError> {
    let (Some(rate), Some(seconds)) = (rate, seconds) else {
        if rate.is_some() || seconds.is_some() {
            let message = "--rate and --seconds go together and replace the phases of the mix";
            return Err(CliError::Usage(message.to_owned()));
        }
        return Ok(mix);
    };
    let duration = Duration::try_from_secs_f64(seconds)
        .map_err(|e| CliError::Usage(format!("--seconds {seconds}: {e}")))?;
    let mix = mix.with_phase(rate, duration);
    match mix.validation_error() {
        None => Ok(mix),
        Some(reason) => Err(CliError::Usage(reason)),
    }
}

async fn send_mix(options: &Options) -> Report {
    let caller = Caller::new(options.addresses.clone());
    let seed = options.seed;
    let total_calls = Arrivals::new(&options.mix, seed).count() as u64;
    let bar = progress_bar(total_calls);
    let arrivals = Arrivals::new(&options.mix, seed);
    let call = |arrival: &Arrival<'_>, scheduled| {
        let (caller, call) = (caller.clone(), PlannedCall::new(arrival, seed));
        async move { caller.call(call, scheduled).await }
    };
    let tally = runner::run(arrivals, call, |started, ended| {
        bar.set_position(ended);
        bar.set_message(format!("{} in flight", started - ended));
    })
    .await;
    bar.finish_and_clear();
    Report::new(&tally, seed)
}

fn progress_bar(total_calls: u64) -> ProgressBar {
    let target = if stderr().is_terminal() {
        ProgressDrawTarget::stderr_with_hz(REDRAWS_PER_SECOND)
    } else {
        ProgressDrawTarget::hidden()
    };
    let bar = ProgressBar::with_draw_target(Some(total_calls), target);
    let style = ProgressStyle::with_template("{elapsed_precise} {bar:40} {pos}/{len} {msg}");
    match style {
        Ok(style) => bar.with_style(style),
        Err(_) => bar,
    }
}
