//! Where a request is reserved: prefix, expected wait, zone.
//!
//! Load pattern: stale load reports, hot prefixes, a zone that is full while another has room.
//! Without this every instance sends to the replica that reported the least load some seconds
//! ago, prompts are prefilled again on replicas that never saw them, and a zone that is full
//! refuses what its neighbour could serve.
//!
//! A choice names the owners at which a request is reserved, best first. The queue of the replica
//! itself decides when it runs, so that a stale estimate costs a detour and not a wrong place.

use std::time::Duration;

use rand::{Rng, RngExt};
use tokio::time::Instant;

use crate::id::{InstanceId, PrefixHash, Rank, Tokens, UpstreamId, ZoneId};
use crate::ownership::owner;
use crate::pace::Pace;
use crate::slots::ReplicaDigest;
use crate::work::Work;

/// Most owners at which one request is reserved.
pub const MAX_RESERVATIONS: usize = 3;

/// A reservation that was not granted after this time is made at the other owners of the choice.
///
/// Two round trips inside a zone. With a free slot the first owner has granted by then, so that
/// the cached prefix is used and the other owners hear nothing; under load the request waits at
/// all of them.
pub const WIDEN_AFTER: Duration = Duration::from_millis(5);

/// Part of a prompt that is thought to be cached at its home replica (see [`home`]).
///
/// Prompts of one service mostly differ in their last block; the home has seen the others unless
/// the prefix is new.
pub const CACHED_SHARE_AT_HOME: f64 = 0.75;

/// Weight of a second of uncached prefill against a second of wait.
///
/// A prefill that a cache elsewhere would have saved delays everybody behind it at the replica and
/// pushes other prefixes out of its cache; the wait is the request's alone. Measured with 1, 3 and
/// 10: see the design note on routing.
pub const PREFILL_WEIGHT: Tokens = 8;

/// Reservations chosen by expected wait; the third place is the longest cached prefix's.
const BY_WAIT: usize = 2;

/// Waits that differ by less than this count as equal and are chosen among at random, so that
/// instances with the same digests do not all pick the same replica.
pub const SAME_WAIT: Duration = Duration::from_millis(5);

/// A digest that is older says nothing about the wait any more.
pub const DIGEST_LIFE: Duration = Duration::from_secs(10);

/// Bytes a second that requests may send over the links to other regions, which are paid by
/// volume; a default until the table can say it.
pub const LINK_BYTES_PER_S: f64 = 250_000.0;

/// Unspent link bytes are kept for this long.
const LINK_BURST: Duration = Duration::from_secs(10);

/// A request to be placed.
#[derive(Debug, Clone)]
pub struct RouteRequest {
    /// Rank of its tier.
    pub rank: Rank,
    /// Zone of the instance that received it.
    pub zone: ZoneId,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// Expected work; `prefill` counts the whole prompt.
    pub work: Work,
    /// Bytes that cross a link when another zone serves it, both ways.
    pub bytes: u64,
}

/// A replica that could serve the request.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The replica.
    pub upstream: UpstreamId,
    /// The instance that owns it.
    pub owner: InstanceId,
    /// Its zone.
    pub zone: ZoneId,
    /// What its owner said last, if anything.
    pub digest: Option<ReplicaDigest>,
    /// Age of the digest.
    pub digest_age: Duration,
    /// Prompt tokens that its cache probably holds.
    pub cached_tokens: Tokens,
    /// Its observed speed.
    pub pace: Pace,
    /// Network time to the replica and back.
    pub round_trip: Duration,
}

impl Candidate {
    /// Time until a new request would start there.
    fn wait(&self) -> Duration {
        match self.digest {
            Some(digest) if self.digest_age < DIGEST_LIFE => digest.wait + self.round_trip,
            _ => self.round_trip,
        }
    }

    /// Time until the answer would end: the wait, the uncached prefill and the decoding.
    fn end(&self, request: &RouteRequest) -> Duration {
        let prefill = request.work.prefill.saturating_sub(self.cached_tokens);
        self.wait()
            + self
                .pace
                .service_time(Work::new(prefill, request.work.decode))
    }

    /// The same with uncached prefill weighted for what it costs the others.
    fn cost(&self, request: &RouteRequest) -> Duration {
        let prefill = request.work.prefill.saturating_sub(self.cached_tokens);
        let prefill = prefill.saturating_mul(PREFILL_WEIGHT);
        self.wait()
            + self
                .pace
                .service_time(Work::new(prefill, request.work.decode))
    }
}

