//! Acceptance of published values: versions only increase, and an invalid value is refused as a
//! whole.
//!
//! Load pattern: operators edit while the platform is stale, down or answers with an old version.
//! Without this module an instance that reads an old platform replica would revert limits and
//! weights to those of last week, one bad cell would stop an instance, and a starting instance
//! would serve with the values of whichever replica happened to answer first.
//!
//! A value is kept with its text as published, so that fields which are unknown to this build still
//! reach a newer peer. Peers announce versions with a hash of the text. An instance that is behind
//! asks for the value, and an instance that is ahead sends it (see [`ConfigurationMessage`]).

use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::id::Version;
use crate::values::{Instances, Role, Services, Table};

pub use faults::{Check, Fault, Row, faults, unknown_locations};
pub use spread::{ConfigurationMessage, Reply, ValueVersion};

mod faults;
mod lookup;
mod spread;

/// How long a starting instance waits for the platform and for peers once one of the two has
/// answered.
///
/// This is two rounds of announcements (one per second): a reachable peer has answered by then, and
/// the start of the first instance of a zone is not delayed further.
pub const START_WAIT: Duration = Duration::from_secs(2);

/// Name of a published value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ValueName {
    /// Tiers, organisations, weights and limits.
    Table,
    /// Services and their non-idempotent calls.
    Services,
    /// Entry instances and upstream replicas.
    Instances,
}

impl ValueName {
    /// All names, in the order in which a starting instance needs them.
    pub const ALL: [Self; 3] = [Self::Table, Self::Services, Self::Instances];

    /// Name in the form that the platform uses.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Table => "table",
            Self::Services => "services",
            Self::Instances => "instances",
        }
    }
}

/// Result of an offered value that was not refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Accepted {
    /// The version was put into force.
    Applied(Version),
    /// The version was in force already.
    Unchanged(Version),
}

/// Reason for refusing an offered value; the value in force is kept.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Rejected {
    /// A platform replica or a peer lags behind. This is reported because it may hide an edit.
    #[error("version {offered} is older than version {held} in force")]
    Older {
        /// The version that is in force.
        held: Version,
        /// The version that was offered.
        offered: Version,
    },
    /// Two different values have the same version. This raises an alarm, since instances would
    /// differ forever.
    #[error("version {version} was offered with content that differs from the one in force")]
    Conflict {
        /// The version of both.
        version: Version,
    },
    /// The value does not deserialize into the type of its name.
    #[error("malformed: {reason}")]
    Malformed {
        /// Message of the decoder, with line and column.
        reason: String,
    },
    /// The value deserializes, but contains faults.
    #[error("{} faults, first: {}", .faults.len(), .faults.first().map_or_else(String::new, ToString::to_string))]
    Faulty {
        /// All faults of the value.
        faults: Vec<Fault>,
    },
    /// The list has no entry instance, or no upstream although the one in force has some. At least
    /// this instance runs, so the list must be wrong and the one in force is kept.
    #[error("the list has no {} left", if matches!(.role, Role::Entry) { "entry instance" } else { "upstream" })]
    RoleMissing {
        /// The role that has no instance left.
        role: Role,
    },
}

impl Rejected {
    /// Whether an operator has to act, because the value cannot come into force later on its own.
    pub fn is_alarm(&self) -> bool {
        !matches!(self, Self::Older { .. })
    }
}

/// A value that is in force.
#[derive(Debug, Clone)]
struct ActiveValue<T> {
    version: Version,
    hash: u64,
    /// The value as published.
    raw: Arc<Value>,
    /// The decoded value with sorted rows.
    value: Arc<T>,
}

/// Source that answered a starting instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The platform answered for this name, with a value or with "nothing newer".
    Platform(ValueName),
    /// A peer answered with its versions.
    Peer,
}

/// The three published values in force, with their versions.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// When this instance started.
    started: Instant,
    /// Whether the platform has answered for each name.
    platform_answered: [bool; ValueName::ALL.len()],
    peer_answered: bool,
    ready: bool,
    table: Option<ActiveValue<Table>>,
    services: Option<ActiveValue<Services>>,
    instances: Option<ActiveValue<Instances>>,
}

