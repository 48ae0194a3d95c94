//! Many real memberships and configurations in virtual time, for figures and longer schedules
//! than can be explored: messages take time and some are lost, by a seed.

use std::sync::Arc;
use std::time::Duration;

use kingcupfield_decisions::configuration::{Configuration, ConfigurationMessage, ValueName};
use kingcupfield_decisions::id::{InstanceId, Version};
use kingcupfield_decisions::membership::{InstanceStatus, Membership, MembershipMessage};
use kingcupfield_decisions::values::{Instance, Instances, Role, State};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::time::Instant;

/// Resolution of the clock.
const STEP: Duration = Duration::from_millis(5);

/// How often an instance looks at the clock.
const TICK: Duration = Duration::from_millis(50);

/// How often an instance announces its versions to one neighbour.
const ANNOUNCE_EVERY: Duration = Duration::from_secs(1);

/// One zone and its number of instances.
#[derive(Debug, Clone, Copy)]
pub struct Zone {
    /// Name of the zone.
    pub name: &'static str,
    /// Number of entry instances.
    pub instances: usize,
}

/// How messages fare.
#[derive(Debug, Clone, Copy)]
pub struct Network {
    /// Time inside a zone.
    pub within: Duration,
    /// Time between zones.
    pub between: Duration,
    /// Share of messages that are lost, in per cent.
    pub loss: u32,
}

#[derive(Debug)]
struct Member {
    id: InstanceId,
    zone: &'static str,
    up: bool,
    membership: Membership,
    cfg: Configuration,
    announced: Instant,
    turn: usize,
}

#[derive(Debug)]
enum Message {
    Membership(MembershipMessage),
    Configuration(ConfigurationMessage),
}

#[derive(Debug)]
struct Mail {
    at: Instant,
    from: usize,
    to: usize,
    message: Message,
}

/// Entry instances with their own views, and the messages between them.
#[derive(Debug)]
pub struct Fleet {
    now: Instant,
    ticked: Instant,
    network: Network,
    rng: ChaCha8Rng,
    members: Vec<Member>,
    mail: Vec<Mail>,
    bytes: usize,
}

impl Fleet {
    /// Starts all instances of `zones` and lets them get to know each other.
    pub fn new(zones: &[Zone], network: Network, seed: u64) -> Self {
        let now = Instant::now();
        let mut members = Vec::new();
        for zone in zones {
            for n in 0..zone.instances {
                let id: InstanceId = format!("{}-{n:03}", zone.name).into();
                members.push(Member {
                    membership: Membership::new(Arc::clone(&id), 1, zone.name.into(), now),
                    cfg: Configuration::new(now),
                    id,
                    zone: zone.name,
                    up: true,
                    announced: now,
                    turn: 0,
                });
            }
        }
        members.sort_by(|a, b| a.id.cmp(&b.id));
        let mut fleet = Self {
            now,
            ticked: now,
            network,
            rng: ChaCha8Rng::seed_from_u64(seed),
            members,
            mail: Vec::new(),
            bytes: 0,
        };
        let list = fleet.list();
        for i in 0..fleet.members.len() {
            let sends = fleet.members[i].membership.on_instance_list(now, 1, &list);
            fleet.post_membership(i, sends);
            fleet.offer(i, 1);
        }
        fleet.run(Duration::from_secs(3));
        fleet
    }

    fn list(&self) -> Instances {
        let row = |m: &Member| Instance {
            instance: Arc::clone(&m.id),
            role: Role::Entry,
            availability_zone: m.zone.into(),
            region: m.zone.into(),
            address: "127.0.0.1:1".to_owned(),
            rpc_address: Some("127.0.0.1:2".to_owned()),
            service: None,
            generation: None,
            state: State::Live,
        };
        Instances {
            instances: self.members.iter().map(row).collect(),
        }
    }

    /// Kills an instance; the list goes on naming it.
    pub fn kill(&mut self, instance: usize) {
        self.members[instance].up = false;
    }

    /// Lets one instance read a version of the table from the platform.
    pub fn offer(&mut self, instance: usize, version: Version) {
        let offered = self.members[instance]
            .cfg
            .offer(ValueName::Table, version, &table(version));
        if offered.is_ok() {
            self.announce_to_all(instance);
        }
    }

    /// Runs for a while.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until the given share of the instances that are up hold `instance` dead; returns the
    /// time it took, or none after `limit`.
    pub fn until_dead(&mut self, instance: usize, share: f64, limit: Duration) -> Option<Duration> {
        let id = Arc::clone(&self.members[instance].id);
        let zone = self.members[instance].zone;
        self.until(limit, share, |m| {
            m.zone != zone || m.membership.status(&id) == Some(InstanceStatus::Dead)
        })
    }

