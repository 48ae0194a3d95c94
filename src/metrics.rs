//! Metrics of an instance, served in the text format of Prometheus.

use std::time::Duration;

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Buckets of first-token times in seconds: from a status check to the worst deadline.
const SECONDS: [f64; 12] = [
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0, 60.0,
];

/// Counters, gauges and histograms; clones share them.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Requests by tier and outcome.
    pub requests: IntCounterVec,
    /// Time from receipt to the first token or the head of a plain answer, by tier.
    pub time_to_first_token: HistogramVec,
    /// Time from receipt to dispatch, by tier.
    pub queue_time: HistogramVec,
    /// Requests that hold a place in this instance.
    pub held_requests: IntGauge,
    /// Prompt tokens whose prefill was wasted, by reason.
    pub wasted_prefill: IntCounterVec,
    /// Chunks that were dropped, by what was wrong with them.
    pub dropped_chunks: IntCounterVec,
    /// Streams resumed at their offset.
    pub resumed_streams: IntCounter,
    /// Messages to other instances, by direction and kind.
    pub peer_messages: IntCounterVec,
    /// Bytes of messages with other instances, by direction.
    pub peer_bytes: IntCounterVec,
    /// Calls to the platform, by result.
    pub platform_calls: IntCounterVec,
    /// Published values refused, by name.
    pub refused_values: IntCounterVec,
}

impl Metrics {
    /// Makes the metrics, all at zero.
    pub fn new() -> Self {
        let registry = Registry::new();
        Self {
            requests: counters(
                &registry,
                "kingcup_requests_total",
                "Requests by tier and outcome.",
                &["tier", "outcome"],
            ),
            time_to_first_token: histograms(
                &registry,
                "kingcup_first_token_seconds",
                "From receipt to the first token.",
                &["tier"],
            ),
            queue_time: histograms(
                &registry,
                "kingcup_queue_seconds",
                "From receipt to dispatch.",
                &["tier"],
            ),
            held_requests: gauge(
                &registry,
                "kingcup_held_requests",
                "Requests held by this instance.",
            ),
            wasted_prefill: counters(
                &registry,
                "kingcup_wasted_prefill_tokens_total",
                "Prompt tokens prefilled in vain.",
                &["reason"],
            ),
            dropped_chunks: counters(
                &registry,
                "kingcup_bad_chunks_total",
                "Chunks dropped.",
                &["reason"],
            ),
            resumed_streams: counter(
                &registry,
                "kingcup_resumed_streams_total",
                "Streams resumed at their offset.",
            ),
            peer_messages: counters(
                &registry,
                "kingcup_peer_messages_total",
                "Messages with other instances.",
                &["direction", "kind"],
            ),
            peer_bytes: counters(
                &registry,
                "kingcup_peer_bytes_total",
                "Bytes with other instances.",
                &["direction"],
            ),
            platform_calls: counters(
                &registry,
                "kingcup_platform_calls_total",
                "Calls to the platform.",
                &["result"],
            ),
            refused_values: counters(
                &registry,
                "kingcup_values_refused_total",
                "Published values refused.",
                &["name"],
            ),
            registry,
        }
    }

    /// Text for a scrape.
    pub fn encode(&self) -> String {
        let mut buf = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        match encoded {
            Ok(()) => String::from_utf8_lossy(&buf).into_owned(),
            Err(e) => format!("# {e}\n"),
        }
    }

    /// Observes a time by tier.
    pub fn observe(histogram: &HistogramVec, tier: &str, took: Duration) {
        histogram
            .with_label_values(&[tier])
            .observe(took.as_secs_f64());
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let metric = IntCounterVec::new(Opts::new(name, help), labels).expect("constant name");
    registry
        .register(Box::new(metric.clone()))
        .expect("registered once");
    metric
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let metric = IntCounter::new(name, help).expect("constant name");
    registry
        .register(Box::new(metric.clone()))
        .expect("registered once");
    metric
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let metric = IntGauge::new(name, help).expect("constant name");
    registry
        .register(Box::new(metric.clone()))
        .expect("registered once");
    metric
}

fn histograms(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let opts = HistogramOpts::new(name, help).buckets(SECONDS.to_vec());
    let metric = HistogramVec::new(opts, labels).expect("constant name");
    registry
        .register(Box::new(metric.clone()))
        .expect("registered once");
    metric
}
