//! What replicas state about themselves in their responses.

use std::fmt;
use std::net::Ipv4Addr;
use std::time::Duration;

use http::response::Parts;
use kingcupfield_decisions::id::{NameHash, UpstreamId, name_hash};
use kingcupfield_decisions::replica_limit::LimitReport;
use tokio::time::Instant;

use super::Node;
use crate::adapter::{ResponseClass, Stated};
use crate::age::time_before;
use crate::log::Priority;
use crate::peers::{ReplicaLimitReport, Reports};
use crate::replica::PublishedReplica;

/// Replicas of each kind of statement in one message to the other instances.
pub(super) const MAX_REPORTS: usize = 64;

impl Node {
    /// The current time, including the time for which the machine was suspended. Only the difference of
    /// two readings has a meaning.
    pub fn suspend_aware_now(&self) -> Instant {
        Instant::now() + self.suspend_detector.total_suspended()
    }

    /// Records what a replica states in the head of its response to the request `id`, which was sent at
    /// `sent_at`.
    pub fn on_response_head(
        &self,
        replica: &PublishedReplica,
        id: &str,
        sent_at: Instant,
        class: ResponseClass,
        head: &Parts,
    ) {
        // These come from another process, or can't be told from a response of one.
        if matches!(class, ResponseClass::WrongReplica | ResponseClass::Invalid) {
            return;
        }
        let statement = self.protocol.replica_statement(head);
        let now = Instant::now();
        let age = self.suspend_aware_now().saturating_duration_since(sent_at);
        let report = |per_s| LimitReport {
            per_s,
            earliest: time_before(now, age),
            latest: now,
        };
        match statement.limit_per_s {
            Stated::Valid(per_s) => self.on_limit_report(replica, id, report(Some(per_s))),
            // A refusal may be made before the replica adds its limit.
            Stated::Absent if class == ResponseClass::Executed => {
                self.on_limit_report(replica, id, report(None));
            }
            Stated::Absent => {}
            Stated::Invalid(value) => self.on_invalid_statement(replica, id, "limit", &value),
        }
        match statement.leaving {
            Stated::Valid(()) => self.on_leaving(replica, id),
            Stated::Absent => {}
            Stated::Invalid(value) => self.on_invalid_statement(replica, id, "leaving", &value),
        }
        match statement.rest {
            Stated::Valid(rest) => self.on_rest(replica, id, rest),
            Stated::Absent => {}
            Stated::Invalid(value) => self.on_invalid_statement(replica, id, "rest", &value),
        }
        self.on_load_statement(replica, id, statement.load);
    }

    /// Records that a replica says that it shuts down.
    fn on_leaving(&self, replica: &PublishedReplica, id: &str) {
        self.metrics.count_statement("leaving");
        self.on_said_leaving(&replica.id, replica.start_unix_ms, format_args!("id={id}"));
    }

    /// Excludes a replica that shuts down from new requests, and logs it once.
    fn on_said_leaving(
        &self,
        replica: &UpstreamId,
        start_unix_ms: u64,
        source: fmt::Arguments<'_>,
    ) {
        let mut dispatch = self.dispatch.borrow_mut();
        if dispatch.on_said_leaving(replica, start_unix_ms) {
            self.log.line(
                Priority::State,
                format_args!("event=replica_leaving replica={replica} {source}"),
            );
        }
    }

    /// Keeps requests of this instance from a replica that wants none for a time.
    fn on_rest(&self, replica: &PublishedReplica, id: &str, rest: Duration) {
        let mut dispatch = self.dispatch.borrow_mut();
        dispatch.on_rest(Instant::now(), &replica.id, replica.start_unix_ms, rest);
        drop(dispatch);
        self.metrics.count_statement("rest");
        self.log.line(
            Priority::State,
            format_args!(
                "event=replica_rest replica={} id={id} for_ms={}",
                replica.id,
                rest.as_millis()
            ),
        );
    }

    /// What replicas have said about themselves, for the other instances.
    pub fn reports(&self) -> Reports {
        let mut leaving = self.leaving_replicas();
        leaving.truncate(MAX_REPORTS);
        Reports {
            limits: self.own_limit_reports(),
            leaving,
            ..Reports::default()
        }
    }

