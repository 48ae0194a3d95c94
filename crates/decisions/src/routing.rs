//! Chooses the owner instances at which a request reserves a slot, by cached prefix, expected wait
//! and zone.
//!
//! Load pattern: stale load reports, hot prefixes, a zone that is full while another has room.
//! Sending each request to the replica with the least reported load would send those of all
//! instances to the same replica, would prefill prompts again on replicas that don't have them
//! cached, and would reject requests in a full zone that its neighbour could serve.
//!
//! A choice lists the owners in order of preference. The queue of the replica decides when the
//! request runs, so that a stale estimate costs a detour but doesn't put the request into a wrong
//! order.

use std::time::Duration;

use rand::{Rng, RngExt};
use tokio::time::Instant;

use crate::id::{InstanceId, PrefixHash, Rank, Tokens, UpstreamId, ZoneId};
use crate::ownership::owner;
use crate::pace::Pace;
use crate::slots::ReplicaDigest;
use crate::work::Work;

/// Largest number of owners at which one request makes a reservation.
pub const MAX_RESERVATIONS: usize = 3;

/// Delay after which a reservation that has not been granted is also made at the other owners.
///
/// This is two round trips inside a zone. With a free slot, the first owner has granted the
/// reservation by then, so that the cached prefix is used and no other owner is involved; under
/// load, the request waits at all of them.
pub const WIDEN_AFTER: Duration = Duration::from_millis(5);

/// Share of a prompt that is presumed cached at its home replica (see [`home_replica`]).
///
/// Prompts of a service mostly differ in their last block only; the home replica has processed the
/// others unless the prefix is new.
pub const CACHED_SHARE_AT_HOME: f64 = 0.75;

/// Weight of a second of uncached prefill relative to a second of waiting.
///
/// Prefill that a cache on another replica would have saved delays all requests behind it and
/// evicts other prefixes; waiting only affects the request itself. The design note on routing
/// compares weights of 1, 3 and 10.
pub const PREFILL_WEIGHT: Tokens = 8;

/// Number of replicas chosen by cost; a third one may be added for the longest cached prefix.
const REPLICAS_BY_COST: usize = 2;

/// Costs within the same interval of this length count as equal. The order among equals is random,
/// so that instances with the same digests don't all choose the same replica.
pub const EQUAL_COST_TOLERANCE: Duration = Duration::from_millis(5);

/// Age from which a digest no longer says anything about the wait.
pub const DIGEST_MAX_AGE: Duration = Duration::from_secs(10);

/// Default for the bytes per second that requests may send over the links to other regions, which
/// are billed by volume. The table has no setting for it yet.
pub const LINK_BYTES_PER_S: f64 = 250_000.0;

/// Time for which unused link bytes can be saved up.
const LINK_BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// A request for which replicas are to be chosen.
#[derive(Debug, Clone)]
pub struct RouteRequest {
    /// Rank of the request's tier.
    pub rank: Rank,
    /// Zone of the instance that received the request.
    pub zone: ZoneId,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// Expected work, with `prefill` for the whole prompt.
    pub work: Work,
    /// Bytes sent and received over a link if another zone serves the request.
    pub bytes: u64,
}

/// A replica that could serve the request.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Name of the replica.
    pub upstream: UpstreamId,
    /// Instance that owns the replica and grants its slots.
    pub owner: InstanceId,
    /// Availability zone of the replica.
    pub zone: ZoneId,
    /// Latest load digest received from the owner, if any.
    pub digest: Option<ReplicaDigest>,
    /// Time since the digest was sent.
    pub digest_age: Duration,
    /// Prompt tokens probably present in the replica's cache.
    pub cached_tokens: Tokens,
    /// Observed speed of the replica.
    pub pace: Pace,
    /// Network round trip to the replica.
    pub round_trip: Duration,
}

impl Candidate {
    /// Expected time until a new request starts there, including the network round trip.
    fn estimated_wait(&self) -> Duration {
        match self.digest {
            Some(digest) if self.digest_age < DIGEST_MAX_AGE => digest.wait + self.round_trip,
            _ => self.round_trip,
        }
    }

    /// Expected time until the response is complete: waiting, uncached prefill and decoding.
    fn time_to_completion(&self, request: &RouteRequest) -> Duration {
        let prefill = request.work.prefill.saturating_sub(self.cached_tokens);
        self.estimated_wait()
            + self
                .pace
                .service_time(Work::new(prefill, request.work.decode))
    }

    /// Time to completion with uncached prefill weighted by [`PREFILL_WEIGHT`], for its effect on
    /// other requests.
    fn weighted_cost(&self, request: &RouteRequest) -> Duration {
        let prefill = request.work.prefill.saturating_sub(self.cached_tokens);
        let prefill = prefill.saturating_mul(PREFILL_WEIGHT);
        self.estimated_wait()
            + self
                .pace
                .service_time(Work::new(prefill, request.work.decode))
    }
}

/// Replica that processes a prompt with this first block while no cache is known to contain it.
///
/// All instances compute the same one, so that a prefix is processed once per zone rather than once
/// per instance.
pub fn home_replica(prefix: PrefixHash, upstreams: &[UpstreamId]) -> Option<&UpstreamId> {
    owner(&format!("{prefix:016x}"), upstreams)
}

