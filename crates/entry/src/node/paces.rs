//! Bounds on the requests at replicas that have just started or recovered: reports and log.

use std::net::Ipv4Addr;

use kingcupfield_decisions::id::name_hash;
use kingcupfield_decisions::warm_up::{PaceReason, PaceReport};
use tokio::time::Instant;

use super::Node;
use super::statements::MAX_REPORTS;
use crate::log::{self, Priority};
use crate::peers::ReplicaPaceReport;

impl Node {
    /// Bounds that this instance reports to the others; at most [`MAX_REPORTS`].
    pub fn own_pace_reports(&self) -> Vec<ReplicaPaceReport> {
        let dispatch = self.dispatch.borrow();
        let reports = dispatch.own_pace_reports_in_turn(Instant::now(), MAX_REPORTS);
        let reports = reports
            .into_iter()
            .map(|(id, incarnation, report)| ReplicaPaceReport {
                replica: name_hash(id),
                incarnation,
                bound: report
                    .bound
                    .map(|bound| u16::try_from(bound).unwrap_or(u16::MAX)),
                change: report.change,
            });
        reports.collect()
    }

    /// Applies the bounds that another instance reports.
    pub fn on_peer_pace_reports(&self, from: Ipv4Addr, reports: &[ReplicaPaceReport]) {
        let now = Instant::now();
        for r in reports {
            if let Some(id) = self.replica_by_name_hash(r.replica) {
                let report = PaceReport {
                    bound: r.bound.map(u32::from),
                    change: r.change,
                };
                let mut dispatch = self.dispatch.borrow_mut();
                dispatch.on_peer_pace_report(now, &id, r.incarnation, report);
            }
        }
        if !reports.is_empty() {
            self.log_pace_changes(format_args!(" peer={from}"));
        }
    }

    /// Logs the changes of bounds; `source` tells where those that were reported come from.
    pub fn log_pace_changes(&self, source: std::fmt::Arguments<'_>) {
        let changes = self.dispatch.borrow_mut().take_pace_changes();
        for (replica, change) in changes {
            let bound = change
                .bound
                .map_or("-".to_owned(), |bound| bound.to_string());
            let is_reported = change.reason == PaceReason::Reported;
            let (priority, source) = if is_reported {
                (Priority::Low, source)
            } else {
                (Priority::High, format_args!(""))
            };
            self.log.line(
                priority,
                format_args!(
                    "event=pace replica={replica} bound={bound} reason={} since_ms={}{source}",
                    change.reason.name(),
                    change.since.as_millis(),
                ),
            );
        }
    }

    /// Passes the time to the dispatcher, which derives the age of replicas from it.
    pub(super) fn update_dispatcher_clock(&self) {
        if let Ok(unix_ms) = u64::try_from(log::unix_time_ms()) {
            let mut dispatch = self.dispatch.borrow_mut();
            dispatch.set_unix_time(Instant::now(), unix_ms);
        }
    }
}
