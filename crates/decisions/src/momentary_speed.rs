//! How fast a replica works at this moment, relative to its mean.
//!
//! Load pattern: replicas share their machines with other workloads and are slowed several times for
//! periods of half a second. An instance gets two or three responses of a replica in a second, so
//! that a period is over before its slowness shows in learned times. Some replicas state in their
//! responses how long work takes at the moment. The newest such figure, of this instance or another
//! one, scales the learned times for as long as it is likely to hold.
//!
//! The figures may be wrong. The factor is bounded, relative to the mean of the replica's own figures,
//! and loses its effect if measured times contradict it.

use std::collections::VecDeque;
use std::f64::consts::LN_2;
use std::time::Duration;

use tokio::time::Instant;

/// Age from which a figure is not reported to other instances, and longest time that one figure
/// counts in the mean: most periods of a speed have ended by then.
pub const MAX_FIGURE_AGE: Duration = Duration::from_millis(500);

/// Least and greatest factor, which bound the effect of a false figure.
const MIN_FACTOR: f64 = 0.25;
const MAX_FACTOR: f64 = 8.0;

/// Figure that is usual by definition, in percent.
const USUAL_PERCENT: f64 = 100.0;

/// Time for which the usual figure counts in the mean of a replica without figures.
const USUAL_SPAN_S: f64 = 1.0;

/// Time over which the mean of the figures is taken: some thirty periods of 600 ms.
const MEAN_SPAN_S: f64 = 20.0;

/// Weight of the presumption that figures are right, as a sum of squared deviations: that of a few
/// figures of a replica whose speed changes fivefold. Random figures lose nine tenths of their effect
/// within about 30 responses.
const PRIOR_WEIGHT: f64 = 1.0;

/// Trust in the figures of a replica before they were compared with measured times. From 1, replicas
/// that state the opposite of their speed make 0.01 of the requests late before that shows; from 0.25,
/// they make half as many late, and true figures have almost the same effect.
const PRIOR_TRUST: f64 = 0.25;

/// Factor by which earlier comparisons lose weight with each new one: about 50 of them count.
const COMPARISON_RETENTION: f64 = 0.98;

/// Greatest measured deviation that counts in a comparison, so that one stall doesn't decide.
const MAX_DEVIATION: f64 = MAX_FACTOR - 1.0;

/// Weight of a figure below which it is too old to be compared with a measured time.
const MIN_COMPARED_WEIGHT: f64 = 0.5;

/// Figures that are kept to find the factor of a measured time, and least time between two of them:
/// together they cover a slowed plain call.
const MAX_HISTORY: usize = 16;
const MIN_HISTORY_INTERVAL: Duration = Duration::from_millis(30);

/// Points in a measured time at which the factor is evaluated, and least time between them.
const MAX_POINTS: u32 = 8;
const MIN_POINT_INTERVAL: Duration = Duration::from_millis(30);

/// Time that work takes at a replica, as the replica stated it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkTime {
    /// Percent of the usual time.
    pub percent: u32,
    /// When the replica stated it.
    pub stated_at: Instant,
}

/// Current speed of one incarnation of a replica.
#[derive(Debug, Clone, Default)]
pub struct MomentarySpeed {
    /// Time in which the weight of a figure falls by half; `None` if figures are not used.
    half_life: Option<Duration>,
    newest: Option<WorkTime>,
    /// Latest figures in the order of their times, without those that follow another one at once.
    history: VecDeque<WorkTime>,
    mean: MeanPercent,
    agreement: Agreement,
    /// Whether the newest figure was compared with a measured time.
    is_compared: bool,
    /// Newest figure from a response to this instance that was not reported to the others.
    unreported: Option<WorkTime>,
}

impl MomentarySpeed {
    /// Sets the time in which the weight of a figure falls by half. `None` switches the use of figures
    /// off and discards what is known.
    pub fn set_half_life(&mut self, half_life: Option<Duration>) {
        if half_life.is_none() {
            *self = Self::default();
        }
        self.half_life = half_life;
    }

    /// Records a figure from a response to this instance.
    pub fn on_own_figure(&mut self, now: Instant, percent: u32) {
        let figure = WorkTime {
            percent,
            stated_at: now,
        };
        if self.on_figure(figure) {
            self.unreported = Some(figure);
        }
    }

    /// Records a figure that another instance reported.
    pub fn on_peer_figure(&mut self, figure: WorkTime) {
        self.on_figure(figure);
    }

