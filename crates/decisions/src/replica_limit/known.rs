//! Which of several reports of a replica's limit is in force.
//!
//! A response doesn't tell when the replica made it, only that this was between the sending of the
//! request and the arrival of the response. Responses overtake each other, and reports of other
//! instances arrive late. A report therefore replaces another one only if it is certainly newer. Of
//! two reports whose order is unknown the stricter one holds until a newer one arrives.

use std::time::Duration;

use tokio::time::Instant;

/// A limit that no response has confirmed for this long is dropped. While a limit lasts, the instances
/// that have a share of it confirm it much more often.
const UNCONFIRMED_EXPIRY: Duration = Duration::from_mins(1);

/// What one response said about the limit of its replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitReport {
    /// Requests per second that the replica accepts from all instances together; `None` if the
    /// response named no limit.
    pub per_s: Option<f64>,
    /// Earliest time at which the replica may have made the response.
    pub earliest: Instant,
    /// Latest time at which the replica may have made the response.
    pub latest: Instant,
}

/// What a series of reports says about the limit of one replica.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
struct Belief {
    /// The limit that was named last, in requests per second, and when the replica may have named it.
    named: Option<LimitReport>,
    /// Latest time of any report that named a limit.
    confirmed: Option<Instant>,
    /// Earliest time of the latest response that named none.
    lifted: Option<Instant>,
}

impl Belief {
    fn apply(&mut self, report: LimitReport) {
        if report.per_s.is_none() {
            self.lifted = self.lifted.max(Some(report.earliest));
            return;
        }
        let is_certainly_older = |than: Instant| report.latest < than;
        if self.lifted.is_some_and(is_certainly_older) {
            return;
        }
        self.confirmed = self.confirmed.max(Some(report.latest));
        self.named = Some(match self.named {
            Some(known) if is_certainly_older(known.earliest) => known,
            Some(known) if report.earliest <= known.latest => stricter(known, report),
            _ => report,
        });
    }

    fn move_back(&mut self, by: Duration) {
        let earlier = |at: Instant| at.checked_sub(by).unwrap_or(at);
        self.named = self.named.map(|named| LimitReport {
            earliest: earlier(named.earliest),
            latest: earlier(named.latest),
            ..named
        });
        self.confirmed = self.confirmed.map(earlier);
        self.lifted = self.lifted.map(earlier);
    }

    /// The limit that was named and has not been lifted since.
    fn unlifted(&self) -> Option<LimitReport> {
        let lifted_after = |named: &LimitReport| self.lifted.is_some_and(|at| at > named.latest);
        self.named.filter(|named| !lifted_after(named))
    }
}

/// The limit of one replica, as far as this instance knows it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct KnownLimit {
    /// From the responses that this instance received itself.
    own: Belief,
    /// From these and the reports of other instances.
    all: Belief,
}

impl KnownLimit {
    /// Applies a report that this instance received from the replica itself.
    pub fn on_own_report(&mut self, report: LimitReport) {
        self.own.apply(report);
        self.all.apply(report);
    }

    /// Applies a report of another instance.
    pub fn on_peer_report(&mut self, report: LimitReport) {
        self.all.apply(report);
    }

    /// The limit in force in requests per second; `None` if there is none. `patience` is added to the
    /// time after which an unconfirmed limit is dropped.
    pub fn per_s(&self, now: Instant, patience: Duration) -> Option<f64> {
        let confirmed = self.all.confirmed?;
        let expired = now > confirmed + UNCONFIRMED_EXPIRY + patience;
        let named = self.all.unlifted().filter(|_| !expired)?;
        named.per_s
    }

    /// When a response last confirmed the limit; `None` if none was ever named.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.all.confirmed
    }

    /// Moves all times back after the machine was suspended, which the clock does not count.
    pub fn on_suspension(&mut self, suspended: Duration) {
        self.own.move_back(suspended);
        self.all.move_back(suspended);
    }

    /// The report that the other instances should get: the limit that this instance was told, or that
    /// it has ended. `None` if it was told none, or too long ago.
    pub fn own_report(&self, now: Instant) -> Option<LimitReport> {
        let named = self.own.named?;
        let report = match self.own.lifted.filter(|at| *at > named.latest) {
            None => named,
            Some(lifted) => LimitReport {
                per_s: None,
                earliest: lifted,
                latest: lifted,
            },
        };
        Some(report).filter(|r| now <= r.latest + UNCONFIRMED_EXPIRY)
    }
}

/// Joins two reports whose order is unknown: the stricter limit stays until a report is certainly newer
/// than the last one that named it.
fn stricter(known: LimitReport, report: LimitReport) -> LimitReport {
    if report.per_s > known.per_s {
        return known;
    }
    LimitReport {
        per_s: report.per_s,
        earliest: known.earliest.min(report.earliest),
        latest: known.latest.max(report.latest),
    }
}
