//! The daemon: one entry instance.

mod app;
mod args;

use std::process::ExitCode;

fn main() -> ExitCode {
    app::run()
}
