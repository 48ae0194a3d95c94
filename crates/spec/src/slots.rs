//! Model of one request, its holder, and two instances that both act as owner of the replica.
//!
//! The holder may change which of them it believes to be the owner, its caller may give up, its
//! connection may fail before the first byte, and it may be paused with an unused grant. Messages
//! may be delayed, reordered, duplicated or lost; an owner may be replaced by one without state;
//! time advances in steps of half a grant's lease.

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

/// Time by which one step advances the clock.
const TIME_STEP: Duration = GRANT_LEASE.checked_div(2).expect("two is not zero");

/// Maximum number of messages in flight; a further one is lost.
const MAX_PACKETS: usize = 2;

/// The protocol, or the protocol without one of its safeguards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// The protocol as designed.
    Unmodified,
    /// The holder doesn't check the lease before the first byte.
    NoLease,
    /// Each grant that arrives leads to a dispatch, also for a request that was dispatched already.
    NoHolder,
}

/// Maximum number of events in one exploration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Number of steps of time.
    pub steps: usize,
    /// Number of owner changes, duplicate messages, replaced owners and failed connections,
    /// together.
    pub faults: usize,
}

/// A message in flight.
#[derive(Debug, Clone, PartialEq)]
pub enum Packet {
    /// To an owner.
    ToOwner {
        /// Index of the owner, 0 or 1.
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

/// An event.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// The request arrives and is reserved.
    Reserve,
    /// A message arrives.
    Deliver(Packet),
    /// A message arrives and stays in flight.
    Duplicate(Packet),
    /// The holder dispatches the request after a grant.
    Dispatch,
    /// The upstream's response is complete.
    Finish,
    /// The connection fails before the first byte.
    ConnectFails,
    /// The caller gives up.
    Abandon,
    /// The holder believes the other instance to be the owner.
    ChangeOwner,
    /// An owner is replaced by one without state.
    ReplaceOwner(usize),
    /// The holder's timer fires.
    HolderTick,
    /// An owner's timer fires.
    OwnerTick(usize),
    /// Time advances by one step.
    AdvanceTime,
}

/// State of the model.
#[derive(Debug, Clone)]
pub struct SlotModel {
    variant: Variant,
    bounds: Bounds,
    now: Instant,
    holder: Holder,
    owners: [SlotQueue; 2],
    /// Index of the owner to which the holder sends its messages.
    believed_owner: usize,
    packets: Vec<Packet>,
    reserved: bool,
    /// When the grant arrived that the holder has not used yet.
    granted_at: Option<Instant>,
    /// When the holder last sent a sequence number that a grant may answer.
    last_asked_at: Instant,
    running: bool,
    /// Number of dispatches, without those whose connection failed.
    dispatch_count: usize,
    /// Whether the caller was answered "not run" or gave up.
    answered_not_run: bool,
    /// The first guarantee that was broken.
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
    /// Creates the state before the request arrives.
    pub fn new(variant: Variant, bounds: Bounds) -> Self {
        let now = Instant::now();
        Self {
            variant,
            bounds,
            now,
            holder: Holder::new(name(), 1),
            owners: [owner(now), owner(now)],
            believed_owner: 0,
            packets: Vec::new(),
            reserved: false,
            granted_at: None,
            last_asked_at: now,
            running: false,
            dispatch_count: 0,
            answered_not_run: false,
            broken: None,
        }
    }

    fn put_in_flight(&mut self, packet: Packet) {
        if self.packets.len() < MAX_PACKETS && !self.packets.contains(&packet) {
            self.packets.push(packet);
            self.packets.sort_by_cached_key(|p| format!("{p:?}"));
        }
    }

    fn send_to_owner(&mut self, envelopes: Vec<OwnerEnvelope>) {
        for envelope in envelopes {
            if matches!(
                envelope.message,
                ToOwner::Reserve(_) | ToOwner::Renew { .. }
            ) {
                self.last_asked_at = self.now;
            }
            let (owner, message) = (self.believed_owner, envelope.message);
            self.put_in_flight(Packet::ToOwner { owner, message });
        }
    }

