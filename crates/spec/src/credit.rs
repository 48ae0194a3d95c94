//! Credit of one organisation between two instances of one zone.
//!
//! Messages wait, cross, come twice or never; instances are killed and start anew, one after the other
//! or both at once; the zone is cut in two and heals, also while they start; one instance leaves; the
//! limit falls. Time passes in steps of a few hundred milliseconds.

use std::time::Duration;

use kingcupfield_decisions::credit::{
    Accrual, Charge, Distance, FleetView, Ledger, Limit, Message, Tolerance, Verdict, Zone,
};
use kingcupfield_decisions::id::{InstanceAddress, NameHash};
use tokio::time::Instant;

use crate::Model;

/// Time that passes at once.
const STEP: Duration = Duration::from_millis(200);

/// Span over which the operator counts.
const SPAN: Duration = Duration::from_secs(1);

const LIMIT: Limit = Limit {
    rate: 1000.0,
    burst: 500.0,
};

const TOLERANCE: Tolerance = Tolerance {
    part: 0.25,
    fixed: 0.0,
};

const ORGANISATION: NameHash = 7;

/// What a request costs: a little less than both instances mint in a step.
const COST: f64 = 150.0;

/// Most messages under way at once; a further one is lost.
const MOST_PACKETS: usize = 3;

/// A safeguard that is taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// Everything as designed.
    Whole,
    /// Who gives credit away still has it.
    GivesAndKeeps,
    /// Who starts anew claims the time before.
    ClaimsThePast,
    /// Who starts anew takes itself for the whole zone.
    KnowsNobody,
}

/// How often something may happen in one world.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Steps of time.
    pub steps: usize,
    /// Requests.
    pub requests: usize,
    /// Messages that come twice, kills, cuts, leavers and changes of the limit, together.
    pub faults: usize,
}

/// What may happen.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// A request comes to an instance.
    Request(usize),
    /// A message arrives.
    Deliver(usize),
    /// A message arrives and will arrive again.
    Repeat(usize),
    /// An instance is killed and starts anew.
    Restart(usize),
    /// Both are killed and start anew.
    RestartAll,
    /// The two hear each other no more, or again.
    Cut,
    /// The second instance leaves.
    Leave,
    /// The limit falls to half.
    LowerLimit,
    /// Time passes.
    Pass,
}

#[derive(Debug, Clone, PartialEq)]
struct Packet {
    from: usize,
    to: usize,
    message: Message,
}

/// The world of one organisation's credit.
#[derive(Debug, Clone)]
pub struct CreditModel {
    variant: Variant,
    bounds: Bounds,
    start: Instant,
    now: Instant,
    limit: Limit,
    ledgers: [Ledger; 2],
    lives: [u64; 2],
    /// When each started.
    since: [Instant; 2],
    /// Whether each takes itself for the whole zone.
    ignorant: [bool; 2],
    cut: bool,
    left: bool,
    packets: Vec<Packet>,
    spent: Vec<(Instant, f64)>,
}

impl CreditModel {
    /// Makes the world in which both have just started.
    pub fn new(variant: Variant, bounds: Bounds) -> Self {
        let now = Instant::now() + Duration::from_mins(1);
        let mut model = Self {
            variant,
            bounds,
            start: now,
            now,
            limit: LIMIT,
            ledgers: [ledger(0, 1), ledger(1, 1)],
            lives: [1, 1],
            since: [now, now],
            ignorant: [false, false],
            cut: false,
            left: false,
            packets: Vec::new(),
            spent: Vec::new(),
        };
        model.look(now);
        model
    }

    fn look(&mut self, now: Instant) {
        for at in 0..2 {
            let roster = self.roster(at);
            self.ledgers[at].set_fleet(now, &roster);
        }
    }

    fn roster(&self, at: usize) -> FleetView {
        let other = member(1 - at);
        let hears = !self.cut && !self.left;
        let knows = !self.left && !self.ignorant[at];
        let ended = self.left && at == 1;
        FleetView {
            zones: vec![Zone {
                name: 1,
                distance: Distance::SameZone,
                size: if knows { 2 } else { 1 },
                members: if hears { vec![other] } else { Vec::new() },
            }],
            accrues_since: (!ended).then_some(self.since[at]),
        }
    }

    fn restart(&mut self, at: usize) {
        self.lives[at] += 1;
        self.ledgers[at] = ledger(at, self.lives[at]);
        self.ignorant[at] = self.variant == Variant::KnowsNobody;
        self.since[at] = match self.variant {
            Variant::ClaimsThePast => self.start,
            _ => self.now,
        };
        let roster = self.roster(at);
        self.ledgers[at].set_fleet(self.now, &roster);
    }