/// The replicas at whose owners a request makes reservations, in order of preference.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Choice {
    /// At most [`MAX_RESERVATIONS`] replicas.
    pub upstreams: Vec<UpstreamId>,
    /// Expected wait at the first replica, including the network round trip.
    pub wait: Duration,
    /// Whether the replicas are in another zone than the request.
    pub remote: bool,
}

impl Choice {
    /// Replicas to reserve at once, and those to add after [`WIDEN_AFTER`] without a grant.
    pub fn split(&self) -> (&[UpstreamId], &[UpstreamId]) {
        self.upstreams.split_at(self.upstreams.len().min(1))
    }
}

/// Token bucket for the bytes that an instance may send to other zones.
#[derive(Debug)]
pub struct LinkBudget {
    bytes_per_s: f64,
    available_bytes: f64,
    updated_at: Option<Instant>,
}

impl LinkBudget {
    /// Creates a full bucket that refills at `bytes_per_s`.
    pub fn new(bytes_per_s: f64) -> Self {
        Self {
            bytes_per_s,
            available_bytes: bytes_per_s * LINK_BUDGET_WINDOW.as_secs_f64(),
            updated_at: None,
        }
    }

    /// Refills the bucket and returns whether `bytes` may be sent now.
    pub fn allows(&mut self, now: Instant, bytes: u64) -> bool {
        let elapsed = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let max_bytes = self.bytes_per_s * LINK_BUDGET_WINDOW.as_secs_f64();
        self.available_bytes =
            (self.available_bytes + self.bytes_per_s * elapsed.as_secs_f64()).min(max_bytes);
        self.updated_at = Some(now);
        self.available_bytes >= bytes as f64
    }

    /// Subtracts bytes that were sent.
    pub fn charge(&mut self, bytes: u64) {
        self.available_bytes -= bytes as f64;
    }
}

/// Chooses the replicas at whose owners `request` makes reservations.
///
/// The request stays in its own zone if any replica there is expected to meet the deadline. It goes
/// to another zone only if a replica there is expected to meet it and has a free slot according to
/// its digest, the request's tier isn't the one of `lowest_rank`, and `link` permits the bytes. If
/// its own zone has no replica at all, none of these conditions apply. Without candidates, the
/// choice is empty.
pub fn choose_replicas<R>(
    now: Instant,
    request: &RouteRequest,
    candidates: &[Candidate],
    lowest_rank: Rank,
    link: &mut LinkBudget,
    rng: &mut R,
) -> Choice
where
    R: Rng,
{
    let (own_zone, other_zones): (Vec<&Candidate>, Vec<&Candidate>) =
        candidates.iter().partition(|c| c.zone == request.zone);
    let meets_deadline = |c: &&Candidate| c.time_to_completion(request) <= request.time_left;
    if own_zone.iter().any(meets_deadline) {
        return rank_candidates(request, own_zone, rng);
    }
    let own_zone_empty = own_zone.is_empty();
    let remote: Vec<&Candidate> = other_zones
        .into_iter()
        .filter(|c| own_zone_empty || (has_room(c) && meets_deadline(c)))
        .collect();
    let may_leave_zone = own_zone_empty || request.rank < lowest_rank;
    if remote.is_empty() || !may_leave_zone || !(own_zone_empty || link.allows(now, request.bytes))
    {
        return rank_candidates(request, own_zone, rng);
    }
    link.charge(request.bytes);
    Choice {
        remote: true,
        ..rank_candidates(request, remote, rng)
    }
}

/// Whether a recent digest shows a free slot and no waiting requests.
fn has_room(candidate: &Candidate) -> bool {
    let is_fresh = candidate.digest_age < DIGEST_MAX_AGE;
    candidate
        .digest
        .is_some_and(|d| is_fresh && d.waiting == 0 && d.running < d.limit)
}

/// Orders the candidates by cost, at random among equals, and adds the one with the longest cached
/// prefix.
fn rank_candidates<R>(
    request: &RouteRequest,
    mut candidates: Vec<&Candidate>,
    rng: &mut R,
) -> Choice
where
    R: Rng,
{
    let tolerance_ns = EQUAL_COST_TOLERANCE.as_nanos();
    candidates.sort_by_cached_key(|c| {
        (
            c.weighted_cost(request).as_nanos() / tolerance_ns,
            rng.random::<u32>(),
        )
    });
    let Some(first) = candidates.first() else {
        return Choice::default();
    };
    let wait = first.estimated_wait();
    let mut upstreams: Vec<UpstreamId> = candidates
        .iter()
        .take(REPLICAS_BY_COST)
        .map(|c| UpstreamId::clone(&c.upstream))
        .collect();
    let by_prefix = candidates
        .iter()
        .filter(|c| c.cached_tokens > 0)
        .max_by_key(|c| c.cached_tokens);
    let third = by_prefix.filter(|c| c.time_to_completion(request) <= request.time_left);
    if let Some(third) = third.filter(|c| !upstreams.contains(&c.upstream)) {
        upstreams.push(UpstreamId::clone(&third.upstream));
    }
    Choice {
        upstreams,
        wait,
        remote: false,
    }
}