    /// Name hashes and start times, in Unix milliseconds, of the replicas that have said that they shut
    /// down.
    pub fn leaving_replicas(&self) -> Vec<(NameHash, u64)> {
        let dispatch = self.dispatch.borrow();
        let leaving = dispatch.said_leaving();
        leaving.map(|(id, start)| (name_hash(id), start)).collect()
    }

    /// What this instance was told itself about the limits of replicas; at most [`MAX_REPORTS`], the
    /// latest first.
    fn own_limit_reports(&self) -> Vec<ReplicaLimitReport> {
        let now = Instant::now();
        let suspended = self.suspend_detector.unreported();
        let dispatch = self.dispatch.borrow();
        let reports = dispatch.own_limit_reports(now);
        let mut reports: Vec<_> = reports
            .map(|(id, incarnation, report)| {
                ReplicaLimitReport::new(name_hash(id), incarnation, report, now, suspended)
            })
            .collect();
        reports.sort_by_key(|r| r.latest_age_ms);
        reports.truncate(MAX_REPORTS);
        reports
    }

    /// Applies what another instance reports about replicas and organisations.
    pub fn on_peer_reports(&self, from: Ipv4Addr, reports: &Reports) {
        self.on_peer_limit_reports(from, &reports.limits);
        self.on_peer_speed_reports(from, &reports.speeds);
        self.on_peer_pace_reports(from, &reports.paces);
        for (name, start_unix_ms) in &reports.leaving {
            if let Some(id) = self.replica_by_name_hash(*name) {
                self.on_said_leaving(&id, *start_unix_ms, format_args!("peer={from}"));
            }
        }
    }

    /// Applies what another instance was told about the limits of replicas.
    fn on_peer_limit_reports(&self, from: Ipv4Addr, reports: &[ReplicaLimitReport]) {
        let now = Instant::now();
        for r in reports {
            let Some(id) = self.replica_by_name_hash(r.replica) else {
                continue;
            };
            let mut dispatch = self.dispatch.borrow_mut();
            let before = dispatch.limit_of(now, &id);
            dispatch.on_peer_limit_report(&id, r.incarnation, r.received(now));
            let after = dispatch.limit_of(now, &id);
            drop(dispatch);
            if before != after {
                self.log_limit(&id, before, after, format_args!("peer={from}"));
            }
        }
    }

    /// Applies a report of a replica's limit, and logs a change of the limit in force.
    fn on_limit_report(&self, replica: &PublishedReplica, id: &str, report: LimitReport) {
        let mut dispatch = self.dispatch.borrow_mut();
        let now = Instant::now();
        let before = dispatch.limit_of(now, &replica.id);
        dispatch.on_own_limit_report(&replica.id, replica.start_unix_ms, report);
        let after = dispatch.limit_of(now, &replica.id);
        drop(dispatch);
        if report.per_s.is_some() {
            self.metrics.count_statement("limit");
        }
        if before != after {
            self.log_limit(&replica.id, before, after, format_args!("id={id}"));
        }
    }

    /// Logs a change of the limit in force; `source` tells where it comes from.
    fn log_limit(
        &self,
        replica: &str,
        before: Option<f64>,
        after: Option<f64>,
        source: fmt::Arguments<'_>,
    ) {
        let text = |per_s: Option<f64>| per_s.map_or("-".to_owned(), |per_s| per_s.to_string());
        self.log.line(
            Priority::State,
            format_args!(
                "event=replica_limit replica={replica} per_s={} before={} {source}",
                text(after),
                text(before),
            ),
        );
    }

    /// Counts and logs a statement that can't be used; it has no other effect.
    fn on_invalid_statement(&self, replica: &PublishedReplica, id: &str, what: &str, value: &str) {
        self.metrics.count_statement("invalid");
        self.log.line(
            Priority::Low,
            format_args!(
                "event=replica_statement_bad replica={} id={id} what={what} value={value:?}",
                replica.id
            ),
        );
    }
}
