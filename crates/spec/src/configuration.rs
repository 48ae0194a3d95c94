//! Three instances, a platform with one replica that lags, and an operator who edits.
//!
//! Instances read either replica and announce to each other at any time; messages wait, cross and
//! may never arrive; an instance is killed and starts anew with nothing. The wait of a starting
//! instance ([`START_WAIT`](kingcupfield_decisions::configuration::START_WAIT)) does not pass
//! here: peers can be reached, so it must not serve by less than they do.

use std::fmt::Debug;

use kingcupfield_decisions::configuration::{
    Configuration, ConfigurationMessage, Source, ValueName,
};
use kingcupfield_decisions::id::Version;
use serde_json::{Value, json};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_128;

use crate::Model;

/// Instances of the model.
const INSTANCES: usize = 3;

/// Last version that the operator publishes.
const LAST: Version = 3;

/// Most messages under way at once.
const MOST_PACKETS: usize = 1;

/// A safeguard that is taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// Everything as designed.
    Whole,
    /// A value is taken whatever its version.
    NoVersionCheck,
    /// A starting instance serves as soon as the platform has answered.
    NoPeers,
}

/// What may happen.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// The operator publishes the next version.
    Publish,
    /// An instance reads the replica that is up to date.
    Read(usize),
    /// An instance reads the replica that still has the first version.
    ReadOld(usize),
    /// An instance announces to another.
    Announce(usize, usize),
    /// A message arrives.
    Deliver(Packet),
    /// An instance is killed and starts anew.
    Restart(usize),
}

/// A message under way.
#[derive(Debug, Clone, PartialEq)]
pub struct Packet {
    /// Who sent it.
    pub from: usize,
    /// Whom it is for.
    pub to: usize,
    /// The message.
    pub message: ConfigurationMessage,
}

#[derive(Debug, Clone)]
struct Node {
    cfg: Configuration,
    ready: bool,
    /// What every other serving instance had when this one started.
    floor: Version,
    /// Highest version that was in force in this life.
    highest: Version,
}

/// The world of one table.
#[derive(Debug, Clone)]
pub struct SpreadModel {
    variant: Variant,
    now: Instant,
    published: Version,
    nodes: [Node; INSTANCES],
    packets: Vec<Packet>,
    restarts: usize,
}

fn table(version: Version) -> Value {
    json!({"tiers": [{"tier": "t", "rank": 0, "weight": version}], "organisations": []})
}

fn empty(now: Instant) -> Configuration {
    let mut cfg = Configuration::new(now);
    let services = json!({"services": []});
    let instances = json!({"instances": []});
    for (name, value) in [
        (ValueName::Services, services),
        (ValueName::Instances, instances),
    ] {
        cfg.offer(name, 1, &value).expect("an empty value is valid");
        cfg.record_answer(Source::Platform(name));
    }
    cfg
}

impl SpreadModel {
    /// Makes the world in which all serve by the first version and instances may be started anew
    /// `restarts` times.
    pub fn new(variant: Variant, restarts: usize) -> Self {
        let now = Instant::now();
        let mut cfg = empty(now);
        cfg.offer(ValueName::Table, 1, &table(1)).expect("valid");
        cfg.record_answer(Source::Platform(ValueName::Table));
        cfg.record_answer(Source::Peer);
        let ready = cfg.is_ready(now);
        let node = Node {
            cfg,
            ready,
            floor: 0,
            highest: 1,
        };
        Self {
            variant,
            now,
            published: 1,
            nodes: [node.clone(), node.clone(), node],
            packets: Vec::new(),
            restarts,
        }
    }

    fn version(&self, node: usize) -> Version {
        let held = self.nodes[node].cfg.version(ValueName::Table);
        held.map_or(0, |v| v.version)
    }

    fn read(&mut self, node: usize, version: Version) {
        let cfg = &mut self.nodes[node].cfg;
        if self.variant == Variant::NoVersionCheck {
            *cfg = empty(self.now);
        }
        cfg.offer(ValueName::Table, version, &table(version)).ok();
        cfg.record_answer(Source::Platform(ValueName::Table));
    }

