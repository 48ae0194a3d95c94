//! Random schedules of reservations with lost, late and duplicate messages, pauses and two owners.

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
/// Concurrency limit of the replica, in slots.
const LIMIT: u32 = 2;
/// Number of random schedules.
const CASES: u32 = 400;
const SEED: [u8; 32] = [7; 32];

/// One event; an index selects among what exists at that time.
#[derive(Debug, Clone)]
enum Step {
    Reserve { holder: usize, rank: Rank },
    Deliver { packet: usize },
    Drop { packet: usize },
    Duplicate { packet: usize },
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
        1 => packet.clone().prop_map(|packet| Step::Drop { packet }),
        2 => packet.prop_map(|packet| Step::Duplicate { packet }),
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

/// A message in flight.
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

/// A grant as an owner sent it.
#[derive(Debug, Clone, PartialEq)]
struct Granted {
    owner: usize,
    request: RequestId,
    asked: Sequence,
}

/// An instance that acts as owner of the replica, and the state that was set in its queue.
#[derive(Debug)]
struct Owner {
    queue: SlotQueue,
    lowest_rank: Rank,
    leaving: bool,
}

/// A request that its holder may dispatch or has dispatched.
#[derive(Debug, Clone)]
struct Claim {
    holder: usize,
    request: RequestId,
}

/// Two instances that both act as owner of one replica, and the holders of the availability zone.
#[derive(Debug)]
struct Simulation {
    now: Instant,
    upstream: UpstreamId,
    owners: Vec<Owner>,
    holders: Vec<Holder>,
    /// The owner that each holder sends to.
    owner_by_holder: Vec<usize>,
    packets: Vec<Packet>,
    /// Granted requests that were not dispatched yet.
    claims: Vec<Claim>,
    running: Vec<Claim>,
    dispatched: Vec<RequestId>,
    requests: Vec<(RequestId, Rank)>,
    /// Holder, sequence number and time of the first message with that number.
    sent_sequences: Vec<(usize, Sequence, Instant)>,
    /// Grants that arrived at their holder.
    delivered_grants: Vec<Granted>,
    /// Grants that their owner withdrew because they were not used in time.
    lapsed_grants: Vec<Granted>,
    /// Grants that their owner still counts.
    current_grants: Vec<Granted>,
}

fn name(holder: usize) -> InstanceId {
    format!("entry-{holder}").into()
}

impl Simulation {
    fn new() -> Self {
        let now = Instant::now();
        let upstream: UpstreamId = "drafting-1".into();
        let limit = ConcurrencyLimit::new().with_max(LIMIT).with_start(LIMIT);
        let queue = || SlotQueue::new(UpstreamId::clone(&upstream), None, now);
        let owner = || Owner {
            queue: queue().with_limit(limit.clone()),
            lowest_rank: Rank::MAX,
            leaving: false,
        };
        Self {
            now,
            owners: (0..OWNERS).map(|_| owner()).collect(),
            holders: (0..HOLDERS).map(|i| Holder::new(name(i), 0)).collect(),
            upstream,
            owner_by_holder: vec![0; HOLDERS],
            packets: Vec::new(),
            claims: Vec::new(),
            running: Vec::new(),
            dispatched: Vec::new(),
            requests: Vec::new(),
            sent_sequences: Vec::new(),
            delivered_grants: Vec::new(),
            lapsed_grants: Vec::new(),
            current_grants: Vec::new(),
        }
    }

    /// Puts the messages of a holder in flight.
    fn send_to_owner(&mut self, holder: usize, envelopes: Vec<OwnerEnvelope>) {
        for OwnerEnvelope { message, .. } in envelopes {
            if let ToOwner::Renew { asked, .. } = message {
                self.record_sent(holder, asked);
            }
            if let ToOwner::Reserve(reservation) = &message {
                self.record_sent(holder, reservation.asked);
            }
            let owner = self.owner_by_holder[holder];
            self.packets.push(Packet::ToOwner {
                owner,
                from: holder,
                message,
            });
        }
    }

    fn record_sent(&mut self, holder: usize, asked: Sequence) {
        if !self
            .sent_sequences
            .iter()
            .any(|s| s.0 == holder && s.1 == asked)
        {
            self.sent_sequences.push((holder, asked, self.now));
        }
    }

    fn apply_output(&mut self, holder: usize, output: HolderOutput) {
        for action in output.actions {
            if let HolderAction::Dispatch { request, .. } = action {
                self.claims.push(Claim { holder, request });
            }
        }
        self.send_to_owner(holder, output.messages);
    }

