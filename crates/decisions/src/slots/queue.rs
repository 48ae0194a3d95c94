//! State of one replica at its owner: waiting reservations, slots in use, and which request is
//! granted next.

use std::time::Duration;

use tokio::time::Instant;

use super::feedback::Feedback;
use super::known_holders::KnownHolders;
use super::used_slots::{SlotState, UsedSlot, UsedSlots};
use super::wait;
use super::{
    GRANT_LEASE, HolderEnvelope, LoadReport, Rejection, ReplicaDigest, Reservation, ToHolder,
    ToOwner,
};
use crate::concurrency::ConcurrencyLimit;
use crate::fairness::{Entry, FairQueue, max_long_slots};
use crate::health::HealthStage;
use crate::id::{InstanceId, PrefixHash, Rank, RequestId, UpstreamId};
use crate::pace::Pace;
use crate::prefixes::{CacheEvent, PrefixCache};
use crate::work::Work;

/// Maximum number of waiting reservations of one replica, about 500 bytes each.
///
/// At 600 replicas and 5,100 requests a second that is minutes of work for one replica; a request
/// behind it can't meet any deadline.
pub const MAX_WAITING_RESERVATIONS: usize = 2048;

/// Maximum time for which a new owner waits for the first renewals of all holders before it relies
/// on its count of running requests.
pub const LEARNING_PERIOD: Duration = Duration::from_secs(1);

/// Maximum expected time of the prefill that is pending at a replica when the next slot is granted.
///
/// Short enough that the prefill alone doesn't delay a status check with a limit of three seconds;
/// long enough that the engine doesn't idle when a misjudged cache makes the estimate too high.
pub const MAX_PENDING_PREFILL: Duration = Duration::from_secs(1);

/// The same limit while the pace is unknown; the assumed pace is several times slower than most.
const MAX_PENDING_PREFILL_UNKNOWN_PACE: Duration = Duration::from_secs(2);

/// Queue and slots of one replica, at the instance that owns the replica.
#[derive(Debug, Clone)]
pub struct SlotQueue {
    pub(super) upstream: UpstreamId,
    generation: Option<String>,
    /// Time from which this instance owns the replica.
    owned_since: Instant,
    /// Number of live entry instances in the availability zone.
    zone_size: usize,
    /// Maximum number of waiting reservations.
    pub(super) max_waiting: usize,
    pub(super) holders: KnownHolders,
    pub(super) waiting: FairQueue,
    pub(super) used_slots: UsedSlots,
    /// Slots in use that this owner granted.
    pub(super) own_grants: u32,
    pub(super) feedback: Feedback,
    pub(super) cache: PrefixCache,
    /// Lowest tier that is granted; higher ranks are lower tiers.
    pub(super) lowest_rank: Rank,
    /// Whether the replica is leaving; then nothing is granted.
    pub(super) leaving: bool,
}

impl SlotQueue {
    /// Creates the queue of a replica that this instance owns from now on.
    pub fn new(upstream: UpstreamId, generation: Option<String>, now: Instant) -> Self {
        Self {
            upstream,
            generation,
            owned_since: now,
            zone_size: 1,
            max_waiting: MAX_WAITING_RESERVATIONS,
            holders: KnownHolders::default(),
            waiting: FairQueue::new(),
            used_slots: UsedSlots::default(),
            own_grants: 0,
            feedback: Feedback::default(),
            cache: PrefixCache::new(),
            lowest_rank: Rank::MAX,
            leaving: false,
        }
    }

    /// Sets the number of live entry instances in the availability zone, this one included.
    pub fn with_zone_size(mut self, zone_size: usize) -> Self {
        self.zone_size = zone_size.max(1);
        self
    }

    /// Sets the initial concurrency limit, a configured one or that of an earlier owner.
    pub fn with_limit(mut self, limit: ConcurrencyLimit) -> Self {
        self.feedback.limit = limit;
        self
    }

    /// Sets the maximum number of waiting reservations.
    pub fn with_max_waiting(mut self, max_waiting: usize) -> Self {
        self.max_waiting = max_waiting.max(1);
        self
    }

    /// Sets the usual pace of the replica's hardware generation.
    pub fn with_usual_pace(mut self, usual: Pace) -> Self {
        self.feedback.usual_pace = Some(usual);
        self
    }

    /// Replaces the usual pace of the replica's hardware generation; with `None` the replica is
    /// compared with its own past.
    pub fn set_usual_pace(&mut self, usual: Option<Pace>) {
        self.feedback.usual_pace = usual;
    }

    /// Identifier of the replica.
    pub fn upstream(&self) -> &UpstreamId {
        &self.upstream
    }

    /// Hardware generation, if it is published.
    pub fn generation(&self) -> Option<&str> {
        self.generation.as_deref()
    }

    /// State of the replica's health.
    pub fn health(&self) -> HealthStage {
        self.feedback.health.stage()
    }

