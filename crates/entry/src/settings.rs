//! Settings of one entry instance, read from a JSON file and validated.

mod scheduling;

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use kingcupfield_decisions::bounded::MAX_TIME;
use kingcupfield_decisions::cold::ColdLimit;
use kingcupfield_decisions::credit::Tolerance;
use kingcupfield_decisions::id::{InstanceId, RegionId, ZoneId};
use kingcupfield_decisions::upstream_retries::UpstreamRetryBounds;
use kingcupfield_transfer::machine::{MIN_DESCRIPTORS, Machine};
use serde::Deserialize;

pub use scheduling::{FairOrderSettings, LoadReportSettings, SchedulingSettings, WarmUpSettings};

/// Largest rate or amount of a field, in its unit.
const MAX_AMOUNT: f64 = 1e12;

/// Smallest memory of a machine in MB: an idle instance and the callers' share for one body of a MB.
const MIN_MEMORY_MB: f64 = 16.0;

/// Error of a settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("settings: {0}")]
    File(#[from] std::io::Error),
    /// The file is not JSON, lacks a field, or has an unknown field or one of the wrong type.
    #[error("settings: {0}")]
    Format(#[from] serde_json::Error),
    /// A field's value is out of range.
    #[error("settings: {field}: {reason}")]
    Value {
        /// Name of the field.
        field: &'static str,
        /// Reason why the value is invalid.
        reason: String,
    },
}

/// Settings of an entry instance.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Availability zone of this instance.
    pub availability_zone: ZoneId,
    /// Region of the availability zone.
    pub region: RegionId,
    /// Region of each availability zone.
    pub regions_by_zone: std::collections::BTreeMap<String, String>,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address for readiness checks.
    pub ready_listen: SocketAddr,
    /// Listen address for other instances and for operators.
    pub peer_listen: SocketAddr,
    /// UDP port for messages between instances: the first free port, the same at all of them.
    pub peer_port: u16,
    /// Seed nodes: `peer_listen` addresses of other instances, which may be outdated.
    pub contacts: Vec<SocketAddr>,
    /// Address of the directory.
    pub directory: SocketAddr,
    /// Whether all instances start for the first time, so that no caller waits yet.
    #[serde(default)]
    pub first_start: bool,
    /// Seconds from the stop signal to the kill.
    pub grace_s: f64,
    /// Window in seconds in which an organisation's usage is compared with its limit.
    pub limit_window_s: f64,
    /// Amount by which an organisation may exceed its limit in one window.
    #[serde(default)]
    pub limit_tolerance: LimitToleranceSettings,
    /// Budget for retries at another replica.
    pub repeats: RetrySettings,
    /// Amount by which the request rate of a cold replica may exceed its sustainable rate.
    #[serde(default)]
    pub cold_tolerance: ColdToleranceSettings,
    /// Optional parts of the scheduling.
    #[serde(default)]
    pub scheduling: SchedulingSettings,
    /// Speed of the machine's network link in Mbit/s.
    #[serde(default = "default_link_mbit_per_s")]
    pub link_mbit_per_s: f64,
    /// Memory of the machine in MB; unset: the limit of the process or the machine's memory, whichever is lower.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Descriptors that the process may have open, files among them; unset: the limit of the process.
    #[serde(default)]
    pub max_descriptors: Option<u64>,
}

/// Speed of the slowest links of most deployments.
fn default_link_mbit_per_s() -> f64 {
    20.0
}

/// Amount by which an organisation may exceed its limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitToleranceSettings {
    /// Tolerance as a fraction of the usage that the limit allows in the window.
    pub part: f64,
    /// Additional tolerance per window, in the unit of the limit (requests or tokens).
    pub fixed: f64,
}

/// Request rate that a cold replica receives at most, in terms of its sustainable rate.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdToleranceSettings {
    /// Multiple of the requests per second that a cold replica can sustain.
    pub times: f64,
    /// Additional requests per second.
    pub extra: f64,
}

impl Default for ColdToleranceSettings {
    /// No requests beyond the sustainable rate.
    fn default() -> Self {
        Self {
            times: 1.0,
            extra: 0.0,
        }
    }
}

