//! Replicas and requests of a plain service.

use std::time::Duration;

use kingcupfield_decisions::dispatch::{Job, JobId, Replica, ResponseSize};
use kingcupfield_decisions::regions::Regions;
use tokio::time::Instant;

/// An incarnation of a replica with more slots than a test fills.
pub fn replica(id: &str, incarnation: u64) -> Replica {
    Replica {
        id: id.into(),
        incarnation,
        service: "drafting".into(),
        software_version: 1,
        region: "north".into(),
        slots: 10_000,
        weighted_round_trip: Duration::ZERO,
        network_round_trip: Duration::ZERO,
        propagation_delay: Duration::ZERO,
        is_engine: false,
        tokens_per_event: 1,
        usable: true,
        in_own_zone: true,
        cold_until: None,
        cold_limit: None,
    }
}

/// A request that any replica may serve.
pub fn job(id: JobId, now: Instant) -> Job {
    Job {
        id,
        priority: (1, 1),
        received_at: now,
        slo_deadline: now + Duration::from_secs(1),
        deadline: now + Duration::from_secs(15),
        queue_deadline: now + Duration::from_secs(4),
        service: "drafting".into(),
        software_version: None,
        regions: Regions::all(),
        size: ResponseSize {
            prompt_tokens: 0.0,
            expected_output_tokens: 0.0,
            max_output_tokens: None,
        },
        max_event_gap: Duration::ZERO,
        tried_replicas: Vec::new(),
        may_repeat: true,
        usage: None,
        salt: id,
    }
}
