//! Requests, the places that they get, and what becomes of them there.

use std::time::Duration;

use tokio::time::Instant;

use super::JobId;
use crate::id::{ServiceId, UpstreamId};
use crate::regions::Regions;

/// A request that waits for a replica.
#[derive(Debug, Clone)]
pub struct Job {
    /// Its number.
    pub id: JobId,
    /// Urgency, the lowest first.
    pub priority: (u32, u32),
    /// When it came.
    pub received_at: Instant,
    /// Until when its answer is on time.
    pub slo_deadline: Instant,
    /// When its whole answer must have come.
    pub deadline: Instant,
    /// When its caller is told to come back.
    pub queue_deadline: Instant,
    /// The service that may run it.
    pub service: ServiceId,
    /// The regions in which it may be served.
    pub regions: Regions,
    /// Tokens of its prompt.
    pub prompt_tokens: f64,
    /// Tokens that it likely generates.
    pub expected_output_tokens: f64,
    /// Longest pause between events that streams of its kind bear; zero for plain requests.
    pub max_event_gap: Duration,
    /// Replicas that it was sent to already.
    pub tried_replicas: Vec<UpstreamId>,
    /// A random number of its own, by which it picks among far replicas.
    pub salt: u64,
}

/// A request and the replica that it goes to.
#[derive(Debug, Clone, PartialEq)]
pub struct Assignment {
    /// The request.
    pub job: JobId,
    /// The replica.
    pub upstream: UpstreamId,
    /// What decided for the replica.
    pub details: ChoiceDetails,
}

/// What decided for a replica, for those who ask later.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ChoiceDetails {
    /// What the place was reckoned to cost, in milliseconds; the least of those with room.
    pub cost_ms: f64,
    /// Replicas that had room.
    pub replicas_with_room: u32,
    /// Own requests that stood there already.
    pub own_running: u32,
    /// Requests of other instances there, by their last word.
    pub remote_running: u32,
    /// Whether the replica is cold, so that it gets few.
    pub is_cold: bool,
}

/// Places at a replica.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaUsage<'a> {
    /// The replica.
    pub upstream: &'a UpstreamId,
    /// Own requests that stand there.
    pub own_running: u32,
    /// Requests of other instances, by their last word.
    pub remote_running: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// How many replicas may get how much.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReplicaCounts {
    /// As many requests as they have room for.
    pub accepting: u32,
    /// Cold ones that are reached through this instance, at their pace.
    pub cold_designated: u32,
    /// Cold ones that are reached through another instance.
    pub cold_not_designated: u32,
    /// Leaving ones, and those of emptied zones.
    pub unusable: u32,
}

/// How the replicas of a service stand, for those who ask why a request got no place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServiceAvailability {
    /// Replicas that may get work.
    pub usable: u32,
    /// Those of them that stand in a region where the request may not be served.
    pub region_not_allowed: u32,
    /// Those of the others that are left alone after a failure, on trial or silent.
    pub ejected: u32,
    /// Those of the rest that are cold, and reached through another instance.
    pub cold_not_designated: u32,
    /// Those of the rest that are full.
    pub full: u32,
    /// Requests that wait here for the service.
    pub waiting: u32,
}

/// What became of a request at a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer.
    Served,
    /// The replica failed.
    Failed,
    /// No connection could be made, or another replica answered in its place.
    Unreachable,
    /// The replica said that it has no room.
    Full,
    /// The caller went away, or the answer tells nothing about the replica.
    Unknown,
}
