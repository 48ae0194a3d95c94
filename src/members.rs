//! The membership service: who lives, which upstreams leave, and the spreading of values.

use std::sync::Arc;
use std::time::Duration;

use kingcupfield_decisions::configuration::ValueName;
use kingcupfield_decisions::id::{Incarnation, InstanceId, UpstreamId, ZoneId};
use kingcupfield_decisions::membership::{Envelope, InstanceStatus, Membership, MembershipMessage};
use kingcupfield_decisions::values::{Instance, Role};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::fleet::{Fleet, Snapshot};
use crate::message::PeerMessage;
use crate::peers::Peers;

/// Name of the service in the kernel.
pub const MEMBERS: &str = "members";

/// Messages that wait for the service; more are dropped, heartbeats repeat them.
const MAILBOX: usize = 1024;

/// How often the state machine takes the time.
const TICK: Duration = Duration::from_millis(100);

/// How often one neighbour hears which versions are in force.
const ANNOUNCE_EVERY: Duration = Duration::from_secs(1);

/// Live entry instances of one zone, sorted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ZoneLive {
    /// The zone.
    pub zone: ZoneId,
    /// Its live instances.
    pub instances: Vec<InstanceId>,
}

/// What the other services need of the membership.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct View {
    /// Live entry instances by zone, sorted.
    pub live: Vec<ZoneLive>,
    /// Upstreams that leave, sorted.
    pub leaving_upstreams: Vec<UpstreamId>,
    /// Whether this instance waits on the platform for its zone.
    pub reads_platform: bool,
    /// Whether a later process runs under this instance's name.
    pub superseded: bool,
    /// The listed entry instances, sorted.
    pub known: Vec<KnownInstance>,
}

/// What is known of one entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct KnownInstance {
    /// The instance.
    pub instance: InstanceId,
    /// Its latest incarnation, once heard of.
    pub incarnation: Option<Incarnation>,
    /// Whether it is gone, or cut off from here.
    pub dead: bool,
}

impl View {
    /// Live entry instances of `zone`.
    pub fn live(&self, zone: &str) -> &[InstanceId] {
        let at = self.live.binary_search_by(|z| (*z.zone).cmp(zone));
        at.map_or(&[], |at| &self.live[at].instances)
    }

    /// Whether `instance` lives, in any zone.
    pub fn is_live(&self, instance: &InstanceId) -> bool {
        self.live
            .iter()
            .any(|z| z.instances.binary_search(instance).is_ok())
    }

    /// Latest incarnation of `instance` that was heard of.
    pub fn incarnation(&self, instance: &str) -> Option<Incarnation> {
        self.known(instance)?.incarnation
    }

    /// Whether `instance` is gone, or cut off from here.
    pub fn is_dead(&self, instance: &str) -> bool {
        self.known(instance).is_some_and(|k| k.dead)
    }

    fn known(&self, instance: &str) -> Option<&KnownInstance> {
        let at = self
            .known
            .binary_search_by(|k| (*k.instance).cmp(instance))
            .ok()?;
        Some(&self.known[at])
    }

    /// Whether `upstream` leaves.
    pub fn is_leaving(&self, upstream: &UpstreamId) -> bool {
        self.leaving_upstreams.binary_search(upstream).is_ok()
    }
}

#[derive(Debug)]
enum Message {
    Peer {
        from: InstanceId,
        message: MembershipMessage,
    },
    UpstreamLeaving(UpstreamId),
    Leave,
    Dump(oneshot::Sender<Value>),
}

/// Handle of the service; clones share it.
#[derive(Debug, Clone)]
pub struct Members {
    tx: mpsc::Sender<Message>,
    view: watch::Receiver<Arc<View>>,
}

impl Members {
    /// Makes the service of instance `me`; the task is to be spawned.
    pub fn new(
        me: InstanceId,
        incarnation: Incarnation,
        zone: ZoneId,
        fleet: Fleet,
        peers: Peers,
    ) -> (Self, MembersTask) {
        let (tx, rx) = mpsc::channel(MAILBOX);
        let now = Instant::now();
        let state = Membership::new(me, incarnation, zone, now);
        let (view_tx, view) = watch::channel(Arc::new(view_of(&state, &fleet.snapshot())));
        let task = MembersTask {
            state,
            fleet,
            peers,
            rx,
            view: view_tx,
            announced: now,
            turn: 0,
        };
        (Self { tx, view }, task)
    }

    /// The membership as of now.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Follows the membership.
    pub fn watch(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }

