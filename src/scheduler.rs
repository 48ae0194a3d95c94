//! The request scheduler of one instance.
//!
//! Each replica has one instance as its owner, which queues the reservations of all instances for
//! that replica and grants slots. The instance that received a request is its holder: it reserves
//! slots with the owners of suitable replicas. Every instance is the holder of its own requests,
//! and may own replicas and the shed levels of services.
//!
//! The scheduler combines the state machines of `kingcupfield-decisions` and does no I/O: its input
//! is messages and ticks, its output is messages for other instances and grants or refusals for
//! waiting requests.

mod digests;
mod owned_replicas;
mod pools;
mod refusals;
mod replicas;
mod reservations;

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
use owned_replicas::OwnedReplica;
use pools::Pool;
use replicas::Replicas;

/// Name, incarnation and location of this instance.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Number of this run of the process; it grows with every restart.
    pub incarnation: Incarnation,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Region of the instance.
    pub region: RegionId,
}

/// Size and placement constraints of a request that needs a slot at a replica.
#[derive(Debug, Clone)]
pub struct SlotRequest {
    /// Length of the prompt, in tokens.
    pub prompt_tokens: Tokens,
    /// Maximum length of the response, in tokens; `None` for a plain call, whose work is fixed.
    pub max_tokens: Option<Tokens>,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: Vec<PrefixHash>,
    /// Bytes that cross a link between zones when a replica of another zone serves the request.
    pub transfer_bytes: u64,
    /// Replicas to which an earlier attempt could not connect.
    pub excluded_upstreams: Vec<UpstreamId>,
}

/// Expected work of a plain call, in tokens: a status check loads an engine's batch about as much
/// as decoding 4 tokens.
pub const PLAIN_CALL_WORK: Work = Work {
    prefill: 0,
    decode: 4,
};

impl SlotRequest {
    /// Creates the slot request of a plain call with a body of `bytes`.
    pub fn plain_call(bytes: u64) -> Self {
        Self {
            prompt_tokens: 0,
            max_tokens: None,
            prefixes: Vec::new(),
            transfer_bytes: bytes,
            excluded_upstreams: Vec::new(),
        }
    }

    /// Creates the slot request of a completion.
    pub fn completion(prompt_tokens: Tokens, max_tokens: Tokens, bytes: u64) -> Self {
        Self {
            prompt_tokens,
            max_tokens: Some(max_tokens),
            prefixes: Vec::new(),
            transfer_bytes: bytes,
            excluded_upstreams: Vec::new(),
        }
    }

    /// Excludes replicas to which an earlier attempt could not connect.
    pub fn with_excluded(mut self, excluded: Vec<UpstreamId>) -> Self {
        self.excluded_upstreams = excluded;
        self
    }

    /// Sets the hashes of the prompt's prefixes, shortest first.
    pub fn with_prefixes(mut self, prefixes: Vec<PrefixHash>) -> Self {
        self.prefixes = prefixes;
        self
    }
}

/// A claimed grant: the right to send one request to one replica.
#[derive(Debug, Clone)]
pub struct ClaimedGrant {
    /// Name of the replica.
    pub upstream: UpstreamId,
    /// Address of the replica, `IP:port`.
    pub address: String,
    /// When the grant was claimed.
    pub claimed_at: Instant,
}

/// Sender of the grant or refusal to the task of a waiting request.
pub type DecisionSender = oneshot::Sender<Result<ClaimedGrant, Refusal>>;

/// A message for another instance.
#[derive(Debug)]
pub struct Outgoing {
    /// The receiving instance.
    pub to: InstanceId,
    /// Content of the message.
    pub message: PeerMessage,
}

/// A request that waits for a grant or a refusal.
#[derive(Debug)]
struct WaitingRequest {
    request: RequestId,
    meta: Arc<Meta>,
    slot_request: SlotRequest,
    decision: DecisionSender,
    /// Set when the owners rejected the request and requests of lower tiers must be refused first.
    pending_refusal: Option<RefusalCause>,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy)]
