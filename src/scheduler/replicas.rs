//! All replicas of the fleet as one instance sees them: owner, digest, probable prefixes.

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

/// Prefixes remembered for one replica by an instance that does not own it: 16 bytes each, so
/// 600 replicas take 2.4 MB at the most.
const PREFIXES: usize = 256;

/// Network time to a replica of another zone and back, until it is measured.
const REMOTE_ROUND_TRIP: Duration = Duration::from_millis(40);

/// One replica.
#[derive(Debug)]
pub(super) struct Replica {
    pub(super) upstream: UpstreamId,
    pub(super) service: ServiceId,
    pub(super) generation: Option<String>,
    pub(super) zone: ZoneId,
    pub(super) region: RegionId,
    pub(super) address: String,
    pub(super) live: bool,
    pub(super) owner: InstanceId,
    pub(super) digest: Option<ReplicaDigest>,
    pub(super) heard: Option<Instant>,
    prefixes: PrefixCache,
}

/// The replicas, sorted by name.
#[derive(Debug, Default)]
pub(super) struct Replicas {
    rows: Vec<Replica>,
}

impl Replicas {
    pub(super) fn rows(&self) -> &[Replica] {
        &self.rows
    }

    pub(super) fn get(&self, upstream: &UpstreamId) -> Option<&Replica> {
        self.position(upstream).ok().map(|at| &self.rows[at])
    }

    pub(super) fn owner(&self, upstream: &UpstreamId) -> Option<&InstanceId> {
        Some(&self.get(upstream)?.owner)
    }

    /// Address of a replica, unless it leaves or may not serve the request: the last check before a request
    /// goes out.
    pub(super) fn address_to_dispatch(
        &self,
        upstream: &UpstreamId,
        regions: &Regions,
        view: &View,
    ) -> Option<String> {
        let replica = self.get(upstream)?;
        let serves = replica.live && regions.allows(&replica.region);
        (serves && !view.is_leaving(upstream)).then(|| replica.address.clone())
    }

