//! Refusal of requests for lack of capacity, lowest tier first.
//!
//! Load pattern: overload for longer than any queue can absorb, on several instances at once.
//! Without this, the instance that happens to hold a request of a high tier refuses it while
//! another instance still queues and serves a lower tier of the same pool.
//!
//! A pool (the replicas of one service in one availability zone) has a *level*: the lowest tier
//! that is still admitted. [`LevelOwner`] is kept by the pool's owner, [`LevelMember`] by every
//! instance of the zone. A tier may be refused only after every reachable instance said that it
//! admits nothing lower; the level falls the same way, so that at no moment one instance admits
//! what stands below a tier that another still refuses.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::id::{InstanceId, Rank, RequestId, Sequence};

/// After this long an instance that did not acknowledge counts as unreachable.
///
/// As long as a grant's lease: a paused instance may wake with a grant of a lower tier in its
/// hands, and must find it lapsed once a higher tier was refused without its acknowledgement. The
/// specification shows the inversion with a quarter of a second. Zones are a millisecond or two
/// wide, so only a pause or a cut ever takes this long.
pub const ACKNOWLEDGE_TIMEOUT: Duration = crate::slots::GRANT_LEASE;

/// A change is told again after this long; twice before an instance counts as unreachable, so
/// that one lost message does not make it so.
pub const RESEND_AFTER: Duration = Duration::from_millis(100);

/// The level falls one step after this long without a refusal at the level.
///
/// Longer than the gap between two refusals of one tier at the brief's rates (15 requests/s per
/// instance), so that the level does not fall and rise between two of them.
pub const FALL_AFTER: Duration = Duration::from_millis(500);

/// A raised level is confirmed this often.
pub const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// The right to refuse lapses this long after it was confirmed.
pub const REFUSAL_RIGHT_LEASE: Duration = Duration::from_secs(2);

/// A raised level lapses this long after its last message; later than every right that rests on
/// it, so that a lost message or a dead owner never leaves a right without its level.
pub const LEVEL_LEASE: Duration = Duration::from_secs(3);

/// How often an instance reports that it refuses at the level.
pub const PRESSURE_INTERVAL: Duration = Duration::from_millis(200);

/// Most requests that may wait at one instance for one pool.
pub const MAX_WAITING: usize = 10_000;

/// Message from an instance to the owner of a pool's level.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ToLevelOwner {
    /// A request of `rank` has to be refused; lower tiers must be refused everywhere first.
    Raise {
        /// Rank that is to be refused.
        rank: Rank,
    },
    /// The instance obeys the level of this epoch and of all earlier ones.
    Acknowledge {
        /// Highest epoch that the instance has seen.
        epoch: Sequence,
    },
    /// The instance refused requests of `rank` lately.
    Pressure {
        /// Highest tier that was refused.
        rank: Rank,
    },
}

/// Message from the owner of a pool's level to an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ToLevelMember {
    /// Admit nothing below `lowest_rank` and refuse nothing above it, then acknowledge.
    Set {
        /// Number of this change; it only grows.
        epoch: Sequence,
        /// Lowest tier to admit.
        lowest_rank: Rank,
    },
    /// All reachable instances acknowledged: `lowest_rank` is admitted and may be refused.
    Settled {
        /// The change that is complete.
        epoch: Sequence,
        /// Lowest tier to admit.
        lowest_rank: Rank,
    },
}

/// A message for one instance of the zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LevelMessage {
    /// Whom it goes to.
    pub to: InstanceId,
    /// The message.
    pub message: ToLevelMember,
}

/// One instance of the zone and what it has confirmed.
#[derive(Debug, Clone)]
struct Member {
    instance: InstanceId,
    epoch: Sequence,
}

impl Member {
    fn send(&self, message: &ToLevelMember) -> LevelMessage {
        LevelMessage {
            to: InstanceId::clone(&self.instance),
            message: message.clone(),
        }
    }
}

/// A change that waits for acknowledgements.
#[derive(Debug, Clone)]
struct Round {
    since: Instant,
    /// How long it waits for those that do not answer.
    patience: Duration,
    told: Instant,
}

/// The owner's side of a pool's level.
#[derive(Debug, Clone)]
pub struct LevelOwner {
    bottom: Rank,
    lowest_rank: Rank,
    /// What was in force when the last change settled.
    settled_rank: Rank,
    epoch: Sequence,
    members: Vec<Member>,
    round: Option<Round>,
    set_at: Option<Instant>,
    pressed_at: Option<Instant>,
}

