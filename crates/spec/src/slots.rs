//! One request, its holder, and two instances that both take themselves for the replica's owner.
//!
//! The holder changes its mind about who the owner is, its caller may give up, its connection may
//! fail before the first byte, it may be paused with a grant in its hands; messages wait, cross,
//! come twice or never; an owner is replaced by one that knows nothing; time passes in halves of
//! a grant's lease.

use std::time::Duration;

use kingcupfield_decisions::concurrency::ConcurrencyLimit;
use kingcupfield_decisions::holder::{Holder, HolderAction, HolderOutput, OwnerEnvelope};
use kingcupfield_decisions::id::{InstanceId, RequestId, UpstreamId};
use kingcupfield_decisions::slots::{
    GRANT_LEASE, HolderEnvelope, RequestOutcome, Reservation, SlotQueue, ToHolder, ToOwner,
};
use kingcupfield_decisions::work::Work;
use tokio::time::Instant;

use crate::Model;

/// Time that passes at once.
const STEP: Duration = GRANT_LEASE.checked_div(2).expect("two is not zero");

/// Most messages under way at once; a further one is lost.
const MOST_PACKETS: usize = 2;

/// A safeguard that is taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// Everything as designed.
    Whole,
    /// The holder does not look at the lease before the first byte.
    NoLease,
    /// Whoever gets a grant dispatches, without a request that is consumed by it.
    NoHolder,
}

/// How often something may happen in one world.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Steps of time.
    pub steps: usize,
    /// Changes of mind, repeated messages, new owners and failed connections, together.
    pub faults: usize,
}

/// A message under way.
#[derive(Debug, Clone, PartialEq)]
pub enum Packet {
    /// To an owner.
    ToOwner {
        /// Which of the two.
        owner: usize,
        /// The message.
        message: ToOwner,
    },
    /// To the holder.
    ToHolder {
        /// The message.
        message: ToHolder,
    },
}

/// What may happen.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// The request arrives and is reserved.
    Reserve,
    /// A message arrives.
    Deliver(Packet),
    /// A message arrives and will arrive again.
    Repeat(Packet),
    /// The holder does what it was told by a grant.
    Dispatch,
    /// The upstream has answered.
    Finish,
    /// The connection failed before the first byte.
    ConnectFails,
    /// The caller gives up.
    GiveUp,
    /// The holder takes the other instance for the owner.
    ChangeOwner,
    /// An owner is replaced by one that knows nothing.
    ReplaceOwner(usize),
    /// The holder looks at the clock.
    HolderTick,
    /// An owner looks at the clock.
    OwnerTick(usize),
    /// Time passes.
    Pass,
}

/// The world of one request.
#[derive(Debug, Clone)]
pub struct SlotModel {
    variant: Variant,
    bounds: Bounds,
    now: Instant,
    holder: Holder,
    owners: [SlotQueue; 2],
    view: usize,
    packets: Vec<Packet>,
    reserved: bool,
    /// A grant's order to dispatch that was not carried out yet, and when it came.
    ordered: Option<Instant>,
    /// When the holder last sent a number that a grant may answer.
    asked: Instant,
    running: bool,
    sent: usize,
    told_not_run: bool,
    broken: Option<&'static str>,
}

fn request() -> RequestId {
    "request".into()
}

fn replica() -> UpstreamId {
    "replica".into()
}

fn name() -> InstanceId {
    "holder".into()
}

fn owner(now: Instant) -> SlotQueue {
    let limit = ConcurrencyLimit::new().with_max(1).with_start(1);
    SlotQueue::new(replica(), None, now).with_limit(limit)
}

impl SlotModel {
    /// Makes the world before the request arrives.
    pub fn new(variant: Variant, bounds: Bounds) -> Self {
        let now = Instant::now();
        Self {
            variant,
            bounds,
            now,
            holder: Holder::new(name(), 1),
            owners: [owner(now), owner(now)],
            view: 0,
            packets: Vec::new(),
            reserved: false,
            ordered: None,
            asked: now,
            running: false,
            sent: 0,
            told_not_run: false,
            broken: None,
        }
    }

    fn post(&mut self, packet: Packet) {
        if self.packets.len() < MOST_PACKETS && !self.packets.contains(&packet) {
            self.packets.push(packet);
            self.packets.sort_by_cached_key(|p| format!("{p:?}"));
        }
    }

    fn post_asks(&mut self, asks: Vec<OwnerEnvelope>) {
        for ask in asks {
            if matches!(ask.message, ToOwner::Reserve(_) | ToOwner::Renew { .. }) {
                self.asked = self.now;
            }
            let (owner, message) = (self.view, ask.message);
            self.post(Packet::ToOwner { owner, message });
        }
    }

    fn post_sends(&mut self, sends: Vec<HolderEnvelope>) {
        for send in sends {
            let message = send.message;
            self.post(Packet::ToHolder { message });
        }
    }

