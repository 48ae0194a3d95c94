//! Queue of reservations for one replica, which decides which request may be sent to it next.
//!
//! Each replica has one *owner*, an instance that runs its queue. The entry instance that received
//! a request is its *holder*: it reserves the request at the owners of several replicas and keeps
//! the payload. An owner with a free slot grants it to one waiting request under a short lease, and
//! the holder sends the request to the replica if the lease is still valid.
//!
//! Load pattern: bursts and overload on engines that know no priorities and admit requests in order
//! of arrival. Without this queue a request of a low tier that arrived first runs first inside the
//! engine, and a stale load report sends many requests to one replica at once.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::id::{InstanceId, OrganisationId, PrefixHash, Rank, RequestId, Sequence, UpstreamId};
use crate::pace::Pace;
use crate::work::Work;

mod events;
mod feedback;
mod known_holders;
mod queue;
mod used_slots;
mod wait;

pub use queue::SlotQueue;

/// Time for which a grant may be used, by the holder's clock, counted from when the holder *sent*
/// the message that the grant answers.
pub const GRANT_LEASE: Duration = Duration::from_millis(500);

/// A request in the queue of one replica; the payload stays at its holder.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reservation {
    /// The waiting request.
    pub request: RequestId,
    /// The entry instance that holds the request and alone may dispatch it.
    pub holder: InstanceId,
    /// The organisation that is charged for the work.
    pub organisation: OrganisationId,
    /// Weight of the organisation inside its tier.
    pub weight: u32,
    /// Rank of the request's tier; 0 is the highest.
    pub rank: Rank,
    /// Expected work; `prefill` counts the whole prompt, the owner subtracts the cached part.
    pub work: Work,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: Vec<PrefixHash>,
    /// Time between sending this message and the caller's deadline.
    pub time_left: Duration,
    /// Sequence number of the message, from the same sequence as [`ToOwner::Renew`].
    pub asked: Sequence,
}

/// How a dispatched request ended, used for the concurrency limit, health and fairness.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestOutcome {
    /// Whether the response was complete; false after an error or a stall.
    pub whole: bool,
    /// Time from dispatch to the first token, if one arrived.
    pub first_token: Option<Duration>,
    /// Mean time between tokens, if at least two arrived.
    pub between_tokens: Option<Duration>,
    /// Work that was actually done.
    pub work: Work,
}

/// Message from a holder to the owner of a replica.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ToOwner {
    /// Queues the request; a duplicate for the same request changes nothing.
    Reserve(Reservation),
    /// The request was granted by another owner, refused or abandoned.
    Withdraw {
        /// The request.
        request: RequestId,
    },
    /// The grant was used: the first byte is being sent.
    Dispatched {
        /// The request.
        request: RequestId,
    },
    /// The first token arrived; without this message an owner notices a stall only at the end.
    Started {
        /// The request.
        request: RequestId,
        /// Time from dispatch to the first token.
        first_token: Duration,
    },
    /// The dispatched request ended and its slot is free.
    Finished {
        /// The request.
        request: RequestId,
        /// How it ended.
        outcome: RequestOutcome,
    },
    /// Sent by a holder every [`RENEW_INTERVAL`] while it has reservations or slots at this
    /// replica; one message renews them all. An owner drops reservations that were not renewed for
    /// [`GRANT_LEASE`] and running slots that were not renewed for [`HOLDER_TIMEOUT`].
    Renew {
        /// Sequence number that grows by one each time; the holder records when it sent it.
        asked: Sequence,
        /// Requests of this holder that run on the replica; a new owner takes its slots from this
        /// list.
        running: Vec<RequestId>,
    },
}

/// Interval at which a holder renews at each owner where it has reservations or slots.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(150);

/// Time without a message from a holder after which the slots of its running requests are freed.
pub const HOLDER_TIMEOUT: Duration = Duration::from_secs(3);

/// Why an owner refuses or drops a reservation. Log lines show these names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// The replica is leaving or unknown to this instance.
    Leaving,
    /// The replica can't serve the request before its deadline.
    Late,
    /// The tier is below the lowest one that is served under overload.
    Shed,
    /// The queue is full.
    Full,
    /// It was not renewed in time, or its grant was not used in time; the holder may reserve again.
    Lapsed,
}

/// Message from the owner of a replica to a holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ToHolder {
    /// The request may be dispatched to the replica until the lease counted from `asked` ends.
    Grant {
        /// The request.
        request: RequestId,
        /// Sequence number of the holder's renewal or reservation that this grant answers.
        asked: Sequence,
        /// Uncached prompt tokens that the owner expects.
        prefill: u64,
    },
    /// The replica will not grant the request.
    Rejected {
        /// The request.
        request: RequestId,
        /// Why the owner refused.
        why: Rejection,
        /// Estimated wait at this replica, for the caller's `Retry-After`.
        wait: Duration,
    },
}

/// A message for a holder and the replica that it concerns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderEnvelope {
    /// The instance that holds the request.
    pub to: InstanceId,
    /// The replica that the message concerns.
    pub upstream: UpstreamId,
    /// The message.
    pub message: ToHolder,
}

/// A replica's report of its load; it can only lower the concurrency limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Time of measurement by the replica's own clock, in milliseconds.
    pub at_ms: u64,
    /// Requests in the running batch.
    pub running: u32,
    /// Requests queued inside the replica.
    pub waiting: u32,
    /// Used KV cache blocks.
    pub kv_used: u64,
    /// All KV cache blocks.
    pub kv_total: u64,
    /// Whether the replica reports that it is leaving.
    pub leaving: bool,
}

/// Summary of a replica's queue, used by holders to choose among owners.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaDigest {
    /// Requests running, as counted by the owner.
    pub running: u32,
    /// Current concurrency limit, in slots.
    pub limit: u32,
    /// Waiting reservations.
    pub waiting: u32,
    /// Expected wait of a new reservation of the lowest tier.
    pub wait: Duration,
    /// Measured speed; owners compare it with that of replicas of the same hardware generation.
    pub pace: Option<Pace>,
}

/// Time at which the queue must be called again although no message arrived.
pub type Wakeup = Option<Instant>;
