//! Random schedules of reservations, lost, late and repeated messages, pauses and two owners.

use std::time::Duration;

use kingcupfield_decisions::concurrency::ConcurrencyLimit;
use kingcupfield_decisions::holder::{
    DispatchError, Holder, HolderAction, HolderOutput, OwnerEnvelope,
};
use kingcupfield_decisions::id::{InstanceId, Rank, RequestId, Sequence, UpstreamId};
use kingcupfield_decisions::slots::{
    GRANT_LEASE, HolderEnvelope, Rejection, RequestOutcome, Reservation, SlotQueue, ToHolder,
    ToOwner,
};
use kingcupfield_decisions::work::Work;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tokio::time::Instant;

const HOLDERS: usize = 3;
const OWNERS: usize = 2;
const LIMIT: u32 = 2;
const CASES: u32 = 400;
const SEED: [u8; 32] = [7; 32];

#[derive(Debug, Clone)]
enum Step {
    Reserve { holder: usize, rank: Rank },
    Deliver { packet: usize },
    Lose { packet: usize },
    Repeat { packet: usize },
    Dispatch { action: usize },
    Finish { running: usize },
    Withdraw { request: usize },
    Advance { ms: u64 },
    TickOwner { owner: usize },
    TickHolder { holder: usize },
    ChangeOwner { holder: usize, owner: usize },
    Level { owner: usize, lowest: Rank },
    Leave { owner: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let any = 0..1000_usize;
    let packet = any.clone();
    prop_oneof![
        6 => (0..HOLDERS, 0..3_u8).prop_map(|(holder, rank)| Step::Reserve { holder, rank }),
        20 => packet.clone().prop_map(|packet| Step::Deliver { packet }),
        1 => packet.clone().prop_map(|packet| Step::Lose { packet }),
        2 => packet.prop_map(|packet| Step::Repeat { packet }),
        8 => any.clone().prop_map(|action| Step::Dispatch { action }),
        4 => any.clone().prop_map(|running| Step::Finish { running }),
        1 => any.prop_map(|request| Step::Withdraw { request }),
        6 => (1..300_u64).prop_map(|ms| Step::Advance { ms }),
        4 => (0..OWNERS).prop_map(|owner| Step::TickOwner { owner }),
        4 => (0..HOLDERS).prop_map(|holder| Step::TickHolder { holder }),
        1 => (0..HOLDERS, 0..OWNERS)
            .prop_map(|(holder, owner)| Step::ChangeOwner { holder, owner }),
        1 => (0..OWNERS, 0..4_u8).prop_map(|(owner, lowest)| Step::Level { owner, lowest }),
        1 => (0..OWNERS * 8).prop_map(|owner| Step::Leave { owner }),
    ]
}

#[derive(Debug, Clone)]
enum Packet {
    ToOwner {
        owner: usize,
        from: usize,
        message: ToOwner,
    },
    ToHolder {
        holder: usize,
        from: usize,
        message: ToHolder,
    },
}

/// A grant as its owner sent it.
#[derive(Debug, Clone, PartialEq)]
struct Granted {
    owner: usize,
    request: RequestId,
    asked: Sequence,
}

#[derive(Debug)]
struct Owner {
    queue: SlotQueue,
    lowest: Rank,
    leaving: bool,
}

#[derive(Debug, Clone)]
struct Claim {
    holder: usize,
    request: RequestId,
}

/// Two owners of one replica who both think it theirs, and the holders of the zone.
#[derive(Debug)]
struct World {
    now: Instant,
    upstream: UpstreamId,
    owners: Vec<Owner>,
    holders: Vec<Holder>,
    owner_of: Vec<usize>,
    packets: Vec<Packet>,
    claims: Vec<Claim>,
    running: Vec<Claim>,
    dispatched: Vec<RequestId>,
    requests: Vec<(RequestId, Rank)>,
    sent: Vec<(usize, Sequence, Instant)>,
    delivered: Vec<Granted>,
    given_up: Vec<Granted>,
    current: Vec<Granted>,
}

fn name(holder: usize) -> InstanceId {
    format!("entry-{holder}").into()
}

impl World {
    fn new() -> Self {
        let now = Instant::now();
        let upstream: UpstreamId = "drafting-1".into();
        let limit = ConcurrencyLimit::new().with_max(LIMIT).with_start(LIMIT);
        let queue = || SlotQueue::new(UpstreamId::clone(&upstream), None, now);
        let owner = || Owner {
            queue: queue().with_limit(limit.clone()),
            lowest: Rank::MAX,
            leaving: false,
        };
        Self {
            now,
            owners: (0..OWNERS).map(|_| owner()).collect(),
            holders: (0..HOLDERS).map(|i| Holder::new(name(i), 0)).collect(),
            upstream,
            owner_of: vec![0; HOLDERS],
            packets: Vec::new(),
            claims: Vec::new(),
            running: Vec::new(),
            dispatched: Vec::new(),
            requests: Vec::new(),
            sent: Vec::new(),
            delivered: Vec::new(),
            given_up: Vec::new(),
            current: Vec::new(),
        }
    }

