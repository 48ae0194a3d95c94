//! Refusal of requests for lack of capacity, lowest tier first.
//!
//! Load pattern: overload for longer than any queue can absorb, on several instances at once.
//! Without this, the instance that happens to hold a request of a high tier refuses it while
//! another instance still queues and serves a lower tier of the same pool.
//!
//! A pool (the replicas of one service in one availability zone) has a *level*: the lowest tier
//! that is still admitted. A raised level refuses more tiers. The owner of the pool maintains the
//! level in a [`LevelOwner`]; every instance of the zone follows it in a [`LevelMember`]. A tier may
//! be refused only after every reachable instance has acknowledged that it admits no lower one. The
//! level is lowered the same way, so at no time does one instance admit a tier that is lower than a
//! tier which another instance still refuses.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::id::{InstanceId, Rank, RequestId, Sequence};

/// An instance that does not acknowledge a change within this time counts as unreachable.
///
/// This is as long as the lease of a grant: a paused instance may resume with a grant for a lower
/// tier, and must find it expired once a higher tier was refused without its acknowledgement. The
/// specification shows the priority inversion if this is a quarter of a second. Messages within a
/// zone take a millisecond or two, so only a pause or a network cut ever takes this long.
pub const ACKNOWLEDGE_TIMEOUT: Duration = crate::slots::GRANT_LEASE;

/// A change is resent after this time. That is twice before an instance counts as unreachable, so a
/// single lost message does not make it unreachable.
pub const RESEND_AFTER: Duration = Duration::from_millis(100);

/// The level is lowered by one tier after this time without a refusal at the level.
///
/// This is longer than the gap between two refusals of one tier at the rates of the requirements
/// (15 requests/s per instance), so the level does not change twice between two refusals.
pub const LOWER_AFTER: Duration = Duration::from_millis(500);

/// Interval at which the owner confirms a raised level.
pub const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// The right to refuse expires this long after it was last confirmed.
pub const REFUSAL_RIGHT_LEASE: Duration = Duration::from_secs(2);

/// A raised level expires this long after the last message about it. That is later than every right
/// to refuse based on it, so a lost message or a dead owner never leaves an instance with the right
/// but without the level.
pub const LEVEL_LEASE: Duration = Duration::from_secs(3);

/// Shortest interval between two reports of an instance that it refuses at the level.
pub const PRESSURE_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of requests that may wait at one instance for one pool.
pub const MAX_WAITING: usize = 10_000;

/// Message from an instance to the owner of a pool's level.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ToLevelOwner {
    /// A request of `rank` has to be refused; all instances must refuse lower tiers first.
    Raise {
        /// Rank of the request to refuse.
        rank: Rank,
    },
    /// The instance follows the level of this epoch and of all earlier ones.
    Acknowledge {
        /// Highest epoch that the instance has received.
        epoch: Sequence,
    },
    /// The instance refused a request of `rank` recently.
    Pressure {
        /// Rank of the refused request.
        rank: Rank,
    },
}

/// Message from the owner of a pool's level to an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ToLevelMember {
    /// Orders the instance to admit no tier below `lowest_rank`, to refuse none above it, and to
    /// acknowledge.
    Set {
        /// Number of this change; increases with each change.
        epoch: Sequence,
        /// Lowest tier to admit.
        lowest_rank: Rank,
    },
    /// All reachable instances have acknowledged: `lowest_rank` is admitted and may be refused.
    Settled {
        /// Number of the acknowledged change.
        epoch: Sequence,
        /// Lowest tier to admit.
        lowest_rank: Rank,
    },
}

/// A message for one instance of the zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LevelMessage {
    /// The receiver.
    pub to: InstanceId,
    /// The message.
    pub message: ToLevelMember,
}

/// One instance of the zone and the last epoch that it acknowledged.
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

/// A change of the level that waits for acknowledgements.
#[derive(Debug, Clone)]
struct Round {
    /// When the change was first sent.
    started: Instant,
    /// Time after which missing acknowledgements are ignored.
    timeout: Duration,
    /// When the change was last sent.
    last_sent: Instant,
}

/// Owner side of a pool's level.
#[derive(Debug, Clone)]
pub struct LevelOwner {
    /// Rank of the lowest tier of the table.
    lowest_of_table: Rank,
    /// Lowest admitted tier, including an unsettled change.
    lowest_rank: Rank,
    /// Lowest admitted tier as of the last settled change.
    settled_rank: Rank,
    epoch: Sequence,
    members: Vec<Member>,
    round: Option<Round>,
    /// When the last change or confirmation started.
    last_set: Option<Instant>,
    /// When an instance last reported a refusal at the level, or the level was lowered.
    last_pressure: Option<Instant>,
}