    /// Handles a message of holder `from`; the returned messages may go to other holders.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: &InstanceId,
        message: ToOwner,
    ) -> Vec<HolderEnvelope> {
        let mut messages = Vec::new();
        match message {
            ToOwner::Reserve(reservation) => {
                self.on_reserve(now, from, reservation, &mut messages);
            }
            ToOwner::Withdraw { request } => self.on_withdraw(from, &request),
            ToOwner::Dispatched { request } => self.on_dispatched(now, from, request),
            ToOwner::Started {
                request,
                first_token,
            } => self.on_started(now, &request, first_token),
            ToOwner::Finished { request, outcome } => self.on_finished(now, &request, outcome),
            ToOwner::Renew { asked, running } => self.on_renew(now, from, asked, running),
        }
        self.grant(now, &mut messages);
        messages
    }

    /// Drops expired reservations and grants, checks for stalls and grants; called every 50 ms.
    pub fn on_tick(&mut self, now: Instant) -> Vec<HolderEnvelope> {
        let mut messages = Vec::new();
        self.drop_silent_holders(now, &mut messages);
        self.free_lapsed(now, &mut messages);
        self.feedback.check_for_stall(now, &self.used_slots);
        let feedback = &self.feedback;
        let late = self.waiting.remove_if(|entry| {
            let left = entry.deadline.saturating_duration_since(now);
            feedback.misses_deadline(Duration::ZERO, entry.reservation.work, left)
        });
        messages.extend(self.reject_all(now, &late, Rejection::Late));
        self.grant(now, &mut messages);
        messages
    }

    /// Applies a load report of the replica.
    pub fn on_load_report(&mut self, now: Instant, report: LoadReport) -> Vec<HolderEnvelope> {
        self.feedback.limit.on_report(now, report);
        if report.leaving {
            return self.set_leaving(now);
        }
        Vec::new()
    }

    /// Applies an event of the replica's cache feed.
    pub fn on_cache_event(&mut self, event: CacheEvent) {
        self.cache.on_event(event);
    }

    /// Rejects waiting requests of tiers below `lowest`, and grants none of them from now on.
    pub fn set_lowest_rank(&mut self, now: Instant, lowest: Rank) -> Vec<HolderEnvelope> {
        self.lowest_rank = lowest;
        let shed = self
            .waiting
            .remove_if(|entry| entry.reservation.rank > lowest);
        self.reject_all(now, &shed, Rejection::Shed)
    }

    /// Handles a replica that leaves: rejects all waiting requests and grants nothing more.
    pub fn set_leaving(&mut self, now: Instant) -> Vec<HolderEnvelope> {
        self.leaving = true;
        let all = self.waiting.remove_if(|_| true);
        self.reject_all(now, &all, Rejection::Leaving)
    }

    /// Handles a dead holder: drops its reservations and frees its slots.
    pub fn on_holder_dead(&mut self, now: Instant, holder: &InstanceId) -> Vec<HolderEnvelope> {
        self.drop_waiting_of(holder);
        self.free_slots_of(holder);
        self.holders.remove(holder);
        let mut messages = Vec::new();
        self.grant(now, &mut messages);
        messages
    }

    /// Summary for holders that choose among owners.
    pub fn digest(&self, now: Instant) -> ReplicaDigest {
        ReplicaDigest {
            running: self.used_slots.len(),
            limit: self.feedback.allowed(now, &self.used_slots),
            waiting: self.waiting.len() as u32,
            wait: self.expected_wait(now, Rank::MAX),
            pace: self.feedback.pace(),
        }
    }

    /// Number of leading `prefixes` that the replica's cache probably holds.
    pub fn cached(&self, prefixes: &[PrefixHash]) -> usize {
        self.cache.cached(prefixes)
    }

    /// Expected wait of a new reservation of `rank`; waiting requests of lower tiers are not
    /// counted.
    ///
    /// With a free slot it is the time of the pending prefill: an engine processes one prompt after
    /// another.
    pub fn expected_wait(&self, now: Instant, rank: Rank) -> Duration {
        let slots = self.feedback.allowed(now, &self.used_slots).max(1);
        let prefill = self
            .feedback
            .expected_prefill_time(self.used_slots.awaited_prefill());
        let waiting_ahead = self.waiting.len_at_or_above(rank);
        if waiting_ahead == 0 && self.used_slots.len() < slots {
            return prefill;
        }
        let ends_in = self.used_slots.iter().map(|slot| {
            let elapsed = slot
                .dispatched_at()
                .map_or(Duration::ZERO, |dispatched_at| now - dispatched_at);
            self.feedback
                .expected_service_time(slot.work)
                .saturating_sub(elapsed)
        });
        let waiting = match waiting_ahead {
            0 => Duration::ZERO,
            _ => self
                .feedback
                .expected_service_time(self.waiting.work_at_or_above(rank)),
        };
        wait::expected_wait(ends_in.collect(), slots as usize, waiting).max(prefill)
    }

    /// Whether holders with grants of an earlier owner may not have reported them yet.
    pub(super) fn is_learning(&self, now: Instant) -> bool {
        self.holders.renewed_count() < self.zone_size && now < self.owned_since + LEARNING_PERIOD
    }

    /// Whether one more slot may be granted.
    fn can_grant(&self, now: Instant) -> bool {
        let in_use = self.used_slots.len();
        if in_use >= self.feedback.allowed(now, &self.used_slots)
            || self.used_slots.has_late_first_token(now)
        {
            return false;
        }
        // Prompts queue inside the engine in order of arrival. A request of a high tier granted
        // behind several long prompts would wait for all of them while it occupies a slot, and the
        // engine doesn't respect priorities.
        let unstarted = self
            .feedback
            .expected_prefill_time(self.used_slots.unstarted_prefill());
        let pace_is_known = self.feedback.pace().is_some();
        if unstarted
            > if pace_is_known {
                MAX_PENDING_PREFILL
            } else {
                MAX_PENDING_PREFILL_UNKNOWN_PACE
            }
        {
            return false;
        }
        // Until all holders have reported, an earlier owner may still grant from the same limit.
        let own_limit = self.feedback.limit.slots(now) / self.zone_size as u32;
        !self.is_learning(now) || self.own_grants < own_limit.max(1)
    }

    /// Grants slots to waiting requests while there is room.
    fn grant(&mut self, now: Instant, messages: &mut Vec<HolderEnvelope>) {
        while !self.leaving && !self.waiting.is_empty() && self.can_grant(now) {
            let slots = self.feedback.allowed(now, &self.used_slots);
            let allow_long = self.used_slots.long_count() < max_long_slots(slots);
            let Some(entry) = self.waiting.pop_next(allow_long) else {
                return;
            };
            self.grant_entry(now, &entry, messages);
        }
    }

    /// Grants a slot to a request that was removed from the waiting ones.
    fn grant_entry(&mut self, now: Instant, entry: &Entry, messages: &mut Vec<HolderEnvelope>) {
        let reservation = &entry.reservation;
        let known = self.holders.get(&reservation.holder);
        let (asked, last_sequence_at) = known.map_or((reservation.asked, now), |known| {
            (known.last_sequence, known.last_sequence_at)
        });
        let slot = UsedSlot {
            request: RequestId::clone(&reservation.request),
            holder: InstanceId::clone(&reservation.holder),
            asked,
            charge: Some(FairQueue::charge(reservation)),
            size: entry.size,
            work: reservation.work,
            prompt_tokens: entry.prompt,
            uncached_tokens_ahead: 0,
            prompt_tokens_ahead: 0,
            state: SlotState::Granted {
                lease_end: last_sequence_at + GRANT_LEASE,
            },
            missed_renewals: 0,
        };
        messages.push(self.grant_message(&slot));
        self.cache.on_grant(&reservation.prefixes);
        self.used_slots.insert(slot);
        self.own_grants += 1;
        self.feedback.health.on_granted(now);
    }

    /// Corrects the charge of a freed slot to the work that was really done.
    pub(super) fn settle_charge(&mut self, slot: &UsedSlot, actual: Work) {
        if let Some(charge) = &slot.charge {
            self.own_grants = self.own_grants.saturating_sub(1);
            self.waiting.settle(charge, actual);
        }
    }

    /// The message that grants the slot to its holder.
    pub(super) fn grant_message(&self, slot: &UsedSlot) -> HolderEnvelope {
        HolderEnvelope {
            to: InstanceId::clone(&slot.holder),
            upstream: UpstreamId::clone(&self.upstream),
            message: ToHolder::Grant {
                request: RequestId::clone(&slot.request),
                asked: slot.asked,
                prefill: slot.work.prefill,
            },
        }
    }

    /// Messages that reject the reservations of all `entries`.
    pub(super) fn reject_all(
        &self,
        now: Instant,
        entries: &[Entry],
        why: Rejection,
    ) -> Vec<HolderEnvelope> {
        let reservations = entries.iter().map(|entry| &entry.reservation);
        reservations
            .map(|reservation| self.reject(now, reservation, why))
            .collect()
    }

    /// The message that rejects a reservation, with the expected wait.
    pub(super) fn reject(
        &self,
        now: Instant,
        reservation: &Reservation,
        why: Rejection,
    ) -> HolderEnvelope {
        let wait = self.expected_wait(now, reservation.rank);
        self.rejection(&reservation.holder, &reservation.request, why, wait)
    }

    /// The message that rejects a request.
    pub(super) fn rejection(
        &self,
        to: &InstanceId,
        request: &RequestId,
        why: Rejection,
        wait: Duration,
    ) -> HolderEnvelope {
        HolderEnvelope {
            to: InstanceId::clone(to),
            upstream: UpstreamId::clone(&self.upstream),
            message: ToHolder::Rejected {
                request: RequestId::clone(request),
                why,
                wait,
            },
        }
    }
}
