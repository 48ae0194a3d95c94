//! The life of a request as a typestate: what was dispatched cannot be dispatched or refused again.
//!
//! ```text
//! Received ──> Waiting ──> Dispatched ──> Answered
//!     │            │  ▲         │
//!     ▼            ▼  └─────────┘ only with the proof that no byte went out
//!  Refused      Refused
//! ```
//!
//! A dispatched request cannot be refused:
//!
//! ```compile_fail,E0599
//! use kingcupfield::error::{RefusalKind, Refusal};
//! use kingcupfield::request::{Dispatched, Request};
//! fn refuse_after_dispatch(request: Request<Dispatched>) {
//!     let _ = request.refuse(Refusal::new(RefusalKind::Shed));
//! }
//! ```
//!
//! A request cannot be dispatched twice:
//!
//! ```compile_fail,E0382
//! use kingcupfield::request::{Request, Waiting};
//! use kingcupfield_decisions::id::UpstreamId;
//! fn dispatch_twice(request: Request<Waiting>, upstream: UpstreamId) {
//!     let first = request.dispatch(upstream.clone());
//!     let second = request.dispatch(upstream);
//! }
//! ```

use std::sync::Arc;
use std::time::Duration;

use kingcupfield_decisions::id::{OrganisationId, Rank, RequestId, ServiceId, TierId, UpstreamId};
use tokio::time::Instant;

use crate::caller::Caller;
use crate::connector::ExchangeError;
use crate::error::{Refusal, RunStatus};
use crate::metrics::Metrics;
use crate::record::{Outcome, Records, Step};

/// What stays the same through the life of a request.
#[derive(Debug)]
pub struct Meta {
    /// Its id.
    pub request: RequestId,
    /// Whose it is.
    pub organisation: OrganisationId,
    /// Weight of the organisation.
    pub weight: u32,
    /// Its tier.
    pub tier: TierId,
    /// Rank of its tier.
    pub rank: Rank,
    /// Its service.
    pub service: ServiceId,
    /// When it was received.
    pub received: Instant,
    /// When its caller gives up.
    pub deadline: Instant,
    /// Number of the caller's attempt, from 1.
    pub attempt: u32,
}

impl Meta {
    /// Makes the meta of the request `id` of `caller`.
    pub fn new(id: &RequestId, caller: &Caller, service: ServiceId, received: Instant) -> Self {
        Self {
            request: id.clone(),
            organisation: caller.organisation.organisation.clone(),
            weight: caller.organisation.weight,
            tier: caller.tier.tier.clone(),
            rank: caller.tier.rank,
            service,
            received,
            deadline: received + caller.timeout,
            attempt: caller.attempt,
        }
    }
}

/// State: parsed and authenticated.
#[derive(Debug)]
pub struct Received;

/// State: admitted and waiting for a slot.
#[derive(Debug)]
pub struct Waiting;

/// State: given to an upstream.
#[derive(Debug)]
pub struct Dispatched {
    /// The upstream.
    pub upstream: UpstreamId,
    /// When.
    pub at: Instant,
}

/// State: the end of a dispatched request.
#[derive(Debug)]
pub struct Answered;

/// State: the end of a request that did not run.
#[derive(Debug)]
pub struct Refused {
    /// What the caller gets.
    pub refusal: Refusal,
}

/// Proof that a request has not run: the connect failed, or the upstream turned it away.
#[derive(Debug)]
pub struct NotSent {
    reason: String,
}

impl NotSent {
    /// The proof, if `e` is one.
    pub fn from_error(e: &ExchangeError) -> Option<Self> {
        match e {
            ExchangeError::NotSent(reason) => Some(Self {
                reason: reason.clone(),
            }),
            ExchangeError::Broke(_) | ExchangeError::Timeout => None,
        }
    }

    /// The proof that an upstream turned a request away and asked for a rest.
    pub fn turned_away(rest: Duration) -> Self {
        Self {
            reason: format!("turned away for {} ms", rest.as_millis()),
        }
    }
}

/// A request in state `S`.
#[derive(Debug)]
pub struct Request<S> {
    meta: Arc<Meta>,
    records: Records,
    metrics: Metrics,
    state: S,
}

impl<S> Request<S> {
    /// What stays the same.
    pub fn meta(&self) -> &Arc<Meta> {
        &self.meta
    }

    /// What only this state has.
    pub fn state(&self) -> &S {
        &self.state
    }

    /// Adds a step to the record.
    pub fn note(&self, step: Step) {
        self.records.add_step(&self.meta.request, step);
    }

    fn into_state<N>(self, state: N) -> Request<N> {
        Request {
            meta: self.meta,
            records: self.records,
            metrics: self.metrics,
            state,
        }
    }

