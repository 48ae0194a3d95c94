//! The operators' client.

use std::process::ExitCode;

mod app;
mod args;
mod demo;
mod error;
mod help;
mod load;
mod operate;
mod output;
mod table;

fn main() -> ExitCode {
    match app::run(std::env::args_os().skip(1).collect()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("kingcup: {e}");
            if let Some(next) = e.next() {
                eprintln!("  next: {next}");
            }
            e.exit_code()
        }
    }
}

/// A runtime for the commands that speak with instances.
fn runtime() -> Result<tokio::runtime::Runtime, error::CliError> {
    Ok(tokio::runtime::Runtime::new()?)
}