    fn take(&mut self, reply: HolderOutput) {
        for action in reply.actions {
            match action {
                HolderAction::Dispatch { .. } => self.ordered = Some(self.now),
                HolderAction::Refuse { .. } => self.told_not_run = true,
            }
        }
        self.post_asks(reply.messages);
    }

    fn reserve(&mut self) {
        self.reserved = true;
        let reservation = Reservation {
            request: request(),
            holder: name(),
            organisation: "org".into(),
            weight: 1,
            rank: 0,
            work: Work::new(10, 1),
            prefixes: Vec::new(),
            time_left: Duration::from_secs(30),
            asked: 0,
        };
        let reply = self.holder.reserve(self.now, reservation, &[replica()]);
        self.take(reply);
    }

    fn deliver(&mut self, packet: &Packet) {
        match packet {
            Packet::ToOwner { owner, message } => {
                let sends = self.owners[*owner].on_message(self.now, &name(), message.clone());
                self.post_sends(sends);
            }
            Packet::ToHolder { message } => {
                if self.variant == Variant::NoHolder && matches!(message, ToHolder::Grant { .. }) {
                    self.first_byte();
                }
                let reply = self
                    .holder
                    .on_message(self.now, &replica(), message.clone());
                self.take(reply);
            }
        }
    }

    fn dispatch(&mut self) {
        let Some(ordered) = self.ordered.take() else {
            return;
        };
        let now = match self.variant {
            Variant::NoLease => ordered,
            _ => self.now,
        };
        if let Ok(dispatch) = self.holder.dispatch(now, &request()) {
            self.first_byte();
            self.post_asks(dispatch.messages);
        }
    }

    fn first_byte(&mut self) {
        self.sent += 1;
        self.running = true;
        if self.sent > 1 {
            self.broken = Some("a request was dispatched twice");
        } else if self.told_not_run {
            self.broken = Some("a request that was told \"not run\" was dispatched");
        } else if self.now >= self.asked + GRANT_LEASE {
            self.broken = Some("a grant was used after its lease");
        }
    }

    fn finish(&mut self) {
        self.running = false;
        let reply = (self.holder).on_finished(self.now, &request(), RequestOutcome::default());
        self.take(reply);
    }

    fn connect_fails(&mut self) {
        self.running = false;
        self.sent -= 1;
        let reply = self.holder.on_connect_failed(self.now, &request());
        self.take(reply);
    }

    fn give_up(&mut self) {
        let asks = self.holder.withdraw(&request());
        self.told_not_run = true;
        self.post_asks(asks);
    }
}

impl Model for SlotModel {
    type Action = Action;

    fn actions(&self) -> Vec<Action> {
        if !self.reserved {
            return vec![Action::Reserve];
        }
        let mut actions = vec![
            Action::HolderTick,
            Action::OwnerTick(0),
            Action::OwnerTick(1),
        ];
        actions.extend(self.packets.iter().cloned().map(Action::Deliver));
        if self.ordered.is_some() {
            actions.push(Action::Dispatch);
        }
        if self.running {
            actions.push(Action::Finish);
        } else if !self.told_not_run && self.sent == 0 {
            actions.push(Action::GiveUp);
        }
        if self.bounds.faults > 0 {
            actions.extend(self.packets.iter().cloned().map(Action::Repeat));
            actions.extend([Action::ChangeOwner, Action::ReplaceOwner(self.view)]);
            if self.running {
                actions.push(Action::ConnectFails);
            }
        }
        if self.bounds.steps > 0 {
            actions.push(Action::Pass);
        }
        actions
    }

    fn apply(&mut self, action: &Action) {
        match action {
            Action::Reserve => self.reserve(),
            Action::Deliver(packet) => {
                self.packets.retain(|p| p != packet);
                self.deliver(packet);
            }
            Action::Repeat(packet) => self.deliver(packet),
            Action::Dispatch => self.dispatch(),
            Action::Finish => self.finish(),
            Action::ConnectFails => self.connect_fails(),
            Action::GiveUp => self.give_up(),
            Action::ChangeOwner => {
                self.view = 1 - self.view;
                let asks = self.holder.on_owner_changed(self.now, &replica());
                self.post_asks(asks);
            }
            Action::ReplaceOwner(i) => self.owners[*i] = owner(self.now),
            Action::HolderTick => {
                let reply = self.holder.on_tick(self.now);
                self.take(reply);
            }
            Action::OwnerTick(i) => {
                let sends = self.owners[*i].on_tick(self.now);
                self.post_sends(sends);
            }
            Action::Pass => {
                self.now += STEP;
                self.bounds.steps -= 1;
            }
        }
        let fault = matches!(
            action,
            Action::Repeat(_)
                | Action::ChangeOwner
                | Action::ReplaceOwner(_)
                | Action::ConnectFails
        );
        self.bounds.faults -= usize::from(fault);
    }

    fn broken(&self) -> Option<&'static str> {
        self.broken
    }
}