    fn send_to_holder(&mut self, envelopes: Vec<HolderEnvelope>) {
        for envelope in envelopes {
            let message = envelope.message;
            self.put_in_flight(Packet::ToHolder { message });
        }
    }

    fn apply_output(&mut self, output: HolderOutput) {
        for action in output.actions {
            match action {
                HolderAction::Dispatch { .. } => self.granted_at = Some(self.now),
                HolderAction::Refuse { .. } => self.answered_not_run = true,
            }
        }
        self.send_to_owner(output.messages);
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
        let output = self.holder.reserve(self.now, reservation, &[replica()]);
        self.apply_output(output);
    }

    fn deliver(&mut self, packet: &Packet) {
        match packet {
            Packet::ToOwner { owner, message } => {
                let envelopes = self.owners[*owner].on_message(self.now, &name(), message.clone());
                self.send_to_holder(envelopes);
            }
            Packet::ToHolder { message } => {
                if self.variant == Variant::NoHolder && matches!(message, ToHolder::Grant { .. }) {
                    self.count_dispatch();
                }
                let output = self
                    .holder
                    .on_message(self.now, &replica(), message.clone());
                self.apply_output(output);
            }
        }
    }

    fn dispatch(&mut self) {
        let Some(granted_at) = self.granted_at.take() else {
            return;
        };
        let now = match self.variant {
            Variant::NoLease => granted_at,
            _ => self.now,
        };
        if let Ok(dispatch) = self.holder.dispatch(now, &request()) {
            self.count_dispatch();
            self.send_to_owner(dispatch.messages);
        }
    }

    fn count_dispatch(&mut self) {
        self.dispatch_count += 1;
        self.running = true;
        if self.dispatch_count > 1 {
            self.broken = Some("a request was dispatched twice");
        } else if self.answered_not_run {
            self.broken = Some("a request that was answered \"not run\" was dispatched");
        } else if self.now >= self.last_asked_at + GRANT_LEASE {
            self.broken = Some("a grant was used after its lease");
        }
    }

    fn finish(&mut self) {
        self.running = false;
        let output = (self.holder).on_finished(self.now, &request(), RequestOutcome::default());
        self.apply_output(output);
    }

    fn connect_fails(&mut self) {
        self.running = false;
        self.dispatch_count -= 1;
        let output = self.holder.on_connect_failed(self.now, &request());
        self.apply_output(output);
    }

    fn abandon(&mut self) {
        let envelopes = self.holder.withdraw(&request());
        self.answered_not_run = true;
        self.send_to_owner(envelopes);
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
        if self.granted_at.is_some() {
            actions.push(Action::Dispatch);
        }
        if self.running {
            actions.push(Action::Finish);
        } else if !self.answered_not_run && self.dispatch_count == 0 {
            actions.push(Action::Abandon);
        }
        if self.bounds.faults > 0 {
            actions.extend(self.packets.iter().cloned().map(Action::Duplicate));
            actions.extend([
                Action::ChangeOwner,
                Action::ReplaceOwner(self.believed_owner),
            ]);
            if self.running {
                actions.push(Action::ConnectFails);
            }
        }
        if self.bounds.steps > 0 {
            actions.push(Action::AdvanceTime);
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
            Action::Duplicate(packet) => self.deliver(packet),
            Action::Dispatch => self.dispatch(),
            Action::Finish => self.finish(),
            Action::ConnectFails => self.connect_fails(),
            Action::Abandon => self.abandon(),
            Action::ChangeOwner => {
                self.believed_owner = 1 - self.believed_owner;
                let envelopes = self.holder.on_owner_changed(self.now, &replica());
                self.send_to_owner(envelopes);
            }
            Action::ReplaceOwner(i) => self.owners[*i] = owner(self.now),
            Action::HolderTick => {
                let output = self.holder.on_tick(self.now);
                self.apply_output(output);
            }
            Action::OwnerTick(i) => {
                let envelopes = self.owners[*i].on_tick(self.now);
                self.send_to_holder(envelopes);
            }
            Action::AdvanceTime => {
                self.now += TIME_STEP;
                self.bounds.steps -= 1;
            }
        }
        let fault = matches!(
            action,
            Action::Duplicate(_)
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