    /// Checks the messages of an owner and puts them in flight.
    fn send_to_holders(
        &mut self,
        owner: usize,
        messages: Vec<HolderEnvelope>,
    ) -> Result<(), TestCaseError> {
        let is_new = |simulation: &Self, request: &RequestId| {
            let mut current = simulation.current_grants.iter();
            !current.any(|granted| granted.owner == owner && granted.request == *request)
        };
        let mut new_grants = 0;
        for envelope in messages {
            let holder = (0..HOLDERS).find(|i| name(*i) == envelope.to).unwrap_or(0);
            match &envelope.message {
                ToHolder::Grant { request, asked, .. } => {
                    let rank = self.requests.iter().find(|r| r.0 == *request).map(|r| r.1);
                    let Owner {
                        lowest_rank,
                        leaving,
                        ..
                    } = &self.owners[owner];
                    prop_assert!(
                        !leaving || !is_new(self, request),
                        "grant at a leaving replica"
                    );
                    let below = rank.is_some_and(|rank| rank > *lowest_rank);
                    prop_assert!(!below || !is_new(self, request), "grant below the level");
                    new_grants += u32::from(is_new(self, request));
                    let granted = Granted {
                        owner,
                        request: RequestId::clone(request),
                        asked: *asked,
                    };
                    self.current_grants
                        .retain(|g| g.owner != owner || g.request != *request);
                    self.current_grants.push(granted);
                }
                ToHolder::Rejected { request, why, .. } if *why == Rejection::Lapsed => {
                    let is_lapsed =
                        |granted: &Granted| granted.owner == owner && granted.request == *request;
                    self.lapsed_grants
                        .extend(self.current_grants.iter().filter(|g| is_lapsed(g)).cloned());
                    self.current_grants.retain(|g| !is_lapsed(g));
                }
                ToHolder::Rejected { .. } => {}
            }
            self.packets.push(Packet::ToHolder {
                holder,
                from: owner,
                message: envelope.message,
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
                    self.current_grants
                        .retain(|g| g.owner != owner || g.request != *request);
                }
                let queue = &mut self.owners[owner].queue;
                let messages = queue.on_message(self.now, &name(from), message);
                self.send_to_holders(owner, messages)
            }
            Packet::ToHolder {
                holder,
                from,
                message,
            } => {
                if let ToHolder::Grant { request, asked, .. } = &message {
                    self.delivered_grants.push(Granted {
                        owner: from,
                        request: RequestId::clone(request),
                        asked: *asked,
                    });
                }
                let output = self.holders[holder].on_message(self.now, &self.upstream, message);
                self.apply_output(holder, output);
                Ok(())
            }
        }
    }

    /// Checks that a request is sent only once, within the lease, and while its owner still counts
    /// the grant.
    fn dispatch(&mut self, claim: Claim) -> Result<(), TestCaseError> {
        let holder = &mut self.holders[claim.holder];
        match holder.dispatch(self.now, &claim.request) {
            Ok(dispatch) => {
                prop_assert!(
                    !self.dispatched.contains(&claim.request),
                    "dispatched twice"
                );
                let grants = self.delivered_grants.iter();
                let valid = grants.filter(|granted| granted.request == claim.request);
                let valid = valid.filter(|granted| {
                    let sent = self.sent_sequences.iter();
                    let mut sent = sent.filter(|s| s.0 == claim.holder && s.1 == granted.asked);
                    sent.any(|s| self.now < s.2 + GRANT_LEASE)
                        && !self.lapsed_grants.contains(granted)
                });
                prop_assert!(valid.count() > 0, "dispatched without a valid grant");
                self.dispatched.push(RequestId::clone(&claim.request));
                let holder = claim.holder;
                self.running.push(claim);
                self.send_to_owner(holder, dispatch.messages);
            }
            Err(DispatchError::Lapsed { messages }) => {
                self.send_to_owner(claim.holder, messages);
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
        let output = self.holders[holder].reserve(self.now, reservation, &upstreams);
        self.apply_output(holder, output);
    }

    fn finish(&mut self, at: usize) {
        let Claim { holder, request } = self.running.swap_remove(at);
        let outcome = RequestOutcome {
            whole: true,
            ..RequestOutcome::default()
        };
        let output = self.holders[holder].on_finished(self.now, &request, outcome);
        self.apply_output(holder, output);
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
            Step::Drop { packet } => {
                if let Some(at) = pick(packet, self.packets.len()) {
                    self.packets.remove(at);
                }
            }
            Step::Duplicate { packet } => {
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
                        let messages = self.holders[holder].withdraw(&request);
                        self.send_to_owner(holder, messages);
                    }
                }
            }
            Step::Advance { ms } => self.now += Duration::from_millis(ms),
            Step::TickOwner { owner } => {
                let messages = self.owners[owner].queue.on_tick(self.now);
                self.send_to_holders(owner, messages)?;
            }
            Step::TickHolder { holder } => {
                let output = self.holders[holder].on_tick(self.now);
                self.apply_output(holder, output);
            }
            Step::ChangeOwner { holder, owner } => {
                self.owner_by_holder[holder] = owner;
                let messages = self.holders[holder].on_owner_changed(self.now, &self.upstream);
                self.send_to_owner(holder, messages);
            }
            Step::Level { owner, lowest } => {
                self.owners[owner].lowest_rank = lowest;
                let messages = self.owners[owner].queue.set_lowest_rank(self.now, lowest);
                self.send_to_holders(owner, messages)?;
            }
            Step::Leave { owner } => {
                if owner < OWNERS {
                    self.owners[owner].leaving = true;
                    let messages = self.owners[owner].queue.set_leaving(self.now);
                    self.send_to_holders(owner, messages)?;
                }
            }
        }
        Ok(())
    }
}

/// Messages are lost, late, duplicated and reordered, processes pause between a grant and its use,
/// and two instances both act as owner of the replica. Without the safeguards a caller would notice
/// a request that runs twice, a booking made twice, or a request of a low tier served while one of
/// a higher tier is refused.
#[test]
fn guarantees_hold_under_any_schedule() {
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
        let mut simulation = Simulation::new();
        steps.iter().try_for_each(|step| simulation.step(step))?;
        dispatched.set(dispatched.get() + simulation.dispatched.len());
        Ok(())
    });
    result.unwrap_or_else(|e| panic!("{e}"));
    let mean = dispatched.get() / CASES as usize;
    assert!(
        mean >= 3,
        "schedules dispatch {mean} requests each on average, at least 3 are needed"
    );
}
