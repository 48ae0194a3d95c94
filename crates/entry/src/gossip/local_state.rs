//! The state that an instance reports to the others.

use std::net::Ipv4Addr;

use kingcupfield_decisions::dispatch::PriorityClass;
use kingcupfield_decisions::id::{NameHash, name_hash};
use kingcupfield_decisions::remote_load::ReplicaLoad;
use kingcupfield_decisions::store_view::Revision;
use tokio::time::Instant;

use crate::node::{Node, ProcessState};
use crate::peers::ReplicaPaceReport;

/// State whose changes are sent to the others at once.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct LocalState {
    /// Load of this instance at replicas; a replica without an entry has none.
    pub(super) loads: Vec<ReplicaLoad>,
    /// The most urgent class of the waiting requests, by the name hash of the service.
    pub(super) waiting: Vec<(NameHash, PriorityClass)>,
    /// Directory revision up to which this instance has all entries.
    pub(super) upto: Revision,
    /// Directory revision up to which this instance has the entries that are not large.
    pub(super) small_upto: Revision,
    /// Whether this instance reads the store, and its calls succeed.
    pub(super) reads_store: bool,
    /// Number of known instances of the own zone, including this one and the silent ones.
    pub(super) zone_size: u16,
    /// Limits that replicas named to this instance, or that have ended; in the order of their ids.
    pub(super) limits: Vec<(NameHash, Option<f64>)>,
    /// Replicas that have said that they shut down, with their start times in Unix milliseconds.
    pub(super) leaving_replicas: Vec<(NameHash, u64)>,
    /// Bounds on the requests at replicas that have just started or recovered.
    pub(super) paces: Vec<ReplicaPaceReport>,
    /// Whether this instance closes its connections to shut down.
    pub(super) leaving: bool,
}

impl LocalState {
    /// Whether the other cells and zones have to know of this state before the next heartbeat.
    ///
    /// The load at replicas concerns the own cell. A new directory revision spreads from the few
    /// instances that read the store.
    pub(super) fn is_news(&self, last_sent: &Self) -> bool {
        self.leaving != last_sent.leaving
            || self.reads_store != last_sent.reads_store
            || self.reads_store && self.upto != last_sent.upto
            || self.reads_store && self.small_upto != last_sent.small_upto
            || self.limits != last_sent.limits
            || self.leaving_replicas != last_sent.leaving_replicas
            || self.paces != last_sent.paces
    }
}

/// Reads the current state from the node.
pub(super) fn local_state(node: &Node) -> LocalState {
    let view = node.directory.borrow();
    LocalState {
        loads: local_loads(node),
        waiting: waiting_classes(node),
        upto: view.complete_up_to(),
        small_upto: view.small_up_to(),
        reads_store: node.reported_store_age().is_some() && node.reads_store(),
        zone_size: node.peers.borrow().zone_size() as u16,
        limits: named_limits(node),
        leaving_replicas: node.leaving_replicas(),
        paces: node.own_pace_reports(),
        leaving: node.process_state() >= ProcessState::Closing,
    }
}

/// Name hashes of the replicas to which connections of this instance failed recently.
pub(super) fn unreachable_replicas(node: &Node) -> Vec<NameHash> {
    let now = Instant::now();
    let dispatch = node.dispatch.borrow();
    dispatch
        .unreachable_replicas(now)
        .map(|id| name_hash(id))
        .collect()
}

/// Load of this instance at replicas, without those where it has no running request.
fn local_loads(node: &Node) -> Vec<ReplicaLoad> {
    node.dispatch
        .borrow()
        .own_load()
        .map(|(id, running, prompt)| ReplicaLoad {
            replica: name_hash(id),
            running: running as u16,
            prompt: prompt as u32,
        })
        .collect()
}

/// What replicas told this instance about their limits, in the order of their ids.
fn named_limits(node: &Node) -> Vec<(NameHash, Option<f64>)> {
    node.dispatch
        .borrow()
        .own_limit_reports(Instant::now())
        .map(|(id, _, report)| (name_hash(id), report.per_s))
        .collect()
}

/// The most urgent class of the waiting requests, by service.
fn waiting_classes(node: &Node) -> Vec<(NameHash, PriorityClass)> {
    let classes = node
        .dispatch
        .borrow()
        .highest_waiting_priorities(Instant::now());
    let by_name_hash = classes
        .into_iter()
        .map(|(service, class)| (name_hash(&service), class));
    by_name_hash.collect()
}

/// Measured time per generation step of replicas, in microseconds.
pub(super) fn local_step_times(node: &Node) -> Vec<(NameHash, u32)> {
    node.dispatch
        .borrow()
        .own_step_times()
        .map(|(id, step_ms)| (name_hash(id), (step_ms * 1000.0) as u32))
        .collect()
}

/// The other live instances by zone, sorted by the zone's name hash.
pub(super) fn live_members(node: &Node) -> Vec<(NameHash, Vec<Ipv4Addr>)> {
    let now = Instant::now();
    let peers = node.peers.borrow();
    let live = peers.live(now);
    let mut by_zone: Vec<(NameHash, Vec<Ipv4Addr>)> = Vec::new();
    for peer in live {
        let zone = peer.digest.zone;
        match by_zone.binary_search_by_key(&zone, |(name, _)| *name) {
            Ok(index) => by_zone[index].1.push(peer.address),
            Err(index) => by_zone.insert(index, (zone, vec![peer.address])),
        }
    }
    by_zone
}
