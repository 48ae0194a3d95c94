//! One replica at its owner: what waits for it, what runs on it, and who gets the next slot.

use std::time::Duration;

use tokio::time::Instant;

use super::feedback::Feedback;
use super::seen::SeenHolders;
use super::taken::{Stage, Taken, TakenSlots};
use super::wait;
use super::{Digest, GRANT_LEASE, LoadReport, Rejection, Reservation, Send, ToHolder, ToOwner};
use crate::concurrency::Limit;
use crate::fairness::{Entry, FairQueue, max_long_slots};
use crate::health::Stage as HealthStage;
use crate::id::{InstanceId, PrefixHash, Rank, RequestId, UpstreamId};
use crate::pace::Pace;
use crate::prefixes::{CacheEvent, PrefixCache};
use crate::work::Work;

/// Waiting reservations of one replica; about 500 bytes each.
///
/// At 600 replicas and 5,100 requests a second it is minutes of work for one replica; what waits
/// behind that cannot meet any deadline.
pub const MAX_WAITING: usize = 2048;

/// How long a new owner waits for the holders' first renewals before it trusts its counts.
pub const LEARNING: Duration = Duration::from_secs(1);

/// Prefill that may be under way at a replica before the next grant.
///
/// Short enough that a status check of three seconds is not late for it alone; long enough that an
/// estimate which is too high by a misjudged cache does not idle the engine. Measured with 0.25 s,
/// 0.5 s, 1 s, 2 s and without: see the design note on scenarios.
pub const PREFILL_AHEAD: Duration = Duration::from_secs(1);

/// The same while the replica's pace is unknown and assumed to be several times slower than most.
const UNKNOWN_PREFILL_AHEAD: Duration = Duration::from_secs(2);

/// One replica at its owner.
#[derive(Debug, Clone)]
pub struct SlotQueue {
    pub(super) upstream: UpstreamId,
    generation: Option<String>,
    born: Instant,
    neighbours: usize,
    pub(super) max_waiting: usize,
    pub(super) holders: SeenHolders,
    pub(super) waiting: FairQueue,
    pub(super) taken: TakenSlots,
    pub(super) granted: u32,
    pub(super) feedback: Feedback,
    pub(super) cache: PrefixCache,
    pub(super) lowest: Rank,
    pub(super) leaving: bool,
}

impl SlotQueue {
    /// Makes the queue of a replica that this instance owns from now on.
    pub fn new(upstream: UpstreamId, generation: Option<String>, now: Instant) -> Self {
        Self {
            upstream,
            generation,
            born: now,
            neighbours: 1,
            max_waiting: MAX_WAITING,
            holders: SeenHolders::default(),
            waiting: FairQueue::new(),
            taken: TakenSlots::default(),
            granted: 0,
            feedback: Feedback::default(),
            cache: PrefixCache::new(),
            lowest: Rank::MAX,
            leaving: false,
        }
    }

    /// Sets how many live entry instances the zone has, this one included.
    pub fn with_neighbours(mut self, neighbours: usize) -> Self {
        self.neighbours = neighbours.max(1);
        self
    }

    /// Starts with `limit`, made by hand or from an earlier owner's digest.
    pub fn with_limit(mut self, limit: Limit) -> Self {
        self.feedback.limit = limit;
        self
    }

    /// Sets the bound on waiting reservations.
    pub fn with_max_waiting(mut self, max_waiting: usize) -> Self {
        self.max_waiting = max_waiting.max(1);
        self
    }

    /// Starts with the usual pace of the replica's generation.
    pub fn with_usual_pace(mut self, usual: Pace) -> Self {
        self.feedback.usual = Some(usual);
        self
    }

    /// Replaces the usual pace of the replica's generation; `None` judges it by its own past.
    pub fn set_usual_pace(&mut self, usual: Option<Pace>) {
        self.feedback.usual = usual;
    }

    /// Name of the replica.
    pub fn upstream(&self) -> &UpstreamId {
        &self.upstream
    }

    /// Hardware generation, if one is published.
    pub fn generation(&self) -> Option<&str> {
        self.generation.as_deref()
    }

