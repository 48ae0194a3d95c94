//! Starts the fake that the command line names and serves until the process is ended.

use std::future;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use kingcupfield_standins::{Engine, PlainService, Platform};
use thiserror::Error;

use crate::args::{Args, HELP, ValueFile};

/// Version of the values that the platform starts with.
const FIRST_VERSION: u64 = 1;

/// Why a fake can't start.
#[derive(Debug, Error)]
pub enum AppError {
    /// The address can't be bound.
    #[error("can't listen: {0}")]
    Listen(#[from] io::Error),
    /// A file can't be read.
    #[error("{path}: {source}", path = path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file is no JSON.
    #[error("{path}: {source}", path = path.display())]
    Json {
        /// The file.
        path: PathBuf,
        /// Why.
        source: serde_json::Error,
    },
}

/// Runs the fake; returns only for `--help` or when it can't start.
pub async fn run(args: Args) -> Result<(), AppError> {
    match args {
        Args::Help => println!("{HELP}"),
        Args::Engine(cfg) => {
            let engine = Engine::start(cfg).await?;
            serve("engine", engine.addr()).await;
        }
        Args::Service(cfg) => {
            let service = PlainService::start(cfg).await?;
            serve("service", service.addr()).await;
        }
        Args::Platform(cfg, files) => {
            let platform = Platform::start(cfg).await?;
            for file in files {
                publish(&platform, file)?;
            }
            serve("platform", platform.addr()).await;
        }
    }
    Ok(())
}

fn publish(platform: &Platform, ValueFile { name, path }: ValueFile) -> Result<(), AppError> {
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(source) => return Err(AppError::Read { path, source }),
    };
    match serde_json::from_str(&text) {
        Ok(value) => platform.publish(name, FIRST_VERSION, value),
        Err(source) => return Err(AppError::Json { path, source }),
    }
    Ok(())
}

/// Prints the start line and serves for ever.
async fn serve(role: &str, addr: SocketAddr) {
    eprintln!("event=listening role={role} listen={addr}");
    future::pending::<()>().await;
}
