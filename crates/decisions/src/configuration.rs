//! Acceptance of published values: a version only grows, an invalid value is refused whole.
//!
//! Load pattern: operators edit while the platform is stale, down or answers with an old version.
//! Without this module an instance that reads an old platform replica would take limits and
//! weights back to last week's, one bad cell would stop an instance, and a starting instance
//! would serve by whichever replica happened to answer it first.
//!
//! A value is held with its text as published, so that fields which this build does not know
//! still reach a newer peer. Peers announce versions with a hash of the text; whoever is behind
//! asks, whoever is ahead gives (see [`ConfigurationMessage`]).

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

/// How long a starting instance waits for the other of platform and peers once one answered.
///
/// Two rounds of announcements (one a second): a peer that is up has answered by then, and a
/// start is not held up longer where an instance is the first of its zone.
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
    /// Every name, in the order in which a start needs them.
    pub const ALL: [Self; 3] = [Self::Table, Self::Services, Self::Instances];

    /// The name as the platform spells it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Table => "table",
            Self::Services => "services",
            Self::Instances => "instances",
        }
    }
}

/// What an offer led to when it was not refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Accepted {
    /// The version is in force from now on.
    Applied(Version),
    /// The version was in force already.
    Unchanged(Version),
}

/// Why an offered value was refused; what was in force stays in force.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Rejected {
    /// A platform replica or a peer lags; to be reported, as it may hide an edit.
    #[error("version {offered} is older than version {held} in force")]
    Older {
        /// The version that is in force.
        held: Version,
        /// The version that was offered.
        offered: Version,
    },
    /// Two different values carry one version: an alarm, since instances would differ for ever.
    #[error("version {version} was offered with another content than the one in force")]
    Conflict {
        /// The version of both.
        version: Version,
    },
    /// The value does not have the shape of its name.
    #[error("malformed: {reason}")]
    Malformed {
        /// What the decoder found, with line and column.
        reason: String,
    },
    /// The value has the right shape but can't be served by.
    #[error("{} faults, first: {}", .faults.len(), .faults.first().map_or_else(String::new, ToString::to_string))]
    Faulty {
        /// Every fault at once.
        faults: Vec<Fault>,
    },
    /// The list names no entry instance, or no upstream although there were some. Somebody runs,
    /// else nobody could read it, so the list is wrong and the last one stays.
    #[error("the list has lost every {}", if matches!(.role, Role::Entry) { "entry instance" } else { "upstream" })]
    RoleMissing {
        /// What is missing.
        role: Role,
    },
}

impl Rejected {
    /// Whether an operator must look: the value can't come into force by waiting.
    pub fn is_alarm(&self) -> bool {
        !matches!(self, Self::Older { .. })
    }
}

/// A value that is in force.
#[derive(Debug, Clone)]
struct Held<T> {
    version: Version,
    hash: u64,
    raw: Arc<Value>,
    value: Arc<T>,
}

/// Who answered a starting instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The platform answered for this name, be it with a value or with "nothing newer".
    Platform(ValueName),
    /// A peer answered with its versions.
    Peer,
}

/// The three values in force, with their versions.
#[derive(Debug, Clone)]
pub struct Configuration {
    started: Instant,
    platform: [bool; ValueName::ALL.len()],
    peer: bool,
    ready: bool,
    table: Option<Held<Table>>,
    services: Option<Held<Services>>,
    instances: Option<Held<Instances>>,
}

impl Configuration {
    /// Makes an empty configuration of an instance that starts now.
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            platform: [false; ValueName::ALL.len()],
            peer: false,
            ready: false,
            table: None,
            services: None,
            instances: None,
        }
    }

    /// Offers a value that was read from the platform or came from a peer.
    ///
    /// # Errors
    /// The reason of the refusal; what was in force stays.
    pub fn offer(
        &mut self,
        name: ValueName,
        version: Version,
        value: &Value,
    ) -> Result<Accepted, Rejected> {
        let hash = hash_of(value);
        if let Some(held) = self.version(name) {
            if version < held.version {
                return Err(Rejected::Older {
                    held: held.version,
                    offered: version,
                });
            }
            if version == held.version {
                return if hash == held.hash {
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
                let held = decode(version, hash, value)?;
                not_all_gone(self.instances.as_ref().map(|h| &*h.value), &held.value)?;
                self.instances = Some(held);
            }
        }
        Ok(Accepted::Applied(version))
    }

    /// Notes that the platform or a peer answered, for the start.
    pub fn record_answer(&mut self, source: Source) {
        match source {
            Source::Platform(name) => self.platform[name as usize] = true,
            Source::Peer => self.peer = true,
        }
    }

    /// Whether the platform or a peer has answered, for the dump.
    pub fn has_answered(&self, source: Source) -> bool {
        match source {
            Source::Platform(name) => self.platform[name as usize],
            Source::Peer => self.peer,
        }
    }

    /// Whether callers may be served. Once true it stays true.
    ///
    /// A starting instance that read one old platform replica would serve by reverted limits;
    /// so both platform and peers are asked and the highest version taken. The one that does not
    /// answer within [`START_WAIT`] is done without.
    pub fn is_ready(&mut self, now: Instant) -> bool {
        let held = self.table.is_some() && self.services.is_some() && self.instances.is_some();
        let platform = self.platform.iter().all(|answered| *answered);
        let waited = now.duration_since(self.started) >= START_WAIT;
        self.ready |= held && (platform || self.peer) && ((platform && self.peer) || waited);
        self.ready
    }

    /// The version of a name that is in force.
    pub fn version(&self, name: ValueName) -> Option<ValueVersion> {
        fn versions<T>(name: ValueName, held: Option<&Held<T>>) -> Option<ValueVersion> {
            held.map(|h| ValueVersion {
                name,
                version: h.version,
                hash: h.hash,
            })
        }
        match name {
            ValueName::Table => versions(name, self.table.as_ref()),
            ValueName::Services => versions(name, self.services.as_ref()),
            ValueName::Instances => versions(name, self.instances.as_ref()),
        }
    }

    /// The text of a name that is in force, as published.
    pub fn raw_value(&self, name: ValueName) -> Option<Arc<Value>> {
        match name {
            ValueName::Table => self.table.as_ref().map(|h| Arc::clone(&h.raw)),
            ValueName::Services => self.services.as_ref().map(|h| Arc::clone(&h.raw)),
            ValueName::Instances => self.instances.as_ref().map(|h| Arc::clone(&h.raw)),
        }
    }
}

/// Hash of a value's text with sorted fields; it only has to tell two edits apart.
fn hash_of(value: &Value) -> u64 {
    xxh3_64(value.to_string().as_bytes())
}

fn decode<T>(version: Version, hash: u64, value: &Value) -> Result<Held<T>, Rejected>
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
    Ok(Held {
        version,
        hash,
        raw: Arc::new(value.clone()),
        value: Arc::new(decoded),
    })
}

fn not_all_gone(held: Option<&Instances>, offered: &Instances) -> Result<(), Rejected> {
    let has = |list: &Instances, role| list.instances.iter().any(|i| i.role == role);
    let lost = |role| held.is_some_and(|held| has(held, role)) && !has(offered, role);
    [Role::Entry, Role::Upstream]
        .into_iter()
        .find(|role| lost(*role))
        .map_or(Ok(()), |role| Err(Rejected::RoleMissing { role }))
}
