//! What every handler of an instance needs.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use kingcupfield_decisions::id::{Incarnation, InstanceId, RequestId, ZoneId};
use kingcupfield_transfer::account::Account;

use crate::calls::Calls;
use crate::connector::Connector;
use crate::fleet::Fleet;
use crate::keys::Keys;
use crate::limits::Limits;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::record::Records;
use crate::rests::Rests;
use crate::slots::Slots;

/// Handles that the handlers share; clones are cheap.
#[derive(Debug, Clone)]
pub struct Shared {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Its zone.
    pub zone: ZoneId,
    /// This life of it.
    pub incarnation: Incarnation,
    /// The fleet.
    pub fleet: Fleet,
    /// Membership.
    pub members: Members,
    /// Limits of organisations.
    pub limits: Limits,
    /// Idempotency keys.
    pub keys: Keys,
    /// Questions to other instances.
    pub calls: Calls,
    /// Slots at replicas.
    pub slots: Slots,
    /// The pooled client.
    pub connector: Connector,
    /// Rests that upstreams asked for.
    pub rests: Rests,
    /// Lives of requests.
    pub records: Records,
    /// Memory that is held for callers.
    pub memory: Account,
    /// Metrics.
    pub metrics: Metrics,
    /// Counts request ids.
    pub counter: Arc<AtomicU64>,
    /// Whether the instance is leaving.
    pub leaving: Arc<AtomicBool>,
}

impl Shared {
    /// A new request id: instance, incarnation, counter.
    pub fn next_request(&self) -> RequestId {
        let n = self.counter.fetch_add(1, Ordering::Relaxed);
        format!("{}.{:x}.{n:x}", self.instance, self.incarnation).into()
    }

    /// Why the instance takes no new callers, if it does not.
    pub fn not_ready(&self) -> Option<&'static str> {
        if self.is_leaving() {
            return Some("leaving");
        }
        (!self.fleet.is_ready()).then_some("waits for the platform and peers")
    }

    /// Whether the instance is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }
}

/// Name of the instance that made a request id.
pub fn instance_of(request: &str) -> Option<&str> {
    request.rsplitn(3, '.').nth(2)
}
