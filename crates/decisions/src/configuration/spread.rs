//! Passing versions on between peers, so that a zone without the platform still follows.
//!
//! An instance announces after each acceptance to its neighbours and once a second to one of
//! them. With neighbours at ring distances 1, 2, 4 and so on a version reaches all of N instances
//! in about log2 N hops. The value itself goes only to who lacks it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::id::Version;

use super::{Accepted, Configuration, Rejected, Source, ValueName};

/// A version in force, with a hash by which two contents under one version are noticed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ValueVersion {
    /// Name of the value.
    pub name: ValueName,
    /// Its version.
    pub version: Version,
    /// Hash of its text.
    pub hash: u64,
}

/// Message between two instances about published values.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ConfigurationMessage {
    /// The sender's versions; the receiver answers with what the sender lacks.
    Announce {
        /// One for each value that the sender holds.
        versions: Vec<ValueVersion>,
        /// Whether the sender serves callers; one that only starts may itself have read an old
        /// platform replica, so its answer does not end another's start.
        ready: bool,
        /// Whether the receiver should announce back even if it holds nothing newer.
        answer: bool,
    },
    /// The sender lacks these.
    Ask {
        /// Names to give.
        names: Vec<ValueName>,
    },
    /// A value with its version.
    Give {
        /// Name of the value.
        name: ValueName,
        /// Its version.
        version: Version,
        /// Its text as published.
        value: Arc<Value>,
    },
}

/// What a message of a peer led to.
#[derive(Debug, Default, PartialEq)]
pub struct Reply {
    /// Messages back to the same peer.
    pub send: Vec<ConfigurationMessage>,
    /// The name that came into force; announce to the neighbours now.
    pub in_force: Option<ValueName>,
    /// A refusal to log, and to alarm on if [`Rejected::is_alarm`].
    pub rejected: Option<Rejected>,
}

impl Configuration {
    /// The versions in force, for an announcement.
    pub fn versions(&self) -> Vec<ValueVersion> {
        ValueName::ALL
            .into_iter()
            .filter_map(|name| self.version(name))
            .collect()
    }

    /// The announcement to a neighbour; a starting instance wants an answer.
    pub fn announcement(&self) -> ConfigurationMessage {
        ConfigurationMessage::Announce {
            versions: self.versions(),
            ready: self.ready,
            answer: !self.ready,
        }
    }

    /// Takes a message of a peer.
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
                    // Level with the peer or ahead of it: what it knew has arrived.
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
                    .filter_map(|name| self.give(name))
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

    fn on_announce(&self, theirs: &[ValueVersion]) -> Reply {
        let mut reply = Reply::default();
        let mut names = Vec::new();
        for name in ValueName::ALL {
            let held = self.version(name);
            let offered = theirs.iter().find(|v| v.name == name);
            match (held, offered) {
                (Some(h), Some(o)) if h.version == o.version && h.hash != o.hash => {
                    reply.rejected = Some(Rejected::Conflict { version: h.version });
                }
                (held, Some(o)) if held.is_none_or(|h| h.version < o.version) => names.push(name),
                (Some(h), offered) if offered.is_none_or(|o| o.version < h.version) => {
                    reply.send.extend(self.give(name));
                }
                _ => {}
            }
        }
        if !names.is_empty() {
            reply.send.push(ConfigurationMessage::Ask { names });
        }
        reply
    }

    fn give(&self, name: ValueName) -> Option<ConfigurationMessage> {
        Some(ConfigurationMessage::Give {
            name,
            version: self.version(name)?.version,
            value: self.raw_value(name)?,
        })
    }
}