impl LevelOwner {
    /// Makes a level that admits everything down to `bottom`, the lowest tier of the table.
    pub fn new(bottom: Rank) -> Self {
        Self {
            bottom,
            lowest_rank: bottom,
            settled_rank: bottom,
            epoch: 0,
            members: Vec::new(),
            round: None,
            set_at: None,
            pressed_at: None,
        }
    }

    /// Lowest tier that is admitted; an owner of replicas grants nothing below it.
    ///
    /// While the level falls, an instance may still refuse by the old one until it has
    /// acknowledged; a grant by the new one would serve a lower tier than it refuses.
    pub fn lowest_rank(&self) -> Rank {
        self.lowest_rank.min(self.settled_rank)
    }

    /// Takes the reachable entry instances of the zone; a newcomer is told a raised level.
    pub fn set_members<I>(&mut self, now: Instant, instances: I) -> Vec<LevelMessage>
    where
        I: IntoIterator<Item = InstanceId>,
    {
        let mut members: Vec<Member> = instances
            .into_iter()
            .map(|instance| Member {
                epoch: self.confirmed(&instance).unwrap_or(0),
                instance,
            })
            .collect();
        members.sort_by(|a, b| a.instance.cmp(&b.instance));
        members.dedup_by(|a, b| a.instance == b.instance);
        let joined = members
            .iter()
            .any(|m| self.confirmed(&m.instance).is_none());
        self.members = members;
        if joined && self.lowest_rank < self.bottom {
            return self.start(now, ACKNOWLEDGE_TIMEOUT);
        }
        self.settle(now)
    }

    /// Handles a message of an instance.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: &InstanceId,
        message: &ToLevelOwner,
    ) -> Vec<LevelMessage> {
        match *message {
            ToLevelOwner::Raise { rank } => self.raise(now, from, rank),
            ToLevelOwner::Acknowledge { epoch } => self.acknowledge(now, from, epoch),
            ToLevelOwner::Pressure { rank } => {
                if rank <= self.lowest_rank {
                    self.pressed_at = Some(now);
                }
                Vec::new()
            }
        }
    }

    /// Ends an overdue round, confirms a raised level, or lets it fall by one step.
    pub fn on_tick(&mut self, now: Instant) -> Vec<LevelMessage> {
        if self.round.is_some() {
            return self.remind(now);
        }
        if self.lowest_rank >= self.bottom {
            return Vec::new();
        }
        if elapsed(self.pressed_at, now) >= FALL_AFTER {
            self.lowest_rank += 1;
            self.pressed_at = Some(now);
            // Whoever has not heard of the fall may still refuse at the old level. Lower tiers come
            // back when all have answered, or when no such right can be left.
            return self.start(now, REFUSAL_RIGHT_LEASE);
        }
        if elapsed(self.set_at, now) >= REFRESH_INTERVAL {
            return self.start(now, ACKNOWLEDGE_TIMEOUT);
        }
        Vec::new()
    }

    fn raise(&mut self, now: Instant, from: &InstanceId, rank: Rank) -> Vec<LevelMessage> {
        self.pressed_at = Some(now);
        if rank < self.lowest_rank {
            self.lowest_rank = rank;
            return self.start(now, ACKNOWLEDGE_TIMEOUT);
        }
        if self.round.is_some() {
            return Vec::new();
        }
        vec![LevelMessage {
            to: InstanceId::clone(from),
            message: self.settled(),
        }]
    }

    fn acknowledge(
        &mut self,
        now: Instant,
        from: &InstanceId,
        epoch: Sequence,
    ) -> Vec<LevelMessage> {
        // A new owner starts at epoch 0 while members remember the dead owner's epochs. They
        // would ignore it for ever; their answer carries what they remember, and it goes beyond.
        if epoch > self.epoch {
            self.epoch = epoch;
            return self.start(now, ACKNOWLEDGE_TIMEOUT);
        }
        if let Ok(at) = self.members.binary_search_by(|m| m.instance.cmp(from)) {
            self.members[at].epoch = self.members[at].epoch.max(epoch);
        }
        self.settle(now)
    }

    fn start(&mut self, now: Instant, patience: Duration) -> Vec<LevelMessage> {
        self.epoch += 1;
        self.round = Some(Round {
            since: now,
            patience,
            told: now,
        });
        self.set_at = Some(now);
        self.to_all(&self.set())
    }

    /// Ends a complete or overdue round, or tells those again that have not answered.
    fn remind(&mut self, now: Instant) -> Vec<LevelMessage> {
        let settled = self.settle(now);
        let Some(round) = &mut self.round else {
            return settled;
        };
        if now < round.told + RESEND_AFTER {
            return settled;
        }
        round.told = now;
        let set = self.set();
        let silent = |m: &&Member| m.epoch != self.epoch;
        let silent = self.members.iter().filter(silent);
        silent.map(|m| m.send(&set)).collect()
    }

    fn settle(&mut self, now: Instant) -> Vec<LevelMessage> {
        let Some(round) = &self.round else {
            return Vec::new();
        };
        let complete = self.members.iter().all(|m| m.epoch == self.epoch);
        if !complete && now < round.since + round.patience {
            return Vec::new();
        }
        self.round = None;
        self.settled_rank = self.lowest_rank;
        self.to_all(&self.settled())
    }

    fn set(&self) -> ToLevelMember {
        ToLevelMember::Set {
            epoch: self.epoch,
            lowest_rank: self.lowest_rank,
        }
    }

    fn settled(&self) -> ToLevelMember {
        ToLevelMember::Settled {
            epoch: self.epoch,
            lowest_rank: self.lowest_rank,
        }
    }

    fn to_all(&self, message: &ToLevelMember) -> Vec<LevelMessage> {
        self.members.iter().map(|m| m.send(message)).collect()
    }

    fn confirmed(&self, instance: &InstanceId) -> Option<Sequence> {
        let at = self
            .members
            .binary_search_by(|m| m.instance.cmp(instance))
            .ok()?;
        Some(self.members[at].epoch)
    }
}

