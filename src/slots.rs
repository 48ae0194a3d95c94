//! The slots service: runs the scheduler in a task with a bounded mailbox.

use std::sync::Arc;
use std::time::Duration;

use kingcupfield_decisions::id::{InstanceId, RequestId, UpstreamId};
use kingcupfield_decisions::prefixes::CacheEvent;
use kingcupfield_decisions::slots::{LoadReport, RequestOutcome};
use kingcupfield_decisions::work::Work;
use serde_json::Value;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::error::{Refusal, RefusalKind};
use crate::fleet::Fleet;
use crate::members::Members;
use crate::message::PeerMessage;
use crate::peers::Peers;
use crate::request::Meta;
pub use crate::scheduler::SlotRequest;
use crate::scheduler::{ClaimedGrant, DecisionSender, Scheduler};
use crate::watcher::Watched;

/// Name under which the slots service is registered.
pub const SLOTS: &str = "slots";

/// Maximum number of messages in the mailbox; while it is full, requests are refused as
/// unavailable.
const MAILBOX_CAPACITY: usize = 16_384;

/// Interval at which the scheduler checks leases, stalled replicas and shed levels.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time after its claim during which a grant may be used. An older one is released unused: the
/// process was paused between the claim and the first byte, and an owner reclaims a claimed slot
/// after three seconds without a message from the holder.
const CLAIM_VALIDITY: Duration = Duration::from_secs(1);

/// Retry delay returned to callers while the mailbox is full.
const FULL_MAILBOX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Input of the slots service.
#[derive(Debug)]
enum Message {
    /// A request asks for a slot; the grant or refusal is sent through `decision`.
    Acquire {
        meta: Arc<Meta>,
        slot_request: SlotRequest,
        decision: DecisionSender,
    },
    /// The caller of a request no longer waits for a slot.
    Cancel(RequestId),
    /// The first token of a response came, `first_token` after dispatch.
    Started {
        request: RequestId,
        first_token: Duration,
    },
    /// A granted request ended, or its grant was dropped unused.
    Finished {
        request: RequestId,
        outcome: RequestOutcome,
    },
    /// A message of another instance.
    Peer {
        from: InstanceId,
        message: PeerMessage,
    },
    LoadReport {
        upstream: UpstreamId,
        report: LoadReport,
    },
    CacheEvent {
        upstream: UpstreamId,
        event: CacheEvent,
    },
    /// Asks for the scheduler's state.
    Dump(oneshot::Sender<Value>),
}

/// Handle of the slots service; all clones send to the same task.
#[derive(Debug, Clone)]
pub struct Slots {
    /// All other messages; bounded.
    tx: mpsc::Sender<Message>,
    /// Cancelled and finished requests, which must not be lost when the mailbox is full.
    ended_tx: mpsc::UnboundedSender<Message>,
}

/// The right to dispatch one request to one replica; dropping it releases the slot.
#[derive(Debug)]
pub struct Grant {
    /// Name of the replica.
    pub upstream: UpstreamId,
    /// Address of the replica, `IP:port`.
    pub address: String,
    request: RequestId,
    claimed_at: Instant,
    /// Reported when the grant is dropped.
    outcome: RequestOutcome,
    slots: Slots,
}

impl Grant {
    /// Whether the grant may still be used; checked right before the first byte is sent.
    pub fn is_valid(&self) -> bool {
        self.claimed_at.elapsed() < CLAIM_VALIDITY
    }

    /// Reports the first token of the response, `first_token` after dispatch.
    pub fn report_first_token(&self, first_token: Duration) {
        let message = Message::Started {
            request: self.request.clone(),
            first_token,
        };
        self.slots.tx.try_send(message).ok();
    }

    /// Releases the slot and reports the outcome of the request.
    pub fn finish(mut self, outcome: RequestOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        let message = Message::Finished {
            request: self.request.clone(),
            outcome: self.outcome,
        };
        // This channel is unbounded: if the message were dropped, the slot would be lost until its
        // holder dies. It has no more messages than the instance has requests, whose number is
        // bounded.
        self.slots.ended_tx.send(message).ok();
    }
}

/// Cancels a waiting request when its future is dropped before the decision.
struct CancelOnDrop {
    request: Option<RequestId>,
    slots: Slots,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if let Some(request) = self.request.take() {
            self.slots.ended_tx.send(Message::Cancel(request)).ok();
        }
    }
}

/// Returns the outcome of a request that failed before its first token.
pub fn failed_outcome() -> RequestOutcome {
    RequestOutcome {
        whole: false,
        first_token: None,
        between_tokens: None,
        work: Work::default(),
    }
}

impl Slots {
    /// Creates the handle and the task of the service; the caller spawns the task.
    pub fn new(scheduler: Scheduler, peers: Peers) -> (Self, SlotsTask) {
        let (tx, rx) = mpsc::channel(MAILBOX_CAPACITY);
        let (ended_tx, ended_rx) = mpsc::unbounded_channel();
        let (watched_tx, _) = watch::channel(Vec::new());
        let task = SlotsTask {
            scheduler,
            peers,
            rx,
            ended_rx,
            watched_tx,
        };
        (Self { tx, ended_tx }, task)
    }

