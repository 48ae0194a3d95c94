//! A published replica.

use std::net::SocketAddr;
use std::time::Duration;

use kingcupfield_decisions::id::{ServiceId, UpstreamId, ZoneId};
use tokio::time::Instant;

/// What a replica says of itself in the directory.
#[derive(Debug, Clone, PartialEq)]
pub struct PublishedReplica {
    /// Its name.
    pub id: UpstreamId,
    /// Its start in Unix milliseconds; a name may start again.
    pub start_unix_ms: u64,
    /// Its service.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Until when it is cold, as it says.
    pub cold_until: Option<Instant>,
}

impl PublishedReplica {
    /// Whether nothing but how long it is cold is new in `other`.
    pub fn differs_only_in_cold_until(&self, other: &Self) -> bool {
        let same = Self {
            cold_until: other.cold_until,
            ..self.clone()
        };
        same == *other
    }

    /// How much longer it is cold.
    pub fn remaining_cold_time(&self) -> Duration {
        let until = self.cold_until;
        until.map_or(Duration::ZERO, |at| {
            at.saturating_duration_since(Instant::now())
        })
    }
}