    /// Records a figure; returns whether it is used, as the newest one.
    fn on_figure(&mut self, figure: WorkTime) -> bool {
        let previous = self.newest.map(|n| n.stated_at);
        if self.half_life.is_none() || previous.is_some_and(|at| figure.stated_at <= at) {
            return false;
        }
        let span = previous.map_or(MAX_FIGURE_AGE, |at| {
            figure.stated_at.saturating_duration_since(at)
        });
        self.mean.add(figure.percent, span.min(MAX_FIGURE_AGE));
        self.newest = Some(figure);
        self.add_to_history(figure);
        self.is_compared = false;
        true
    }

    /// Adds a figure to the history, unless another one was added shortly before.
    fn add_to_history(&mut self, figure: WorkTime) {
        let is_too_early = self.history.back().is_some_and(|last| {
            figure.stated_at.saturating_duration_since(last.stated_at) < MIN_HISTORY_INTERVAL
        });
        if is_too_early {
            return;
        }
        if self.history.len() >= MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(figure);
    }

    /// The newest figure.
    pub fn newest(&self) -> Option<WorkTime> {
        self.newest
    }

    /// Takes the newest figure that the other instances have not been told of, unless it is too old.
    pub fn take_unreported(&mut self, now: Instant) -> Option<WorkTime> {
        let is_recent = |f: &WorkTime| now.saturating_duration_since(f.stated_at) < MAX_FIGURE_AGE;
        self.unreported.take().filter(is_recent)
    }

    /// Whether there is a figure that the other instances have not been told of.
    pub fn has_unreported(&self) -> bool {
        self.unreported.is_some()
    }

    /// Factor by which work takes longer now than on average; 1 if nothing is known.
    pub fn factor(&self, now: Instant) -> f64 {
        let deviation = self.deviation(now) * self.agreement.trust();
        (1.0 + deviation).clamp(MIN_FACTOR, MAX_FACTOR)
    }

    /// Expected time of work that takes `usual_ms` at the mean speed. The factor applies to the part
    /// that is done while it is likely to hold.
    pub fn expected_ms(&self, now: Instant, usual_ms: f64) -> f64 {
        let Some(half_life) = self.half_life else {
            return usual_ms;
        };
        let factor = self.factor(now);
        let holds_ms = half_life.as_secs_f64() * 1e3 / LN_2;
        if usual_ms * factor <= holds_ms {
            usual_ms * factor
        } else {
            usual_ms + holds_ms * (1.0 - 1.0 / factor)
        }
    }

    /// Returns a measured time without the factor that applied to it, and compares the newest figure
    /// with it. `usual_ms` is the time at the mean speed, if learned.
    pub fn usual_time(
        &mut self,
        now: Instant,
        measured: Duration,
        usual_ms: Option<f64>,
    ) -> Duration {
        if self.newest.is_none() {
            return measured;
        }
        let trust = self.agreement.trust();
        let stated = self.stated_over(now, measured);
        self.compare(measured, usual_ms, stated);
        let factor = 1.0 + trust * (stated.factor - 1.0);
        measured.div_f64(factor.clamp(MIN_FACTOR, MAX_FACTOR))
    }

    /// Factor that applied to a time of `measured` that ends now.
    pub fn factor_over(&self, now: Instant, measured: Duration) -> f64 {
        if self.newest.is_none() {
            return 1.0;
        }
        let stated = self.stated_over(now, measured);
        let factor = 1.0 + self.agreement.trust() * (stated.factor - 1.0);
        factor.clamp(MIN_FACTOR, MAX_FACTOR)
    }

    /// Compares the newest figure with a measured time, once.
    fn compare(&mut self, measured: Duration, usual_ms: Option<f64>, stated: StatedFactor) {
        let Some(usual_ms) = usual_ms.filter(|ms| *ms > 0.0) else {
            return;
        };
        if self.is_compared || stated.weight < MIN_COMPARED_WEIGHT {
            return;
        }
        self.is_compared = true;
        let measured_deviation = measured.as_secs_f64() * 1e3 / usual_ms - 1.0;
        self.agreement.add(stated.factor - 1.0, measured_deviation);
    }

