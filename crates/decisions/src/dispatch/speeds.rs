//! Load figures that replicas state in their responses, and their reports between instances.

use std::time::Duration;

use tokio::time::Instant;

use super::Dispatcher;
use super::upstream::Upstream;
use crate::digest_timing::MIN_COLLECT_TIME;
use crate::id::UpstreamId;
use crate::load_figures::{LoadFigures, WORK_TIME_PERCENTS};
use crate::momentary_speed::WorkTime;

/// Age up to which the newest figure of a replica is shown to operators.
const MAX_SHOWN_AGE: Duration = Duration::from_secs(5);

/// Requests of other instances at a replica, as the counts in its last response imply. They are a lower
/// bound for the counts of the other instances, which arrive later.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StatedLoad {
    others: u32,
    until: Option<Instant>,
}

impl StatedLoad {
    /// Records that at least `others` requests of other instances run at the replica until `until`.
    fn set(&mut self, others: u32, until: Instant) {
        self.others = others;
        self.until = Some(until);
    }

    /// Discards counts that the other instances have reported since.
    pub(super) fn expire(&mut self, now: Instant) {
        if self.until.is_some_and(|until| now >= until) {
            *self = Self::default();
        }
    }

    /// Least number of requests of other instances.
    pub(super) fn others(&self) -> u32 {
        self.others
    }
}

impl Upstream {
    /// Applies the figures of a response to this instance.
    fn on_load_figures(&mut self, now: Instant, figures: LoadFigures) {
        if let Some(percent) = figures.work_time_percent {
            self.speed.on_own_figure(now, percent);
        }
        self.warm_up
            .on_stated_work_time(now, figures.work_time_percent);
        // Limits the cost that a false count adds.
        let total = figures.running.saturating_add(figures.waiting);
        let others = total.saturating_sub(self.running.len() as u32);
        let delay = self.propagation_delay().max(MIN_COLLECT_TIME);
        self.stated_load
            .set(others.min(self.replica.slots), now + delay);
    }
}

impl Dispatcher {
    /// Applies the load figures of a response to this instance, unless another incarnation of the
    /// replica has been published since.
    pub fn on_load_figures(
        &mut self,
        now: Instant,
        upstream: &UpstreamId,
        incarnation: u64,
        figures: LoadFigures,
    ) {
        if self.options.load_reports.is_none() {
            return;
        }
        if let Some(index) = self.index_of_incarnation(upstream, incarnation) {
            self.activate(index);
            self.upstreams[index].on_load_figures(now, figures);
        }
    }

    /// Records that a replica stated load figures that can't be used; returns whether this is the
    /// first time for its incarnation.
    pub fn on_invalid_load(&mut self, upstream: &UpstreamId, incarnation: u64) -> bool {
        let index = self.index_of_incarnation(upstream, incarnation);
        index.is_some_and(|index| {
            !std::mem::replace(&mut self.upstreams[index].stated_invalid_load, true)
        })
    }

    /// Applies a figure that another instance reported; one out of range is ignored.
    pub fn on_peer_work_time(&mut self, upstream: &UpstreamId, incarnation: u64, figure: WorkTime) {
        if !WORK_TIME_PERCENTS.contains(&figure.percent) {
            return;
        }
        if let Some(index) = self.index_of_incarnation(upstream, incarnation) {
            self.upstreams[index].speed.on_peer_figure(figure);
        }
    }

    /// Takes the figures that the other instances have not been told of: the replica, its incarnation
    /// and the figure.
    pub fn take_unreported_work_times(&mut self, now: Instant) -> Vec<(UpstreamId, u64, WorkTime)> {
        let mut figures = Vec::new();
        for index in &self.active {
            let u = &mut self.upstreams[*index];
            if let Some(figure) = u.speed.take_unreported(now) {
                figures.push((u.replica.id.clone(), u.replica.incarnation, figure));
            }
        }
        figures
    }

    /// The newest figures of replicas, as far as they are recent.
    pub fn work_times(&self, now: Instant) -> impl Iterator<Item = (&UpstreamId, WorkTime)> {
        self.upstreams.iter().filter_map(move |u| {
            let figure = u.speed.newest()?;
            let is_recent = now.saturating_duration_since(figure.stated_at) <= MAX_SHOWN_AGE;
            is_recent.then_some((&u.replica.id, figure))
        })
    }

    /// Passes the option of load figures on to all replicas.
    pub(super) fn apply_load_option(&mut self) {
        let half_life = self.options.load_reports.map(|o| o.half_life);
        for u in &mut self.upstreams {
            u.speed.set_half_life(half_life);
        }
    }
}