    /// Ends when `instance` is known to be gone or cut off.
    pub async fn gone(&self, instance: &InstanceId) {
        let mut view = self.view.clone();
        if view.wait_for(|v| v.is_dead(instance)).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Ends when a later process runs under this instance's name: peers send to that one only, so
    /// this one has to leave.
    pub async fn superseded(&self) {
        let mut view = self.view.clone();
        if view.wait_for(|v| v.superseded).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Takes a message of a peer.
    pub fn on_peer(&self, from: &InstanceId, message: MembershipMessage) {
        self.tx
            .try_send(Message::Peer {
                from: from.clone(),
                message,
            })
            .ok();
    }

    /// Notes a replica's own word that it leaves.
    pub fn on_upstream_leaving(&self, upstream: &UpstreamId) {
        self.tx
            .try_send(Message::UpstreamLeaving(upstream.clone()))
            .ok();
    }

    /// Announces that this instance leaves.
    pub async fn leave(&self) {
        self.tx.send(Message::Leave).await.ok();
    }

    /// State for the dump.
    pub async fn dump(&self) -> Value {
        let (tx, rx) = oneshot::channel();
        self.tx.send(Message::Dump(tx)).await.ok();
        rx.await.unwrap_or_default()
    }
}

/// Task of the service.
#[derive(Debug)]
pub struct MembersTask {
    state: Membership,
    fleet: Fleet,
    peers: Peers,
    rx: mpsc::Receiver<Message>,
    view: watch::Sender<Arc<View>>,
    announced: Instant,
    turn: usize,
}

impl MembersTask {
    /// Runs for ever.
    pub async fn run(mut self) {
        let mut fleet = self.fleet.watch();
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let sends = tokio::select! {
                message = self.rx.recv() => match message {
                    Some(message) => self.on_message(message),
                    None => return,
                },
                _ = ticks.tick() => self.on_tick(),
                Ok(()) = fleet.changed() => {
                    let snapshot = fleet.borrow_and_update().clone();
                    self.on_fleet(&snapshot)
                }
            };
            for send in sends {
                self.peers
                    .send(&send.to, PeerMessage::Membership(send.message));
            }
            self.publish();
        }
    }

    fn on_message(&mut self, message: Message) -> Vec<Envelope> {
        let now = Instant::now();
        match message {
            Message::Peer { from, message } => self.state.on_message(now, &from, &message),
            Message::UpstreamLeaving(upstream) => self.state.on_upstream_leaving(now, &upstream),
            Message::Leave => self.state.leave(),
            Message::Dump(tx) => {
                let neighbours: Vec<_> = self.state.relay_targets();
                let view = view_of(&self.state, &self.fleet.snapshot());
                let neighbours: Vec<&str> = neighbours.iter().map(|n| &**n).collect();
                tx.send(json!({"view": view, "neighbours": neighbours, "superseded": self.state.is_superseded()})).ok();
                Vec::new()
            }
        }
    }

    fn on_tick(&mut self) -> Vec<Envelope> {
        let now = Instant::now();
        let sends = self.state.on_tick(now);
        if now.duration_since(self.announced) >= ANNOUNCE_EVERY {
            self.announced = now;
            self.turn = self.turn.wrapping_add(1);
            let neighbours = self.state.relay_targets();
            if let Some(to) = neighbours.get(self.turn % neighbours.len().max(1)) {
                self.announce(to);
            }
        }
        sends
    }

    fn on_fleet(&mut self, snapshot: &Snapshot) -> Vec<Envelope> {
        let version = snapshot.version(ValueName::Instances).unwrap_or(0);
        let sends = self
            .state
            .on_instance_list(Instant::now(), version, &snapshot.instances);
        for to in self.state.relay_targets() {
            self.announce(&to);
        }
        sends
    }

    fn announce(&self, to: &InstanceId) {
        let announcement = self.fleet.announcement();
        self.peers
            .send(to, PeerMessage::Configuration(announcement));
    }

    fn publish(&self) {
        let view = view_of(&self.state, &self.fleet.snapshot());
        self.view.send_if_modified(|known| {
            let changed = **known != view;
            if changed {
                *known = Arc::new(view);
            }
            changed
        });
    }
}

fn view_of(state: &Membership, snapshot: &Snapshot) -> View {
    let known = |i: &Instance| KnownInstance {
        instance: i.instance.clone(),
        incarnation: state.incarnation(&i.instance),
        dead: state.status(&i.instance) == Some(InstanceStatus::Dead),
    };
    let live = state.zones().map(|zone| ZoneLive {
        zone: zone.clone(),
        instances: state.live_instances(zone).to_vec(),
    });
    View {
        live: live.collect(),
        leaving_upstreams: state.leaving_upstreams().to_vec(),
        reads_platform: state.reads_platform(),
        superseded: state.is_superseded(),
        known: snapshot
            .instances
            .instances
            .iter()
            .filter(|i| i.role == Role::Entry)
            .map(known)
            .collect(),
    }
}
