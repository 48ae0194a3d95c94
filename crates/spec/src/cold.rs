//! One cold replica and the three instances of its zone.
//!
//! Instances are killed and start anew, get acquainted one with another, are cut off from each other and
//! leave, while each has work for the replica at any moment.

use std::time::Duration;

use kingcupfield_decisions::cold::{COUNTING_WINDOW, ColdGate, ColdLimit, designated_instance};
use kingcupfield_decisions::id::{InstanceAddress, UpstreamId};
use tokio::time::Instant;

use crate::Model;

/// Time that passes at once.
const STEP: Duration = Duration::from_millis(500);

/// One request for each keeper.
const BEARABLE: ColdLimit = ColdLimit {
    requests_per_s: 1.0,
    tolerated_per_s: 2.0,
};

/// Instances of the zone.
const INSTANCES: usize = 3;

/// A safeguard that is taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// Everything as designed.
    Whole,
    /// Who starts anew takes itself for the whole zone.
    KnowsNobody,
    /// Who is not heard is not counted.
    ForgetsTheSilent,
    /// A new keeper sends at once.
    DoesNotWait,
    /// Every instance is a keeper.
    AllKeep,
}

/// How often something may happen in one world.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Steps of time.
    pub steps: usize,
    /// Requests.
    pub requests: usize,
    /// Restarts, leavers, cuts and their ends, together.
    pub faults: usize,
}

/// What may happen.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// An instance sends a request, if it may.
    Send(usize),
    /// An instance is killed and starts anew.
    Restart(usize),
    /// An instance leaves.
    Leave(usize),
    /// Two instances hear each other, and those whom either knows become known to both.
    Meet(usize, usize),
    /// No instance hears another any more, or all do again.
    Cut,
    /// Time passes.
    Pass,
}

#[derive(Debug, Clone)]
struct Instance {
    gate: ColdGate,
    /// The instances that it knows, with itself.
    known: [bool; INSTANCES],
    left: bool,
}

/// The world of one cold replica.
#[derive(Debug, Clone)]
pub struct ColdModel {
    variant: Variant,
    bounds: Bounds,
    now: Instant,
    instances: [Instance; INSTANCES],
    cut: bool,
    sent: Vec<Instant>,
}

impl ColdModel {
    /// Makes the world in which all know each other.
    pub fn new(variant: Variant, bounds: Bounds) -> Self {
        let now = Instant::now() + Duration::from_mins(1);
        let instance = Instance {
            gate: ColdGate::new(now, false),
            known: [true; INSTANCES],
            left: false,
        };
        let mut model = Self {
            variant,
            bounds,
            now,
            instances: std::array::from_fn(|_| instance.clone()),
            cut: false,
            sent: Vec::new(),
        };
        // The replica becomes known, to which nobody has sent anything.
        for at in 0..INSTANCES {
            model.instances[at].gate = ColdGate::new(now, model.keeps(at));
        }
        model
    }

    fn keeps(&self, at: usize) -> bool {
        let instance = &self.instances[at];
        if instance.left {
            return false;
        }
        if self.variant == Variant::AllKeep {
            return true;
        }
        if !self.is_acquainted(at) && self.variant != Variant::KnowsNobody {
            return false;
        }
        let forgets = self.variant == Variant::ForgetsTheSilent && self.cut;
        let members: Vec<InstanceAddress> = (0..INSTANCES)
            .filter(|m| *m == at || instance.known[*m] && !forgets)
            .map(member)
            .collect();
        designated_instance(&replica(), &members) == Some(member(at))
    }

    /// Whether it knows another instance, and those that it knows know it.
    fn is_acquainted(&self, at: usize) -> bool {
        let known = &self.instances[at].known;
        let mut others = (0..INSTANCES).filter(|m| *m != at && known[*m]).peekable();
        others.peek().is_some() && others.all(|m| self.instances[m].known[at])
    }

    /// All see who the keeper is now.
    fn look(&mut self) {
        for at in 0..INSTANCES {
            let keeps = self.keeps(at);
            let now = match self.variant {
                Variant::DoesNotWait => self.now - COUNTING_WINDOW,
                _ => self.now,
            };
            self.instances[at].gate.set_designated(now, keeps);
        }
    }

    fn restart(&mut self, at: usize) {
        let mut known = [false; INSTANCES];
        known[at] = true;
        self.instances[at] = Instance {
            gate: ColdGate::new(self.now, false),
            known,
            left: false,
        };
    }

    fn meet(&mut self, first: usize, second: usize) {
        for m in 0..INSTANCES {
            let alive = !self.instances[m].left;
            let by_either = self.instances[first].known[m] || self.instances[second].known[m];
            let known = alive && by_either;
            self.instances[first].known[m] = known;
            self.instances[second].known[m] = known;
        }
    }

    fn leave(&mut self, at: usize) {
        self.instances[at].left = true;
        for other in &mut self.instances {
            other.known[at] = false;
        }
    }

    fn send(&mut self, at: usize) {
        let gate = &mut self.instances[at].gate;
        if gate.admits(self.now, BEARABLE.per_instance_limit()) {
            gate.on_dispatch(self.now);
            self.sent.push(self.now);
        }
    }
}

impl Model for ColdModel {
    type Action = Action;

    fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        let there: Vec<usize> = (0..INSTANCES)
            .filter(|at| !self.instances[*at].left)
            .collect();
        if self.bounds.requests > 0 {
            actions.extend(there.iter().map(|at| Action::Send(*at)));
        }
        if self.bounds.steps > 0 {
            actions.push(Action::Pass);
        }
        if self.bounds.faults > 0 {
            actions.extend(there.iter().map(|at| Action::Restart(*at)));
            actions.extend(there.iter().map(|at| Action::Leave(*at)));
            actions.push(Action::Cut);
        }
        if !self.cut {
            for (n, first) in there.iter().enumerate() {
                let strangers = there[n + 1..].iter().filter(|second| {
                    let [a, b] = [*first, **second].map(|at| self.instances[at].known);
                    a != b
                });
                actions.extend(strangers.map(|second| Action::Meet(*first, *second)));
            }
        }
        actions
    }

    fn apply(&mut self, action: &Action) {
        match action {
            Action::Send(at) => {
                self.bounds.requests -= 1;
                self.send(*at);
                return;
            }
            Action::Pass => {
                self.bounds.steps -= 1;
                self.now += STEP;
                return;
            }
            Action::Meet(first, second) => {
                self.meet(*first, *second);
                self.look();
                return;
            }
            Action::Restart(at) => self.restart(*at),
            Action::Leave(at) => self.leave(*at),
            Action::Cut => self.cut = !self.cut,
        }
        self.bounds.faults -= 1;
        self.look();
    }

    fn broken(&self) -> Option<&'static str> {
        let within = |from: &Instant| {
            let within = self
                .sent
                .iter()
                .filter(|at| **at >= *from && **at < *from + COUNTING_WINDOW);
            within.count()
        };
        let most = self.sent.iter().map(within).max().unwrap_or(0);
        let broken = most as f64 > BEARABLE.tolerated_per_s;
        broken.then_some("a cold replica gets no more than is tolerated")
    }
}

fn replica() -> UpstreamId {
    "replica".into()
}

fn member(at: usize) -> InstanceAddress {
    at as InstanceAddress + 1
}
