//! Requests in the queue, their assignment to replicas and their outcome, and replica statistics.

use std::time::Duration;

use tokio::time::Instant;

use super::{JobId, ResponseSize};
use crate::fair_order::{JobUsage, Standing};
use crate::id::{NameHash, ServiceId, UpstreamId};
use crate::regions::Regions;

/// A request that waits for a replica, with the properties that scheduling depends on.
#[derive(Debug, Clone)]
pub struct Job {
    /// Identifier of the request, unique within this instance.
    pub id: JobId,
    /// Rank of the organisation and rank of the tier; the lowest pair is served first.
    pub priority: (u32, u32),
    /// Time at which the request arrived.
    pub received_at: Instant,
    /// Latest time at which the response still meets its latency objective.
    pub slo_deadline: Instant,
    /// Latest time at which the complete response is of use to the caller.
    pub deadline: Instant,
    /// Time at which the request, if still in the queue, is rejected with a hint to retry later.
    pub queue_deadline: Instant,
    /// Service that must process it.
    pub service: ServiceId,
    /// Name hash of the only software version that may process it: the one that began its stream.
    pub software_version: Option<NameHash>,
    /// Regions in which it may be processed.
    pub regions: Regions,
    /// Tokens of the prompt and of the response.
    pub size: ResponseSize,
    /// Longest acceptable gap between two events of the stream; zero for plain requests.
    pub max_event_gap: Duration,
    /// Replicas it was already sent to, which are not chosen again.
    pub tried_replicas: Vec<UpstreamId>,
    /// Whether it may be sent to another replica after it has failed.
    pub may_repeat: bool,
    /// What it counts for its organisation; `None` if it counts for none.
    pub usage: Option<JobUsage>,
    /// Random number that varies the sample of distant replicas from request to request.
    pub salt: u64,
}

/// Assignment of a request to a replica.
#[derive(Debug, Clone, PartialEq)]
pub struct Assignment {
    /// The assigned request.
    pub job: JobId,
    /// Replica that the request is to be sent to.
    pub upstream: UpstreamId,
    /// Figures behind the choice, for the log.
    pub details: ChoiceDetails,
}

/// Figures behind the choice of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ChoiceDetails {
    /// Cost of the chosen replica in milliseconds, the lowest among the candidates with room.
    pub cost_ms: f64,
    /// Milliseconds that the chosen replica is expected to take for the whole response; 0 for a plain service.
    pub expected_ms: f64,
    /// Number of candidates with room.
    pub replicas_with_room: u32,
    /// Requests of this instance that already ran at the chosen replica.
    pub own_running: u32,
    /// Requests of other instances at the chosen replica, from their latest reports.
    pub remote_running: u32,
    /// Whether the chosen replica was cold, and its request rate therefore limited.
    pub is_cold: bool,
    /// Limit of the chosen replica in requests per second, if it named one.
    pub limit_per_s: Option<f64>,
    /// Newest known figure of how long work takes at the chosen replica, in percent of the usual time,
    /// and its age.
    pub work_time: Option<(u32, Duration)>,
    /// Usage of the request's organisation, if requests are ordered by it.
    pub usage: Option<Standing>,
}

/// Slots of a replica and the requests that occupy them.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaUsage<'a> {
    /// Replica that the numbers apply to.
    pub upstream: &'a UpstreamId,
    /// Requests of this instance that run there.
    pub own_running: u32,
    /// Requests of other instances that run there, from their latest reports.
    pub remote_running: u32,
    /// Requests that the replica processes concurrently.
    pub slots: u32,
}

/// Number of replicas by whether they accept requests from this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReplicaCounts {
    /// Replicas limited only by their slots.
    pub accepting: u32,
    /// Cold replicas this instance is designated for, limited by their request rate.
    pub cold_designated: u32,
    /// Cold replicas another instance is designated for, which accept nothing from this one.
    pub cold_not_designated: u32,
    /// Replicas whose limit leaves this instance no request now.
    pub limited: u32,
    /// Replicas that want no request of this instance for a time.
    pub resting: u32,
    /// Replicas that are shutting down or whose zone is drained.
    pub unusable: u32,
}

/// Number of replicas of one service by the reason for which they accept no request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServiceAvailability {
    /// Replicas that are neither shutting down nor in a drained zone. Each of them is in at most
    /// one of the next seven counts.
    pub usable: u32,
    /// Replicas in a region where the request may not be processed.
    pub region_not_allowed: u32,
    /// Replicas in backoff after a failure, being probed, or unresponsive.
    pub ejected: u32,
    /// Cold replicas another instance is designated for.
    pub cold_not_designated: u32,
    /// Replicas whose limit leaves this instance no request now.
    pub limited: u32,
    /// Replicas that want no request of this instance for a time.
    pub resting: u32,
    /// Replicas without room for another request.
    pub full: u32,
    /// Replicas whose in-flight bound after a start or a recovery permits no other request.
    pub warming_up: u32,
    /// Requests for the service in this instance's queue.
    pub waiting: u32,
}

/// Result of a request at a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The replica sent a complete response.
    Served,
    /// The replica returned an error or a broken response.
    Failed,
    /// No connection could be established, or another replica answered at the address.
    Unreachable,
    /// The replica rejected the request for lack of capacity.
    Full,
    /// The caller disconnected, or the response says nothing about the replica.
    Unknown,
}
