//! Last known state of one other instance.

use std::net::Ipv4Addr;
use std::time::Duration;

use kingcupfield_decisions::directory_sync::Announced;
use kingcupfield_decisions::id::NameHash;
use kingcupfield_decisions::remote_load::{RemoteLoad, ReplicaLoad};
use tokio::time::Instant;

use super::{Digest, FORGET_TIMEOUT, SILENCE_TIMEOUT, SYNC_FAILURE_PAUSE};

/// Last known state of one other instance.
#[derive(Debug)]
pub struct Peer {
    /// Its address, which identifies it.
    pub address: Ipv4Addr,
    /// When its last digest arrived, directly or through a relay; `None` while only its address
    /// is known, from another instance.
    pub last_digest_at: Option<Instant>,
    /// When it was added.
    pub added_at: Instant,
    /// When the last datagram from it arrived directly.
    pub last_datagram_at: Option<Instant>,
    /// When it was last sent the complete state.
    pub last_greeting_at: Option<Instant>,
    /// When it last did not send directory entries that it was asked for.
    pub(super) sync_failed_at: Option<Instant>,
    /// Its last digest.
    pub digest: Digest,
    /// By how many milliseconds its clock was ahead when the difference was last logged.
    pub(super) logged_offset_ms: Option<i64>,
    /// Whether its load is included in the remote load: a digest has arrived and it has not fallen
    /// silent since.
    pub(super) counted: bool,
}

/// Distance of another instance, by which peers are chosen for a directory sync.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Nearness {
    /// In the same availability zone.
    SameZone,
    /// In another zone of the region, or no digest with its location has arrived yet.
    SameRegion,
    /// In another region.
    OtherRegion,
}

impl Peer {
    /// Whether its last digest is recent enough for it to count as live.
    pub fn is_live(&self, now: Instant) -> bool {
        self.last_digest_at
            .is_some_and(|at| now.saturating_duration_since(at) < SILENCE_TIMEOUT)
    }

    /// Whether messages to it may arrive: it is live, or became known a short time ago.
    pub(super) fn is_reachable(&self, now: Instant) -> bool {
        let is_new = now.saturating_duration_since(self.added_at) < SILENCE_TIMEOUT;
        self.is_live(now) || self.last_digest_at.is_none() && is_new
    }

    /// Time from the last response of the store to its last digest; `None` if it does not read the
    /// store, or its calls fail.
    pub fn store_age(&self) -> Option<Duration> {
        let age_ms = self.digest.store_age_ms?;
        Some(Duration::from_millis(u64::from(age_ms)))
    }

    /// What it has announced of the directory.
    pub fn announced(&self) -> Announced {
        self.digest.announced()
    }

    /// Its distance from an instance of this zone and region.
    pub fn nearness(&self, zone: NameHash, region: NameHash) -> Nearness {
        if self.last_digest_at.is_none() {
            return Nearness::SameRegion;
        }
        if self.digest.zone == zone {
            return Nearness::SameZone;
        }
        if self.digest.region == region {
            return Nearness::SameRegion;
        }
        Nearness::OtherRegion
    }

    /// Whether it did not send directory entries a short time ago.
    pub(super) fn failed_to_sync(&self, now: Instant) -> bool {
        self.sync_failed_at
            .is_some_and(|at| now.saturating_duration_since(at) < SYNC_FAILURE_PAUSE)
    }

    /// Adds its load to the remote load, in place of the load that was counted before.
    pub(super) fn count_load(&mut self, remote_load: &mut RemoteLoad, loads: &[ReplicaLoad]) {
        let counted_before: &[ReplicaLoad] = if self.counted {
            &self.digest.loads
        } else {
            &[]
        };
        remote_load.replace(counted_before, loads);
        self.counted = true;
    }

    /// Removes its load from the remote load.
    pub(super) fn uncount_load(&mut self, remote_load: &mut RemoteLoad) {
        self.count_load(remote_load, &[]);
        self.counted = false;
    }

    /// Whether it has been silent for so long that it is removed.
    pub(super) fn is_gone(&self, now: Instant) -> bool {
        let last = self.last_digest_at.unwrap_or(self.added_at);
        now.saturating_duration_since(last) >= FORGET_TIMEOUT
    }
}