/// What has to happen before a request may be refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RefusalStep {
    /// Refuse this waiting request of a lower tier first, then ask again.
    EvictFirst(RequestId),
    /// Lower tiers are being refused everywhere; ask again on the next message or tick.
    RaiseFirst,
    /// The request may be refused.
    Allowed,
}

/// A request that waits at this instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Waiting {
    rank: Rank,
    request: RequestId,
}

/// A raise that was asked for and is not settled.
#[derive(Debug, Clone)]
struct Raise {
    rank: Rank,
    since: Instant,
}

/// One instance's side of a pool's level.
#[derive(Debug, Clone)]
pub struct LevelMember {
    bottom: Rank,
    epoch: Sequence,
    admitted: Rank,
    admitted_until: Option<Instant>,
    refusable: Rank,
    refusable_until: Option<Instant>,
    waiting: Vec<Waiting>,
    raise: Option<Raise>,
    pressed_at: Option<Instant>,
    outgoing: Vec<ToLevelOwner>,
}

impl LevelMember {
    /// Makes the side of an instance that knows of no raised level; `bottom` is the lowest tier.
    pub fn new(bottom: Rank) -> Self {
        Self {
            bottom,
            epoch: 0,
            admitted: bottom,
            admitted_until: None,
            refusable: bottom,
            refusable_until: None,
            waiting: Vec::new(),
            raise: None,
            pressed_at: None,
            outgoing: Vec::new(),
        }
    }

    /// Whether a request of `rank` may be queued or dispatched.
    pub fn admits(&self, now: Instant, rank: Rank) -> bool {
        rank <= self.lowest_rank(now)
    }

    /// Lowest tier that is admitted.
    pub fn lowest_rank(&self, now: Instant) -> Rank {
        if self.admitted_until.is_some_and(|until| now < until) {
            self.admitted
        } else {
            self.bottom
        }
    }

    /// Notes a waiting request; false when [`MAX_WAITING`] requests wait already.
    pub fn add_waiting(&mut self, request: &RequestId, rank: Rank) -> bool {
        if self.waiting.len() >= MAX_WAITING {
            return false;
        }
        let waiting = Waiting {
            rank,
            request: RequestId::clone(request),
        };
        if let Err(at) = self.waiting.binary_search(&waiting) {
            self.waiting.insert(at, waiting);
        }
        true
    }

    /// Forgets a request that was granted, refused or given up.
    pub fn remove_waiting(&mut self, request: &RequestId, rank: Rank) {
        let waiting = Waiting {
            rank,
            request: RequestId::clone(request),
        };
        if let Ok(at) = self.waiting.binary_search(&waiting) {
            self.waiting.remove(at);
        }
    }

    /// Handles a message of the level's owner.
    ///
    /// Returns and forgets the waiting requests that stand below the level; the caller refuses
    /// them before it sends what [`LevelMember::take_outgoing`] holds.
    pub fn on_message(&mut self, now: Instant, message: &ToLevelMember) -> Vec<RequestId> {
        match *message {
            ToLevelMember::Set { epoch, lowest_rank } => {
                if epoch >= self.epoch {
                    self.epoch = epoch;
                    self.lower(now, lowest_rank);
                    self.answer_raise(now, lowest_rank);
                }
                self.outgoing
                    .push(ToLevelOwner::Acknowledge { epoch: self.epoch });
            }
            ToLevelMember::Settled { epoch, lowest_rank } if epoch == self.epoch => {
                self.admit(now, lowest_rank);
                self.refusable = lowest_rank;
                self.refusable_until = Some(now + REFUSAL_RIGHT_LEASE);
                // Answered, be it by a level that has fallen again since. Kept, an old raise would
                // look like one that the owner never answered, and end in a refusal without it.
                self.raise = None;
            }
            ToLevelMember::Settled { .. } => {}
        }
        self.take_below(now)
    }

