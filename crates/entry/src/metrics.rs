//! Counters and histograms of one instance, as Prometheus text.

use std::time::Duration;

use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry, TextEncoder};

/// Upper bounds of the histograms in seconds: powers of about two around the objectives.
const BOUNDS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 15.0,
];

/// What is measured in time, from a request's arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timing {
    /// To its place at a replica.
    Wait,
    /// To the first byte of its answer.
    First,
    /// To the end of its answer.
    Whole,
}

impl Timing {
    fn name(self) -> &'static str {
        match self {
            Self::Wait => "wait",
            Self::First => "first",
            Self::Whole => "whole",
        }
    }
}

/// The measures of one instance; outcomes come from closed lists, so their names are few.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    outcomes: IntCounterVec,
    timings: HistogramVec,
}

impl Metrics {
    /// Nothing is counted yet.
    pub fn new() -> Self {
        let outcomes = IntCounterVec::new(
            Opts::new("kingcup_requests_total", "Requests by outcome"),
            &["outcome"],
        )
        .expect("a fixed name is valid");
        let timings = HistogramVec::new(
            HistogramOpts::new("kingcup_request_seconds", "Time from arrival by phase")
                .buckets(BOUNDS_S.to_vec()),
            &["phase"],
        )
        .expect("a fixed name is valid");
        let registry = Registry::new();
        for collector in [
            Box::new(outcomes.clone()) as Box<dyn prometheus::core::Collector>,
            Box::new(timings.clone()),
        ] {
            registry
                .register(collector)
                .expect("each name is registered once");
        }
        Self {
            registry,
            outcomes,
            timings,
        }
    }

    /// Counts an outcome.
    pub fn count(&self, outcome: &'static str) {
        self.outcomes.with_label_values(&[outcome]).inc();
    }

    /// Notes a time.
    pub fn observe(&self, timing: Timing, took: Duration) {
        self.timings
            .with_label_values(&[timing.name()])
            .observe(took.as_secs_f64());
    }

    /// All measures as text.
    pub fn text(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