struct RefusalCause {
    rejection: Rejection,
    /// Expected wait in the owner's queue, from which the caller's retry delay is computed; zero if
    /// unknown.
    expected_wait: Duration,
}

/// A dispatched request, kept until its end to train the length predictor.
#[derive(Debug)]
struct RunningRequest {
    request: RequestId,
    meta: Arc<Meta>,
    prompt_tokens: Tokens,
    /// Whether the length of the response trains the predictor: true for completions.
    trains_predictor: bool,
}

/// A message whose sender and receiver are both state machines of this instance, or which came
/// from another instance and waits for delivery to one of them.
#[derive(Debug)]
enum LocalMessage {
    /// From a holder to the owner of `upstream`.
    Owner {
        from: InstanceId,
        upstream: UpstreamId,
        message: ToOwner,
    },
    /// From the owner of `upstream` to the holder of a request, which is this instance.
    Holder {
        upstream: UpstreamId,
        message: ToHolder,
    },
    /// From a member to the owner of the shed level of `service`.
    LevelOwner {
        from: InstanceId,
        service: ServiceId,
        message: ToLevelOwner,
    },
    /// From the owner of the shed level of `service` to a member, which is this instance.
    LevelMember {
        service: ServiceId,
        message: ToLevelMember,
    },
}

/// The scheduler of one instance.
#[derive(Debug)]
pub struct Scheduler {
    identity: Identity,
    snapshot: Arc<Snapshot>,
    view: Arc<View>,
    replicas: Replicas,
    holder: Holder,
    /// Replicas that this instance owns, sorted by name.
    owned: Vec<OwnedReplica>,
    /// Shed state of each service, sorted by the service's name.
    pools: Vec<Pool>,
    /// Requests of this instance that wait for a slot, sorted by their id.
    waiters: Vec<WaitingRequest>,
    /// Dispatched requests of this instance, sorted by their id.
    running: Vec<RunningRequest>,
    length_predictor: LengthPredictor,
    link_budget: LinkBudget,
    digest_clock: DigestClock,
    rng: ChaCha8Rng,
    records: Records,
    local_messages: VecDeque<LocalMessage>,
    /// Messages for other instances since the last `take_outgoing`.
    outgoing: Vec<Outgoing>,
    /// The owned replicas, if they may have changed since the last `take_watched`.
    watched: Option<Vec<Watched>>,
}