    /// Factor that the figures state for a time of `measured` that ends now: the work done at each of
    /// some points is the reciprocal of the factor there, by the figure that is nearest in time.
    fn stated_over(&self, now: Instant, measured: Duration) -> StatedFactor {
        let points = measured.as_nanos() / MIN_POINT_INTERVAL.as_nanos();
        let points = u32::try_from(points).unwrap_or(MAX_POINTS);
        let points = points.clamp(1, MAX_POINTS);
        let mut done = 0.0;
        let mut weight = 0.0;
        for point in 0..points {
            let before = measured.mul_f64((f64::from(point) + 0.5) / f64::from(points));
            let at = now.checked_sub(before).unwrap_or(now);
            let stated = self.stated_at(at);
            done += 1.0 / stated.factor;
            weight += stated.weight;
        }
        StatedFactor {
            factor: f64::from(points) / done,
            weight: weight / f64::from(points),
        }
    }

    /// Factor at one time by the figure that is nearest to it.
    fn stated_at(&self, at: Instant) -> StatedFactor {
        let distance = |f: &WorkTime| {
            let after = f.stated_at.saturating_duration_since(at);
            after.max(at.saturating_duration_since(f.stated_at))
        };
        let nearest = self
            .history
            .iter()
            .chain(&self.newest)
            .min_by_key(|f| distance(f));
        nearest.map_or(StatedFactor::NONE, |f| self.stated(f, distance(f)))
    }

    /// Deviation of the factor from 1 by the newest figure and its age.
    fn deviation(&self, now: Instant) -> f64 {
        let newest = self.newest.as_ref();
        let age = |f: &WorkTime| now.saturating_duration_since(f.stated_at);
        newest.map_or(0.0, |f| self.stated(f, age(f)).factor - 1.0)
    }

    /// Factor by a figure that is `distance` away in time.
    fn stated(&self, figure: &WorkTime, distance: Duration) -> StatedFactor {
        let Some(half_life) = self.half_life else {
            return StatedFactor::NONE;
        };
        let weight = (-distance.as_secs_f64() / half_life.as_secs_f64()).exp2();
        let ratio = f64::from(figure.percent) / self.mean.percent();
        StatedFactor {
            factor: 1.0 + (ratio.clamp(MIN_FACTOR, MAX_FACTOR) - 1.0) * weight,
            weight,
        }
    }
}

/// Factor that figures state, before the trust in them applies.
#[derive(Debug, Clone, Copy)]
struct StatedFactor {
    factor: f64,
    /// Weight of the figures in it, from 0 to 1.
    weight: f64,
}

impl StatedFactor {
    /// Without any figure.
    const NONE: Self = Self {
        factor: 1.0,
        weight: 0.0,
    };
}

/// Mean of a replica's figures over time.
#[derive(Debug, Clone)]
struct MeanPercent {
    percent: f64,
    /// Time that the mean covers, in seconds.
    span_s: f64,
}

impl Default for MeanPercent {
    fn default() -> Self {
        Self {
            percent: USUAL_PERCENT,
            span_s: USUAL_SPAN_S,
        }
    }
}

impl MeanPercent {
    /// Adds a figure that held for `span`.
    fn add(&mut self, percent: u32, span: Duration) {
        let span_s = span.as_secs_f64();
        self.span_s = (self.span_s + span_s).min(MEAN_SPAN_S);
        self.percent += (f64::from(percent) - self.percent) * span_s / self.span_s;
    }

    /// The mean in percent; at least 1, the least valid figure.
    fn percent(&self) -> f64 {
        self.percent.max(1.0)
    }
}

/// How far measured times agree with figures: a regression of the former over the latter.
#[derive(Debug, Clone, Default)]
struct Agreement {
    /// Sum of the squares of the stated deviations.
    squares: f64,
    /// Sum of the products of the stated and the measured deviations.
    products: f64,
}

impl Agreement {
    /// Adds a stated deviation from the usual time and the measured one.
    fn add(&mut self, stated: f64, measured: f64) {
        let measured = measured.min(MAX_DEVIATION);
        self.squares = self.squares * COMPARISON_RETENTION + stated * stated;
        self.products = self.products * COMPARISON_RETENTION + stated * measured;
    }

    /// Share of the stated deviations that is used, from 0 to 1. The prior keeps its weight, so that
    /// constant figures, which can't be compared, leave a replica with the prior trust.
    fn trust(&self) -> f64 {
        let products = PRIOR_WEIGHT * PRIOR_TRUST + self.products;
        (products / (PRIOR_WEIGHT + self.squares)).clamp(0.0, 1.0)
    }
}
