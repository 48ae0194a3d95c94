//! The limit of one replica and this instance's part in it.

use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::gate::LimitGate;
use super::known::{KnownLimit, LimitReport};
use super::share::{Position, window};
use crate::id::{InstanceAddress, UpstreamId};

/// Windows without a response from a limited replica after which it is preferred for a request. It
/// would otherwise get none for as long as others are better, although its limit may have ended.
const PROBE_WINDOWS: u32 = 2;

/// Span over which the instances drop a limit that nobody confirms any more. If all did so at once, the
/// replica would get a request of each of them before one could tell the others that the limit holds.
const MAX_PATIENCE: Duration = Duration::from_mins(4);

/// The instances of the fleet, as needed to share a limit.
#[derive(Debug, Clone, Default)]
pub struct FleetMembers {
    /// Address of this instance.
    own: InstanceAddress,
    /// All instances including this one and those that don't respond; `None` while this instance
    /// doesn't know them, shuts down or was just suspended.
    members: Option<Vec<InstanceAddress>>,
    /// When the members last changed.
    changed_at: Option<Instant>,
}

impl FleetMembers {
    /// Sets the address of this instance.
    pub fn set_own(&mut self, own: InstanceAddress) {
        self.own = own;
    }

    /// Replaces the members; returns whether they changed.
    pub fn update(&mut self, now: Instant, members: Option<Vec<InstanceAddress>>) -> bool {
        let changed = self.members != members;
        if changed {
            self.members = members;
            self.changed_at = Some(now);
        }
        changed
    }

    /// Position of this instance in the order for one replica.
    fn position(&self, replica: &UpstreamId) -> Option<Position> {
        Position::of(self.own, self.members.as_deref()?, replica)
    }

    /// Time for which this instance keeps an unconfirmed limit longer than the first one does.
    fn patience(&self) -> Duration {
        let share = xxh3_64(&self.own.to_be_bytes()) as f64 / u64::MAX as f64;
        MAX_PATIENCE.mul_f64(share)
    }
}

/// The limit of one replica, if it has named one, and the requests that this instance sent to it.
#[derive(Debug, Clone, Default)]
pub struct ReplicaLimit {
    known: KnownLimit,
    gate: LimitGate,
    /// Time for which an unconfirmed limit is kept longer than others keep it.
    patience: Duration,
}

impl ReplicaLimit {
    /// Applies what a response to this instance said.
    pub fn on_own_report(&mut self, replica: &UpstreamId, fleet: &FleetMembers, r: LimitReport) {
        self.start_sharing(replica, fleet, r);
        self.known.on_own_report(r);
    }

    /// Applies what another instance was told.
    pub fn on_peer_report(&mut self, replica: &UpstreamId, fleet: &FleetMembers, r: LimitReport) {
        self.start_sharing(replica, fleet, r);
        self.known.on_peer_report(r);
    }

    /// Determines the position of this instance when the replica names its first limit. If the members
    /// changed a short time ago, the share counts from then on.
    fn start_sharing(&mut self, replica: &UpstreamId, fleet: &FleetMembers, report: LimitReport) {
        if self.is_shared() || report.per_s.is_none() {
            return;
        }
        self.patience = fleet.patience();
        if let Some(changed_at) = fleet.changed_at {
            self.gate.set_position(changed_at, fleet.position(replica));
        }
    }

    /// Applies a change of the members.
    pub fn on_fleet_change(&mut self, now: Instant, replica: &UpstreamId, fleet: &FleetMembers) {
        if self.is_shared() {
            self.gate.set_position(now, fleet.position(replica));
        }
    }

    /// Applies a suspension of the machine.
    pub fn on_suspension(&mut self, suspended: Duration) {
        self.known.on_suspension(suspended);
    }

    /// Records a request to the replica.
    pub fn on_dispatch(&mut self, now: Instant) {
        self.gate.on_dispatch(now);
    }

    /// The limit in force in requests per second, which all instances share.
    pub fn per_s(&self, now: Instant) -> Option<f64> {
        self.known.per_s(now, self.patience)
    }

    /// Whether the limit, if there is one, permits another request of this instance now.
    pub fn admits(&self, now: Instant) -> bool {
        let limit = self.per_s(now);
        limit.is_none_or(|per_s| self.gate.admits(now, per_s))
    }

    /// Whether a request should go to the replica only to learn whether its limit still holds.
    pub fn needs_probe(&self, now: Instant) -> bool {
        let limit = self.per_s(now).zip(self.known.confirmed_at());
        limit.is_some_and(|(per_s, at)| {
            now.saturating_duration_since(at) >= window(per_s) * PROBE_WINDOWS
        })
    }

    /// What the other instances should be told.
    pub fn own_report(&self, now: Instant) -> Option<LimitReport> {
        self.known.own_report(now)
    }

    /// Whether the replica has ever named a limit, so that the position of this instance is known.
    fn is_shared(&self) -> bool {
        self.known.confirmed_at().is_some()
    }
}
