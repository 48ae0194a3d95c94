//! Load figures that replicas state in their responses.

use std::net::Ipv4Addr;
use std::time::Duration;

use kingcupfield_decisions::digest_timing;
use kingcupfield_decisions::id::name_hash;
use kingcupfield_decisions::load_figures::LoadFigures;
use kingcupfield_decisions::momentary_speed::{MAX_FIGURE_AGE, WorkTime};
use tokio::time::Instant;

use super::Node;
use crate::adapter::Stated;
use crate::age::time_before;
use crate::log::Priority;
use crate::peers::ReplicaSpeedReport;
use crate::replica::PublishedReplica;

/// Figures in one message to the other instances: 840 bytes of a datagram of 1,200.
pub const MAX_SPEED_REPORTS: usize = 40;

impl Node {
    /// Records the load that a replica states in the head of its response to the request `id`.
    pub(super) fn on_load_statement(
        &self,
        replica: &PublishedReplica,
        id: &str,
        load: Stated<LoadFigures>,
    ) {
        let mut dispatch = self.dispatch.borrow_mut();
        if dispatch.options().load_reports.is_none() {
            return;
        }
        let incarnation = replica.start_unix_ms;
        match load {
            Stated::Absent => {}
            Stated::Valid(figures) => {
                dispatch.on_load_figures(Instant::now(), &replica.id, incarnation, figures);
            }
            Stated::Invalid(value) => {
                self.metrics.count_invalid_load();
                if dispatch.on_invalid_load(&replica.id, incarnation) {
                    self.log.line(
                        Priority::Low,
                        format_args!(
                            "event=replica_statement_bad replica={} id={id} what=load value={value:?}",
                            replica.id
                        ),
                    );
                }
            }
        }
    }

    /// Figures that the other instances have not been told of; at most [`MAX_SPEED_REPORTS`], the
    /// latest first.
    pub fn take_speed_reports(&self) -> Vec<ReplicaSpeedReport> {
        let now = Instant::now();
        let mut figures = self.dispatch.borrow_mut().take_unreported_work_times(now);
        figures.sort_by_key(|(_, _, figure)| now.saturating_duration_since(figure.stated_at));
        figures.truncate(MAX_SPEED_REPORTS);
        let reports = figures.into_iter().map(|(id, incarnation, figure)| {
            let age = now.saturating_duration_since(figure.stated_at);
            ReplicaSpeedReport {
                replica: name_hash(&id),
                incarnation,
                percent: u16::try_from(figure.percent).unwrap_or(u16::MAX),
                age_ms: u16::try_from(age.as_millis()).unwrap_or(u16::MAX),
            }
        });
        reports.collect()
    }

    /// Applies what replicas have stated to another instance, unless it is too old by now.
    pub(super) fn on_peer_speed_reports(&self, from: Ipv4Addr, reports: &[ReplicaSpeedReport]) {
        if reports.is_empty() {
            return;
        }
        let now = Instant::now();
        let relay_time = self.relay_time(from);
        for report in reports {
            let age = Duration::from_millis(report.age_ms.into()) + relay_time;
            let Some(id) = self.replica_by_name_hash(report.replica) else {
                continue;
            };
            if age < MAX_FIGURE_AGE {
                let figure = WorkTime {
                    percent: report.percent.into(),
                    stated_at: time_before(now, age),
                };
                let mut dispatch = self.dispatch.borrow_mut();
                dispatch.on_peer_work_time(&id, report.incarnation, figure);
            }
        }
    }

    /// Longest time for which relays keep a message of another instance of the zone; none passes between
    /// the members of a cell.
    fn relay_time(&self, from: Ipv4Addr) -> Duration {
        let peers = self.peers.borrow();
        if peers.is_in_cell(from) {
            return Duration::ZERO;
        }
        digest_timing::collect_time(peers.zone_size())
    }
}
