//! Who may send to a replica: the queue of reservations that stands before each replica.
//!
//! Load pattern: bursts and overload on engines that know no priorities and admit in order of
//! arrival. Without this queue a low tier that arrived first runs first inside the engine, and a
//! stale load report sends many requests to one replica at once.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::id::{InstanceId, OrganisationId, PrefixHash, Rank, RequestId, Sequence, UpstreamId};
use crate::pace::Pace;
use crate::work::Work;

mod events;
mod feedback;
mod queue;
mod seen;
mod taken;
mod wait;

pub use queue::SlotQueue;

/// How long a grant may be used, by the holder's clock, from when the holder *asked*.
pub const GRANT_LEASE: Duration = Duration::from_millis(500);

/// A request's place in the queue of one replica; the payload stays with its holder.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reservation {
    /// The request that waits.
    pub request: RequestId,
    /// The entry instance that holds the request and alone may dispatch it.
    pub holder: InstanceId,
    /// The organisation to charge.
    pub organisation: OrganisationId,
    /// Weight of the organisation inside its tier.
    pub weight: u32,
    /// Rank of the request's tier.
    pub rank: Rank,
    /// Expected work; `prefill` counts the whole prompt, the owner subtracts what is cached.
    pub work: Work,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: Vec<PrefixHash>,
    /// Time left until the caller's deadline when the message was sent.
    pub time_left: Duration,
    /// Number of the holder's latest renewal (see [`ToOwner::Renew`]).
    pub asked: Sequence,
}

/// How a dispatched request ended, for the concurrency limit, health and fairness.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestOutcome {
    /// Whether the whole answer came; false on an error or a stall.
    pub whole: bool,
    /// From dispatch to the first token, if one came.
    pub first_token: Option<Duration>,
    /// Mean time between tokens, if two came.
    pub between_tokens: Option<Duration>,
    /// Work that was really done.
    pub work: Work,
}

/// Message from a holder to the owner of a replica.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ToOwner {
    /// Queue this request; repeated for the same request it changes nothing.
    Reserve(Reservation),
    /// The request was granted elsewhere, refused or given up.
    Withdraw {
        /// The request.
        request: RequestId,
    },
    /// The grant was used: the first byte goes out now.
    Dispatched {
        /// The request.
        request: RequestId,
    },
    /// The first token came; without this word an owner notices a stall only at the end.
    Started {
        /// The request.
        request: RequestId,
        /// From dispatch to the first token.
        first_token: Duration,
    },
    /// The dispatched request ended and its slot is free.
    Finished {
        /// The request.
        request: RequestId,
        /// How it ended.
        outcome: RequestOutcome,
    },
    /// Sent by a holder every [`RENEW_INTERVAL`] while it has anything here; one message for all its
    /// reservations and slots. An owner drops what was not renewed for [`GRANT_LEASE`] (waiting)
    /// or [`HOLDER_TIMEOUT`] (running).
    Renew {
        /// Number that grows by one each time; the holder remembers when it sent it.
        asked: Sequence,
        /// Requests of this holder that run on the replica, so that a new owner learns them.
        running: Vec<RequestId>,
    },
}

/// How often a holder renews at each owner it has business with.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(150);

/// After this long without a word a holder's running slots are taken back.
pub const HOLDER_TIMEOUT: Duration = Duration::from_secs(3);

/// Why an owner will not queue or keep a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// The replica leaves, or this instance does not know it.
    Leaving,
    /// Its deadline can't be met here.
    Late,
    /// The tier stands below the shed level.
    Shed,
    /// The queue is full.
    Full,
    /// It was not renewed, or its grant not used, in time; the holder asks again if it still wants.
    Lapsed,
}

/// Message from the owner of a replica to a holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ToHolder {
    /// The request may be dispatched to the replica until the lease of `asked` ends.
    Grant {
        /// The request.
        request: RequestId,
        /// The holder's renewal or reservation number that this grant answers.
        asked: Sequence,
        /// Uncached prompt tokens that the owner expects.
        prefill: u64,
    },
    /// The request will not be granted here.
    Rejected {
        /// The request.
        request: RequestId,
        /// Why.
        why: Rejection,
        /// Estimated wait here, for the caller's `Retry-After`.
        wait: Duration,
    },
}

/// A message for one holder, about one replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderEnvelope {
    /// Whom it goes to.
    pub to: InstanceId,
    /// The replica that it is about.
    pub upstream: UpstreamId,
    /// The message.
    pub message: ToHolder,
}

/// What an owner knows about a replica from its load report; it only lowers the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// When the replica measured it, by its own clock, in milliseconds.
    pub at_ms: u64,
    /// Requests in the batch.
    pub running: u32,
    /// Requests queued inside the replica.
    pub waiting: u32,
    /// Used KV cache blocks.
    pub kv_used: u64,
    /// All KV cache blocks.
    pub kv_total: u64,
    /// The replica's own word that it leaves.
    pub leaving: bool,
}

/// Estimate that holders use to choose among owners.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaDigest {
    /// Requests running by the owner's count.
    pub running: u32,
    /// Current concurrency limit.
    pub limit: u32,
    /// Waiting reservations.
    pub waiting: u32,
    /// Expected wait of a new reservation of the lowest tier.
    pub wait: Duration,
    /// Observed speed, by which owners of the same generation judge their replicas.
    pub pace: Option<Pace>,
}

/// Instant at which something about the queue changes by time alone.
pub type Wakeup = Option<Instant>;
