//! This instance's view of all replicas of the fleet: owner, last digest, probably cached prefixes.

use std::time::Duration;

use kingcupfield_decisions::id::{
    InstanceId, PrefixHash, RegionId, ServiceId, Tokens, UpstreamId, ZoneId,
};
use kingcupfield_decisions::ownership::owner;
use kingcupfield_decisions::pace::{DEFAULT_PACE, Pace};
use kingcupfield_decisions::prefixes::PrefixCache;
use kingcupfield_decisions::regions::Regions;
use kingcupfield_decisions::routing::{CACHED_SHARE_AT_HOME, Candidate, home_replica};
use kingcupfield_decisions::slots::ReplicaDigest;
use kingcupfield_decisions::values::{Role, State};
use serde_json::{Value, json};
use tokio::time::Instant;

use super::{DigestRows, Identity, SlotRequest};
use crate::fleet::Snapshot;
use crate::members::View;

/// Maximum number of prefixes remembered for a replica, owned or not: at 16 bytes each,
/// 600 replicas take at most 2.4 MB.
const MAX_PREFIXES_PER_REPLICA: usize = 256;

/// Assumed network round trip to a replica of another zone, until one is measured.
const REMOTE_ROUND_TRIP: Duration = Duration::from_millis(40);

/// A replica as this instance sees it.
#[derive(Debug)]
pub(super) struct Replica {
    pub(super) upstream: UpstreamId,
    pub(super) service: ServiceId,
    pub(super) generation: Option<String>,
    pub(super) zone: ZoneId,
    pub(super) region: RegionId,
    /// `IP:port`.
    pub(super) address: String,
    /// Whether the replica accepts requests: listed as live, not leaving and in no drained zone.
    pub(super) live: bool,
    /// The instance that has the queue of reservations of this replica.
    pub(super) owner: InstanceId,
    /// The last digest received from the owner.
    pub(super) digest: Option<ReplicaDigest>,
    /// When the last digest was received.
    pub(super) digest_received_at: Option<Instant>,
    /// Prefixes of the prompts that this instance sent to the replica.
    prefixes: PrefixCache,
}

/// The replicas, sorted by name.
#[derive(Debug, Default)]
pub(super) struct Replicas {
    rows: Vec<Replica>,
}

impl Replicas {
    /// Returns all replicas, sorted by name.
    pub(super) fn rows(&self) -> &[Replica] {
        &self.rows
    }

    /// Returns the replica with this name.
    pub(super) fn get(&self, upstream: &UpstreamId) -> Option<&Replica> {
        self.find(upstream).ok().map(|index| &self.rows[index])
    }

    /// Returns the instance that owns a replica.
    pub(super) fn owner(&self, upstream: &UpstreamId) -> Option<&InstanceId> {
        Some(&self.get(upstream)?.owner)
    }

    /// Returns the address of a replica, or `None` if the replica is leaving or is outside of the
    /// allowed `regions`. This is the last check before a request is sent.
    pub(super) fn address_to_dispatch(
        &self,
        upstream: &UpstreamId,
        regions: &Regions,
        view: &View,
    ) -> Option<String> {
        let replica = self.get(upstream)?;
        let can_serve = replica.live && regions.allows(&replica.region);
        (can_serve && !view.is_leaving(upstream)).then(|| replica.address.clone())
    }

    /// Applies a changed fleet or membership; returns the replicas whose owner changed.
    pub(super) fn refresh(
        &mut self,
        identity: &Identity,
        snapshot: &Snapshot,
        view: &View,
    ) -> Vec<UpstreamId> {
        let mut previous_rows = std::mem::take(&mut self.rows);
        let mut changed = Vec::new();
        let drained = &snapshot.table.emptied_zones;
        for listed in &snapshot.instances.instances {
            let Some(service) = listed
                .service
                .clone()
                .filter(|_| listed.role == Role::Upstream)
            else {
                continue;
            };
            let previous = previous_rows
                .iter()
                .position(|r| r.upstream == listed.instance)
                .map(|index| previous_rows.swap_remove(index));
            let owner = owner_of(
                identity,
                snapshot,
                view,
                &listed.instance,
                &listed.availability_zone,
            );
            if previous
                .as_ref()
                .is_some_and(|replica| replica.owner != owner)
            {
                changed.push(listed.instance.clone());
            }
            let (digest, digest_received_at, prefixes) = match previous {
                Some(replica) => (replica.digest, replica.digest_received_at, replica.prefixes),
                None => (
                    None,
                    None,
                    PrefixCache::new().with_capacity(MAX_PREFIXES_PER_REPLICA),
                ),
            };
            self.rows.push(Replica {
                upstream: listed.instance.clone(),
                service,
                generation: listed.generation.clone(),
                zone: listed.availability_zone.clone(),
                region: listed.region.clone(),
                address: listed.address.clone(),
                live: listed.state == State::Live
                    && !view.is_leaving(&listed.instance)
                    && !drained.contains(&listed.availability_zone),
                owner,
                digest,
                digest_received_at,
                prefixes,
            });
        }
        self.rows.sort_by(|a, b| a.upstream.cmp(&b.upstream));
        changed
    }