    /// Takes changed values or membership; returns the replicas whose owner changed.
    pub(super) fn refresh(
        &mut self,
        me: &Identity,
        snapshot: &Snapshot,
        view: &View,
    ) -> Vec<UpstreamId> {
        let mut known = std::mem::take(&mut self.rows);
        let mut changed = Vec::new();
        let emptied = &snapshot.table.emptied_zones;
        for listed in &snapshot.instances.instances {
            let Some(service) = listed
                .service
                .clone()
                .filter(|_| listed.role == Role::Upstream)
            else {
                continue;
            };
            let before = known
                .iter()
                .position(|r| r.upstream == listed.instance)
                .map(|at| known.swap_remove(at));
            let owner = owner_of(
                me,
                snapshot,
                view,
                &listed.instance,
                &listed.availability_zone,
            );
            if before.as_ref().is_some_and(|b| b.owner != owner) {
                changed.push(listed.instance.clone());
            }
            let (digest, heard, prefixes) = match before {
                Some(b) => (b.digest, b.heard, b.prefixes),
                None => (None, None, PrefixCache::new().with_capacity(PREFIXES)),
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
                    && !emptied.contains(&listed.availability_zone),
                owner,
                digest,
                heard,
                prefixes,
            });
        }
        self.rows.sort_by(|a, b| a.upstream.cmp(&b.upstream));
        changed
    }

    /// Live replicas of `service` as candidates for a request with `prefixes`.
    ///
    /// Where nothing is known of a prefix, its home is thought to hold most of it: every instance
    /// computes the same one, so that a prefix is prefilled once in a zone.
    pub(super) fn candidates(
        &self,
        now: Instant,
        service: &ServiceId,
        me: &Identity,
        need: &SlotRequest,
        regions: &Regions,
    ) -> Vec<Candidate> {
        let serves = |r: &&Replica| r.live && r.service == *service && regions.allows(&r.region);
        let rows = || self.rows.iter().filter(serves);
        let near = rows().filter(|r| r.zone == me.zone);
        let near: Vec<UpstreamId> = near.map(|r| r.upstream.clone()).collect();
        let home = need
            .prefixes
            .first()
            .and_then(|first| home_replica(*first, &near));
        let at_home = (need.prompt as f64 * CACHED_SHARE_AT_HOME) as Tokens;
        rows()
            .map(|r| {
                let mut candidate = r.candidate(now, me, &need.prefixes, need.prompt);
                if home == Some(&r.upstream) {
                    candidate.cached_tokens = candidate.cached_tokens.max(at_home);
                }
                candidate
            })
            .collect()
    }

    /// Notes that a prompt goes to a replica.
    pub(super) fn note_prefixes(&mut self, upstream: &UpstreamId, prefixes: &[PrefixHash]) {
        if let Ok(at) = self.position(upstream) {
            self.rows[at].prefixes.on_grant(prefixes);
        }
    }

    /// Takes digests; unknown replicas are skipped.
    pub(super) fn on_digests(&mut self, now: Instant, rows: &DigestRows) {
        for row in rows {
            if let Ok(at) = self.position(&row.upstream) {
                self.rows[at].digest = Some(row.digest);
                self.rows[at].heard = Some(now);
            }
        }
    }

    /// The usual pace of a generation of a service: the median of what its replicas' owners saw.
    pub(super) fn usual_pace(&self, service: &ServiceId, generation: Option<&str>) -> Option<Pace> {
        let same = self
            .rows
            .iter()
            .filter(|r| r.service == *service && r.generation.as_deref() == generation);
        let mut paces: Vec<Pace> = same.filter_map(|r| r.digest.and_then(|d| d.pace)).collect();
        paces.sort_by_key(|p| (p.decode, p.prefill));
        paces.get(paces.len() / 2).copied()
    }

    pub(super) fn dump(&self, now: Instant) -> Value {
        let row = |r: &Replica| {
            json!({
                "upstream": &*r.upstream, "service": &*r.service, "zone": &*r.zone, "live": r.live,
                "owner": &*r.owner, "digest": r.digest,
                "digest_age_ms": r.heard.map(|h| now.saturating_duration_since(h).as_millis() as u64),
            })
        };
        Value::Array(self.rows.iter().map(row).collect())
    }

    fn position(&self, upstream: &UpstreamId) -> Result<usize, usize> {
        self.rows.binary_search_by(|r| r.upstream.cmp(upstream))
    }
}

impl Replica {
    fn candidate(
        &self,
        now: Instant,
        me: &Identity,
        prefixes: &[PrefixHash],
        prompt: Tokens,
    ) -> Candidate {
        let cached = self.prefixes.cached(prefixes) as u64;
        let pace = self.digest.and_then(|d| d.pace).unwrap_or(DEFAULT_PACE);
        let near = self.zone == me.zone;
        Candidate {
            upstream: self.upstream.clone(),
            owner: self.owner.clone(),
            zone: self.zone.clone(),
            digest: self.digest,
            digest_age: self
                .heard
                .map_or(Duration::MAX, |h| now.saturating_duration_since(h)),
            cached_tokens: prompt * cached / prefixes.len().max(1) as u64,
            pace,
            round_trip: if near {
                Duration::ZERO
            } else {
                REMOTE_ROUND_TRIP
            },
        }
    }
}

/// The instance that owns `upstream`: one of its zone, or of the nearest zone that has any.
fn owner_of(
    me: &Identity,
    snapshot: &Snapshot,
    view: &View,
    upstream: &UpstreamId,
    zone: &ZoneId,
) -> InstanceId {
    let key = format!("slots/{upstream}");
    if let Some(own) = owner(&key, view.live(zone)) {
        return own.clone();
    }
    let region_of = |zone: &ZoneId| -> Option<RegionId> {
        let listed = snapshot
            .instances
            .instances
            .iter()
            .find(|i| i.availability_zone == *zone);
        listed.map(|i| i.region.clone())
    };
    let region = region_of(zone);
    let mut others: Vec<_> = view
        .live
        .iter()
        .filter(|z| !z.instances.is_empty())
        .collect();
    others.sort_by_key(|z| (region_of(&z.zone) != region, z.zone.clone()));
    let nearest = others.first().and_then(|z| owner(&key, &z.instances));
    nearest.unwrap_or(&me.instance).clone()
}