/// Budget for retries at another replica.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Retries allowed per request that is received in the window.
    pub ratio: f64,
    /// Window in seconds in which requests and retries are counted.
    pub window_s: f64,
    /// Additional retries per window, for all instances together.
    pub extra: f64,
}

impl Settings {
    /// Names of the fields that a running process applies when the file is reloaded.
    pub const RELOADABLE: [&'static str; 7] = [
        "contacts",
        "grace_s",
        "limit_window_s",
        "limit_tolerance",
        "repeats",
        "cold_tolerance",
        "scheduling",
    ];

    /// Returns the names of the fields in which `other` differs.
    pub fn differences(&self, other: &Self) -> Vec<&'static str> {
        let differs = |(_, equal): &(&'static str, bool)| !equal;
        self.compare_fields(other)
            .into_iter()
            .filter(differs)
            .map(|(field, _)| field)
            .collect()
    }

    /// Returns for each field whether it is equal in `other`.
    fn compare_fields(&self, other: &Self) -> [(&'static str, bool); 20] {
        [
            ("instance", self.instance == other.instance),
            (
                "availability_zone",
                self.availability_zone == other.availability_zone,
            ),
            ("region", self.region == other.region),
            (
                "regions_by_zone",
                self.regions_by_zone == other.regions_by_zone,
            ),
            ("listen", self.listen == other.listen),
            ("ready_listen", self.ready_listen == other.ready_listen),
            ("peer_listen", self.peer_listen == other.peer_listen),
            ("peer_port", self.peer_port == other.peer_port),
            ("directory", self.directory == other.directory),
            ("first_start", self.first_start == other.first_start),
            ("contacts", self.contacts == other.contacts),
            ("grace_s", self.grace_s.total_cmp(&other.grace_s).is_eq()),
            (
                "limit_window_s",
                self.limit_window_s.total_cmp(&other.limit_window_s).is_eq(),
            ),
            (
                "limit_tolerance",
                self.limit_tolerance == other.limit_tolerance,
            ),
            ("repeats", self.repeats == other.repeats),
            (
                "cold_tolerance",
                self.cold_tolerance == other.cold_tolerance,
            ),
            ("scheduling", self.scheduling == other.scheduling),
            (
                "link_mbit_per_s",
                self.link_mbit_per_s
                    .total_cmp(&other.link_mbit_per_s)
                    .is_eq(),
            ),
            ("memory_mb", self.memory_mb == other.memory_mb),
            (
                "max_descriptors",
                self.max_descriptors == other.max_descriptors,
            ),
        ]
    }

    /// Copies the fields in [`Self::RELOADABLE`] from `other`.
    pub fn apply_reloadable(&mut self, other: &Self) {
        self.contacts.clone_from(&other.contacts);
        self.grace_s = other.grace_s;
        self.limit_window_s = other.limit_window_s;
        self.limit_tolerance = other.limit_tolerance;
        self.repeats = other.repeats;
        self.cold_tolerance = other.cold_tolerance;
        self.scheduling = other.scheduling;
    }

    /// Reads and validates a settings file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&fs::read_to_string(path)?)
    }

