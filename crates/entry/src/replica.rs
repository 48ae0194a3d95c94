//! A published replica.

use std::net::SocketAddr;

use kingcupfield_decisions::id::{ServiceId, UpstreamId, ZoneId};

/// What a replica says of itself in the directory.
#[derive(Debug, Clone, PartialEq)]
pub struct Published {
    /// Its name.
    pub id: UpstreamId,
    /// Its start in Unix milliseconds; a name may start again.
    pub born: u64,
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
}
