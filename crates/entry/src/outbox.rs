//! Digests that a relay has collected and not sent yet, the latest of each instance.

use std::net::Ipv4Addr;

use kingcupfield_decisions::fair_order;

use crate::node::MAX_SPEED_REPORTS;
use crate::peers::{Digest, ForwardScope, ReplicaSpeedReport};

/// Maximum payload of a datagram in bytes, which links carry without fragmentation.
const MAX_DATAGRAM_BYTES: usize = 1200;

/// Digests of instances, sorted by their addresses.
pub type DigestBatch = Vec<(Ipv4Addr, Digest)>;

/// Digests to be sent to the own zone, to the other zones of the region and to the other regions.
#[derive(Debug, Default)]
pub struct Outbox {
    own_zone: DigestBatch,
    near_zones: DigestBatch,
    far_zones: DigestBatch,
}

impl Outbox {
    /// Adds a digest of an instance of the own zone for the instances that `scope` names.
    pub fn add(&mut self, from: Ipv4Addr, digest: Digest, scope: ForwardScope) {
        match scope {
            ForwardScope::Nobody => {}
            ForwardScope::OtherZones => self.add_for_other_zones(from, digest),
            ForwardScope::AllZones => self.add_for_all_zones(from, digest),
        }
    }

    /// Adds a digest of an instance of the own zone, for all zones.
    pub fn add_for_all_zones(&mut self, from: Ipv4Addr, digest: Digest) {
        add(&mut self.own_zone, from, digest.clone());
        self.add_for_other_zones(from, digest);
    }

    /// Adds a digest of an instance of the own zone that the own zone already has, for the other
    /// zones.
    pub fn add_for_other_zones(&mut self, from: Ipv4Addr, mut digest: Digest) {
        // Figures of speeds have lost much of their weight when a digest arrives in another zone, and
        // would be most of the bytes that its relays pass on there.
        digest.reports.speeds.clear();
        add(&mut self.near_zones, from, digest.clone());
        add(&mut self.far_zones, from, digest);
    }

    /// Adds a digest of an instance of another zone, for the own zone.
    pub fn add_for_own_zone(&mut self, from: Ipv4Addr, digest: Digest) {
        add(&mut self.own_zone, from, digest);
    }

    /// Whether there are digests for the own zone.
    pub fn has_own_zone(&self) -> bool {
        !self.own_zone.is_empty()
    }

    /// Removes and returns the digests for the own zone.
    pub fn take_own_zone(&mut self) -> DigestBatch {
        std::mem::take(&mut self.own_zone)
    }

    /// Removes and returns the digests for the other zones of the region.
    pub fn take_near_zones(&mut self) -> DigestBatch {
        std::mem::take(&mut self.near_zones)
    }

    /// Removes and returns the digests for the other regions.
    pub fn take_far_zones(&mut self) -> DigestBatch {
        std::mem::take(&mut self.far_zones)
    }
}

/// Adds a digest to a batch, in place of an earlier one of the same instance.
fn add(batch: &mut DigestBatch, from: Ipv4Addr, mut digest: Digest) {
    match batch.binary_search_by_key(&from, |(a, _)| *a) {
        Ok(index) => {
            let previous = &mut batch[index].1;
            // Values that only some digests contain are kept.
            if digest.steps.is_empty() && previous.incarnation == digest.incarnation {
                digest.steps = std::mem::take(&mut previous.steps);
                digest.time_ms = digest.time_ms.or(previous.time_ms);
            }
            if previous.incarnation == digest.incarnation {
                digest.small_upto = digest.small_upto.max(previous.small_upto);
                let earlier = std::mem::take(&mut previous.reports.speeds);
                keep_speeds(&mut digest.reports.speeds, earlier);
                if digest.reports.usage.is_empty() {
                    digest.reports.usage = std::mem::take(&mut previous.reports.usage);
                }
            }
            *previous = digest;
        }
        Err(index) => batch.insert(index, (from, digest)),
    }
}

/// Adds the earlier reports of the replicas that are not in the later ones: each figure is sent once.
fn keep_speeds(speeds: &mut Vec<ReplicaSpeedReport>, earlier: Vec<ReplicaSpeedReport>) {
    let later = speeds.len();
    for report in earlier {
        let is_newer = |s: &ReplicaSpeedReport| s.replica == report.replica;
        if speeds.len() < MAX_SPEED_REPORTS && !speeds[..later].iter().any(is_newer) {
            speeds.push(report);
        }
    }
}

/// Divides digests into datagrams. Without any digest the result is one empty datagram, which shows
/// that the relay is alive.
pub fn datagrams(batch: DigestBatch) -> Vec<DigestBatch> {
    let mut datagrams = vec![DigestBatch::new()];
    let mut datagram_bytes = 0;
    for (from, digest) in batch {
        let digest_bytes = encoded_size(&digest);
        if datagram_bytes + digest_bytes > MAX_DATAGRAM_BYTES && datagram_bytes > 0 {
            datagrams.push(DigestBatch::new());
            datagram_bytes = 0;
        }
        datagram_bytes += digest_bytes;
        if let Some(last) = datagrams.last_mut() {
            last.push((from, digest));
        }
    }
    datagrams
}

/// Approximate encoded size of a digest in bytes.
fn encoded_size(digest: &Digest) -> usize {
    // A waiting entry is 9 bytes without a step of usage and 13 with one.
    let has_step = |class| fair_order::without_step(class) != class;
    let waiting = digest.waiting.iter();
    let waiting_bytes: usize = waiting
        .map(|(_, class)| if has_step(*class) { 13 } else { 9 })
        .sum();
    let list_bytes = digest.loads.len() * 11 + waiting_bytes + digest.steps.len() * 9;
    let reports = &digest.reports;
    let report_bytes = reports.limits.len() * 34
        + reports.leaving.len() * 15
        + reports.usage.len() * 11
        + reports.speeds.len() * 21
        + reports.paces.len() * 23;
    let small_upto_bytes = digest.small_upto.map_or(1, |_| 9);
    48 + small_upto_bytes + list_bytes + digest.unreachable.len() * 5 + report_bytes
}