    fn post(&mut self, holder: usize, asks: Vec<OwnerEnvelope>) {
        for OwnerEnvelope { message, .. } in asks {
            if let ToOwner::Renew { asked, .. } = message {
                self.note_sent(holder, asked);
            }
            if let ToOwner::Reserve(reservation) = &message {
                self.note_sent(holder, reservation.asked);
            }
            let owner = self.owner_of[holder];
            self.packets.push(Packet::ToOwner {
                owner,
                from: holder,
                message,
            });
        }
    }

    fn note_sent(&mut self, holder: usize, asked: Sequence) {
        if !self.sent.iter().any(|s| s.0 == holder && s.1 == asked) {
            self.sent.push((holder, asked, self.now));
        }
    }

    fn take(&mut self, holder: usize, reply: HolderOutput) {
        for action in reply.actions {
            if let HolderAction::Dispatch { request, .. } = action {
                self.claims.push(Claim { holder, request });
            }
        }
        self.post(holder, reply.messages);
    }

    /// Checks and posts what an owner sends.
    fn send(&mut self, owner: usize, sends: Vec<HolderEnvelope>) -> Result<(), TestCaseError> {
        let is_new = |world: &Self, request: &RequestId| {
            let mut current = world.current.iter();
            !current.any(|granted| granted.owner == owner && granted.request == *request)
        };
        let mut new_grants = 0;
        for send in sends {
            let holder = (0..HOLDERS).find(|i| name(*i) == send.to).unwrap_or(0);
            match &send.message {
                ToHolder::Grant { request, asked, .. } => {
                    let rank = self.requests.iter().find(|r| r.0 == *request).map(|r| r.1);
                    let Owner {
                        lowest, leaving, ..
                    } = &self.owners[owner];
                    prop_assert!(
                        !leaving || !is_new(self, request),
                        "grant at a leaving replica"
                    );
                    let below = rank.is_some_and(|rank| rank > *lowest);
                    prop_assert!(!below || !is_new(self, request), "grant below the level");
                    new_grants += u32::from(is_new(self, request));
                    let granted = Granted {
                        owner,
                        request: RequestId::clone(request),
                        asked: *asked,
                    };
                    self.current
                        .retain(|g| g.owner != owner || g.request != *request);
                    self.current.push(granted);
                }
                ToHolder::Rejected { request, why, .. } if *why == Rejection::Lapsed => {
                    let gone = |g: &Granted| g.owner == owner && g.request == *request;
                    self.given_up
                        .extend(self.current.iter().filter(|g| gone(g)).cloned());
                    self.current.retain(|g| !gone(g));
                }
                ToHolder::Rejected { .. } => {}
            }
            self.packets.push(Packet::ToHolder {
                holder,
                from: owner,
                message: send.message,
            });
        }
        let running = self.owners[owner].queue.digest(self.now).running;
        prop_assert!(
            new_grants == 0 || running <= LIMIT,
            "granted above the limit"
        );
        Ok(())
    }

    fn deliver(&mut self, packet: Packet) -> Result<(), TestCaseError> {
        match packet {
            Packet::ToOwner {
                owner,
                from,
                message,
            } => {
                if let ToOwner::Withdraw { request } | ToOwner::Finished { request, .. } = &message
                {
                    self.current
                        .retain(|g| g.owner != owner || g.request != *request);
                }
                let queue = &mut self.owners[owner].queue;
                let sends = queue.on_message(self.now, &name(from), message);
                self.send(owner, sends)
            }
            Packet::ToHolder {
                holder,
                from,
                message,
            } => {
                if let ToHolder::Grant { request, asked, .. } = &message {
                    self.delivered.push(Granted {
                        owner: from,
                        request: RequestId::clone(request),
                        asked: *asked,
                    });
                }
                let reply = self.holders[holder].on_message(self.now, &self.upstream, message);
                self.take(holder, reply);
                Ok(())
            }
        }
    }

    /// A request may go out only once, within the lease, and while its owner still counts it.
    fn dispatch(&mut self, claim: Claim) -> Result<(), TestCaseError> {
        let holder = &mut self.holders[claim.holder];
        match holder.dispatch(self.now, &claim.request) {
            Ok(dispatch) => {
                prop_assert!(
                    !self.dispatched.contains(&claim.request),
                    "dispatched twice"
                );
                let grants = self.delivered.iter();
                let good = grants.filter(|granted| granted.request == claim.request);
                let good = good.filter(|granted| {
                    let sent = self.sent.iter();
                    let mut sent = sent.filter(|s| s.0 == claim.holder && s.1 == granted.asked);
                    sent.any(|s| self.now < s.2 + GRANT_LEASE) && !self.given_up.contains(granted)
                });
                prop_assert!(good.count() > 0, "dispatched without a valid grant");
                self.dispatched.push(RequestId::clone(&claim.request));
                let holder = claim.holder;
                self.running.push(claim);
                self.post(holder, dispatch.messages);
            }
            Err(DispatchError::Lapsed { messages }) => {
                self.post(claim.holder, messages);
            }
            Err(DispatchError::NotGranted) => {}
        }
        Ok(())
    }

