//! The slots service: the scheduler behind a bounded mailbox.

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
use crate::scheduler::{Decision, Granted, Scheduler};
use crate::watcher::Watched;

/// Name of the service in the kernel.
pub const SLOTS: &str = "slots";

/// Messages that wait for the service; a request beyond it is refused as unavailable.
const MAILBOX: usize = 16_384;

/// How often leases, stalls and levels are looked after.
const TICK: Duration = Duration::from_millis(50);

/// A grant that was claimed longer ago than this is given back unused: the process was paused
/// between the claim and the first byte. An owner takes a claimed slot back after three seconds
/// without a word of its holder.
const CLAIM_LIFE: Duration = Duration::from_secs(1);

/// Advice for callers that meet a full mailbox.
const BUSY_RETRY: Duration = Duration::from_secs(1);

#[derive(Debug)]
enum Message {
    Acquire {
        meta: Arc<Meta>,
        need: SlotRequest,
        decision: Decision,
    },
    Cancel(RequestId),
    Started {
        request: RequestId,
        first_token: Duration,
    },
    Finished {
        request: RequestId,
        outcome: RequestOutcome,
    },
    Peer {
        from: InstanceId,
        message: PeerMessage,
    },
    Report {
        upstream: UpstreamId,
        report: LoadReport,
    },
    CacheEvent {
        upstream: UpstreamId,
        event: CacheEvent,
    },
    Dump(oneshot::Sender<Value>),
}

/// Handle of the service; clones share it.
#[derive(Debug, Clone)]
pub struct Slots {
    tx: mpsc::Sender<Message>,
    ended: mpsc::UnboundedSender<Message>,
}

/// The right to dispatch one request to one replica; dropped, it gives the slot back.
#[derive(Debug)]
pub struct Grant {
    /// The replica.
    pub upstream: UpstreamId,
    /// Its address, `IP:port`.
    pub address: String,
    request: RequestId,
    claimed: Instant,
    outcome: RequestOutcome,
    slots: Slots,
}

impl Grant {
    /// Whether the right still holds; checked right before the first byte goes out.
    pub fn is_valid(&self) -> bool {
        self.claimed.elapsed() < CLAIM_LIFE
    }

    /// Tells that the first token came.
    pub fn report_first_token(&self, first_token: Duration) {
        let message = Message::Started {
            request: self.request.clone(),
            first_token,
        };
        self.slots.tx.try_send(message).ok();
    }

    /// Tells how the request ended.
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
        // Not bounded, as a slot that is never given back is lost until its holder dies; there
        // are never more of these than requests held, whose number is bounded.
        self.slots.ended.send(message).ok();
    }
}

/// Tells the service that nobody waits any more, when a waiting request is dropped.
struct CancelOnDrop {
    request: Option<RequestId>,
    slots: Slots,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if let Some(request) = self.request.take() {
            self.slots.ended.send(Message::Cancel(request)).ok();
        }
    }
}

/// Outcome of a request that broke before any token.
pub fn failed_outcome() -> RequestOutcome {
    RequestOutcome {
        whole: false,
        first_token: None,
        between_tokens: None,
        work: Work::default(),
    }
}

impl Slots {
    /// Makes the service; the task is to be spawned.
    pub fn new(scheduler: Scheduler, peers: Peers) -> (Self, SlotsTask) {
        let (tx, rx) = mpsc::channel(MAILBOX);
        let (ended, ended_rx) = mpsc::unbounded_channel();
        let (watched, _) = watch::channel(Vec::new());
        let task = SlotsTask {
            scheduler,
            peers,
            rx,
            ended: ended_rx,
            watched,
        };
        (Self { tx, ended }, task)
    }