    /// Waits until the request is granted a slot or is refused. Dropping the future cancels the
    /// wait.
    pub async fn acquire(
        &self,
        meta: &Arc<Meta>,
        slot_request: SlotRequest,
    ) -> Result<Grant, Refusal> {
        let (decision, decided) = oneshot::channel();
        let request = meta.request.clone();
        let message = Message::Acquire {
            meta: meta.clone(),
            slot_request,
            decision,
        };
        if self.tx.try_send(message).is_err() {
            let refusal =
                Refusal::new(RefusalKind::Unavailable).with_message("the instance is full");
            return Err(refusal.with_retry_after(FULL_MAILBOX_RETRY_AFTER));
        }
        let mut cancel = CancelOnDrop {
            request: Some(request.clone()),
            slots: self.clone(),
        };
        let decided = decided.await;
        cancel.request = None;
        let ClaimedGrant {
            upstream,
            address,
            claimed_at,
        } = decided.unwrap_or_else(|_| Err(Refusal::new(RefusalKind::Unavailable)))?;
        // Unless the caller reports another outcome, the replica is not at fault.
        let outcome = RequestOutcome {
            whole: true,
            ..RequestOutcome::default()
        };
        Ok(Grant {
            upstream,
            address,
            request,
            claimed_at,
            outcome,
            slots: self.clone(),
        })
    }

    /// Queues a message of another instance. A full mailbox drops it: lease expiry and renewals
    /// make up for lost messages.
    pub fn on_peer_message(&self, from: &InstanceId, message: PeerMessage) {
        self.tx
            .try_send(Message::Peer {
                from: from.clone(),
                message,
            })
            .ok();
    }

    /// Queues a load report of an owned replica; a full mailbox drops it.
    pub fn on_load_report(&self, upstream: &UpstreamId, report: LoadReport) {
        self.tx
            .try_send(Message::LoadReport {
                upstream: upstream.clone(),
                report,
            })
            .ok();
    }

    /// Queues a prefix cache event of an owned replica; a full mailbox drops it.
    pub fn on_cache_event(&self, upstream: &UpstreamId, event: CacheEvent) {
        self.tx
            .try_send(Message::CacheEvent {
                upstream: upstream.clone(),
                event,
            })
            .ok();
    }

    /// Returns the scheduler's state for the diagnostic dump.
    pub async fn dump(&self) -> Value {
        let (tx, rx) = oneshot::channel();
        self.tx.send(Message::Dump(tx)).await.ok();
        rx.await.unwrap_or_default()
    }
}

/// Task of the slots service, which runs the scheduler.
#[derive(Debug)]
pub struct SlotsTask {
    scheduler: Scheduler,
    peers: Peers,
    rx: mpsc::Receiver<Message>,
    ended_rx: mpsc::UnboundedReceiver<Message>,
    watched_tx: watch::Sender<Vec<Watched>>,
}

impl SlotsTask {
    /// Subscribes to the list of replicas that this instance owns.
    pub fn watched(&self) -> watch::Receiver<Vec<Watched>> {
        self.watched_tx.subscribe()
    }

    /// Runs until all handles are dropped.
    pub async fn run(mut self, fleet: Fleet, members: Members) {
        let mut fleet = fleet.watch();
        let mut view = members.watch();
        self.scheduler
            .on_fleet(Instant::now(), fleet.borrow_and_update().clone());
        self.scheduler
            .on_view(Instant::now(), view.borrow_and_update().clone());
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            // Ends come first: a request that asks for a slot again after a failed connect has to
            // release its previous slot before.
            tokio::select! {
                biased;
                Some(message) = self.ended_rx.recv() => self.on_message(message),
                _ = ticks.tick() => self.scheduler.on_tick(Instant::now()),
                Ok(()) = fleet.changed() => {
                    self.scheduler.on_fleet(Instant::now(), fleet.borrow_and_update().clone());
                }
                Ok(()) = view.changed() => {
                    self.scheduler.on_view(Instant::now(), view.borrow_and_update().clone());
                }
                message = self.rx.recv() => match message {
                    Some(message) => self.on_message(message),
                    None => return,
                },
            }
            self.publish();
            for out in self.scheduler.take_outgoing() {
                self.peers.send(&out.to, out.message);
            }
        }
    }

    /// Publishes the list of owned replicas if it changed.
    fn publish(&mut self) {
        if let Some(watched) = self.scheduler.take_watched() {
            self.watched_tx.send_replace(watched);
        }
    }

    /// Passes a message to the scheduler.
    fn on_message(&mut self, message: Message) {
        let now = Instant::now();
        let scheduler = &mut self.scheduler;
        match message {
            Message::Acquire {
                meta,
                slot_request,
                decision,
            } => scheduler.acquire(now, meta, slot_request, decision),
            Message::Cancel(request) => scheduler.on_cancel(now, &request),
            Message::Started {
                request,
                first_token,
            } => scheduler.on_started(now, &request, first_token),
            Message::Finished { request, outcome } => scheduler.on_finished(now, &request, outcome),
            Message::Peer { from, message } => scheduler.on_peer_message(now, &from, message),
            Message::LoadReport { upstream, report } => {
                scheduler.on_load_report(now, &upstream, report);
            }
            Message::CacheEvent { upstream, event } => scheduler.on_cache_event(&upstream, event),
            Message::Dump(tx) => drop(tx.send(scheduler.dump(now))),
        }
    }
}
