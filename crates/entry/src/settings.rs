//! Settings of one entry instance: a JSON file, checked as a whole.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use kingcupfield_decisions::cold::Bearable;
use kingcupfield_decisions::credit::Tolerance;
use kingcupfield_decisions::id::{InstanceId, RegionId, ZoneId};
use kingcupfield_decisions::repeats::RepeatBounds;
use serde::Deserialize;

/// A settings file that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// It can't be read.
    #[error("settings: {0}")]
    File(#[from] std::io::Error),
    /// It is not JSON, lacks a field or has one of another type.
    #[error("settings: {0}")]
    Format(#[from] serde_json::Error),
    /// A field's value makes no sense.
    #[error("settings: {field}: {reason}")]
    Value {
        /// The field.
        field: &'static str,
        /// What is wrong with it.
        reason: String,
    },
}

/// Settings of an entry instance that forwards calls as they come.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Availability zone in which it runs.
    pub availability_zone: ZoneId,
    /// Region of the zone.
    pub region: RegionId,
    /// Zones and their regions.
    pub regions_by_zone: std::collections::BTreeMap<String, String>,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address on which readiness is asked for.
    pub ready_listen: SocketAddr,
    /// Address for other instances and for operators.
    pub peer_listen: SocketAddr,
    /// First port that is free for messages between instances; all use the same.
    pub peer_port: u16,
    /// First contacts among the other instances (their `peer_listen`); they may be stale.
    pub contacts: Vec<SocketAddr>,
    /// Address of the directory.
    pub directory: SocketAddr,
    /// Whether the whole fleet starts for the first time, so that no caller waits yet.
    #[serde(default)]
    pub first_start: bool,
    /// Seconds between the order to stop and the kill.
    pub grace_s: f64,
    /// Seconds over which what organisations spend is held against their limits.
    pub limit_window_s: f64,
    /// By how much an organisation may pass its limit in a span.
    #[serde(default)]
    pub limit_tolerance: LimitToleranceSettings,
    /// Bounds on requests that are sent to one more replica.
    pub repeats: RetrySettings,
    /// By how much cold replicas may get more than they bear.
    #[serde(default)]
    pub cold_tolerance: ColdToleranceSettings,
}

/// Tolerance of limits, as the operator gives it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitToleranceSettings {
    /// As a part of what a limit allows in the window.
    pub part: f64,
    /// Beside that, in the unit of the limit.
    pub fixed: f64,
}

/// Tolerance of requests to cold replicas, as the operator gives it.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdToleranceSettings {
    /// Requests in a second, as a multiple of what a cold replica bears.
    pub times: f64,
    /// Requests beside that.
    pub extra: f64,
}

impl Default for ColdToleranceSettings {
    /// Nothing beyond what a replica bears.
    fn default() -> Self {
        Self {
            times: 1.0,
            extra: 0.0,
        }
    }
}

/// Bounds on repeats, as the operator gives them.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Repeats for each request.
    pub ratio: f64,
    /// Seconds over which both are counted.
    pub window_s: f64,
    /// Repeats beside the ratio, for all instances together.
    pub extra: f64,
}

impl Settings {
    /// Fields that take effect while the process runs.
    pub const RELOADABLE: [&'static str; 6] = [
        "contacts",
        "grace_s",
        "limit_window_s",
        "limit_tolerance",
        "repeats",
        "cold_tolerance",
    ];

    /// Names of the fields in which `other` differs.
    pub fn differences(&self, other: &Self) -> Vec<&'static str> {
        let differs = |(_, same): &(&'static str, bool)| !same;
        self.compared(other)
            .into_iter()
            .filter(differs)
            .map(|(field, _)| field)
            .collect()
    }

    fn compared(&self, other: &Self) -> [(&'static str, bool); 16] {
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
        ]
    }

    /// Takes from `other` what takes effect while the process runs.
    pub fn apply_reloadable(&mut self, other: &Self) {
        self.contacts.clone_from(&other.contacts);
        self.grace_s = other.grace_s;
        self.limit_window_s = other.limit_window_s;
        self.limit_tolerance = other.limit_tolerance;
        self.repeats = other.repeats;
        self.cold_tolerance = other.cold_tolerance;
    }

    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&fs::read_to_string(path)?)
    }

    /// Reads and checks a text.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let cfg: Self = serde_json::from_str(text)?;
        cfg.check()?;
        Ok(cfg)
    }

    /// This instance's address, by which the others know it.
    pub fn address(&self) -> Ipv4Addr {
        match self.listen {
            SocketAddr::V4(a) => *a.ip(),
            SocketAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
        }
    }

    /// Whether this instance is one of the first contacts, or there are none.
    pub fn is_contact(&self) -> bool {
        self.contacts.is_empty() || self.contacts.contains(&self.peer_listen)
    }

    /// Whether another instance is named as a first contact.
    pub fn has_other_contacts(&self) -> bool {
        self.contacts.iter().any(|c| *c != self.peer_listen)
    }

    /// Time between the order to stop and the kill.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Span over which what organisations spend is held against their limits.
    pub fn limit_window(&self) -> Duration {
        Duration::from_secs_f64(self.limit_window_s)
    }

    /// By how much a limit may be passed.
    pub fn credit_tolerance(&self) -> Tolerance {
        Tolerance {
            part: self.limit_tolerance.part,
            fixed: self.limit_tolerance.fixed,
        }
    }

    /// Bounds on repeats.
    pub fn retry_bounds(&self) -> RepeatBounds {
        RepeatBounds {
            ratio: self.repeats.ratio,
            window: Duration::from_secs_f64(self.repeats.window_s),
            extra: self.repeats.extra,
        }
    }

    /// What cold replicas of a service bear.
    pub fn cold_rate(&self, per_s: f64) -> Bearable {
        Bearable {
            per_s,
            tolerated: per_s * self.cold_tolerance.times + self.cold_tolerance.extra,
        }
    }

    fn check(&self) -> Result<(), SettingsError> {
        positive("grace_s", self.grace_s)?;
        positive("limit_window_s", self.limit_window_s)?;
        positive("repeats.window_s", self.repeats.window_s)?;
        at_least_zero("limit_tolerance.part", self.limit_tolerance.part)?;
        at_least_zero("limit_tolerance.fixed", self.limit_tolerance.fixed)?;
        at_least_zero("repeats.ratio", self.repeats.ratio)?;
        at_least_zero("repeats.extra", self.repeats.extra)?;
        at_least_zero("cold_tolerance.times", self.cold_tolerance.times)?;
        at_least_zero("cold_tolerance.extra", self.cold_tolerance.extra)?;
        if !self.listen.is_ipv4() {
            return value("listen", "only IPv4 addresses are used");
        }
        if self.peer_port == 0 {
            return value(
                "peer_port",
                "all instances use the same port, so it can't be 0",
            );
        }
        Ok(())
    }
}

fn positive(field: &'static str, seconds: f64) -> Result<(), SettingsError> {
    if seconds.is_finite() && seconds > 0.0 {
        return Ok(());
    }
    value(field, "must be above 0")
}

fn at_least_zero(field: &'static str, number: f64) -> Result<(), SettingsError> {
    if number.is_finite() && number >= 0.0 {
        return Ok(());
    }
    value(field, "must not be below 0")
}

fn value<T>(field: &'static str, reason: &str) -> Result<T, SettingsError> {
    Err(SettingsError::Value {
        field,
        reason: reason.to_owned(),
    })
}