    fn deliver(&mut self, packet: Packet) {
        let to = packet.to;
        let before = self.ledgers[to].clone();
        let collects = matches!(packet.message, Message::Collect { .. });
        self.ledgers[to].on_message(
            self.now,
            member(packet.from),
            packet.message,
            Some(self.limit),
        );
        self.take(to);
        if collects && self.variant == Variant::GivesAndKeeps {
            self.ledgers[to] = before;
        }
    }

    /// Sends what an instance has to say, and counts what its requests got.
    fn take(&mut self, at: usize) {
        let granted = |v: &Verdict| matches!(v, Verdict::Granted { .. });
        let verdicts = self.ledgers[at].take_verdicts().into_iter();
        let costs = verdicts.filter(|(_, v)| granted(v)).map(|_| COST);
        self.spent.extend(costs.map(|cost| (self.now, cost)));
        for (_, message) in self.ledgers[at].take_messages() {
            if !self.cut && self.packets.len() < MOST_PACKETS {
                let to = 1 - at;
                self.packets.push(Packet {
                    from: at,
                    to,
                    message,
                });
            }
        }
    }

    fn most_in_a_span(&self) -> f64 {
        let sum = |from: &Instant| {
            let within = self.spent.iter();
            let within = within.filter(|(at, _)| *at >= *from && *at < *from + SPAN);
            within.map(|(_, cost)| cost).sum::<f64>()
        };
        self.spent
            .iter()
            .map(|(from, _)| sum(from))
            .fold(0.0, f64::max)
    }
}

impl Model for CreditModel {
    type Action = Action;

    fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        for at in 0..self.packets.len() {
            actions.push(Action::Deliver(at));
        }
        if self.bounds.requests > 0 {
            actions.extend([Action::Request(0), Action::Request(1)]);
        }
        if self.bounds.steps > 0 {
            actions.push(Action::Pass);
        }
        if self.bounds.faults > 0 {
            actions.extend((0..self.packets.len()).map(Action::Repeat));
            actions.extend([Action::Restart(0), Action::RestartAll, Action::Cut]);
            if !self.left {
                actions.extend([Action::Restart(1), Action::Leave]);
            }
            if self.limit == LIMIT {
                actions.push(Action::LowerLimit);
            }
        }
        actions
    }

    fn apply(&mut self, action: &Action) {
        match action {
            Action::Request(at) => {
                self.bounds.requests -= 1;
                let charge = Charge {
                    cost: COST,
                    priority_class: 0,
                    max_wait: STEP,
                };
                self.ledgers[*at].request(self.now, ORGANISATION, self.limit, charge);
                self.take(*at);
                return;
            }
            Action::Deliver(at) => {
                let packet = self.packets.remove(*at);
                self.deliver(packet);
                return;
            }
            Action::Pass => {
                self.bounds.steps -= 1;
                self.now += STEP;
                self.look(self.now);
                for at in 0..2 {
                    self.ledgers[at].on_tick(self.now);
                    self.take(at);
                }
                return;
            }
            Action::Repeat(at) => self.deliver(self.packets[*at].clone()),
            Action::Restart(at) => self.restart(*at),
            Action::RestartAll => {
                self.restart(0);
                self.restart(1);
            }
            Action::Cut => {
                self.cut = !self.cut;
                self.look(self.now);
            }
            Action::Leave => {
                self.left = true;
                self.look(self.now);
            }
            Action::LowerLimit => {
                self.limit.rate /= 2.0;
                self.limit.burst /= 2.0;
            }
        }
        self.bounds.faults -= 1;
    }

    fn broken(&self) -> Option<&'static str> {
        let pace = Accrual::new(LIMIT, SPAN, TOLERANCE);
        let passed = self.now.saturating_duration_since(self.start);
        let all: f64 = self.spent.iter().map(|(_, cost)| cost).sum();
        if all > pace.rate * passed.as_secs_f64() + 1e-6 {
            return Some("no more is spent than was minted");
        }
        if self.most_in_a_span() > pace.max_spend(SPAN) + 1e-6 {
            return Some("no span gets more than the bound");
        }
        None
    }
}

fn ledger(at: usize, life: u64) -> Ledger {
    let mut ledger = Ledger::new(member(at), life * 2 + at as u64);
    ledger.set_bounds(SPAN, TOLERANCE);
    ledger
}

fn member(at: usize) -> InstanceAddress {
    at as InstanceAddress + 1
}