impl LevelOwner {
    /// Creates a level that admits every tier down to `lowest_of_table`, the lowest tier of the
    /// table.
    pub fn new(lowest_of_table: Rank) -> Self {
        Self {
            lowest_of_table,
            lowest_rank: lowest_of_table,
            settled_rank: lowest_of_table,
            epoch: 0,
            members: Vec::new(),
            round: None,
            last_set: None,
            last_pressure: None,
        }
    }

    /// Lowest tier that is admitted. Owners of replicas grant no slot to a lower one.
    ///
    /// While the level is being lowered, an instance may refuse by the old level until it has
    /// acknowledged the new one. A grant by the new level could serve a lower tier than the one
    /// that this instance refuses.
    pub fn lowest_rank(&self) -> Rank {
        self.lowest_rank.min(self.settled_rank)
    }

    /// Updates the reachable entry instances of the zone. If the level is raised, new instances are
    /// informed.
    pub fn set_members<I>(&mut self, now: Instant, instances: I) -> Vec<LevelMessage>
    where
        I: IntoIterator<Item = InstanceId>,
    {
        let mut members: Vec<Member> = instances
            .into_iter()
            .map(|instance| Member {
                epoch: self.acknowledged_epoch(&instance).unwrap_or(0),
                instance,
            })
            .collect();
        members.sort_by(|a, b| a.instance.cmp(&b.instance));
        members.dedup_by(|a, b| a.instance == b.instance);
        let has_new = members
            .iter()
            .any(|m| self.acknowledged_epoch(&m.instance).is_none());
        self.members = members;
        if has_new && self.lowest_rank < self.lowest_of_table {
            return self.start_round(now, ACKNOWLEDGE_TIMEOUT);
        }
        self.settle(now)
    }

