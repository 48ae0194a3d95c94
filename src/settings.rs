//! Settings of one process: a JSON file, in which an unknown field or a bad value is refused.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use kingcupfield_decisions::id::{InstanceId, RegionId, ZoneId};
use kingcupfield_transfer::machine::{MIN_DESCRIPTORS, Machine};
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};

/// Shortest key secret in bytes; HMAC-SHA256 gains nothing below half its output size.
const MIN_SECRET: usize = 16;

/// Smallest memory of a machine in MB: an idle instance and the callers' share for a few of the largest bodies.
const MIN_MEMORY_MB: u64 = 64;

/// Settings of `kingcupd`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this instance, as in the published list.
    pub instance: InstanceId,
    /// Availability zone in which it runs.
    pub availability_zone: ZoneId,
    /// Region of the zone.
    pub region: RegionId,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for operators.
    pub admin_listen: SocketAddr,
    /// Address for other instances.
    pub rpc_listen: SocketAddr,
    /// Addresses of the platform's configuration service.
    pub platform: Vec<SocketAddr>,
    /// Optional first contacts among the other instances (their `rpc_listen`).
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// File with the secret that signs idempotency keys and authenticates peers.
    pub key_secret_file: PathBuf,
    /// Log settings.
    #[serde(default)]
    pub log: LogSettings,
    /// Memory of the machine in MB; unset: the limit of the process or the machine's memory, whichever is lower.
    #[serde(default)]
    pub memory_mb: Option<u64>,
    /// Descriptors that the process may have open; unset: the limit of the process.
    #[serde(default)]
    pub max_descriptors: Option<u64>,
}

/// Settings of the log.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Lowest level that is written.
    pub level: Level,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: Level::Info }
    }
}

/// Levels of the log.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Only what needs an operator.
    Error,
    /// Also what may need one.
    Warn,
    /// Also starts, ends and changes.
    Info,
    /// Also each request.
    Debug,
}

impl Settings {
    /// Reads and checks `path`; a relative secret file is looked for beside it.
    pub fn read(path: &Path) -> Result<Self> {
        let text = fs::read_to_string(path).map_err(|source| Error::File {
            path: path.to_owned(),
            source,
        })?;
        let mut cfg: Self = serde_json::from_str(&text).map_err(|e| Error::Settings {
            path: path.to_owned(),
            reason: e.to_string(),
        })?;
        if cfg.key_secret_file.is_relative() {
            let dir = path.parent().unwrap_or_else(|| Path::new("."));
            cfg.key_secret_file = dir.join(&cfg.key_secret_file);
        }
        cfg.check().map_err(|reason| Error::Settings {
            path: path.to_owned(),
            reason,
        })?;
        cfg.secret()?;
        Ok(cfg)
    }

    /// Reads the shared secret.
    pub fn secret(&self) -> Result<Vec<u8>> {
        let path = &self.key_secret_file;
        let bytes = fs::read(path).map_err(|source| Error::File {
            path: path.clone(),
            source,
        })?;
        let secret = bytes.trim_ascii();
        if secret.len() < MIN_SECRET {
            return Err(Error::Settings {
                path: path.clone(),
                reason: format!(
                    "the secret has {} bytes, at least {MIN_SECRET} are needed",
                    secret.len()
                ),
            });
        }
        Ok(secret.to_vec())
    }

    /// Limits of the machine: those of the settings, or else those that the process can read.
    pub fn machine(&self) -> Machine {
        let memory_bytes = self.memory_mb.map(|mb| mb.saturating_mul(1_000_000));
        Machine::from_settings(memory_bytes, self.max_descriptors)
    }

    fn check(&self) -> std::result::Result<(), String> {
        let names = [
            ("instance", &self.instance),
            ("availability_zone", &self.availability_zone),
            ("region", &self.region),
        ];
        for (field, name) in names {
            if !is_name(name) {
                return Err(format!(
                    "{field}: {name:?} is not a name (1 to 64 letters, digits, '-' or '_')"
                ));
            }
        }
        if self.memory_mb.is_some_and(|mb| mb < MIN_MEMORY_MB) {
            return Err(format!("memory_mb: at least {MIN_MEMORY_MB} are needed"));
        }
        if self.max_descriptors.is_some_and(|n| n < MIN_DESCRIPTORS) {
            return Err(format!(
                "max_descriptors: at least {MIN_DESCRIPTORS} are needed"
            ));
        }
        if self.platform.is_empty() {
            return Err("platform: at least one address is needed".to_owned());
        }
        Ok(())
    }
}

fn is_name(name: &str) -> bool {
    let fits = (1..=64).contains(&name.len());
    fits && name
        .bytes()
        .all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
}