    fn count(&self, outcome: &str) {
        self.metrics
            .requests
            .with_label_values(&[&*self.meta.tier, outcome])
            .inc();
    }

    fn end_refused(self, refusal: Refusal) -> Request<Refused> {
        let step = Step::Refused {
            kind: refusal.kind,
            message: refusal.message.clone(),
        };
        self.records
            .add_step_with_outcome(&self.meta.request, step, Outcome::Refused, refusal.ran);
        self.count(refusal.kind.error_response().name);
        self.into_state(Refused { refusal })
    }
}

impl Request<Received> {
    /// Starts the life of a request and its record.
    pub fn new(meta: Meta, records: Records, metrics: Metrics) -> Self {
        records.start(
            meta.request.clone(),
            meta.organisation.clone(),
            meta.tier.clone(),
            meta.service.clone(),
        );
        Self {
            meta: Arc::new(meta),
            records,
            metrics,
            state: Received,
        }
    }

    /// Lets it wait for a slot.
    pub fn admit(self) -> Request<Waiting> {
        self.into_state(Waiting)
    }

    /// Refuses it; it has not run.
    pub fn refuse(self, refusal: Refusal) -> Request<Refused> {
        self.end_refused(refusal)
    }
}

impl Request<Waiting> {
    /// Gives it to `upstream`; from here on it cannot be refused.
    pub fn dispatch(self, upstream: UpstreamId) -> Request<Dispatched> {
        let step = Step::Dispatched {
            upstream: upstream.clone(),
        };
        self.records.add_step_with_outcome(
            &self.meta.request,
            step,
            Outcome::Running,
            RunStatus::Yes,
        );
        Metrics::observe(
            &self.metrics.queue_time,
            &self.meta.tier,
            self.meta.received.elapsed(),
        );
        self.into_state(Dispatched {
            upstream,
            at: Instant::now(),
        })
    }

    /// Refuses it; it has not run and never will.
    pub fn refuse(self, refusal: Refusal) -> Request<Refused> {
        self.end_refused(refusal)
    }

    /// The caller went away while it waited.
    pub fn cancelled(self) {
        self.records.add_step_with_outcome(
            &self.meta.request,
            Step::CallerGone,
            Outcome::Cancelled,
            RunStatus::No,
        );
        self.count("cancelled");
    }
}

impl Request<Dispatched> {
    /// Back to waiting, with the proof that it has not run.
    pub fn not_sent(self, proof: NotSent) -> Request<Waiting> {
        let upstream = self.state.upstream.clone();
        let step = Step::NotSent {
            upstream,
            reason: proof.reason,
        };
        self.records.add_step_with_outcome(
            &self.meta.request,
            step,
            Outcome::Waiting,
            RunStatus::No,
        );
        self.into_state(Waiting)
    }

    /// The first token or the head of a plain answer came.
    pub fn first_token(&self) {
        self.note(Step::FirstToken);
        Metrics::observe(
            &self.metrics.time_to_first_token,
            &self.meta.tier,
            self.meta.received.elapsed(),
        );
    }

    /// The whole answer went to the caller.
    pub fn answered(self) -> Request<Answered> {
        let late = Instant::now() > self.meta.deadline;
        self.records.add_step_with_outcome(
            &self.meta.request,
            Step::Answered,
            Outcome::Answered,
            RunStatus::Yes,
        );
        self.count(if late { "late" } else { "answered" });
        self.into_state(Answered)
    }

    /// The upstream broke; the answer is not whole.
    pub fn broke<R>(self, reason: R) -> Request<Answered>
    where
        R: Into<String>,
    {
        let step = Step::Broke {
            reason: reason.into(),
        };
        self.records.add_step_with_outcome(
            &self.meta.request,
            step,
            Outcome::Broken,
            RunStatus::Yes,
        );
        self.count("broken");
        self.into_state(Answered)
    }

    /// The deadline passed while it ran.
    pub fn late(self) -> Request<Answered> {
        self.records.add_step_with_outcome(
            &self.meta.request,
            Step::DeadlinePassed,
            Outcome::Late,
            RunStatus::Yes,
        );
        self.count("late");
        self.into_state(Answered)
    }

    /// The caller went away while it ran.
    pub fn cancelled(self) -> Request<Answered> {
        self.records.add_step_with_outcome(
            &self.meta.request,
            Step::CallerGone,
            Outcome::Cancelled,
            RunStatus::Yes,
        );
        self.count("cancelled");
        self.into_state(Answered)
    }
}

impl Request<Refused> {
    /// What the caller gets.
    pub fn into_refusal(self) -> Refusal {
        self.state.refusal
    }
}