impl Scheduler {
    /// Creates a scheduler with an empty snapshot of the fleet and no live instances.
    pub fn new(identity: Identity, rng: ChaCha8Rng, records: Records, now: Instant) -> Self {
        let holder = Holder::new(identity.instance.clone(), identity.incarnation)
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
            length_predictor: LengthPredictor::new(),
            link_budget: LinkBudget::new(LINK_BYTES_PER_S),
            digest_clock: DigestClock::new(now),
            rng,
            records,
            local_messages: VecDeque::new(),
            outgoing: Vec::new(),
            watched: None,
            identity,
        }
    }

    /// Returns the messages for other instances since the last call.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outgoing)
    }

    /// Returns the replicas that this instance owns if they may have changed since the last call.
    pub fn take_watched(&mut self) -> Option<Vec<Watched>> {
        self.watched.take()
    }

    /// Handles a message from another instance.
    pub fn on_peer_message(&mut self, now: Instant, from: &InstanceId, message: PeerMessage) {
        match message {
            PeerMessage::ToOwner { upstream, message } => {
                self.local_messages.push_back(LocalMessage::Owner {
                    from: from.clone(),
                    upstream,
                    message,
                });
            }
            PeerMessage::ToHolder { upstream, message } => {
                self.local_messages
                    .push_back(LocalMessage::Holder { upstream, message });
            }
            PeerMessage::ToLevelOwner { service, message } => {
                self.local_messages.push_back(LocalMessage::LevelOwner {
                    from: from.clone(),
                    service,
                    message,
                });
            }
            PeerMessage::ToLevelMember { service, message } => {
                self.local_messages
                    .push_back(LocalMessage::LevelMember { service, message });
            }
            PeerMessage::Digests(rows) => self.on_digests(now, from, &rows),
            PeerMessage::ToLimitOwner(_)
            | PeerMessage::ToLimitMember(_)
            | PeerMessage::Membership(_)
            | PeerMessage::Configuration(_) => {}
        }
        self.deliver_local(now);
    }

    /// Advances all timers; to be called every 50 ms.
    pub fn on_tick(&mut self, now: Instant) {
        let output = self.holder.on_tick(now);
        self.apply_holder_output(now, output);
        self.tick_owned(now);
        self.tick_pools(now);
        self.tick_digests(now);
        self.deliver_local(now);
        self.retry_refusals(now);
        self.deliver_local(now);
    }

    /// Handles the first token of a dispatched request, `first_token` after its dispatch.
    pub fn on_started(&mut self, now: Instant, request: &RequestId, first_token: Duration) {
        let messages = self.holder.on_started(request, first_token);
        self.send_to_owners(messages);
        self.deliver_local(now);
    }

    /// Handles the end of a dispatched request: releases its slot and trains the length predictor.
    pub fn on_finished(&mut self, now: Instant, request: &RequestId, outcome: RequestOutcome) {
        if let Ok(index) = self.find_running(request) {
            let running = self.running.remove(index);
            if outcome.whole && running.trains_predictor && outcome.between_tokens.is_some() {
                let meta = &running.meta;
                let decoded = outcome.work.decode;
                self.length_predictor.on_answer(
                    &meta.organisation,
                    &meta.service,
                    running.prompt_tokens,
                    decoded,
                );
            }
        }
        let output = self.holder.on_finished(now, request, outcome);
        self.apply_holder_output(now, output);
        self.deliver_local(now);
    }

    /// Returns the scheduler's state for the diagnostic dump.
    pub fn dump(&self, now: Instant) -> Value {
        json!({
            "held": self.holder.len(),
            "waiting": self.waiters.len(),
            "running": self.running.len(),
            "replicas": self.replicas.dump(now),
            "owned": self.owned.iter().map(|replica| replica.dump(now)).collect::<Vec<_>>(),
            "pools": self.pools.iter().map(|pool| pool.dump(now)).collect::<Vec<_>>(),
        })
    }

    /// Delivers the queued local messages, and those that they cause, until the queue is empty.
    fn deliver_local(&mut self, now: Instant) {
        while let Some(local) = self.local_messages.pop_front() {
            match local {
                LocalMessage::Owner {
                    from,
                    upstream,
                    message,
                } => {
                    self.on_to_owner(now, &from, &upstream, message);
                }
                LocalMessage::Holder { upstream, message } => {
                    self.record_rejection(&upstream, &message);
                    let output = self.holder.on_message(now, &upstream, message);
                    self.apply_holder_output(now, output);
                }
                LocalMessage::LevelOwner {
                    from,
                    service,
                    message,
                } => {
                    self.on_to_level_owner(now, &from, &service, &message);
                }
                LocalMessage::LevelMember { service, message } => {
                    self.on_to_level_member(now, &service, &message);
                }
            }
        }
    }

    /// Sends the holder's messages and performs its dispatches and refusals.
    fn apply_holder_output(&mut self, now: Instant, output: HolderOutput) {
        self.send_to_owners(output.messages);
        for action in output.actions {
            match action {
                HolderAction::Dispatch { request, upstream } => {
                    self.dispatch(now, &request, &upstream);
                }
                HolderAction::Refuse { request, why, wait } => {
                    self.on_rejected(
                        now,
                        &request,
                        RefusalCause {
                            rejection: why,
                            expected_wait: wait,
                        },
                    );
                }
            }
        }
    }

    /// Claims a grant for a waiting request and sends the grant to the request's task.
    fn dispatch(&mut self, now: Instant, request: &RequestId, upstream: &UpstreamId) {
        let regions = self.find_waiter(request).map(|index| {
            let organisation = &self.waiters[index].meta.organisation;
            self.allowed_regions(organisation)
        });
        let regions = regions.unwrap_or_default();
        let address = self
            .replicas
            .address_to_dispatch(upstream, &regions, &self.view);
        match self.holder.dispatch(now, request) {
            Err(DispatchError::NotGranted) => return,
            Err(DispatchError::Lapsed { messages }) => return self.send_to_owners(messages),
            Ok(claimed) => self.send_to_owners(claimed.messages),
        }
        let (Ok(index), Some(address)) = (self.find_waiter(request), address) else {
            // The replica left after its owner granted the slot: the request waits for another one.
            let output = self.holder.on_connect_failed(now, request);
            return self.apply_holder_output(now, output);
        };
        let waiter = self.waiters.remove(index);
        self.remove_from_pool(&waiter);
        self.pool_mut(&waiter.meta.service)
            .retry_after
            .on_served(now);
        self.replicas
            .record_prefixes(upstream, &waiter.slot_request.prefixes);
        self.records.add_step(
            request,
            Step::Granted {
                upstream: upstream.clone(),
            },
        );
        let granted = ClaimedGrant {
            upstream: upstream.clone(),
            address,
            claimed_at: now,
        };
        if waiter.decision.send(Ok(granted)).is_err() {
            let output = self.holder.on_finished(
                now,
                request,
                RequestOutcome {
                    whole: true,
                    ..RequestOutcome::default()
                },
            );
            return self.apply_holder_output(now, output);
        }
        let running = RunningRequest {
            request: request.clone(),
            meta: waiter.meta,
            prompt_tokens: waiter.slot_request.prompt_tokens,
            trains_predictor: waiter.slot_request.max_tokens.is_some(),
        };
        if let Err(index) = self.find_running(request) {
            self.running.insert(index, running);
        }
    }

    /// Sends messages to the owners of replicas; a replica without an owner counts as owned here.
    fn send_to_owners(&mut self, messages: Vec<OwnerEnvelope>) {
        for OwnerEnvelope { upstream, message } in messages {
            match self.replicas.owner(&upstream) {
                Some(owner) if *owner != self.identity.instance => {
                    let to = owner.clone();
                    self.outgoing.push(Outgoing {
                        to,
                        message: PeerMessage::ToOwner { upstream, message },
                    });
                }
                _ => {
                    let from = self.identity.instance.clone();
                    self.local_messages.push_back(LocalMessage::Owner {
                        from,
                        upstream,
                        message,
                    });
                }
            }
        }
    }

    /// Records an owner's rejection, and excludes a replica that is leaving.
    fn record_rejection(&mut self, upstream: &UpstreamId, message: &ToHolder) {
        if let ToHolder::Rejected { request, why, .. } = message {
            if *why == Rejection::Leaving
                && let Ok(index) = self.find_waiter(request)
            {
                // The owner knows that the replica leaves before the instance list does. Without
                // the exclusion the replica would be chosen again and again until the list
                // changes, and the request would never be answered.
                self.waiters[index]
                    .slot_request
                    .excluded_upstreams
                    .push(upstream.clone());
            }
            let step = Step::Rejected {
                upstream: upstream.clone(),
                why: format!("{why:?}"),
            };
            self.records.add_step(request, step);
        }
    }

    /// Index of a waiting request, or where to insert it.
    fn find_waiter(&self, request: &RequestId) -> Result<usize, usize> {
        self.waiters.binary_search_by(|w| w.request.cmp(request))
    }

    /// Index of a running request, or where to insert it.
    fn find_running(&self, request: &RequestId) -> Result<usize, usize> {
        self.running.binary_search_by(|r| r.request.cmp(request))
    }
}

/// One message's digests, a row for each replica.
type DigestRows = Vec<DigestRow>;
