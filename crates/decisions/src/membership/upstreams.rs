//! Upstreams that are shutting down, from whichever source reports it first.
//!
//! The list lags and the platform may be unavailable, so reports of the replica itself and of peers
//! count too. A report ends only when a later list has shown the upstream as leaving or absent, and
//! then as live again: a lagging list that still says "live" must not direct new requests to a
//! replica that is shutting down. A report that no list ever confirms expires after
//! [`UNCONFIRMED_REPORT_LIFETIME`].

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::id::{UpstreamId, Version};
use crate::store_view::era_of;
use crate::values::{Instances, Role, State};

use super::message::LeavingUpstream;

/// Largest number of upstreams to remember, above the 600 expected within two years.
pub(super) const MAX_UPSTREAMS: usize = 1024;

/// Largest number of reports of leaving upstreams in one heartbeat.
pub(super) const MAX_REPORTS_PER_HEARTBEAT: usize = 16;

/// Time after which a report expires that no list has confirmed. A replica that restarted under its
/// name while the platform was unavailable is used again after this time; a shutdown takes much
/// less.
pub(super) const UNCONFIRMED_REPORT_LIFETIME: Duration = Duration::from_mins(10);

/// Latest report about one upstream.
#[derive(Debug)]
struct UpstreamRecord {
    id: UpstreamId,
    leaving: bool,
    /// Whether a list has shown the upstream as leaving or absent since the report.
    confirmed: bool,
    /// Time at which the report arrived.
    reported_at: Instant,
    /// Version of the list in force where the report originated; once the report has ended, the
    /// lowest version from which a new report is accepted.
    seen_at: Version,
}

impl UpstreamRecord {
    /// Ends the report; only reports from `seen_at` or later count from now on.
    fn clear_leaving(&mut self, seen_at: Version) {
        self.leaving = false;
        self.confirmed = false;
        self.seen_at = seen_at;
    }
}

/// Reports about upstreams that are shutting down or have come back since.
#[derive(Debug, Default)]
pub(super) struct Upstreams {
    /// Version of the latest list.
    version: Version,
    /// Sorted by name.
    records: Vec<UpstreamRecord>,
    /// Names of the upstreams that are shutting down, sorted.
    leaving: Vec<UpstreamId>,
}

impl Upstreams {
    /// Names of the upstreams that are shutting down, sorted.
    pub(super) fn leaving(&self) -> &[UpstreamId] {
        &self.leaving
    }

    /// Processes a new list and returns the new reports, to be relayed.
    pub(super) fn on_instance_list(
        &mut self,
        now: Instant,
        version: Version,
        list: &Instances,
    ) -> Vec<LeavingUpstream> {
        // A list from a copy may be older than the report.
        let is_restored = era_of(version) > era_of(self.version);
        self.version = version;
        let listed = |state| {
            let mut ids = list
                .instances
                .iter()
                .filter(|i| i.role == Role::Upstream && i.state == state)
                .map(|i| &i.instance)
                .collect::<Vec<_>>();
            ids.sort();
            ids
        };
        let reports = listed(State::Leaving)
            .into_iter()
            .filter_map(|id| self.record_leaving(now, id, version))
            .collect();
        let live = listed(State::Live);
        for upstream in &mut self.records {
            if is_restored {
                upstream.confirmed = false;
            } else if live.binary_search(&&upstream.id).is_err() {
                upstream.confirmed = true;
            } else if upstream.leaving && upstream.confirmed {
                upstream.clear_leaving(version);
            }
        }
        self.update_leaving();
        reports
    }

    /// Processes a replica's report of its own shutdown and returns it if it is new.
    pub(super) fn on_replica_report(
        &mut self,
        now: Instant,
        upstream: &UpstreamId,
    ) -> Option<LeavingUpstream> {
        let report = self.record_leaving(now, upstream, self.version);
        self.update_leaving();
        report
    }

    /// Processes reports from a peer and returns the new ones, to be relayed.
    pub(super) fn on_peer_reports(
        &mut self,
        now: Instant,
        reports: &[LeavingUpstream],
    ) -> Vec<LeavingUpstream> {
        let new_reports = reports
            .iter()
            .take(MAX_REPORTS_PER_HEARTBEAT)
            .filter_map(|report| self.record_leaving(now, &report.upstream, report.seen_at))
            .collect::<Vec<_>>();
        self.update_leaving();
        new_reports
    }

    /// Ends reports that no list has confirmed in time.
    pub(super) fn expire(&mut self, now: Instant) {
        for upstream in self
            .records
            .iter_mut()
            .filter(|u| u.leaving && !u.confirmed)
        {
            if now.duration_since(upstream.reported_at) >= UNCONFIRMED_REPORT_LIFETIME {
                // One above, so that the same report isn't accepted again while it still
                // circulates.
                upstream.clear_leaving(upstream.seen_at + 1);
            }
        }
        self.update_leaving();
    }

    /// Latest reports, for a heartbeat.
    pub(super) fn reports(&self) -> Vec<LeavingUpstream> {
        let mut leaving = self
            .records
            .iter()
            .filter(|u| u.leaving)
            .collect::<Vec<_>>();
        leaving.sort_by_key(|u| std::cmp::Reverse(u.reported_at));
        leaving
            .into_iter()
            .take(MAX_REPORTS_PER_HEARTBEAT)
            .map(|u| LeavingUpstream {
                upstream: Arc::clone(&u.id),
                seen_at: u.seen_at,
            })
            .collect()
    }

    /// Records that an upstream is shutting down and returns the report if it is new.
    fn record_leaving(
        &mut self,
        now: Instant,
        id: &UpstreamId,
        seen_at: Version,
    ) -> Option<LeavingUpstream> {
        self.evict_if_full();
        match self.records.binary_search_by(|u| u.id.cmp(id)) {
            // Already known, or an older report about a replica that has come back since.
            Ok(i) if self.records[i].leaving || self.records[i].seen_at > seen_at => return None,
            Ok(i) => {
                let record = &mut self.records[i];
                record.leaving = true;
                record.reported_at = now;
                record.seen_at = seen_at;
            }
            Err(i) => self.records.insert(
                i,
                UpstreamRecord {
                    id: Arc::clone(id),
                    leaving: true,
                    confirmed: false,
                    reported_at: now,
                    seen_at,
                },
            ),
        }
        Some(LeavingUpstream {
            upstream: Arc::clone(id),
            seen_at,
        })
    }

    /// Drops the oldest record if there are too many, preferring upstreams that are live again.
    fn evict_if_full(&mut self) {
        if self.records.len() < MAX_UPSTREAMS {
            return;
        }
        let oldest = (0..self.records.len())
            .min_by_key(|i| (self.records[*i].leaving, self.records[*i].reported_at))
            .unwrap_or_default();
        self.records.remove(oldest);
    }

    /// Updates the sorted names of leaving upstreams from the records.
    fn update_leaving(&mut self) {
        let leaving = self.records.iter().filter(|u| u.leaving);
        if leaving.clone().map(|u| &u.id).ne(&self.leaving) {
            self.leaving = leaving.map(|u| Arc::clone(&u.id)).collect();
        }
    }
}
