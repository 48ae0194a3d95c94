//! Bounded in-memory history of recent requests, served to `kingcup explain` and `/v1/requests`.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};

use kingcupfield_decisions::id::{OrganisationId, RequestId, ServiceId, TierId, UpstreamId};
use serde::Serialize;
use tokio::time::Instant;

use crate::error::{RefusalKind, RunStatus};

/// Number of requests that one instance keeps. At 15 requests/s (5,100 requests/s over 330
/// instances) that covers about two minutes; a record takes at most 1 KiB.
const MAX_RECORDS: usize = 2048;

/// Number of events kept per request; later ones are only counted.
const MAX_EVENTS_PER_REQUEST: usize = 24;

/// A step in the processing of a request, with its details.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "snake_case", tag = "event", content = "detail")]
pub enum Step {
    /// The request was authenticated and parsed.
    Received,
    /// A reservation was placed with the instance that owns a replica.
    Reserved {
        /// Replica that the step concerns.
        upstream: UpstreamId,
    },
    /// The owner of a replica rejected the reservation.
    Rejected {
        /// Replica that the step concerns.
        upstream: UpstreamId,
        /// Reason that the owner gave.
        why: String,
    },
    /// A slot was granted; the request may be dispatched.
    Granted {
        /// Replica that the step concerns.
        upstream: UpstreamId,
    },
    /// The first byte of the request is sent to the replica.
    Dispatched {
        /// Replica that the step concerns.
        upstream: UpstreamId,
    },
    /// The connection to the replica failed; no byte was sent.
    NotSent {
        /// Replica that the step concerns.
        upstream: UpstreamId,
        /// Connection error.
        reason: String,
    },
    /// The first token of a stream or the head of a plain response arrived.
    FirstToken,
    /// The stream broke and was resumed at its offset.
    Resumed {
        /// Sequence number of the next expected event.
        from: u64,
    },
    /// The caller disconnected.
    CallerGone,
    /// The deadline passed while the request was running.
    DeadlinePassed,
    /// The request was refused.
    Refused {
        /// Kind of refusal.
        kind: RefusalKind,
        /// Error message sent to the caller.
        message: String,
    },
    /// The upstream failed after dispatch.
    Broke {
        /// Description of the failure.
        reason: String,
    },
    /// The complete response was sent to the caller.
    Answered,
}

/// A step and the time at which it happened.
#[derive(Debug, Clone, Serialize)]
pub struct Event {
    /// Milliseconds from receipt of the request to the step.
    pub at_ms: u64,
    /// Step, flattened into `event` and `detail`.
    #[serde(flatten)]
    pub step: Step,
}

/// Current or final state of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request waits for a slot.
    Waiting,
    /// The request was dispatched and is running.
    Running,
    /// The complete response was sent.
    Answered,
    /// The request was refused and did not run.
    Refused,
    /// The request was dispatched, but the response is incomplete.
    Broken,
    /// The caller disconnected before the response was complete.
    Cancelled,
    /// The deadline passed while the request was running, and it was cancelled.
    Late,
}

/// History of one request.
#[derive(Debug, Clone, Serialize)]
pub struct Record {
    /// Request id.
    pub request: RequestId,
    /// Organisation that sent the request.
    pub organisation: OrganisationId,
    /// Tier of the request.
    pub tier: TierId,
    /// Service that the request calls.
    pub service: ServiceId,
    /// Current or final state.
    pub outcome: Outcome,
    /// Whether an upstream ran the request.
    pub ran: RunStatus,
    /// Events in order, at most `MAX_EVENTS_PER_REQUEST`.
    pub events: Vec<Event>,
    /// Number of events left out once that limit was reached.
    pub events_dropped: u32,
    #[serde(skip)]
    received_at: Option<Instant>,
}

/// Request histories of one instance, oldest first; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Records {
    records: Arc<Mutex<VecDeque<Record>>>,
}

impl Records {
    /// Creates an empty history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts the record of a request; at the limit, drops the oldest record.
    pub fn start(
        &self,
        request: RequestId,
        organisation: OrganisationId,
        tier: TierId,
        service: ServiceId,
    ) {
        let now = Instant::now();
        let event = Event {
            at_ms: 0,
            step: Step::Received,
        };
        let record = Record {
            request,
            organisation,
            tier,
            service,
            outcome: Outcome::Waiting,
            ran: RunStatus::No,
            events: vec![event],
            events_dropped: 0,
            received_at: Some(now),
        };
        let mut records = self.lock();
        if records.len() == MAX_RECORDS {
            records.pop_front();
        }
        records.push_back(record);
    }

    /// Appends a step to the record of `request`; does nothing if it was already dropped.
    pub fn add_step(&self, request: &RequestId, step: Step) {
        self.update(request, |r| r.push_step(step));
    }

    /// Appends a step and sets the request's outcome and run status.
    pub fn add_step_with_outcome(
        &self,
        request: &RequestId,
        step: Step,
        outcome: Outcome,
        ran: RunStatus,
    ) {
        self.update(request, |r| {
            r.push_step(step);
            r.outcome = outcome;
            r.ran = ran;
        });
    }

    /// Returns the record of `request`, if it is still kept.
    pub fn get(&self, request: &str) -> Option<Record> {
        self.lock()
            .iter()
            .rev()
            .find(|r| &*r.request == request)
            .cloned()
    }

    /// Number of records kept.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether no record is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn update<F>(&self, request: &RequestId, change: F)
    where
        F: FnOnce(&mut Record),
    {
        // An instance issues its ids in order, so the newest match is found by searching from the
        // back.
        if let Some(record) = self.lock().iter_mut().rev().find(|r| r.request == *request) {
            change(record);
        }
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Record>> {
        self.records
            .lock()
            .expect("lock poisoned: no code panics while it holds the record lock")
    }
}

impl Record {
    fn push_step(&mut self, step: Step) {
        if self.events.len() == MAX_EVENTS_PER_REQUEST {
            self.events_dropped += 1;
            return;
        }
        let at_ms = self
            .received_at
            .map_or(0, |t| t.elapsed().as_millis() as u64);
        self.events.push(Event { at_ms, step });
    }
}