    /// Waits until the request may go to a replica, or is refused. Dropped, it stops waiting.
    pub async fn acquire(&self, meta: &Arc<Meta>, need: SlotRequest) -> Result<Grant, Refusal> {
        let (decision, decided) = oneshot::channel();
        let request = meta.request.clone();
        let message = Message::Acquire {
            meta: meta.clone(),
            need,
            decision,
        };
        if self.tx.try_send(message).is_err() {
            let refusal =
                Refusal::new(RefusalKind::Unavailable).with_message("the instance is full");
            return Err(refusal.with_retry_after(BUSY_RETRY));
        }
        let mut cancel = CancelOnDrop {
            request: Some(request.clone()),
            slots: self.clone(),
        };
        let decided = decided.await;
        cancel.request = None;
        let Granted {
            upstream,
            address,
            at,
        } = decided.unwrap_or_else(|_| Err(Refusal::new(RefusalKind::Unavailable)))?;
        // Until told otherwise the request ended by no fault of the replica.
        let outcome = RequestOutcome {
            whole: true,
            ..RequestOutcome::default()
        };
        Ok(Grant {
            upstream,
            address,
            request,
            claimed: at,
            outcome,
            slots: self.clone(),
        })
    }

    /// Takes a message of a peer; a full mailbox drops it, leases and renewals repeat it.
    pub fn on_peer_message(&self, from: &InstanceId, message: PeerMessage) {
        self.tx
            .try_send(Message::Peer {
                from: from.clone(),
                message,
            })
            .ok();
    }

    /// Takes a load report of an owned replica.
    pub fn on_load_report(&self, upstream: &UpstreamId, report: LoadReport) {
        self.tx
            .try_send(Message::Report {
                upstream: upstream.clone(),
                report,
            })
            .ok();
    }

    /// Takes a cache event of an owned replica.
    pub fn on_cache_event(&self, upstream: &UpstreamId, event: CacheEvent) {
        self.tx
            .try_send(Message::CacheEvent {
                upstream: upstream.clone(),
                event,
            })
            .ok();
    }

    /// State for the dump.
    pub async fn dump(&self) -> Value {
        let (tx, rx) = oneshot::channel();
        self.tx.send(Message::Dump(tx)).await.ok();
        rx.await.unwrap_or_default()
    }
}

/// Task of the service.
#[derive(Debug)]
pub struct SlotsTask {
    scheduler: Scheduler,
    peers: Peers,
    rx: mpsc::Receiver<Message>,
    ended: mpsc::UnboundedReceiver<Message>,
    watched: watch::Sender<Vec<Watched>>,
}

impl SlotsTask {
    /// Follows which replicas this instance owns.
    pub fn watched(&self) -> watch::Receiver<Vec<Watched>> {
        self.watched.subscribe()
    }

    /// Runs for ever.
    pub async fn run(mut self, fleet: Fleet, members: Members) {
        let mut fleet = fleet.watch();
        let mut view = members.watch();
        self.scheduler
            .on_fleet(Instant::now(), fleet.borrow_and_update().clone());
        self.scheduler
            .on_view(Instant::now(), view.borrow_and_update().clone());
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            // Ends come first: a request that waits again after a failed connect has ended before.
            tokio::select! {
                biased;
                Some(message) = self.ended.recv() => self.on_message(message),
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

    fn publish(&mut self) {
        if let Some(watched) = self.scheduler.take_watched() {
            self.watched.send_replace(watched);
        }
    }

    fn on_message(&mut self, message: Message) {
        let now = Instant::now();
        let scheduler = &mut self.scheduler;
        match message {
            Message::Acquire {
                meta,
                need,
                decision,
            } => scheduler.acquire(now, meta, need, decision),
            Message::Cancel(request) => scheduler.on_cancel(now, &request),
            Message::Started {
                request,
                first_token,
            } => scheduler.on_started(now, &request, first_token),
            Message::Finished { request, outcome } => scheduler.on_finished(now, &request, outcome),
            Message::Peer { from, message } => scheduler.on_peer_message(now, &from, message),
            Message::Report { upstream, report } => {
                scheduler.on_load_report(now, &upstream, report);
            }
            Message::CacheEvent { upstream, event } => scheduler.on_cache_event(&upstream, event),
            Message::Dump(tx) => drop(tx.send(scheduler.dump(now))),
        }
    }
}
