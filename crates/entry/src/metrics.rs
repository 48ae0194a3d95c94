//! Counters and histograms of one instance, as Prometheus text.

use std::time::Duration;

use prometheus::core::Collector;
use prometheus::{
    Gauge, GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, Opts, Registry,
    TextEncoder,
};
use tokio::time::Instant;

use crate::node::Node;

/// Upper bounds of the histograms in seconds: powers of about two around the objectives.
const BOUNDS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 15.0,
];

/// What is measured in time, from a request's arrival unless it says otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// To its place at a replica.
    Queued,
    /// To the first byte of its answer.
    FirstByte,
    /// To the end of its answer.
    Complete,
    /// From an event's arrival from the replica until the caller's connection has taken it.
    Relay,
}

impl Phase {
    fn name(self) -> &'static str {
        match self {
            Self::Queued => "wait",
            Self::FirstByte => "first",
            Self::Complete => "whole",
            Self::Relay => "pass",
        }
    }
}

/// Replicas that are shown one by one; of a larger fleet the first by name.
const MOST_REPLICAS: usize = 200;

/// The measures of one instance; outcomes come from closed lists, so their names are few.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    outcomes: IntCounterVec,
    timings: HistogramVec,
    dropped: IntCounter,
    lapsed: IntCounter,
    table_version: Gauge,
    ages: GaugeVec,
    waiting: Gauge,
    callers: GaugeVec,
    openness: GaugeVec,
    peers: GaugeVec,
    replicas: GaugeVec,
}

impl Metrics {
    /// Nothing is counted yet.
    pub fn new() -> Self {
        let registry = Registry::new();
        Self {
            outcomes: counters(&registry, "kingcup_requests_total", "Requests by outcome"),
            timings: timings(&registry),
            dropped: counter(
                &registry,
                "kingcup_log_lines_dropped_total",
                "Log lines beyond the budget or a reader that stands still",
            ),
            lapsed: counter(
                &registry,
                "kingcup_replicas_lapsed_total",
                "Replicas whose entry ended without a word that they leave",
            ),
            table_version: gauge(&registry, "kingcup_table_version", "Table in force"),
            ages: gauges(
                &registry,
                "kingcup_age_seconds",
                "Time since the store or the most silent peer was heard",
                "of",
            ),
            callers: gauges(
                &registry,
                "kingcup_callers",
                "Open connections of callers, and requests being answered",
                "of",
            ),
            waiting: gauge(&registry, "kingcup_waiting", "Requests without a place"),
            openness: gauges(
                &registry,
                "kingcup_replicas",
                "Replicas by what they may get: open, cold_kept, cold_closed, unusable",
                "state",
            ),
            peers: gauges(
                &registry,
                "kingcup_instances",
                "Other instances by what is known of them",
                "state",
            ),
            replicas: replicas(&registry),
            registry,
        }
    }

    /// Counts an outcome.
    pub fn count_outcome(&self, outcome: &'static str) {
        self.outcomes.with_label_values(&[outcome]).inc();
    }

    /// Counts log lines that were left out.
    pub fn count_dropped_lines(&self, lines: u64) {
        self.dropped.inc_by(lines);
    }

    /// Counts a replica whose entry lapsed.
    pub fn count_expired_replica(&self) {
        self.lapsed.inc();
    }

    /// Notes a time.
    pub fn observe(&self, timing: Phase, took: Duration) {
        self.timings
            .with_label_values(&[timing.name()])
            .observe(took.as_secs_f64());
    }

    /// All measures as text, with how the instance stands now.
    pub fn render(&self, node: &Node) -> String {
        self.take(node);
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }

    fn take(&self, node: &Node) {
        let now = Instant::now();
        let peers = node.peers.borrow();
        let dispatch = node.dispatch.borrow();
        self.table_version.set(node.table_version() as f64);
        self.waiting.set(dispatch.waiting() as f64);
        for (of, count) in [
            ("connections", *node.connections.borrow()),
            ("requests", node.active.get()),
        ] {
            self.callers.with_label_values(&[of]).set(count as f64);
        }
        if let Some(age) = node.store_age() {
            self.set_age("store", age);
        }
        self.set_age("peers", peers.oldest_word(now));
        let heard = peers.fresh(now) as f64 - 1.0;
        let known = peers.all().len() as f64;
        self.peers.with_label_values(&["heard"]).set(heard);
        self.peers.with_label_values(&["silent"]).set(known - heard);
        let openness = dispatch.openness(now);
        for (state, count) in [
            ("open", openness.open),
            ("cold_kept", openness.cold_kept),
            ("cold_closed", openness.cold_closed),
            ("unusable", openness.unusable),
        ] {
            self.openness
                .with_label_values(&[state])
                .set(f64::from(count));
        }
        self.replicas.reset();
        for held in dispatch.places().take(MOST_REPLICAS) {
            let set = |whose: &str, places: u32| {
                let labels = [&**held.upstream, whose];
                self.replicas
                    .with_label_values(&labels)
                    .set(f64::from(places));
            };
            set("own", held.own);
            set("elsewhere", held.elsewhere);
            set("slots", held.slots);
        }
    }

    fn set_age(&self, of: &str, age: Duration) {
        self.ages.with_label_values(&[of]).set(age.as_secs_f64());
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::new(name, help).expect("a fixed name is valid");
    register(registry, counter.clone());
    counter
}

fn counters(registry: &Registry, name: &str, help: &str) -> IntCounterVec {
    let counters =
        IntCounterVec::new(Opts::new(name, help), &["outcome"]).expect("a fixed name is valid");
    register(registry, counters.clone());
    counters
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Gauge {
    let gauge = Gauge::new(name, help).expect("a fixed name is valid");
    register(registry, gauge.clone());
    gauge
}

fn gauges(registry: &Registry, name: &str, help: &str, label: &str) -> GaugeVec {
    let gauges = GaugeVec::new(Opts::new(name, help), &[label]).expect("a fixed name is valid");
    register(registry, gauges.clone());
    gauges
}

fn replicas(registry: &Registry) -> GaugeVec {
    let opts = Opts::new(
        "kingcup_replica_places",
        "Places at a replica: held here, held elsewhere, and its slots",
    );
    let replicas = GaugeVec::new(opts, &["replica", "whose"]).expect("a fixed name is valid");
    register(registry, replicas.clone());
    replicas
}

fn timings(registry: &Registry) -> HistogramVec {
    let opts = HistogramOpts::new("kingcup_request_seconds", "Time by phase of a request");
    let timings = HistogramVec::new(opts.buckets(BOUNDS_S.to_vec()), &["phase"])
        .expect("a fixed name is valid");
    register(registry, timings.clone());
    timings
}

fn register<C>(registry: &Registry, collector: C)
where
    C: Collector + 'static,
{
    registry
        .register(Box::new(collector))
        .expect("each name is registered once");
}