    fn deliver(&mut self, packet: &Packet) {
        self.packets.retain(|p| p != packet);
        let cfg = &mut self.nodes[packet.to].cfg;
        if let (Variant::NoVersionCheck, ConfigurationMessage::Give { .. }) =
            (self.variant, &packet.message)
        {
            *cfg = empty(self.now);
        }
        let reply = cfg.on_message(&packet.message);
        for message in reply.send {
            self.post(packet.to, packet.from, message);
        }
    }

    fn post(&mut self, from: usize, to: usize, message: ConfigurationMessage) {
        let packet = Packet { from, to, message };
        // The same message twice under way changes nothing; a bound keeps the world small.
        if self.packets.len() < MOST_PACKETS + 1 && !self.packets.contains(&packet) {
            self.packets.push(packet);
            self.packets.sort_by_cached_key(|p| format!("{p:?}"));
        }
    }

    fn restart(&mut self, node: usize) {
        self.restarts -= 1;
        let others = (0..INSTANCES).filter(|n| *n != node && self.nodes[*n].ready);
        let floor = others.map(|n| self.version(n)).min().unwrap_or(0);
        self.nodes[node] = Node {
            cfg: empty(self.now),
            ready: false,
            floor,
            highest: 0,
        };
        self.packets.retain(|p| p.to != node);
    }

    fn settle(&mut self) {
        for i in 0..INSTANCES {
            let node = &mut self.nodes[i];
            if self.variant == Variant::NoPeers {
                node.cfg.record_answer(Source::Peer);
            }
            node.ready = node.ready || node.cfg.is_ready(self.now);
            let version = node.cfg.version(ValueName::Table).map_or(0, |v| v.version);
            node.highest = node.highest.max(version);
        }
    }
}

impl Node {
    /// Everything in which two states of an instance can differ here.
    fn essence(&self) -> impl Debug {
        let heard =
            [Source::Platform(ValueName::Table), Source::Peer].map(|s| self.cfg.has_answered(s));
        let versions = self.cfg.version(ValueName::Table);
        (versions, heard, self.ready, self.floor, self.highest)
    }
}

impl Model for SpreadModel {
    type Action = Action;

    fn fingerprint(&self) -> u128 {
        let nodes = self.nodes.each_ref().map(Node::essence);
        let rest = (self.published, self.restarts, &self.packets);
        xxh3_128(format!("{nodes:?} {rest:?}").as_bytes())
    }

    fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.published < LAST {
            actions.push(Action::Publish);
        }
        for node in 0..INSTANCES {
            actions.extend([Action::Read(node), Action::ReadOld(node)]);
            if self.restarts > 0 {
                actions.push(Action::Restart(node));
            }
            if self.packets.len() < MOST_PACKETS {
                let others = (0..INSTANCES).filter(|to| *to != node);
                actions.extend(others.map(|to| Action::Announce(node, to)));
            }
        }
        actions.extend(self.packets.iter().cloned().map(Action::Deliver));
        actions
    }

    fn apply(&mut self, action: &Action) {
        match action {
            Action::Publish => self.published += 1,
            Action::Read(node) => self.read(*node, self.published),
            Action::ReadOld(node) => self.read(*node, 1),
            Action::Announce(from, to) => {
                let message = self.nodes[*from].cfg.announcement();
                self.post(*from, *to, message);
            }
            Action::Deliver(packet) => self.deliver(packet),
            Action::Restart(node) => self.restart(*node),
        }
        self.settle();
    }

    fn broken(&self) -> Option<&'static str> {
        for (i, node) in self.nodes.iter().enumerate() {
            if self.version(i) < node.highest {
                return Some("a version in force was taken back");
            }
            if node.ready && self.version(i) < node.floor {
                return Some("a started instance serves by less than all others did");
            }
        }
        None
    }
}
