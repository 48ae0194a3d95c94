//! The scheduler of one instance: holder of its requests, owner of some replicas and shed levels.
//!
//! It joins the state machines of `kingcupfield-decisions` without any I/O: messages go in, and
//! messages for other instances and decisions for waiting requests come out.

mod digests;
mod owned;
mod placing;
mod pools;
mod refusing;
mod replicas;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use kingcupfield_decisions::holder::{
    DispatchError, Holder, HolderAction, HolderOutput, OwnerEnvelope,
};
use kingcupfield_decisions::id::{
    Incarnation, InstanceId, PrefixHash, RegionId, RequestId, ServiceId, Tokens, UpstreamId, ZoneId,
};
use kingcupfield_decisions::length::LengthPredictor;
use kingcupfield_decisions::routing::{LINK_BYTES_PER_S, LinkBudget};
use kingcupfield_decisions::shedding::{ToLevelMember, ToLevelOwner};
use kingcupfield_decisions::slots::{Rejection, RequestOutcome, ToHolder, ToOwner};
use kingcupfield_decisions::work::Work;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::error::Refusal;
use crate::fleet::Snapshot;
use crate::members::View;
use crate::message::{DigestRow, PeerMessage};
use crate::record::{Records, Step};
use crate::request::Meta;
use crate::watcher::Watched;

use digests::DigestClock;
use owned::Owned;
use pools::Pool;
use replicas::Replicas;

/// Who this instance is.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Its name.
    pub instance: InstanceId,
    /// This life of it.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
}

/// What a waiting request needs of a replica.
#[derive(Debug, Clone)]
pub struct SlotRequest {
    /// Prompt tokens.
    pub prompt: Tokens,
    /// Longest answer; `None` for a plain call, whose work is fixed.
    pub max_tokens: Option<Tokens>,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: Vec<PrefixHash>,
    /// Bytes that cross a link when another zone serves it.
    pub bytes: u64,
    /// Replicas that could not be connected.
    pub excluded: Vec<UpstreamId>,
}

/// Expected work of a plain call: a status check costs an engine's batch about as much as this
/// many decoded tokens.
pub const PLAIN_CALL_WORK: Work = Work {
    prefill: 0,
    decode: 4,
};

impl SlotRequest {
    /// Makes the need of a plain call of `bytes`.
    pub fn plain_call(bytes: u64) -> Self {
        Self {
            prompt: 0,
            max_tokens: None,
            prefixes: Vec::new(),
            bytes,
            excluded: Vec::new(),
        }
    }

    /// Makes the need of a completion.
    pub fn completion(prompt: Tokens, max_tokens: Tokens, bytes: u64) -> Self {
        Self {
            prompt,
            max_tokens: Some(max_tokens),
            prefixes: Vec::new(),
            bytes,
            excluded: Vec::new(),
        }
    }

    /// Leaves out replicas that could not be connected.
    pub fn with_excluded(mut self, excluded: Vec<UpstreamId>) -> Self {
        self.excluded = excluded;
        self
    }

    /// Adds the prefixes of the prompt.
    pub fn with_prefixes(mut self, prefixes: Vec<PrefixHash>) -> Self {
        self.prefixes = prefixes;
        self
    }
}

/// The right to send one request to one replica, just claimed.
#[derive(Debug, Clone)]
pub struct Granted {
    /// The replica.
    pub upstream: UpstreamId,
    /// Its address, `IP:port`.
    pub address: String,
    /// When the right was claimed.
    pub at: Instant,
}

/// Where the decision about a waiting request goes.
pub type Decision = oneshot::Sender<Result<Granted, Refusal>>;

/// A message for another instance.
#[derive(Debug)]
pub struct Outgoing {
    /// Whom it goes to.
    pub to: InstanceId,
    /// The message.
    pub message: PeerMessage,
}

/// A request that waits for a decision.
#[derive(Debug)]
struct Waiter {
    request: RequestId,
    meta: Arc<Meta>,
    need: SlotRequest,
    decision: Decision,
    /// Set when its owners gave it up and lower tiers must be refused first.
    given_up: Option<GivenUp>,
}

#[derive(Debug, Clone, Copy)]
struct GivenUp {
    why: Rejection,
    wait: Duration,
}

/// A request that runs, for the corrections at its end.
#[derive(Debug)]
struct Running {
    request: RequestId,
    meta: Arc<Meta>,
    prompt: Tokens,
    predicts: bool,
}

/// A message that stays inside this instance.
#[derive(Debug)]
enum Local {
    Owner {
        from: InstanceId,
        upstream: UpstreamId,
        message: ToOwner,
    },
    Holder {
        upstream: UpstreamId,
        message: ToHolder,
    },
    LevelOwner {
        from: InstanceId,
        service: ServiceId,
        message: ToLevelOwner,
    },
    LevelMember {
        service: ServiceId,
        message: ToLevelMember,
    },
}