    /// Parses and validates settings in JSON.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let cfg: Self = serde_json::from_str(text)?;
        cfg.validate()?;
        Ok(cfg)
    }

    /// IPv4 address of this instance, which identifies it to the other instances.
    pub fn address(&self) -> Ipv4Addr {
        match self.listen {
            SocketAddr::V4(a) => *a.ip(),
            SocketAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
        }
    }

    /// Whether this instance is one of the seed nodes, or there are none.
    pub fn is_contact(&self) -> bool {
        self.contacts.is_empty() || self.contacts.contains(&self.peer_listen)
    }

    /// Whether another instance is a seed node.
    pub fn has_other_contacts(&self) -> bool {
        self.contacts.iter().any(|c| *c != self.peer_listen)
    }

    /// Time from the stop signal to the kill.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Window in which an organisation's usage is compared with its limit.
    pub fn limit_window(&self) -> Duration {
        Duration::from_secs_f64(self.limit_window_s)
    }

    /// Amount by which an organisation may exceed its limit.
    pub fn credit_tolerance(&self) -> Tolerance {
        Tolerance {
            part: self.limit_tolerance.part,
            fixed: self.limit_tolerance.fixed,
        }
    }

    /// Bytes that the network link carries in a second.
    pub fn link_bytes_per_s(&self) -> f64 {
        self.link_mbit_per_s * 1e6 / 8.0
    }

    /// Limits of the machine: those of the settings, or else those that the process can read.
    pub fn machine(&self) -> Machine {
        let memory_bytes = self.memory_mb.map(|mb| (mb * 1e6) as u64);
        Machine::from_settings(memory_bytes, self.max_descriptors)
    }

    /// Budget for retries at another replica.
    pub fn retry_bounds(&self) -> UpstreamRetryBounds {
        UpstreamRetryBounds {
            ratio: self.repeats.ratio,
            window: Duration::from_secs_f64(self.repeats.window_s),
            extra: self.repeats.extra,
        }
    }

    /// Rates of a cold replica: the `per_s` requests per second that it can sustain, and the requests
    /// per second that it receives at most.
    pub fn cold_rate(&self, per_s: f64) -> ColdLimit {
        ColdLimit {
            requests_per_s: per_s,
            tolerated_per_s: per_s * self.cold_tolerance.times + self.cold_tolerance.extra,
        }
    }

    /// Checks the ranges of all values.
    fn validate(&self) -> Result<(), SettingsError> {
        check_positive("grace_s", self.grace_s, MAX_TIME.as_secs_f64())?;
        check_positive(
            "limit_window_s",
            self.limit_window_s,
            MAX_TIME.as_secs_f64(),
        )?;
        check_positive("link_mbit_per_s", self.link_mbit_per_s, MAX_AMOUNT)?;
        if let Some(memory_mb) = self.memory_mb {
            check_at_least("memory_mb", memory_mb, MIN_MEMORY_MB)?;
            check_at_most("memory_mb", memory_mb, MAX_AMOUNT)?;
        }
        if let Some(descriptors) = self.max_descriptors {
            check_at_least(
                "max_descriptors",
                descriptors as f64,
                MIN_DESCRIPTORS as f64,
            )?;
        }
        check_positive(
            "repeats.window_s",
            self.repeats.window_s,
            MAX_TIME.as_secs_f64(),
        )?;
        check_not_negative("limit_tolerance.part", self.limit_tolerance.part)?;
        check_not_negative("limit_tolerance.fixed", self.limit_tolerance.fixed)?;
        check_not_negative("repeats.ratio", self.repeats.ratio)?;
        check_not_negative("repeats.extra", self.repeats.extra)?;
        check_not_negative("cold_tolerance.times", self.cold_tolerance.times)?;
        check_not_negative("cold_tolerance.extra", self.cold_tolerance.extra)?;
        self.scheduling.validate()?;
        if !self.listen.is_ipv4() {
            return invalid("listen", &format!("{} is not an IPv4 address", self.listen));
        }
        if self.peer_port == 0 {
            return invalid(
                "peer_port",
                "must not be 0, all instances use the same port",
            );
        }
        Ok(())
    }
}

fn check_positive(field: &'static str, value: f64, max: f64) -> Result<(), SettingsError> {
    if value > 0.0 {
        return check_at_most(field, value, max);
    }
    invalid(field, &format!("must be above 0, is {value}"))
}

fn check_at_least(field: &'static str, value: f64, min: f64) -> Result<(), SettingsError> {
    if value >= min {
        return Ok(());
    }
    invalid(field, &format!("must be at least {min}, is {value}"))
}

fn check_not_negative(field: &'static str, value: f64) -> Result<(), SettingsError> {
    if value >= 0.0 {
        return check_at_most(field, value, MAX_AMOUNT);
    }
    invalid(field, &format!("must not be below 0, is {value}"))
}

fn check_at_most(field: &'static str, value: f64, max: f64) -> Result<(), SettingsError> {
    if value <= max {
        return Ok(());
    }
    invalid(field, &format!("must be at most {max}, is {value}"))
}

fn invalid<T>(field: &'static str, reason: &str) -> Result<T, SettingsError> {
    Err(SettingsError::Value {
        field,
        reason: reason.to_owned(),
    })
}