    /// Returns the live replicas of `service` in the allowed `regions`, as candidates for a
    /// request.
    ///
    /// The home replica of the first prefix is assumed to have cached most of the prompt, even
    /// without a record of it. Every instance computes the same home replica, so a prefix is
    /// prefilled only once in a zone.
    pub(super) fn candidates(
        &self,
        now: Instant,
        service: &ServiceId,
        identity: &Identity,
        slot_request: &SlotRequest,
        regions: &Regions,
    ) -> Vec<Candidate> {
        let can_serve = |r: &&Replica| r.live && r.service == *service && regions.allows(&r.region);
        let rows = || self.rows.iter().filter(can_serve);
        let zone_rows = rows().filter(|r| r.zone == identity.zone);
        let zone_upstreams: Vec<UpstreamId> = zone_rows.map(|r| r.upstream.clone()).collect();
        let home = slot_request
            .prefixes
            .first()
            .and_then(|first| home_replica(*first, &zone_upstreams));
        let cached_at_home = (slot_request.prompt_tokens as f64 * CACHED_SHARE_AT_HOME) as Tokens;
        rows()
            .map(|r| {
                let mut candidate = r.candidate(
                    now,
                    identity,
                    &slot_request.prefixes,
                    slot_request.prompt_tokens,
                );
                if home == Some(&r.upstream) {
                    candidate.cached_tokens = candidate.cached_tokens.max(cached_at_home);
                }
                candidate
            })
            .collect()
    }

    /// Records that a prompt with these prefixes is sent to a replica.
    pub(super) fn record_prefixes(&mut self, upstream: &UpstreamId, prefixes: &[PrefixHash]) {
        if let Ok(index) = self.find(upstream) {
            self.rows[index].prefixes.on_grant(prefixes);
        }
    }

    /// Stores received digests; unknown replicas are skipped.
    pub(super) fn on_digests(&mut self, now: Instant, rows: &DigestRows) {
        for row in rows {
            if let Ok(index) = self.find(&row.upstream) {
                self.rows[index].digest = Some(row.digest);
                self.rows[index].digest_received_at = Some(now);
            }
        }
    }

    /// Returns the median pace of a generation of a service, from its replicas' digests.
    pub(super) fn median_pace(
        &self,
        service: &ServiceId,
        generation: Option<&str>,
    ) -> Option<Pace> {
        let same_generation = self
            .rows
            .iter()
            .filter(|r| r.service == *service && r.generation.as_deref() == generation);
        let mut paces: Vec<Pace> = same_generation
            .filter_map(|r| r.digest.and_then(|d| d.pace))
            .collect();
        paces.sort_by_key(|p| (p.decode, p.prefill));
        paces.get(paces.len() / 2).copied()
    }

    /// Returns the state of all replicas for the diagnostic dump.
    pub(super) fn dump(&self, now: Instant) -> Value {
        let row = |r: &Replica| {
            json!({
                "upstream": &*r.upstream, "service": &*r.service, "zone": &*r.zone, "live": r.live,
                "owner": &*r.owner, "digest": r.digest,
                "digest_age_ms": r.digest_received_at.map(|received_at| now.saturating_duration_since(received_at).as_millis() as u64),
            })
        };
        Value::Array(self.rows.iter().map(row).collect())
    }

    /// Index of a replica, or where to insert it.
    fn find(&self, upstream: &UpstreamId) -> Result<usize, usize> {
        self.rows.binary_search_by(|r| r.upstream.cmp(upstream))
    }
}

impl Replica {
    /// Returns this replica as a candidate for a prompt of `prompt` tokens.
    fn candidate(
        &self,
        now: Instant,
        identity: &Identity,
        prefixes: &[PrefixHash],
        prompt_tokens: Tokens,
    ) -> Candidate {
        let cached_prefixes = self.prefixes.cached(prefixes) as u64;
        let pace = self.digest.and_then(|d| d.pace).unwrap_or(DEFAULT_PACE);
        let in_own_zone = self.zone == identity.zone;
        Candidate {
            upstream: self.upstream.clone(),
            owner: self.owner.clone(),
            zone: self.zone.clone(),
            digest: self.digest,
            digest_age: self
                .digest_received_at
                .map_or(Duration::MAX, |received_at| {
                    now.saturating_duration_since(received_at)
                }),
            cached_tokens: prompt_tokens * cached_prefixes / prefixes.len().max(1) as u64,
            pace,
            round_trip: if in_own_zone {
                Duration::ZERO
            } else {
                REMOTE_ROUND_TRIP
            },
        }
    }
}

/// Returns the instance that owns `upstream`: one of the replica's zone, or, if that zone has no
/// live instance, one of another zone, preferably in the same region.
fn owner_of(
    identity: &Identity,
    snapshot: &Snapshot,
    view: &View,
    upstream: &UpstreamId,
    zone: &ZoneId,
) -> InstanceId {
    let key = format!("slots/{upstream}");
    if let Some(zone_owner) = owner(&key, view.live(zone)) {
        return zone_owner.clone();
    }
    let region_of = |zone: &ZoneId| -> Option<RegionId> {
        let first = snapshot
            .instances
            .instances
            .iter()
            .find(|i| i.availability_zone == *zone);
        first.map(|i| i.region.clone())
    };
    let region = region_of(zone);
    let mut other_zones: Vec<_> = view
        .live
        .iter()
        .filter(|z| !z.instances.is_empty())
        .collect();
    other_zones.sort_by_key(|z| (region_of(&z.zone) != region, z.zone.clone()));
    let nearest = other_zones.first().and_then(|z| owner(&key, &z.instances));
    nearest.unwrap_or(&identity.instance).clone()
}