    /// Handles a message from an instance.
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
                    self.last_pressure = Some(now);
                }
                Vec::new()
            }
        }
    }

    /// Resends or ends a pending change, confirms a raised level, or lowers it by one tier.
    pub fn on_tick(&mut self, now: Instant) -> Vec<LevelMessage> {
        if self.round.is_some() {
            return self.resend(now);
        }
        if self.lowest_rank >= self.lowest_of_table {
            return Vec::new();
        }
        if elapsed(self.last_pressure, now) >= LOWER_AFTER {
            self.lowest_rank += 1;
            self.last_pressure = Some(now);
            // An instance that has not received the lower level may still refuse by the old one.
            // Lower tiers are admitted again once all instances have acknowledged, or once the
            // right to refuse has expired everywhere.
            return self.start_round(now, REFUSAL_RIGHT_LEASE);
        }
        if elapsed(self.last_set, now) >= REFRESH_INTERVAL {
            return self.start_round(now, ACKNOWLEDGE_TIMEOUT);
        }
        Vec::new()
    }

    fn raise(&mut self, now: Instant, from: &InstanceId, rank: Rank) -> Vec<LevelMessage> {
        self.last_pressure = Some(now);
        if rank < self.lowest_rank {
            self.lowest_rank = rank;
            return self.start_round(now, ACKNOWLEDGE_TIMEOUT);
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
        // A new owner starts at epoch 0, while members remember the epochs of the dead owner and
        // would ignore the new one forever. Their acknowledgement carries the remembered epoch, and
        // the new owner continues after it.
        if epoch > self.epoch {
            self.epoch = epoch;
            return self.start_round(now, ACKNOWLEDGE_TIMEOUT);
        }
        if let Ok(at) = self.members.binary_search_by(|m| m.instance.cmp(from)) {
            self.members[at].epoch = self.members[at].epoch.max(epoch);
        }
        self.settle(now)
    }

    fn start_round(&mut self, now: Instant, timeout: Duration) -> Vec<LevelMessage> {
        self.epoch += 1;
        self.round = Some(Round {
            started: now,
            timeout,
            last_sent: now,
        });
        self.last_set = Some(now);
        self.broadcast(&self.set())
    }

    /// Ends a complete or expired round, or resends the change to instances that have not
    /// acknowledged.
    fn resend(&mut self, now: Instant) -> Vec<LevelMessage> {
        let settled = self.settle(now);
        let Some(round) = &mut self.round else {
            return settled;
        };
        if now < round.last_sent + RESEND_AFTER {
            return settled;
        }
        round.last_sent = now;
        let set = self.set();
        let unacknowledged = |m: &&Member| m.epoch != self.epoch;
        let unacknowledged = self.members.iter().filter(unacknowledged);
        unacknowledged.map(|m| m.send(&set)).collect()
    }

    fn settle(&mut self, now: Instant) -> Vec<LevelMessage> {
        let Some(round) = &self.round else {
            return Vec::new();
        };
        let complete = self.members.iter().all(|m| m.epoch == self.epoch);
        if !complete && now < round.started + round.timeout {
            return Vec::new();
        }
        self.round = None;
        self.settled_rank = self.lowest_rank;
        self.broadcast(&self.settled())
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

    fn broadcast(&self, message: &ToLevelMember) -> Vec<LevelMessage> {
        self.members.iter().map(|m| m.send(message)).collect()
    }

    fn acknowledged_epoch(&self, instance: &InstanceId) -> Option<Sequence> {
        let at = self
            .members
            .binary_search_by(|m| m.instance.cmp(instance))
            .ok()?;
        Some(self.members[at].epoch)
    }
}

/// Next step towards the refusal of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RefusalStep {
    /// Refuse this waiting request of a lower tier first, then retry.
    EvictFirst(RequestId),
    /// Wait until all instances refuse lower tiers; retry on the next message or tick.
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

/// A requested raise of the level that is not settled yet.
#[derive(Debug, Clone)]
struct Raise {
    rank: Rank,
    since: Instant,
}

/// Instance side of a pool's level.
#[derive(Debug, Clone)]
pub struct LevelMember {
    /// Rank of the lowest tier of the table.
    lowest_of_table: Rank,
    epoch: Sequence,
    /// Lowest admitted tier, valid until `level_until`.
    admitted: Rank,
    level_until: Option<Instant>,
    /// Highest tier that may be refused, valid until `refusal_right_until`.
    refusable: Rank,
    refusal_right_until: Option<Instant>,
    /// Sorted by rank, then by request.
    waiting: Vec<Waiting>,
    raise: Option<Raise>,
    /// When this instance last reported a refusal.
    last_pressure: Option<Instant>,
    outgoing: Vec<ToLevelOwner>,
}

impl LevelMember {
    /// Creates the state of an instance that knows of no raised level; `lowest_of_table` is the
    /// lowest tier of the table.
    pub fn new(lowest_of_table: Rank) -> Self {
        Self {
            lowest_of_table,
            epoch: 0,
            admitted: lowest_of_table,
            level_until: None,
            refusable: lowest_of_table,
            refusal_right_until: None,
            waiting: Vec::new(),
            raise: None,
            last_pressure: None,
            outgoing: Vec::new(),
        }
    }

    /// Whether a request of `rank` may be queued or dispatched.
    pub fn admits(&self, now: Instant, rank: Rank) -> bool {
        rank <= self.lowest_rank(now)
    }

    /// Lowest tier that is admitted.
    pub fn lowest_rank(&self, now: Instant) -> Rank {
        if self.level_until.is_some_and(|until| now < until) {
            self.admitted
        } else {
            self.lowest_of_table
        }
    }

    /// Adds a waiting request. Returns `false` if [`MAX_WAITING`] requests wait already.
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

    /// Removes a request that was granted, refused or abandoned.
    pub fn remove_waiting(&mut self, request: &RequestId, rank: Rank) {
        let waiting = Waiting {
            rank,
            request: RequestId::clone(request),
        };
        if let Ok(at) = self.waiting.binary_search(&waiting) {
            self.waiting.remove(at);
        }
    }

    /// Handles a message from the owner of the level.
    ///
    /// Removes and returns the waiting requests whose tier is below the level. The caller refuses
    /// them before it sends the messages of [`LevelMember::take_outgoing`].
    pub fn on_message(&mut self, now: Instant, message: &ToLevelMember) -> Vec<RequestId> {
        match *message {
            ToLevelMember::Set { epoch, lowest_rank } => {
                if epoch >= self.epoch {
                    self.epoch = epoch;
                    self.apply_stricter(now, lowest_rank);
                    self.refresh_raise(now, lowest_rank);
                }
                self.outgoing
                    .push(ToLevelOwner::Acknowledge { epoch: self.epoch });
            }
            ToLevelMember::Settled { epoch, lowest_rank } if epoch == self.epoch => {
                self.admit(now, lowest_rank);
                self.refusable = lowest_rank;
                self.refusal_right_until = Some(now + REFUSAL_RIGHT_LEASE);
                // The raise is answered, even if the level has been lowered again since. If it were
                // kept, it would look unanswered and end in a refusal without the owner.
                self.raise = None;
            }
            ToLevelMember::Settled { .. } => {}
        }
        self.remove_below_level(now)
    }

    /// Returns the next step towards refusing a request of `rank` for lack of capacity.
    pub fn request_refusal(&mut self, now: Instant, rank: Rank) -> RefusalStep {
        if let Some(lowest) = self.waiting.last().filter(|w| w.rank > rank) {
            return RefusalStep::EvictFirst(RequestId::clone(&lowest.request));
        }
        if rank >= self.lowest_of_table || rank > self.lowest_rank(now) {
            return RefusalStep::Allowed;
        }
        if self.may_refuse(now, rank) {
            self.report_pressure(now, rank);
            return RefusalStep::Allowed;
        }
        match &self.raise {
            Some(raise) if raise.rank <= rank => self.refuse_without_owner(now, rank),
            _ => {
                self.raise = Some(Raise { rank, since: now });
                self.outgoing.push(ToLevelOwner::Raise { rank });
                RefusalStep::RaiseFirst
            }
        }
    }

    /// Removes and returns the messages for the owner of the level, in order.
    pub fn take_outgoing(&mut self) -> Vec<ToLevelOwner> {
        std::mem::take(&mut self.outgoing)
    }

    /// Allows a refusal if the owner has answered neither with a level nor with its completion in
    /// time, and is therefore unreachable, dead or paused. Otherwise the caller would wait until
    /// its deadline.
    fn refuse_without_owner(&mut self, now: Instant, rank: Rank) -> RefusalStep {
        let since = self.raise.as_ref().map(|raise| raise.since);
        if elapsed(since, now) < ACKNOWLEDGE_TIMEOUT * 2 {
            return RefusalStep::RaiseFirst;
        }
        self.raise = None;
        self.apply_stricter(now, rank);
        self.refusable = rank;
        self.refusal_right_until = Some(now + REFUSAL_RIGHT_LEASE);
        RefusalStep::Allowed
    }

    /// Restarts the timeout of a pending raise, as the owner is alive. A raise that a lowered level
    /// has undone is dropped and must be requested again, as it would otherwise look unanswered.
    fn refresh_raise(&mut self, now: Instant, lowest_rank: Rank) {
        self.raise.take_if(|raise| lowest_rank > raise.rank);
        if let Some(raise) = &mut self.raise {
            raise.since = now;
        }
    }

    fn may_refuse(&self, now: Instant, rank: Rank) -> bool {
        rank >= self.refusable && self.refusal_right_until.is_some_and(|until| now < until)
    }

    /// Applies the stricter of the current and the new level until the change has settled.
    fn apply_stricter(&mut self, now: Instant, lowest_rank: Rank) {
        let stricter = self.lowest_rank(now).min(lowest_rank);
        self.admit(now, stricter);
        self.refusable = self.refusable.max(lowest_rank);
    }

    fn admit(&mut self, now: Instant, lowest_rank: Rank) {
        self.admitted = lowest_rank;
        self.level_until = Some(now + LEVEL_LEASE);
    }

    fn report_pressure(&mut self, now: Instant, rank: Rank) {
        if elapsed(self.last_pressure, now) >= PRESSURE_INTERVAL {
            self.last_pressure = Some(now);
            self.outgoing.push(ToLevelOwner::Pressure { rank });
        }
    }

    fn remove_below_level(&mut self, now: Instant) -> Vec<RequestId> {
        let lowest = self.lowest_rank(now);
        let from = self.waiting.partition_point(|w| w.rank <= lowest);
        self.waiting.drain(from..).map(|w| w.request).collect()
    }
}

/// Estimated times of a request before it is queued or dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Estimate {
    /// Wait for a slot, behind running requests and waiting ones of the same and higher tiers.
    pub wait: Duration,
    /// Time from dispatch to the end of the response.
    pub service: Duration,
}

/// Whether a request can complete before its deadline; otherwise its prefill would be wasted.
///
/// A deadline that is met exactly counts as met.
pub fn can_meet(time_left: Duration, estimate: Estimate) -> bool {
    estimate.wait.saturating_add(estimate.service) <= time_left
}

/// Whether a request would miss its deadline even if it were dispatched at once.
///
/// Such a refusal is caused by the deadline, not by lack of capacity. It must not raise the level,
/// or a caller with absurd deadlines could cause the refusal of every lower tier.
pub fn is_unmeetable(time_left: Duration, estimate: Estimate) -> bool {
    estimate.service > time_left
}

/// Time since `since`; without it, the longest possible time.
fn elapsed(since: Option<Instant>, now: Instant) -> Duration {
    since.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
}