/// The scheduler of one instance.
#[derive(Debug)]
pub struct Scheduler {
    me: Identity,
    snapshot: Arc<Snapshot>,
    view: Arc<View>,
    replicas: Replicas,
    holder: Holder,
    owned: Vec<Owned>,
    pools: Vec<Pool>,
    waiters: Vec<Waiter>,
    running: Vec<Running>,
    lengths: LengthPredictor,
    link: LinkBudget,
    digests: DigestClock,
    rng: ChaCha8Rng,
    records: Records,
    local: VecDeque<Local>,
    out: Vec<Outgoing>,
    watched: Option<Vec<Watched>>,
}

impl Scheduler {
    /// Makes the scheduler of an instance that knows nobody yet.
    pub fn new(me: Identity, rng: ChaCha8Rng, records: Records, now: Instant) -> Self {
        let holder = Holder::new(me.instance.clone(), me.incarnation)
            .with_widen_delay(kingcupfield_decisions::routing::WIDEN_AFTER);
        Self {
            snapshot: Arc::default(),
            view: Arc::default(),
            replicas: Replicas::default(),
            holder,
            owned: Vec::new(),
            pools: Vec::new(),
            waiters: Vec::new(),
            running: Vec::new(),
            lengths: LengthPredictor::new(),
            link: LinkBudget::new(LINK_BYTES_PER_S),
            digests: DigestClock::new(now),
            rng,
            records,
            local: VecDeque::new(),
            out: Vec::new(),
            watched: None,
            me,
        }
    }

