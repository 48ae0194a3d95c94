//! A replica as published in the directory.

use std::net::SocketAddr;
use std::time::Duration;

use kingcupfield_decisions::id::{ServiceId, SoftwareVersion, UpstreamId, ZoneId};
use tokio::time::Instant;

/// The directory entry of a replica.
#[derive(Debug, Clone, PartialEq)]
pub struct PublishedReplica {
    /// Id of the replica, which a restarted replica uses again.
    pub id: UpstreamId,
    /// Start time in Unix milliseconds, which distinguishes incarnations of an id.
    pub start_unix_ms: u64,
    /// Service that it provides.
    pub service: ServiceId,
    /// Version of its software. A stream can't go on at another version than the one that began it.
    pub software_version: SoftwareVersion,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Availability zone in which it runs.
    pub zone: ZoneId,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it is shutting down and must not get new requests.
    pub leaving: bool,
    /// End of its cold period, in which it serves fewer requests because it is still warming up;
    /// `None` if it is warm.
    pub cold_until: Option<Instant>,
}

impl PublishedReplica {
    /// Whether `other` differs at most in the end of the cold period.
    pub fn differs_only_in_cold_until(&self, other: &Self) -> bool {
        let same = Self {
            cold_until: other.cold_until,
            ..self.clone()
        };
        same == *other
    }

    /// Time left until the end of the cold period; zero if it is warm.
    pub fn remaining_cold_time(&self) -> Duration {
        let cold_until = self.cold_until;
        cold_until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        })
    }
}
