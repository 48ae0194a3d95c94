//! Periodic digests (load and pace) of owned replicas, from which instances choose replicas.

use std::time::Duration;

use kingcupfield_decisions::id::InstanceId;
use tokio::time::Instant;

use super::{DigestRows, Outgoing, Scheduler};
use crate::message::{DigestRow, PeerMessage};

/// Minimum time between two digests: at the specified fleet size four a second cost little.
const MIN_DIGEST_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum time between two digests; routing uses a digest for ten seconds.
const MAX_DIGEST_INTERVAL: Duration = Duration::from_secs(2);

/// Digest rows that the instances of a zone send per second: 30 rows of about 120 bytes are
/// 3.6 KB/s of the 9 KB/s allowed for control messages. A zone with more replicas sends digests
/// less often than once a second.
const MAX_ZONE_ROWS_PER_S: f64 = 30.0;

/// Maximum number of replicas with free slots that are sent to other zones, for each service.
const MAX_REMOTE_ROWS_PER_SERVICE: usize = 2;

/// Time of the last digest, from which the next one is due.
#[derive(Debug)]
pub(super) struct DigestClock {
    last_sent: Instant,
}

impl DigestClock {
    pub(super) fn new(now: Instant) -> Self {
        Self { last_sent: now }
    }
}

impl Scheduler {
    /// Stores received digests; the bridge relays those of other zones inside its own zone.
    pub(super) fn on_digests(&mut self, now: Instant, from: &InstanceId, rows: &DigestRows) {
        self.replicas.on_digests(now, rows);
        let from_other_zone = self
            .snapshot
            .entry(from)
            .is_some_and(|entry| entry.availability_zone != self.identity.zone);
        if from_other_zone && self.is_bridge() {
            self.send_digests(&self.zone_peers(), rows);
        }
    }

    /// Sends the digests of owned replicas when they are due; the interval grows with the zone.
    pub(super) fn tick_digests(&mut self, now: Instant) {
        let zone = &self.identity.zone;
        let zone_replicas = self
            .replicas
            .rows()
            .iter()
            .filter(|r| r.zone == *zone)
            .count();
        let interval = Duration::from_secs_f64(zone_replicas as f64 / MAX_ZONE_ROWS_PER_S)
            .clamp(MIN_DIGEST_INTERVAL, MAX_DIGEST_INTERVAL);
        if now.saturating_duration_since(self.digest_clock.last_sent) < interval {
            return;
        }
        self.digest_clock.last_sent = now;
        let row = |replica: &super::OwnedReplica| DigestRow {
            upstream: replica.queue.upstream().clone(),
            digest: replica.queue.digest(now),
        };
        let rows: DigestRows = self.owned.iter().map(row).collect();
        self.replicas.on_digests(now, &rows);
        self.send_digests(&self.zone_peers(), &rows);
        if self.is_bridge() {
            let remote = self.rows_with_free_slots();
            self.send_digests(&self.other_bridges(), &remote);
        }
    }

    fn send_digests(&mut self, receivers: &[InstanceId], rows: &DigestRows) {
        if rows.is_empty() {
            return;
        }
        for to in receivers {
            let message = PeerMessage::Digests(rows.clone());
            self.outgoing.push(Outgoing {
                to: to.clone(),
                message,
            });
        }
    }

    /// Returns the other live instances of this zone.
    fn zone_peers(&self) -> Vec<InstanceId> {
        let live = self.view.live(&self.identity.zone).iter();
        live.filter(|i| **i != self.identity.instance)
            .cloned()
            .collect()
    }

    /// Whether this instance is the bridge of its zone: the first live instance, which exchanges
    /// digests with the bridges of the other zones.
    fn is_bridge(&self) -> bool {
        self.view.live(&self.identity.zone).first() == Some(&self.identity.instance)
    }

    /// Returns the bridges of the other zones.
    fn other_bridges(&self) -> Vec<InstanceId> {
        let others = self
            .view
            .live
            .iter()
            .filter(|z| z.zone != self.identity.zone);
        others
            .filter_map(|z| z.instances.first().cloned())
            .collect()
    }

    /// Returns the digests sent to other zones: for each service, the replicas of this zone that
    /// have free slots, least running requests first.
    fn rows_with_free_slots(&self) -> DigestRows {
        let mut rows: Vec<_> = self
            .replicas
            .rows()
            .iter()
            .filter(|r| r.zone == self.identity.zone && r.live)
            .filter_map(|r| r.digest.map(|digest| (r, digest)))
            .filter(|(_, d)| d.waiting == 0 && d.running < d.limit)
            .collect();
        rows.sort_by_key(|(r, d)| (r.service.clone(), d.running));
        let mut selected: DigestRows = Vec::new();
        let mut previous_service = None;
        let mut service_rows = 0;
        for (replica, digest) in rows {
            service_rows = if previous_service == Some(&replica.service) {
                service_rows + 1
            } else {
                1
            };
            previous_service = Some(&replica.service);
            if service_rows <= MAX_REMOTE_ROWS_PER_SERVICE {
                selected.push(DigestRow {
                    upstream: replica.upstream.clone(),
                    digest,
                });
            }
        }
        selected
    }
}
