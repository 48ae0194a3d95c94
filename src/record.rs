//! A bounded record of what became of each request, for `kingcup explain` and `/v1/requests`.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};

use kingcupfield_decisions::id::{OrganisationId, RequestId, ServiceId, TierId, UpstreamId};
use serde::Serialize;
use tokio::time::Instant;

use crate::error::{RefusalKind, RunStatus};

/// Requests remembered by one instance: at 15 requests a second (5,100 over 330 instances) about
/// two minutes, at most 1 KiB each.
const MAX_RECORDS: usize = 2048;

/// Events remembered of one request; later ones are counted only.
const MAX_EVENTS: usize = 24;

/// One step in the life of a request.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "snake_case", tag = "event", content = "detail")]
pub enum Step {
    /// It was authenticated and parsed.
    Received,
    /// It was reserved at the owner of a replica.
    Reserved {
        /// The replica.
        upstream: UpstreamId,
    },
    /// An owner will not grant it.
    Rejected {
        /// The replica.
        upstream: UpstreamId,
        /// Why, in the owner's words.
        why: String,
    },
    /// It may be dispatched.
    Granted {
        /// The replica.
        upstream: UpstreamId,
    },
    /// The first byte goes out.
    Dispatched {
        /// The replica.
        upstream: UpstreamId,
    },
    /// No connection could be made; nothing went out.
    NotSent {
        /// The replica.
        upstream: UpstreamId,
        /// What happened.
        reason: String,
    },
    /// The first token or the head of a plain answer came.
    FirstToken,
    /// The stream broke and was resumed at its offset.
    Resumed {
        /// Next expected sequence number.
        from: u64,
    },
    /// The caller went away.
    CallerGone,
    /// The deadline passed while it ran.
    DeadlinePassed,
    /// It was refused.
    Refused {
        /// The kind.
        kind: RefusalKind,
        /// What the caller read.
        message: String,
    },
    /// The upstream broke after dispatch.
    Broke {
        /// What happened.
        reason: String,
    },
    /// The whole answer went to the caller.
    Answered,
}

/// A step with its time since receipt.
#[derive(Debug, Clone, Serialize)]
pub struct Event {
    /// Milliseconds since receipt.
    pub at_ms: u64,
    /// What happened.
    #[serde(flatten)]
    pub step: Step,
}

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It waits for a slot.
    Waiting,
    /// It was dispatched and runs.
    Running,
    /// The whole answer was sent.
    Answered,
    /// It was refused and did not run.
    Refused,
    /// It was dispatched and the answer is not whole.
    Broken,
    /// The caller went away first.
    Cancelled,
    /// The deadline passed while it ran, and it was cancelled.
    Late,
}

/// Everything remembered of one request.
#[derive(Debug, Clone, Serialize)]
pub struct Record {
    /// Its id.
    pub request: RequestId,
    /// Whose it is.
    pub organisation: OrganisationId,
    /// Its tier.
    pub tier: TierId,
    /// Its service.
    pub service: ServiceId,
    /// Where it stands.
    pub outcome: Outcome,
    /// Whether the upstream ran it.
    pub ran: RunStatus,
    /// Its life.
    pub events: Vec<Event>,
    /// Events beyond the bound.
    pub events_dropped: u32,
    #[serde(skip)]
    received: Option<Instant>,
}

/// The record of one instance; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Records {
    records: Arc<Mutex<VecDeque<Record>>>,
}

impl Records {
    /// Makes an empty record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts the record of a request and forgets the oldest beyond the bound.
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
            received: Some(now),
        };
        let mut records = self.lock();
        if records.len() == MAX_RECORDS {
            records.pop_front();
        }
        records.push_back(record);
    }

    /// Adds a step.
    pub fn add_step(&self, request: &RequestId, step: Step) {
        self.with(request, |r| r.push(step));
    }

    /// Adds a step and sets where the request stands.
    pub fn add_step_with_outcome(
        &self,
        request: &RequestId,
        step: Step,
        outcome: Outcome,
        ran: RunStatus,
    ) {
        self.with(request, |r| {
            r.push(step);
            r.outcome = outcome;
            r.ran = ran;
        });
    }

    /// The record of `request`, if it is still remembered.
    pub fn get(&self, request: &str) -> Option<Record> {
        self.lock()
            .iter()
            .rev()
            .find(|r| &*r.request == request)
            .cloned()
    }

    /// Number of requests remembered.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn with<F>(&self, request: &RequestId, change: F)
    where
        F: FnOnce(&mut Record),
    {
        // Ids of one instance are handed out in order, so the newest match is found from the back.
        if let Some(record) = self.lock().iter_mut().rev().find(|r| r.request == *request) {
            change(record);
        }
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Record>> {
        self.records.lock().expect("no holder of the record panics")
    }
}

impl Record {
    fn push(&mut self, step: Step) {
        if self.events.len() == MAX_EVENTS {
            self.events_dropped += 1;
            return;
        }
        let at_ms = self.received.map_or(0, |t| t.elapsed().as_millis() as u64);
        self.events.push(Event { at_ms, step });
    }
}