impl Configuration {
    /// Creates an empty configuration of an instance that starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            platform_answered: [false; ValueName::ALL.len()],
            peer_answered: false,
            ready: false,
            table: None,
            services: None,
            instances: None,
        }
    }

    /// Offers a value from the platform or a peer.
    ///
    /// # Errors
    /// Returns the reason of the refusal; the value in force is kept.
    pub fn offer(
        &mut self,
        name: ValueName,
        version: Version,
        value: &Value,
    ) -> Result<Accepted, Rejected> {
        let hash = hash_of(value);
        if let Some(in_force) = self.version(name) {
            if version < in_force.version {
                return Err(Rejected::Older {
                    held: in_force.version,
                    offered: version,
                });
            }
            if version == in_force.version {
                return if hash == in_force.hash {
                    Ok(Accepted::Unchanged(version))
                } else {
                    Err(Rejected::Conflict { version })
                };
            }
        }
        match name {
            ValueName::Table => self.table = Some(decode(version, hash, value)?),
            ValueName::Services => self.services = Some(decode(version, hash, value)?),
            ValueName::Instances => {
                let offered = decode(version, hash, value)?;
                check_roles_remain(self.instances.as_ref().map(|h| &*h.value), &offered.value)?;
                self.instances = Some(offered);
            }
        }
        Ok(Accepted::Applied(version))
    }

    /// Records that the platform or a peer has answered this starting instance.
    pub fn record_answer(&mut self, source: Source) {
        match source {
            Source::Platform(name) => self.platform_answered[name as usize] = true,
            Source::Peer => self.peer_answered = true,
        }
    }

    /// Whether the platform or a peer has answered, for the state dump.
    pub fn has_answered(&self, source: Source) -> bool {
        match source {
            Source::Platform(name) => self.platform_answered[name as usize],
            Source::Peer => self.peer_answered,
        }
    }

    /// Whether callers may be served. Once `true`, it stays `true`.
    ///
    /// A starting instance that relied on one old platform replica would serve with reverted
    /// limits. Both the platform and peers are therefore asked, and the highest version is used. A
    /// source that does not answer within [`START_WAIT`] is ignored.
    pub fn is_ready(&mut self, now: Instant) -> bool {
        let complete = self.table.is_some() && self.services.is_some() && self.instances.is_some();
        let platform = self.platform_answered.iter().all(|answered| *answered);
        let waited = now.duration_since(self.started) >= START_WAIT;
        self.ready |= complete
            && (platform || self.peer_answered)
            && ((platform && self.peer_answered) || waited);
        self.ready
    }

    /// Version of a value in force.
    pub fn version(&self, name: ValueName) -> Option<ValueVersion> {
        fn version_of<T>(name: ValueName, active: Option<&ActiveValue<T>>) -> Option<ValueVersion> {
            active.map(|h| ValueVersion {
                name,
                version: h.version,
                hash: h.hash,
            })
        }
        match name {
            ValueName::Table => version_of(name, self.table.as_ref()),
            ValueName::Services => version_of(name, self.services.as_ref()),
            ValueName::Instances => version_of(name, self.instances.as_ref()),
        }
    }

    /// Text of a value in force, as published.
    pub fn raw_value(&self, name: ValueName) -> Option<Arc<Value>> {
        match name {
            ValueName::Table => self.table.as_ref().map(|h| Arc::clone(&h.raw)),
            ValueName::Services => self.services.as_ref().map(|h| Arc::clone(&h.raw)),
            ValueName::Instances => self.instances.as_ref().map(|h| Arc::clone(&h.raw)),
        }
    }
}

/// Hash of the text of a value with sorted fields, which distinguishes two edits.
fn hash_of(value: &Value) -> u64 {
    xxh3_64(value.to_string().as_bytes())
}

/// Deserializes a value, checks it for faults and sorts its rows.
fn decode<T>(version: Version, hash: u64, value: &Value) -> Result<ActiveValue<T>, Rejected>
where
    T: DeserializeOwned + Check,
{
    let mut decoded = T::deserialize(value).map_err(|e| Rejected::Malformed {
        reason: e.to_string(),
    })?;
    let faults = decoded.faults();
    if !faults.is_empty() {
        return Err(Rejected::Faulty { faults });
    }
    decoded.sort();
    Ok(ActiveValue {
        version,
        hash,
        raw: Arc::new(value.clone()),
        value: Arc::new(decoded),
    })
}

/// Refuses a list in which a role has lost all of its instances.
fn check_roles_remain(in_force: Option<&Instances>, offered: &Instances) -> Result<(), Rejected> {
    let has = |list: &Instances, role| list.instances.iter().any(|i| i.role == role);
    let lost = |role| in_force.is_some_and(|list| has(list, role)) && !has(offered, role);
    [Role::Entry, Role::Upstream]
        .into_iter()
        .find(|role| lost(*role))
        .map_or(Ok(()), |role| Err(Rejected::RoleMissing { role }))
}