    /// Messages for other instances since the last call.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.out)
    }

    /// The replicas that this instance owns, if they changed since the last call.
    pub fn take_watched(&mut self) -> Option<Vec<Watched>> {
        self.watched.take()
    }

    /// Takes a message of another instance.
    pub fn on_peer_message(&mut self, now: Instant, from: &InstanceId, message: PeerMessage) {
        match message {
            PeerMessage::ToOwner { upstream, message } => {
                self.local.push_back(Local::Owner {
                    from: from.clone(),
                    upstream,
                    message,
                });
            }
            PeerMessage::ToHolder { upstream, message } => {
                self.local.push_back(Local::Holder { upstream, message });
            }
            PeerMessage::ToLevelOwner { service, message } => {
                self.local.push_back(Local::LevelOwner {
                    from: from.clone(),
                    service,
                    message,
                });
            }
            PeerMessage::ToLevelMember { service, message } => {
                self.local
                    .push_back(Local::LevelMember { service, message });
            }
            PeerMessage::Digests(rows) => self.on_digests(now, from, &rows),
            PeerMessage::ToLimitOwner(_)
            | PeerMessage::ToLimitMember(_)
            | PeerMessage::Membership(_)
            | PeerMessage::Configuration(_) => {}
        }
        self.settle(now);
    }

    /// Takes the time; to be called every 50 ms.
    pub fn on_tick(&mut self, now: Instant) {
        let reply = self.holder.on_tick(now);
        self.apply(now, reply);
        self.tick_owned(now);
        self.tick_pools(now);
        self.tick_digests(now);
        self.settle(now);
        self.retry_refusals(now);
        self.settle(now);
    }

    /// A dispatched request got its first token.
    pub fn on_started(&mut self, now: Instant, request: &RequestId, first_token: Duration) {
        let sends = self.holder.on_started(request, first_token);
        self.send_asks(sends);
        self.settle(now);
    }

    /// A dispatched request ended.
    pub fn on_finished(&mut self, now: Instant, request: &RequestId, outcome: RequestOutcome) {
        if let Ok(at) = self.running_at(request) {
            let running = self.running.remove(at);
            if outcome.whole && running.predicts && outcome.between_tokens.is_some() {
                let meta = &running.meta;
                let decoded = outcome.work.decode;
                self.lengths
                    .on_answer(&meta.organisation, &meta.service, running.prompt, decoded);
            }
        }
        let reply = self.holder.on_finished(now, request, outcome);
        self.apply(now, reply);
        self.settle(now);
    }

    /// State for the dump.
    pub fn dump(&self, now: Instant) -> Value {
        json!({
            "held": self.holder.len(),
            "waiting": self.waiters.len(),
            "running": self.running.len(),
            "replicas": self.replicas.dump(now),
            "owned": self.owned.iter().map(|o| o.dump(now)).collect::<Vec<_>>(),
            "pools": self.pools.iter().map(|p| p.dump(now)).collect::<Vec<_>>(),
        })
    }

    /// Handles the messages that stay inside until none is left.
    fn settle(&mut self, now: Instant) {
        while let Some(local) = self.local.pop_front() {
            match local {
                Local::Owner {
                    from,
                    upstream,
                    message,
                } => {
                    self.on_to_owner(now, &from, &upstream, message);
                }
                Local::Holder { upstream, message } => {
                    self.note_rejection(&upstream, &message);
                    let reply = self.holder.on_message(now, &upstream, message);
                    self.apply(now, reply);
                }
                Local::LevelOwner {
                    from,
                    service,
                    message,
                } => {
                    self.on_to_level_owner(now, &from, &service, &message);
                }
                Local::LevelMember { service, message } => {
                    self.on_to_level_member(now, &service, &message);
                }
            }
        }
    }

    /// Carries out what the holder wants.
    fn apply(&mut self, now: Instant, reply: HolderOutput) {
        self.send_asks(reply.messages);
        for action in reply.actions {
            match action {
                HolderAction::Dispatch { request, upstream } => {
                    self.dispatch(now, &request, &upstream);
                }
                HolderAction::Refuse { request, why, wait } => {
                    self.give_up(now, &request, GivenUp { why, wait });
                }
            }
        }
    }

    /// Claims a grant for a waiting request and tells it.
    fn dispatch(&mut self, now: Instant, request: &RequestId, upstream: &UpstreamId) {
        let regions = self.waiter_at(request).map(|at| {
            let organisation = &self.waiters[at].meta.organisation;
            self.regions(organisation)
        });
        let regions = regions.unwrap_or_default();
        let address = self
            .replicas
            .address_to_dispatch(upstream, &regions, &self.view);
        match self.holder.dispatch(now, request) {
            Err(DispatchError::NotGranted) => return,
            Err(DispatchError::Lapsed { messages }) => return self.send_asks(messages),
            Ok(claimed) => self.send_asks(claimed.messages),
        }
        let (Ok(at), Some(address)) = (self.waiter_at(request), address) else {
            // The replica left since its owner granted: the request waits again, without it.
            let reply = self.holder.on_connect_failed(now, request);
            return self.apply(now, reply);
        };
        let waiter = self.waiters.remove(at);
        self.leave_pool(&waiter);
        self.pool_mut(&waiter.meta.service).retry.on_served(now);
        self.replicas.note_prefixes(upstream, &waiter.need.prefixes);
        self.records.add(
            request,
            Step::Granted {
                upstream: upstream.clone(),
            },
        );
        let granted = Granted {
            upstream: upstream.clone(),
            address,
            at: now,
        };
        if waiter.decision.send(Ok(granted)).is_err() {
            let reply = self.holder.on_finished(
                now,
                request,
                RequestOutcome {
                    whole: true,
                    ..RequestOutcome::default()
                },
            );
            return self.apply(now, reply);
        }
        let running = Running {
            request: request.clone(),
            meta: waiter.meta,
            prompt: waiter.need.prompt,
            predicts: waiter.need.max_tokens.is_some(),
        };
        if let Err(at) = self.running_at(request) {
            self.running.insert(at, running);
        }
    }

    fn send_asks(&mut self, asks: Vec<OwnerEnvelope>) {
        for OwnerEnvelope { upstream, message } in asks {
            match self.replicas.owner(&upstream) {
                Some(owner) if *owner != self.me.instance => {
                    let to = owner.clone();
                    self.out.push(Outgoing {
                        to,
                        message: PeerMessage::ToOwner { upstream, message },
                    });
                }
                _ => {
                    let from = self.me.instance.clone();
                    self.local.push_back(Local::Owner {
                        from,
                        upstream,
                        message,
                    });
                }
            }
        }
    }

    fn note_rejection(&mut self, upstream: &UpstreamId, message: &ToHolder) {
        if let ToHolder::Rejected { request, why, .. } = message {
            if *why == Rejection::Leaving
                && let Ok(at) = self.waiter_at(request)
            {
                // Its owner knows first. Until the list says so too, the replica would be chosen
                // again at once, over and over, and its request would never be answered.
                self.waiters[at].need.excluded.push(upstream.clone());
            }
            let step = Step::Rejected {
                upstream: upstream.clone(),
                why: format!("{why:?}"),
            };
            self.records.add(request, step);
        }
    }

    fn waiter_at(&self, request: &RequestId) -> Result<usize, usize> {
        self.waiters.binary_search_by(|w| w.request.cmp(request))
    }

    fn running_at(&self, request: &RequestId) -> Result<usize, usize> {
        self.running.binary_search_by(|r| r.request.cmp(request))
    }
}

/// Rows of a batch of digests.
type DigestRows = Vec<DigestRow>;