    /// Stage of the replica's health.
    pub fn health(&self) -> HealthStage {
        self.feedback.health.stage()
    }

    /// Handles a message of holder `from`; the answers may go to others.
    pub fn on_message(&mut self, now: Instant, from: &InstanceId, message: ToOwner) -> Vec<Send> {
        let mut sends = Vec::new();
        match message {
            ToOwner::Reserve(reservation) => {
                self.on_reserve(now, from, reservation, &mut sends);
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
        self.grant(now, &mut sends);
        sends
    }

    /// Drops what lapsed, looks for stalls and grants; to be called every 50 ms.
    pub fn on_tick(&mut self, now: Instant) -> Vec<Send> {
        let mut sends = Vec::new();
        self.drop_silent_holders(now, &mut sends);
        self.free_lapsed(now, &mut sends);
        self.feedback.look_for_stall(now, &self.taken);
        let feedback = &self.feedback;
        let late = self.waiting.remove_if(|entry| {
            let left = entry.deadline.saturating_duration_since(now);
            feedback.is_late(Duration::ZERO, entry.reservation.work, left)
        });
        sends.extend(self.reject_all(now, &late, Rejection::Late));
        self.grant(now, &mut sends);
        sends
    }

    /// Takes in a load report.
    pub fn on_report(&mut self, now: Instant, report: LoadReport) -> Vec<Send> {
        self.feedback.limit.on_report(now, report);
        if report.leaving {
            return self.set_leaving(now);
        }
        Vec::new()
    }

    /// Takes in an event of the replica's cache feed.
    pub fn on_cache_event(&mut self, event: CacheEvent) {
        self.cache.on_event(event);
    }

    /// Refuses waiting tiers below `lowest` and grants none of them from now on.
    pub fn set_level(&mut self, now: Instant, lowest: Rank) -> Vec<Send> {
        self.lowest = lowest;
        let shed = self
            .waiting
            .remove_if(|entry| entry.reservation.rank > lowest);
        self.reject_all(now, &shed, Rejection::Shed)
    }

    /// The replica leaves: refuses all that wait and grants nothing more.
    pub fn set_leaving(&mut self, now: Instant) -> Vec<Send> {
        self.leaving = true;
        let all = self.waiting.remove_if(|_| true);
        self.reject_all(now, &all, Rejection::Leaving)
    }

    /// The holder is dead: its reservations are dropped and its slots are free.
    pub fn on_holder_gone(&mut self, now: Instant, holder: &InstanceId) -> Vec<Send> {
        self.drop_waiting_of(holder);
        self.free_slots_of(holder);
        self.holders.remove(holder);
        let mut sends = Vec::new();
        self.grant(now, &mut sends);
        sends
    }

    /// Estimate for holders that choose among owners.
    pub fn digest(&self, now: Instant) -> Digest {
        Digest {
            running: self.taken.len(),
            limit: self.feedback.allowed(now, &self.taken),
            waiting: self.waiting.len() as u32,
            wait: self.wait(now, Rank::MAX),
            pace: self.feedback.pace(),
        }
    }

    /// Number of leading `prefixes` that the replica probably holds.
    pub fn cached(&self, prefixes: &[PrefixHash]) -> usize {
        self.cache.cached(prefixes)
    }

    /// Expected wait of a new reservation of `rank`; lower tiers that wait do not count.
    ///
    /// With a free slot it is the prefill that is under way: an engine prefills one prompt after
    /// another.
    pub fn wait(&self, now: Instant, rank: Rank) -> Duration {
        let slots = self.feedback.allowed(now, &self.taken).max(1);
        let prefill = self.feedback.prefill(self.taken.silent_prefill());
        let ahead = self.waiting.len_at_or_above(rank);
        if ahead == 0 && self.taken.len() < slots {
            return prefill;
        }
        let ends_in = self.taken.iter().map(|taken| {
            let gone = taken.since().map_or(Duration::ZERO, |since| now - since);
            self.feedback.service(taken.work).saturating_sub(gone)
        });
        let waiting = match ahead {
            0 => Duration::ZERO,
            _ => self.feedback.service(self.waiting.work_at_or_above(rank)),
        };
        wait::expected(ends_in.collect(), slots as usize, waiting).max(prefill)
    }

    /// Whether holders of an earlier owner's grants may not have told yet.
    pub(super) fn is_learning(&self, now: Instant) -> bool {
        self.holders.renewed() < self.neighbours && now < self.born + LEARNING
    }

    /// Whether one more slot may be granted.
    fn has_room(&self, now: Instant) -> bool {
        let taken = self.taken.len();
        if taken >= self.feedback.allowed(now, &self.taken) || self.taken.is_late(now) {
            return false;
        }
        // Prompts queue inside the engine in order of arrival. A high tier granted behind several
        // long prompts would wait for all of them, with its slot and in no order of ours.
        let unstarted = self.feedback.prefill(self.taken.unstarted_prefill());
        let known = self.feedback.pace().is_some();
        if unstarted
            > if known {
                PREFILL_AHEAD
            } else {
                UNKNOWN_PREFILL_AHEAD
            }
        {
            return false;
        }
        // An earlier owner may still grant from the same limit until all holders have told.
        let alone = self.feedback.limit.get(now) / self.neighbours as u32;
        !self.is_learning(now) || self.granted < alone.max(1)
    }

    fn grant(&mut self, now: Instant, sends: &mut Vec<Send>) {
        while !self.leaving && !self.waiting.is_empty() && self.has_room(now) {
            let slots = self.feedback.allowed(now, &self.taken);
            let long = self.taken.long() < max_long_slots(slots);
            let Some(entry) = self.waiting.pop_next(long) else {
                return;
            };
            self.grant_entry(now, &entry, sends);
        }
    }

    fn grant_entry(&mut self, now: Instant, entry: &Entry, sends: &mut Vec<Send>) {
        let reservation = &entry.reservation;
        let seen = self.holders.get(&reservation.holder);
        let (asked, heard) = seen.map_or((reservation.asked, now), |seen| (seen.asked, seen.heard));
        let taken = Taken {
            request: RequestId::clone(&reservation.request),
            holder: InstanceId::clone(&reservation.holder),
            asked,
            charge: Some(FairQueue::charge(reservation)),
            size: entry.size,
            work: reservation.work,
            prompt: entry.prompt,
            ahead: 0,
            prompts_ahead: 0,
            stage: Stage::Granted {
                until: heard + GRANT_LEASE,
            },
            missed: 0,
        };
        sends.push(self.grant_message(&taken));
        self.cache.on_grant(&reservation.prefixes);
        self.taken.insert(taken);
        self.granted += 1;
        self.feedback.health.on_granted(now);
    }

    /// Corrects the charge of a slot that came back after `real` work.
    pub(super) fn refund(&mut self, taken: &Taken, real: Work) {
        if let Some(charge) = &taken.charge {
            self.granted = self.granted.saturating_sub(1);
            self.waiting.settle(charge, real);
        }
    }

    pub(super) fn grant_message(&self, taken: &Taken) -> Send {
        Send {
            to: InstanceId::clone(&taken.holder),
            upstream: UpstreamId::clone(&self.upstream),
            message: ToHolder::Grant {
                request: RequestId::clone(&taken.request),
                asked: taken.asked,
                prefill: taken.work.prefill,
            },
        }
    }

    pub(super) fn reject_all(&self, now: Instant, entries: &[Entry], why: Rejection) -> Vec<Send> {
        let reservations = entries.iter().map(|entry| &entry.reservation);
        reservations
            .map(|reservation| self.reject(now, reservation, why))
            .collect()
    }

    pub(super) fn reject(&self, now: Instant, reservation: &Reservation, why: Rejection) -> Send {
        let wait = self.wait(now, reservation.rank);
        self.rejection(&reservation.holder, &reservation.request, why, wait)
    }

    pub(super) fn rejection(
        &self,
        to: &InstanceId,
        request: &RequestId,
        why: Rejection,
        wait: Duration,
    ) -> Send {
        Send {
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
