//! The shed level of one pool: its owner, an instance that must refuse a high tier and one that
//! holds a request of the low tier.
//!
//! Messages cross; the second instance may be paused at any moment and wake with a grant in its
//! hands; time passes in steps of a quarter of a second, the time after which the owner goes on
//! without an acknowledgement. Unless the world is cut, time passes only when every message to an
//! instance that runs has arrived.

use std::sync::Arc;
use std::time::Duration;

use kingcupfield_decisions::id::{InstanceId, Rank, RequestId};
use kingcupfield_decisions::shedding::{
    ACKNOWLEDGE_TIMEOUT, LevelMember, LevelMessage, LevelOwner, RefusalStep, ToLevelMember,
    ToLevelOwner,
};
use kingcupfield_decisions::slots::GRANT_LEASE;
use tokio::time::Instant;

use crate::Model;

/// The tier that must not be refused before the other.
const HIGH: Rank = 0;
/// The lowest tier of the table.
const LOW: Rank = 1;

/// Time that passes at once, half of a grant's lease.
const STEP: Duration = GRANT_LEASE.checked_div(2).expect("two is not zero");

/// A safeguard that is taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// Everything as designed.
    Whole,
    /// The owner does not wait for acknowledgements.
    NoAcknowledgement,
    /// An instance refuses without raising the level.
    NoLevel,
}

/// A message under way; there are two instances, 0 refuses and 1 holds the low request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Packet {
    /// To the owner of the level.
    ToOwner {
        /// Who sent it.
        from: usize,
        /// The message.
        message: ToLevelOwner,
    },
    /// To an instance.
    ToMember {
        /// Whom it is for.
        to: usize,
        /// The message.
        message: ToLevelMember,
    },
}

/// What may happen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// The first instance has no room for its high request.
    Refuse,
    /// A message arrives.
    Deliver(Packet),
    /// The owner looks at the clock.
    Tick,
    /// The owner grants a slot to the low request.
    Grant,
    /// The second instance dispatches the low request.
    Dispatch,
    /// The second instance is stopped.
    Pause,
    /// The second instance wakes.
    Wake,
    /// Time passes.
    Pass,
}

/// The world of one level.
#[derive(Debug, Clone)]
pub struct ShedModel {
    variant: Variant,
    now: Instant,
    steps: usize,
    pauses: usize,
    cut: bool,
    paused: bool,
    owner: LevelOwner,
    members: [LevelMember; 2],
    names: [InstanceId; 2],
    packets: Vec<Packet>,
    granted: Option<Instant>,
    refused: bool,
    dispatched: bool,
    inverted: bool,
}

impl ShedModel {
    /// Makes the world in which both requests wait; time may pass `steps` times and the second
    /// instance may be paused `pauses` times.
    pub fn new(variant: Variant, steps: usize, pauses: usize) -> Self {
        let now = Instant::now();
        let names: [InstanceId; 2] = ["first".into(), "second".into()];
        let mut owner = LevelOwner::new(LOW);
        owner.set_members(now, names.clone());
        let mut members = [LevelMember::new(LOW), LevelMember::new(LOW)];
        members[1].add_waiting(&request(), LOW);
        Self {
            variant,
            now,
            steps,
            pauses,
            cut: false,
            paused: false,
            owner,
            members,
            names,
            packets: Vec::new(),
            granted: None,
            refused: false,
            dispatched: false,
            inverted: false,
        }
    }

    /// Messages may also never arrive while time passes.
    pub fn with_cut(mut self) -> Self {
        self.cut = true;
        self
    }

    fn post(&mut self, packet: Packet) {
        if !self.packets.contains(&packet) {
            self.packets.push(packet);
            self.packets.sort_by_cached_key(|p| format!("{p:?}"));
        }
    }

    fn post_all(&mut self, sends: Vec<LevelMessage>) {
        for send in sends {
            let to = usize::from(send.to != self.names[0]);
            let message = send.message;
            self.post(Packet::ToMember { to, message });
        }
    }

    fn post_outgoing(&mut self, from: usize) {
        for message in self.members[from].take_outgoing() {
            self.post(Packet::ToOwner { from, message });
        }
    }

    fn refuse(&mut self) {
        let refusal = self.members[0].request_refusal(self.now, HIGH);
        self.refused |= refusal == RefusalStep::Allowed || self.variant == Variant::NoLevel;
        self.post_outgoing(0);
    }

    fn deliver(&mut self, packet: &Packet) {
        self.packets.retain(|p| p != packet);
        match packet {
            Packet::ToOwner { from, message } => {
                let from = Arc::clone(&self.names[*from]);
                let mut sends = self.owner.on_message(self.now, &from, message);
                if self.variant == Variant::NoAcknowledgement {
                    sends.extend(self.owner.on_tick(self.now + ACKNOWLEDGE_TIMEOUT));
                }
                self.post_all(sends);
            }
            Packet::ToMember { to, message } => {
                let evicted = self.members[*to].on_message(self.now, message);
                if evicted.contains(&request()) {
                    self.granted = None;
                }
                self.post_outgoing(*to);
            }
        }
    }

    /// Whether the first instance would still refuse; once the level has fallen there, a low
    /// request that is served is no wrong to the high one that was refused before.
    fn still_refuses(&self) -> bool {
        let mut first = self.members[0].clone();
        self.variant == Variant::NoLevel
            || first.request_refusal(self.now, HIGH) == RefusalStep::Allowed
    }

    /// Whether the low request may go out now, checked right before the first byte.
    fn may_dispatch(&self) -> bool {
        let granted = self.granted.is_some_and(|at| self.now < at + GRANT_LEASE);
        !self.paused && !self.dispatched && granted && self.members[1].admits(self.now, LOW)
    }
}

fn request() -> RequestId {
    "low".into()
}

impl Model for ShedModel {
    type Action = Action;

    fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.refused {
            actions.push(Action::Refuse);
        }
        let arrives = |p: &&Packet| !(self.paused && matches!(p, Packet::ToMember { to: 1, .. }));
        actions.extend(
            self.packets
                .iter()
                .filter(arrives)
                .cloned()
                .map(Action::Deliver),
        );
        if self.owner.lowest_rank() >= LOW && self.granted.is_none() && !self.dispatched {
            actions.push(Action::Grant);
        }
        if self.may_dispatch() {
            actions.push(Action::Dispatch);
        }
        if self.paused {
            actions.push(Action::Wake);
        } else if self.pauses > 0 {
            actions.push(Action::Pause);
        }
        actions.push(Action::Tick);
        if self.steps > 0 && (self.cut || !self.packets.iter().any(|p| arrives(&p))) {
            actions.push(Action::Pass);
        }
        actions
    }

    fn apply(&mut self, action: &Action) {
        match action {
            Action::Refuse => self.refuse(),
            Action::Deliver(packet) => self.deliver(packet),
            Action::Tick => {
                let sends = self.owner.on_tick(self.now);
                self.post_all(sends);
            }
            Action::Grant => self.granted = Some(self.now),
            Action::Dispatch => {
                self.dispatched = true;
                self.inverted |= self.refused && self.still_refuses();
            }
            Action::Pause => {
                self.paused = true;
                self.pauses -= 1;
            }
            Action::Wake => self.paused = false,
            Action::Pass => {
                self.now += STEP;
                self.steps -= 1;
            }
        }
    }

    fn broken(&self) -> Option<&'static str> {
        self.inverted
            .then_some("a low tier was dispatched after a higher one was refused")
    }
}