    fn reserve(&mut self, holder: usize, rank: Rank) {
        let request: RequestId = format!("r{}", self.requests.len()).into();
        self.requests.push((RequestId::clone(&request), rank));
        let reservation = Reservation {
            request,
            holder: name(holder),
            organisation: format!("org-{}", holder % 2).into(),
            weight: 1,
            rank,
            work: Work::new(10, 10),
            prefixes: Vec::new(),
            time_left: Duration::from_mins(10),
            asked: 0,
        };
        let upstreams = [UpstreamId::clone(&self.upstream)];
        let reply = self.holders[holder].reserve(self.now, reservation, &upstreams);
        self.take(holder, reply);
    }

    fn finish(&mut self, at: usize) {
        let Claim { holder, request } = self.running.swap_remove(at);
        let outcome = RequestOutcome {
            whole: true,
            ..RequestOutcome::default()
        };
        let reply = self.holders[holder].on_finished(self.now, &request, outcome);
        self.take(holder, reply);
    }

    fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        let pick = |at: usize, len: usize| at.checked_rem(len);
        match *step {
            Step::Reserve { holder, rank } => self.reserve(holder, rank),
            Step::Deliver { packet } => {
                if let Some(at) = pick(packet, self.packets.len()) {
                    let packet = self.packets.remove(at);
                    self.deliver(packet)?;
                }
            }
            Step::Lose { packet } => {
                if let Some(at) = pick(packet, self.packets.len()) {
                    self.packets.remove(at);
                }
            }
            Step::Repeat { packet } => {
                if let Some(at) = pick(packet, self.packets.len()) {
                    self.packets.push(self.packets[at].clone());
                }
            }
            Step::Dispatch { action } => {
                if let Some(at) = pick(action, self.claims.len()) {
                    let claim = self.claims.remove(at);
                    self.dispatch(claim)?;
                }
            }
            Step::Finish { running } => {
                if let Some(at) = pick(running, self.running.len()) {
                    self.finish(at);
                }
            }
            Step::Withdraw { request } => {
                if let Some(at) = pick(request, self.requests.len()) {
                    let request = RequestId::clone(&self.requests[at].0);
                    for holder in 0..HOLDERS {
                        let sends = self.holders[holder].withdraw(&request);
                        self.post(holder, sends);
                    }
                }
            }
            Step::Advance { ms } => self.now += Duration::from_millis(ms),
            Step::TickOwner { owner } => {
                let sends = self.owners[owner].queue.on_tick(self.now);
                self.send(owner, sends)?;
            }
            Step::TickHolder { holder } => {
                let reply = self.holders[holder].on_tick(self.now);
                self.take(holder, reply);
            }
            Step::ChangeOwner { holder, owner } => {
                self.owner_of[holder] = owner;
                let sends = self.holders[holder].on_owner_changed(self.now, &self.upstream);
                self.post(holder, sends);
            }
            Step::Level { owner, lowest } => {
                self.owners[owner].lowest = lowest;
                let sends = self.owners[owner].queue.set_lowest_rank(self.now, lowest);
                self.send(owner, sends)?;
            }
            Step::Leave { owner } => {
                if owner < OWNERS {
                    self.owners[owner].leaving = true;
                    let sends = self.owners[owner].queue.set_leaving(self.now);
                    self.send(owner, sends)?;
                }
            }
        }
        Ok(())
    }
}

/// Messages are lost, late, repeated and overtake each other, processes pause between a grant and
/// its use, and two instances both think that they own the replica. A caller would notice a
/// request that runs twice, a booking placed twice, or a low tier served while its own is refused.
#[test]
fn promises_hold_under_any_schedule() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let dispatched = std::cell::Cell::new(0);
    let schedules = proptest::collection::vec(step(), 200..400);
    let result = runner.run(&schedules, |steps| {
        let mut world = World::new();
        steps.iter().try_for_each(|step| world.step(step))?;
        dispatched.set(dispatched.get() + world.dispatched.len());
        Ok(())
    });
    result.unwrap_or_else(|e| panic!("{e}"));
    let mean = dispatched.get() / CASES as usize;
    assert!(
        mean >= 3,
        "schedules that dispatch {mean} requests each prove little"
    );
}
