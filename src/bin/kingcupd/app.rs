//! Runs an entry instance until it has left.

use std::path::Path;
use std::process::ExitCode;

use kingcupfield::error::{Error, Result};
use kingcupfield::instance::Instance;
use kingcupfield::logging;
use kingcupfield::settings::Settings;
use tokio::signal::unix::{SignalKind, signal};

use crate::args::{Args, HELP};

/// Exit code for wrong arguments or settings.
const USAGE: u8 = 2;

/// Worker threads: the entry instances are small.
const WORKERS: usize = 2;

pub fn run() -> ExitCode {
    let args = match Args::from_env() {
        Ok(args) => args,
        Err(reason) => {
            eprintln!("kingcupd: {reason}; see kingcupd --help");
            return ExitCode::from(USAGE);
        }
    };
    let path = match &args {
        Args::Help => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Args::Check(path) | Args::Run(path) => path,
    };
    let cfg = match Settings::read(path) {
        Ok(cfg) => cfg,
        Err(e) => {
            eprintln!("kingcupd: {e}");
            return ExitCode::from(USAGE);
        }
    };
    if matches!(args, Args::Check(_)) {
        println!("{}: the settings are valid", path.display());
        return ExitCode::SUCCESS;
    }
    exit_code(path, serve(&cfg))
}

fn exit_code(path: &Path, ended: Result<()>) -> ExitCode {
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("kingcupd: {}: {e}", path.display());
            ExitCode::FAILURE
        }
    }
}

fn serve(cfg: &Settings) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .enable_all()
        .build()
        .map_err(|e| Error::io("start the runtime", e))?;
    runtime.block_on(serve_until_left(cfg))
}

async fn serve_until_left(cfg: &Settings) -> Result<()> {
    logging::init(&cfg.log)?;
    let mut term = signal(SignalKind::terminate()).map_err(|e| Error::io("SIGTERM", e))?;
    let mut int = signal(SignalKind::interrupt()).map_err(|e| Error::io("SIGINT", e))?;
    let instance = Instance::start(cfg).await?;
    log::info!(
        "event=listening listen={} admin_listen={} rpc_listen={} instance={} availability_zone={}",
        instance.listen(),
        instance.admin_listen(),
        instance.rpc_listen(),
        cfg.instance,
        cfg.availability_zone,
    );
    let drain = instance.drainer();
    tokio::spawn(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        drain.send_replace(true);
    });
    instance.ended().await
}
