//! Where the messages of other instances go, by kind.

use kingcupfield_decisions::configuration::ConfigurationMessage;
use kingcupfield_decisions::id::InstanceId;

use crate::fleet::Fleet;
use crate::limits::Limits;
use crate::members::Members;
use crate::message::{Envelope, PeerMessage, UnpackError};
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::slots::Slots;

/// Hands messages to the services that they are for; clones share the handles.
#[derive(Debug, Clone)]
pub struct Inbox {
    /// The fleet.
    pub fleet: Fleet,
    /// Membership.
    pub members: Members,
    /// Slots and levels.
    pub slots: Slots,
    /// Limits of organisations.
    pub limits: Limits,
    /// Links for answers.
    pub peers: Peers,
    /// Metrics.
    pub metrics: Metrics,
}

impl Inbox {
    /// Takes the messages of one envelope in order.
    pub fn take(&self, envelope: &Envelope) -> Result<(), UnpackError> {
        let from = &envelope.from;
        for message in envelope.messages()? {
            let counter = &self.metrics.peer_messages;
            counter
                .with_label_values(&["received", message.kind()])
                .inc();
            self.take_one(from, message);
        }
        Ok(())
    }

    /// Values that a starting peer lacks.
    pub fn values(&self, announce: &ConfigurationMessage) -> Vec<ConfigurationMessage> {
        self.fleet.on_peer(announce).send
    }

    fn take_one(&self, from: &InstanceId, message: PeerMessage) {
        match message {
            PeerMessage::Membership(message) => self.members.on_peer(from, message),
            PeerMessage::Configuration(message) => self.on_configuration(from, &message),
            PeerMessage::ToLimitOwner(message) => {
                if let Some(answer) = self.limits.on_ask(from, &message) {
                    self.peers.send(from, PeerMessage::ToLimitMember(answer));
                }
            }
            PeerMessage::ToLimitMember(message) => self.limits.on_lease(&message),
            PeerMessage::ToOwner { .. }
            | PeerMessage::ToHolder { .. }
            | PeerMessage::ToLevelOwner { .. }
            | PeerMessage::ToLevelMember { .. }
            | PeerMessage::Digests(_) => self.slots.on_peer_message(from, message),
        }
    }

    fn on_configuration(&self, from: &InstanceId, message: &ConfigurationMessage) {
        for answer in self.fleet.on_peer(message).send {
            self.peers.send(from, PeerMessage::Configuration(answer));
        }
    }
}
