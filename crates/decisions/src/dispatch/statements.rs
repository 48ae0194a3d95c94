//! What replicas say about themselves: their limits, that they leave, and that they want rest.

use std::time::Duration;

use tokio::time::Instant;

use super::Dispatcher;
use crate::id::{InstanceAddress, UpstreamId};
use crate::replica_limit::{FleetMembers, LimitReport, ReplicaLimit};

impl Dispatcher {
    /// Applies what a response to this instance said about the limit of its replica, unless another
    /// incarnation of the replica has been published since.
    pub fn on_own_limit_report(
        &mut self,
        upstream: &UpstreamId,
        incarnation: u64,
        report: LimitReport,
    ) {
        if let Some((limit, fleet)) = self.shared_limit(upstream, incarnation) {
            limit.on_own_report(upstream, fleet, report);
        }
    }

    /// Applies what another instance was told about the limit of a replica.
    pub fn on_peer_limit_report(
        &mut self,
        upstream: &UpstreamId,
        incarnation: u64,
        report: LimitReport,
    ) {
        if let Some((limit, fleet)) = self.shared_limit(upstream, incarnation) {
            limit.on_peer_report(upstream, fleet, report);
        }
    }

    /// The limit of a replica and the fleet that shares it, if the replica is still the same incarnation.
    fn shared_limit(
        &mut self,
        upstream: &UpstreamId,
        incarnation: u64,
    ) -> Option<(&mut ReplicaLimit, &FleetMembers)> {
        let index = self.index_of_incarnation(upstream, incarnation)?;
        self.activate(index);
        Some((&mut self.upstreams[index].limit, &self.fleet))
    }

    /// Records that a replica has said that it shuts down, to this instance or to another one. It gets no
    /// new requests as long as it is the same incarnation. Returns whether this was not known before.
    pub fn on_said_leaving(&mut self, upstream: &UpstreamId, incarnation: u64) -> bool {
        let Some(index) = self.index_of_incarnation(upstream, incarnation) else {
            return false;
        };
        self.activate(index);
        !std::mem::replace(&mut self.upstreams[index].said_leaving, true)
    }

    /// Records that a replica has refused a request and wants no other of this instance for a time.
    pub fn on_rest(
        &mut self,
        now: Instant,
        upstream: &UpstreamId,
        incarnation: u64,
        rest: Duration,
    ) {
        if let Some(index) = self.index_of_incarnation(upstream, incarnation) {
            self.upstreams[index].rest.ask(now, rest);
        }
    }

    /// Whether a replica wants no request of this instance now.
    pub fn is_resting(&self, now: Instant, upstream: &UpstreamId) -> bool {
        self.get(upstream).is_some_and(|u| u.rest.holds(now))
    }

    /// Whether a replica has said that it shuts down.
    pub fn has_said_leaving(&self, upstream: &UpstreamId) -> bool {
        self.get(upstream).is_some_and(|u| u.said_leaving)
    }

    /// The replicas that have said that they shut down, and their incarnations.
    pub fn said_leaving(&self) -> impl Iterator<Item = (&UpstreamId, u64)> {
        let leaving = self.active_upstreams().filter(|u| u.said_leaving);
        leaving.map(|u| (&u.replica.id, u.replica.incarnation))
    }

    /// What this instance was told itself about the limits of replicas: the replica, its incarnation
    /// and the report.
    pub fn own_limit_reports(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&UpstreamId, u64, LimitReport)> {
        self.active_upstreams().filter_map(move |u| {
            let report = u.limit.own_report(now)?;
            Some((&u.replica.id, u.replica.incarnation, report))
        })
    }

    /// Replaces the list of all instances, which includes this one and those that don't respond.
    /// `None` if the list is unknown, this instance is shutting down or was suspended.
    pub fn update_fleet(&mut self, now: Instant, members: Option<Vec<InstanceAddress>>) {
        if !self.fleet.update(now, members) {
            return;
        }
        for u in &mut self.upstreams {
            u.limit.on_fleet_change(now, &u.replica.id, &self.fleet);
        }
    }

    /// Applies a suspension of the machine, during which the others may have changed the shares of
    /// limits. This instance has none until it knows the fleet again.
    pub fn on_suspension(&mut self, now: Instant, suspended: Duration) {
        self.update_fleet(now, None);
        for u in &mut self.upstreams {
            u.limit.on_suspension(suspended);
        }
    }

    /// The limit of a replica in force, in requests per second; `None` if there is none.
    pub fn limit_of(&self, now: Instant, upstream: &UpstreamId) -> Option<f64> {
        self.get(upstream)?.limit.per_s(now)
    }

    /// The limits in force, in requests per second.
    pub fn limits(&self, now: Instant) -> impl Iterator<Item = (&UpstreamId, f64)> {
        self.upstreams
            .iter()
            .filter_map(move |u| Some((&u.replica.id, u.limit.per_s(now)?)))
    }
}
