//! What is known of one other instance.

use std::net::Ipv4Addr;

use kingcupfield_decisions::id::NameHash;
use kingcupfield_decisions::remote_load::{RemoteLoad, ReplicaLoad};
use tokio::time::Instant;

use super::{Digest, FORGOTTEN, SILENT};

/// What is known of one other instance.
#[derive(Debug)]
pub struct Peer {
    /// Its address.
    pub address: Ipv4Addr,
    /// When it was heard last; `None` if it is only known by name.
    pub heard: Option<Instant>,
    /// When it became known.
    pub since: Instant,
    /// When it sent something itself last.
    pub sent: Option<Instant>,
    /// When it was told everything last.
    pub told: Option<Instant>,
    /// What it said last.
    pub digest: Digest,
    /// By how many milliseconds its time of day was ahead when that was told last.
    pub(super) ahead_ms: Option<i64>,
    /// Whether its load is counted: it was heard and has not fallen silent since.
    pub(super) counted: bool,
}

/// How near another instance is, which decides who is asked for the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Nearness {
    /// In the same availability zone.
    Zone,
    /// In another zone of the region, or not known yet.
    Region,
    /// In another region.
    Far,
}

impl Peer {
    /// Whether it was heard lately.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.heard
            .is_some_and(|at| now.saturating_duration_since(at) < SILENT)
    }

    /// How near it is to an instance of this zone and region.
    pub fn nearness(&self, zone: NameHash, region: NameHash) -> Nearness {
        if self.heard.is_none() {
            return Nearness::Region;
        }
        if self.digest.zone == zone {
            return Nearness::Zone;
        }
        if self.digest.region == region {
            return Nearness::Region;
        }
        Nearness::Far
    }

    /// Counts its load, in place of what was counted before.
    pub(super) fn count(&mut self, elsewhere: &mut RemoteLoad, loads: &[ReplicaLoad]) {
        let before: &[ReplicaLoad] = if self.counted {
            &self.digest.loads
        } else {
            &[]
        };
        elsewhere.replace(before, loads);
        self.counted = true;
    }

    pub(super) fn count_nothing(&mut self, elsewhere: &mut RemoteLoad) {
        self.count(elsewhere, &[]);
        self.counted = false;
    }

    pub(super) fn is_forgotten(&self, now: Instant) -> bool {
        let last = self.heard.unwrap_or(self.since);
        now.saturating_duration_since(last) >= FORGOTTEN
    }
}