    /// Says what has to happen before a request of `rank` may be refused for want of capacity.
    pub fn request_refusal(&mut self, now: Instant, rank: Rank) -> RefusalStep {
        if let Some(lowest) = self.waiting.last().filter(|w| w.rank > rank) {
            return RefusalStep::EvictFirst(RequestId::clone(&lowest.request));
        }
        if rank >= self.bottom || rank > self.lowest_rank(now) {
            return RefusalStep::Allowed;
        }
        if self.may_refuse(now, rank) {
            self.press(now, rank);
            return RefusalStep::Allowed;
        }
        match &self.raise {
            Some(raise) if raise.rank <= rank => self.overdue(now, rank),
            _ => {
                self.raise = Some(Raise { rank, since: now });
                self.outgoing.push(ToLevelOwner::Raise { rank });
                RefusalStep::RaiseFirst
            }
        }
    }

    /// Messages for the level's owner, in order; empties the list.
    pub fn take_outgoing(&mut self) -> Vec<ToLevelOwner> {
        std::mem::take(&mut self.outgoing)
    }

    /// The owner is cut off, dead or paused when neither a level nor its completion came in time.
    /// The caller would then wait for an answer until its deadline, so the instance goes on alone.
    fn overdue(&mut self, now: Instant, rank: Rank) -> RefusalStep {
        let since = self.raise.as_ref().map(|raise| raise.since);
        if elapsed(since, now) < ACKNOWLEDGE_TIMEOUT * 2 {
            return RefusalStep::RaiseFirst;
        }
        self.raise = None;
        self.lower(now, rank);
        self.refusable = rank;
        self.refusable_until = Some(now + REFUSAL_RIGHT_LEASE);
        RefusalStep::Allowed
    }

    /// The owner lives, so a raise that waits is not overdue yet; one that a fall has undone must
    /// be asked anew, or it would look like one that was never answered.
    fn answer_raise(&mut self, now: Instant, lowest_rank: Rank) {
        self.raise.take_if(|raise| lowest_rank > raise.rank);
        if let Some(raise) = &mut self.raise {
            raise.since = now;
        }
    }

    fn may_refuse(&self, now: Instant, rank: Rank) -> bool {
        rank >= self.refusable && self.refusable_until.is_some_and(|until| now < until)
    }

    /// Obeys the stricter of two levels until the change has settled.
    fn lower(&mut self, now: Instant, lowest_rank: Rank) {
        let stricter = self.lowest_rank(now).min(lowest_rank);
        self.admit(now, stricter);
        self.refusable = self.refusable.max(lowest_rank);
    }

    fn admit(&mut self, now: Instant, lowest_rank: Rank) {
        self.admitted = lowest_rank;
        self.admitted_until = Some(now + LEVEL_LEASE);
    }

    fn press(&mut self, now: Instant, rank: Rank) {
        if elapsed(self.pressed_at, now) >= PRESSURE_INTERVAL {
            self.pressed_at = Some(now);
            self.outgoing.push(ToLevelOwner::Pressure { rank });
        }
    }

    fn take_below(&mut self, now: Instant) -> Vec<RequestId> {
        let lowest = self.lowest_rank(now);
        let from = self.waiting.partition_point(|w| w.rank <= lowest);
        self.waiting.drain(from..).map(|w| w.request).collect()
    }
}

/// What is expected of a request before it is queued or dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Estimate {
    /// Wait for a slot, counting only what runs and what waits in its own tier and above.
    pub wait: Duration,
    /// From dispatch to the end of the answer.
    pub service: Duration,
}

/// Whether a request can end before its deadline; otherwise its prefill would be wasted.
///
/// A deadline that is met exactly counts as met.
pub fn can_meet(time_left: Duration, estimate: Estimate) -> bool {
    estimate.wait.saturating_add(estimate.service) <= time_left
}

/// Whether no free capacity could help: even at once the answer would end too late.
///
/// Such a refusal is the deadline's fault and no shed; it must not raise the level, or a caller
/// with absurd deadlines could have every lower tier refused.
pub fn is_unmeetable(time_left: Duration, estimate: Estimate) -> bool {
    estimate.service > time_left
}

fn elapsed(since: Option<Instant>, now: Instant) -> Duration {
    since.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
}
