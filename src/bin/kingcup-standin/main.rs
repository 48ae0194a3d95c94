//! Runs one of the fakes as a process, for trials by hand and for tests.

mod app;
mod args;

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let args = match args::Args::from_env() {
        Ok(args) => args,
        Err(e) => {
            eprintln!("kingcup-standin: {e}\n\n{}", args::HELP);
            return ExitCode::from(2);
        }
    };
    match app::run(args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("kingcup-standin: {e}");
            ExitCode::FAILURE
        }
    }
}