/// The replica where a prompt with this first block is started while no cache is known to hold it.
///
/// Every instance computes the same one, so that a prefix is prefilled once in a zone and not once
/// for each instance.
pub fn home_replica(prefix: PrefixHash, upstreams: &[UpstreamId]) -> Option<&UpstreamId> {
    owner(&format!("{prefix:016x}"), upstreams)
}

/// The owners at which a request is reserved, best first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Choice {
    /// At most [`MAX_RESERVATIONS`] replicas.
    pub upstreams: Vec<UpstreamId>,
    /// Estimated wait at the best of them.
    pub wait: Duration,
    /// Whether they stand in another zone than the request.
    pub remote: bool,
}

impl Choice {
    /// Where to reserve at once, and where after [`WIDEN_AFTER`] without a grant.
    pub fn split(&self) -> (&[UpstreamId], &[UpstreamId]) {
        self.upstreams.split_at(self.upstreams.len().min(1))
    }
}

/// Bytes that an instance may send to other zones.
#[derive(Debug)]
pub struct LinkBudget {
    bytes_per_s: f64,
    level: f64,
    at: Option<Instant>,
}

impl LinkBudget {
    /// Makes a full budget of `bytes_per_s`.
    pub fn new(bytes_per_s: f64) -> Self {
        Self {
            bytes_per_s,
            level: bytes_per_s * LINK_BURST.as_secs_f64(),
            at: None,
        }
    }

    /// Whether `bytes` may cross now.
    pub fn allows(&mut self, now: Instant, bytes: u64) -> bool {
        let age = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let most = self.bytes_per_s * LINK_BURST.as_secs_f64();
        self.level = (self.level + self.bytes_per_s * age.as_secs_f64()).min(most);
        self.at = Some(now);
        self.level >= bytes as f64
    }

    /// Charges bytes that crossed.
    pub fn charge(&mut self, bytes: u64) {
        self.level -= bytes as f64;
    }
}

/// Chooses the owners at which `request` is reserved.
///
/// The zone's own replicas come first. Another zone is chosen only when no own replica is
/// expected to meet the deadline, a remote one is, its digest shows a free slot (or the zone has
/// no replica at all), the tier is not the `lowest` one, and the link's budget allows the bytes.
/// Nothing is chosen when there is no candidate.
pub fn choose_replicas<R>(
    now: Instant,
    request: &RouteRequest,
    candidates: &[Candidate],
    lowest: Rank,
    link: &mut LinkBudget,
    rng: &mut R,
) -> Choice
where
    R: Rng,
{
    let (own, other): (Vec<&Candidate>, Vec<&Candidate>) =
        candidates.iter().partition(|c| c.zone == request.zone);
    let meets = |c: &&Candidate| c.end(request) <= request.time_left;
    if own.iter().any(meets) {
        return best(request, own, rng);
    }
    let alone = own.is_empty();
    let remote: Vec<&Candidate> = other
        .into_iter()
        .filter(|c| alone || (has_room(c) && meets(c)))
        .collect();
    let wanted = alone || request.rank < lowest;
    if remote.is_empty() || !wanted || !(alone || link.allows(now, request.bytes)) {
        return best(request, own, rng);
    }
    link.charge(request.bytes);
    Choice {
        remote: true,
        ..best(request, remote, rng)
    }
}

fn has_room(candidate: &Candidate) -> bool {
    let fresh = candidate.digest_age < DIGEST_LIFE;
    candidate
        .digest
        .is_some_and(|d| fresh && d.waiting == 0 && d.running < d.limit)
}

/// Orders by cost, draws among equals, and takes the longest cached prefix into the choice.
fn best<R>(request: &RouteRequest, mut candidates: Vec<&Candidate>, rng: &mut R) -> Choice
where
    R: Rng,
{
    let step = SAME_WAIT.as_nanos();
    candidates.sort_by_cached_key(|c| (c.cost(request).as_nanos() / step, rng.random::<u32>()));
    let Some(first) = candidates.first() else {
        return Choice::default();
    };
    let wait = first.wait();
    let mut upstreams: Vec<UpstreamId> = candidates
        .iter()
        .take(BY_WAIT)
        .map(|c| UpstreamId::clone(&c.upstream))
        .collect();
    let by_prefix = candidates
        .iter()
        .filter(|c| c.cached_tokens > 0)
        .max_by_key(|c| c.cached_tokens);
    let third = by_prefix.filter(|c| c.end(request) <= request.time_left);
    if let Some(third) = third.filter(|c| !upstreams.contains(&c.upstream)) {
        upstreams.push(UpstreamId::clone(&third.upstream));
    }
    Choice {
        upstreams,
        wait,
        remote: false,
    }
}