    /// Runs until the given share of the instances that are up have this version of the table in
    /// force.
    pub fn until_in_force(
        &mut self,
        version: Version,
        share: f64,
        limit: Duration,
    ) -> Option<Duration> {
        self.until(limit, share, |m| {
            m.cfg
                .version(ValueName::Table)
                .is_some_and(|v| v.version == version)
        })
    }

    fn until<F>(&mut self, limit: Duration, share: f64, holds: F) -> Option<Duration>
    where
        F: Fn(&Member) -> bool,
    {
        let start = self.now;
        while self.now - start < limit {
            let up = self.members.iter().filter(|m| m.up);
            let wanted = share * up.clone().count() as f64;
            if up.filter(|m| holds(m)).count() as f64 >= wanted {
                return Some(self.now - start);
            }
            self.step();
        }
        None
    }

    /// Bytes sent so far by all instances, as JSON without envelopes; starts anew.
    pub fn take_bytes(&mut self) -> usize {
        std::mem::take(&mut self.bytes)
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.mail)
            .into_iter()
            .partition::<Vec<_>, _>(|m| m.at <= now);
        self.mail = later;
        for mail in due {
            if self.members[mail.to].up && self.members[mail.from].up {
                self.deliver(&mail);
            }
        }
        if now < self.ticked + TICK {
            return;
        }
        self.ticked = now;
        for i in 0..self.members.len() {
            if self.members[i].up {
                self.tick(i);
            }
        }
    }

    fn tick(&mut self, i: usize) {
        let now = self.now;
        let member = &mut self.members[i];
        let sends = member.membership.on_tick(now);
        let announces = now - member.announced >= ANNOUNCE_EVERY;
        self.post_membership(i, sends);
        if announces {
            self.announce_to_one(i);
        }
    }

    fn announce_to_one(&mut self, i: usize) {
        let member = &mut self.members[i];
        member.announced = self.now;
        member.turn += 1;
        let neighbours = member.membership.relay_targets();
        let message = member.cfg.announcement();
        if let Some(to) = neighbours.get(member.turn % neighbours.len().max(1)) {
            let to = self.position(to);
            self.post(i, to, Message::Configuration(message));
        }
    }

    fn announce_to_all(&mut self, i: usize) {
        let message = self.members[i].cfg.announcement();
        for to in self.members[i].membership.relay_targets() {
            let to = self.position(&to);
            self.post(i, to, Message::Configuration(message.clone()));
        }
    }

    fn deliver(&mut self, mail: &Mail) {
        let from = Arc::clone(&self.members[mail.from].id);
        match &mail.message {
            Message::Membership(message) => {
                let membership = &mut self.members[mail.to].membership;
                let sends = membership.on_message(self.now, &from, message);
                self.post_membership(mail.to, sends);
            }
            Message::Configuration(message) => {
                let reply = self.members[mail.to].cfg.on_message(message);
                for message in reply.send {
                    self.post(mail.to, mail.from, Message::Configuration(message));
                }
                if reply.in_force.is_some() {
                    self.announce_to_all(mail.to);
                }
            }
        }
    }

    fn post_membership(
        &mut self,
        from: usize,
        sends: Vec<kingcupfield_decisions::membership::Envelope>,
    ) {
        for send in sends {
            let to = self.position(&send.to);
            self.post(from, to, Message::Membership(send.message));
        }
    }

    fn post(&mut self, from: usize, to: usize, message: Message) {
        let text = match &message {
            Message::Membership(m) => serde_json::to_string(m),
            Message::Configuration(m) => serde_json::to_string(m),
        };
        self.bytes += text.map_or(0, |t| t.len());
        if self.rng.random_range(0..100) < self.network.loss {
            return;
        }
        let near = self.members[from].zone == self.members[to].zone;
        let takes = if near {
            self.network.within
        } else {
            self.network.between
        };
        let at = self.now + takes;
        self.mail.push(Mail {
            at,
            from,
            to,
            message,
        });
    }

    fn position(&self, id: &InstanceId) -> usize {
        self.members
            .binary_search_by(|m| m.id.cmp(id))
            .expect("messages go to instances of the fleet")
    }
}

fn table(version: Version) -> Value {
    json!({"tiers": [{"tier": "t", "rank": 0, "weight": version}], "organisations": []})
}
