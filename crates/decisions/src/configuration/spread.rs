//! Exchange of published values between peers, so that a zone without access to the platform still
//! receives them.
//!
//! An instance announces its versions to its neighbours after each acceptance, and to one of them
//! once per second. With neighbours at ring distances 1, 2, 4 and so on, a version reaches all of N
//! instances in about log2 N hops. The value itself is sent only to instances that lack it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::id::Version;

use super::{Accepted, Configuration, Rejected, Source, ValueName};

/// Version of a value in force, with a hash that reveals different contents under the same version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ValueVersion {
    /// Name of the value.
    pub name: ValueName,
    /// Version of the value.
    pub version: Version,
    /// Hash of the text of the value.
    pub hash: u64,
}

/// Message between two instances about published values.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ConfigurationMessage {
    /// Versions of the sender; the receiver answers with the values that the sender lacks.
    Announce {
        /// One for each value that the sender has in force.
        versions: Vec<ValueVersion>,
        /// Whether the sender serves callers. A starting sender may have read an old platform
        /// replica, so its answer does not complete the start of the receiver.
        ready: bool,
        /// Whether the receiver should answer with an announcement even if it has nothing newer.
        answer: bool,
    },
    /// Asks for values that the sender lacks.
    Ask {
        /// Names of the values.
        names: Vec<ValueName>,
    },
    /// Sends a value with its version.
    Give {
        /// Name of the value.
        name: ValueName,
        /// Version of the value.
        version: Version,
        /// Text of the value, as published.
        value: Arc<Value>,
    },
}

/// Result of a message from a peer.
#[derive(Debug, Default, PartialEq)]
pub struct Reply {
    /// Messages to send back to the same peer.
    pub send: Vec<ConfigurationMessage>,
    /// Name of a value that came into force; the caller announces it to the neighbours.
    pub in_force: Option<ValueName>,
    /// A refusal to log, with an alarm if [`Rejected::is_alarm`].
    pub rejected: Option<Rejected>,
}

impl Configuration {
    /// Versions of all values in force.
    pub fn versions(&self) -> Vec<ValueVersion> {
        ValueName::ALL
            .into_iter()
            .filter_map(|name| self.version(name))
            .collect()
    }

    /// Announcement to a neighbour; a starting instance asks for an answer.
    pub fn announcement(&self) -> ConfigurationMessage {
        ConfigurationMessage::Announce {
            versions: self.versions(),
            ready: self.ready,
            answer: !self.ready,
        }
    }

    /// Handles a message from a peer.
    pub fn on_message(&mut self, message: &ConfigurationMessage) -> Reply {
        match message {
            ConfigurationMessage::Announce {
                versions,
                ready,
                answer,
            } => {
                let mut reply = self.on_announce(versions);
                if *ready
                    && !reply
                        .send
                        .iter()
                        .any(|m| matches!(m, ConfigurationMessage::Ask { .. }))
                {
                    // This instance now has all that the peer has announced.
                    self.record_answer(Source::Peer);
                }
                if *answer {
                    reply.send.push(ConfigurationMessage::Announce {
                        versions: self.versions(),
                        ready: self.ready,
                        answer: false,
                    });
                }
                reply
            }
            ConfigurationMessage::Ask { names } => Reply {
                send: ValueName::ALL
                    .into_iter()
                    .filter(|name| names.contains(name))
                    .filter_map(|name| self.value_message(name))
                    .collect(),
                ..Reply::default()
            },
            ConfigurationMessage::Give {
                name,
                version,
                value,
            } => match self.offer(*name, *version, value) {
                Ok(Accepted::Applied(_)) => Reply {
                    in_force: Some(*name),
                    ..Reply::default()
                },
                Ok(Accepted::Unchanged(_)) | Err(Rejected::Older { .. }) => Reply::default(),
                Err(rejected) => Reply {
                    rejected: Some(rejected),
                    ..Reply::default()
                },
            },
        }
    }

    fn on_announce(&self, announced: &[ValueVersion]) -> Reply {
        let mut reply = Reply::default();
        let mut names = Vec::new();
        for name in ValueName::ALL {
            let held = self.version(name);
            let offered = announced.iter().find(|v| v.name == name);
            match (held, offered) {
                (Some(h), Some(o)) if h.version == o.version && h.hash != o.hash => {
                    reply.rejected = Some(Rejected::Conflict { version: h.version });
                }
                (held, Some(o)) if held.is_none_or(|h| h.version < o.version) => names.push(name),
                (Some(h), offered) if offered.is_none_or(|o| o.version < h.version) => {
                    reply.send.extend(self.value_message(name));
                }
                _ => {}
            }
        }
        if !names.is_empty() {
            reply.send.push(ConfigurationMessage::Ask { names });
        }
        reply
    }

    fn value_message(&self, name: ValueName) -> Option<ConfigurationMessage> {
        Some(ConfigurationMessage::Give {
            name,
            version: self.version(name)?.version,
            value: self.raw_value(name)?,
        })
    }
}
