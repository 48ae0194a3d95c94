//! The command line of `kingcup-standin`.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use kingcupfield_standins::{EngineConfig, Generation, PlainServiceConfig, PlatformConfig};
use pico_args::Arguments;
use thiserror::Error;

/// Printed after a wrong command line and on `--help`.
pub const HELP: &str = "\
Usage: kingcup-standin engine   [--listen IP:PORT] [--generation g1|g2|instant] [--max-running N]
                                [--kv-total TOKENS] [--load-lag-ms MS]
       kingcup-standin service  [--listen IP:PORT] [--service-time-ms MS]
       kingcup-standin platform [--listen IP:PORT] [--table FILE] [--services FILE]
                                [--instances FILE]

Port 0 takes a free port; the first line printed names it. POST /faults switches faults,
GET /journal prints what was run.";

/// Why a command line is refused.
#[derive(Debug, Error)]
pub enum ArgsError {
    /// An option is missing its value or has a bad one.
    #[error("{0}")]
    Option(#[from] pico_args::Error),
    /// The first word names no fake.
    #[error("expected engine, service or platform")]
    Kind,
    /// No generation has that name.
    #[error("--generation: expected g1, g2 or instant, found {0}")]
    Generation(String),
    /// Words are left over.
    #[error("unexpected argument {0}")]
    Unexpected(String),
}

/// A value that the platform publishes at its start.
#[derive(Debug)]
pub struct ValueFile {
    /// Name of the value.
    pub name: &'static str,
    /// JSON file with the value.
    pub path: PathBuf,
}

/// What to run.
#[derive(Debug)]
pub enum Args {
    /// Print the help.
    Help,
    /// A model engine.
    Engine(EngineConfig),
    /// A plain service.
    Service(PlainServiceConfig),
    /// The platform with its first values.
    Platform(PlatformConfig, Vec<ValueFile>),
}

impl Args {
    /// Reads the arguments of this process.
    pub fn from_env() -> Result<Self, ArgsError> {
        let mut words = Arguments::from_env();
        if words.contains(["-h", "--help"]) {
            return Ok(Self::Help);
        }
        let kind = words.subcommand()?;
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listen = words.opt_value_from_str("--listen")?.unwrap_or(any);
        let args = match kind.as_deref() {
            Some("engine") => Self::Engine(engine(&mut words, listen)?),
            Some("service") => Self::Service(service(&mut words, listen)?),
            Some("platform") => {
                let cfg = PlatformConfig::new().with_listen(listen);
                Self::Platform(cfg, value_files(&mut words)?)
            }
            _ => return Err(ArgsError::Kind),
        };
        match words.finish().first() {
            None => Ok(args),
            Some(word) => Err(ArgsError::Unexpected(word.to_string_lossy().into_owned())),
        }
    }
}

fn engine(words: &mut Arguments, listen: SocketAddr) -> Result<EngineConfig, ArgsError> {
    let mut cfg = EngineConfig::new().with_listen(listen);
    if let Some(name) = words.opt_value_from_str::<_, String>("--generation")? {
        let generation = Generation::named(&name).ok_or(ArgsError::Generation(name))?;
        cfg = cfg.with_generation(generation);
    }
    if let Some(max_running) = words.opt_value_from_str("--max-running")? {
        cfg = cfg.with_max_running(max_running);
    }
    if let Some(kv_total) = words.opt_value_from_str("--kv-total")? {
        cfg = cfg.with_kv_total(kv_total);
    }
    if let Some(ms) = words.opt_value_from_str("--load-lag-ms")? {
        cfg = cfg.with_load_lag(Duration::from_millis(ms));
    }
    Ok(cfg)
}

fn service(words: &mut Arguments, listen: SocketAddr) -> Result<PlainServiceConfig, ArgsError> {
    let cfg = PlainServiceConfig::new().with_listen(listen);
    let Some(ms) = words.opt_value_from_str("--service-time-ms")? else {
        return Ok(cfg);
    };
    Ok(cfg.with_service_time(Duration::from_millis(ms)))
}

fn value_files(words: &mut Arguments) -> Result<Vec<ValueFile>, ArgsError> {
    let options = [
        ("table", "--table"),
        ("services", "--services"),
        ("instances", "--instances"),
    ];
    let mut files = Vec::new();
    for (name, option) in options {
        if let Some(path) = words.opt_value_from_str(option)? {
            files.push(ValueFile { name, path });
        }
    }
    Ok(files)
}
