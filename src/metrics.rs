//! Metrics of an instance, exposed in the Prometheus text format.

use std::time::Duration;

use kingcupfield_transfer::account::Account;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

/// Upper bounds of the latency histogram buckets in seconds, from the time of a status check to the
/// longest deadline.
const LATENCY_BUCKETS_SECONDS: [f64; 12] = [
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0, 60.0,
];

/// Counters, gauges and histograms of one instance; clones share them.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Number of ended requests, by tier and outcome.
    pub requests: IntCounterVec,
    /// Seconds from receipt to the first token or the head of a plain response, by tier.
    pub time_to_first_token: HistogramVec,
    /// Seconds from receipt to dispatch, by tier.
    pub queue_time: HistogramVec,
    /// Number of requests currently in progress on this instance.
    pub held_requests: IntGauge,
    /// Number of prompt tokens whose prefill was wasted, by reason.
    pub wasted_prefill: IntCounterVec,
    /// Number of invalid stream chunks dropped, by reason.
    pub dropped_chunks: IntCounterVec,
    /// Number of streams resumed at their offset.
    pub resumed_streams: IntCounter,
    /// Number of messages exchanged with other instances, by direction and kind.
    pub peer_messages: IntCounterVec,
    /// Number of message bytes exchanged with other instances, by direction.
    pub peer_bytes: IntCounterVec,
    /// Number of calls to the platform, by result.
    pub platform_calls: IntCounterVec,
    /// Bytes of memory for callers: held, and the most that may be held.
    pub caller_memory: IntGaugeVec,
    /// Number of requests refused for want of memory: evicted, denied.
    pub refused_for_memory: IntGaugeVec,
    /// Number of published configuration values refused, by value name.
    pub refused_values: IntCounterVec,
}

impl Metrics {
    /// Creates and registers the metrics, all at zero.
    pub fn new() -> Self {
        let registry = Registry::new();
        Self {
            requests: register_counter_vec(
                &registry,
                "kingcup_requests_total",
                "Requests by tier and outcome.",
                &["tier", "outcome"],
            ),
            time_to_first_token: register_histogram_vec(
                &registry,
                "kingcup_first_token_seconds",
                "From receipt to the first token.",
                &["tier"],
            ),
            queue_time: register_histogram_vec(
                &registry,
                "kingcup_queue_seconds",
                "From receipt to dispatch.",
                &["tier"],
            ),
            held_requests: register_gauge(
                &registry,
                "kingcup_held_requests",
                "Requests held by this instance.",
            ),
            wasted_prefill: register_counter_vec(
                &registry,
                "kingcup_wasted_prefill_tokens_total",
                "Prompt tokens prefilled in vain.",
                &["reason"],
            ),
            dropped_chunks: register_counter_vec(
                &registry,
                "kingcup_bad_chunks_total",
                "Chunks dropped.",
                &["reason"],
            ),
            resumed_streams: register_counter(
                &registry,
                "kingcup_resumed_streams_total",
                "Streams resumed at their offset.",
            ),
            peer_messages: register_counter_vec(
                &registry,
                "kingcup_peer_messages_total",
                "Messages with other instances.",
                &["direction", "kind"],
            ),
            peer_bytes: register_counter_vec(
                &registry,
                "kingcup_peer_bytes_total",
                "Bytes with other instances.",
                &["direction"],
            ),
            platform_calls: register_counter_vec(
                &registry,
                "kingcup_platform_calls_total",
                "Calls to the platform.",
                &["result"],
            ),
            caller_memory: register_gauge_vec(
                &registry,
                "kingcup_caller_memory_bytes",
                "Memory for callers: held, and the most that may be held.",
                &["of"],
            ),
            refused_for_memory: register_gauge_vec(
                &registry,
                "kingcup_refused_for_memory",
                "Requests refused for want of memory since the start.",
                &["how"],
            ),
            refused_values: register_counter_vec(
                &registry,
                "kingcup_values_refused_total",
                "Published values refused.",
                &["name"],
            ),
            registry,
        }
    }

    /// Encodes all metrics for a scrape; on failure, returns the error as a comment line.
    pub fn encode(&self) -> String {
        let mut buf = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        match encoded {
            Ok(()) => String::from_utf8_lossy(&buf).into_owned(),
            Err(e) => format!("# {e}\n"),
        }
    }

    /// Sets the gauges of the memory for callers.
    pub fn set_caller_memory(&self, memory: &Account) {
        let refused = memory.refused();
        let (held, limit) = (memory.held() as u64, memory.limit() as u64);
        for (of, bytes) in [("held", held), ("limit", limit)] {
            self.caller_memory
                .with_label_values(&[of])
                .set(bytes.cast_signed());
        }
        for (how, count) in [("evicted", refused.evicted), ("denied", refused.denied)] {
            let gauge = self.refused_for_memory.with_label_values(&[how]);
            gauge.set(count.cast_signed());
        }
    }

    /// Records a duration in seconds for a tier.
    pub fn observe(histogram: &HistogramVec, tier: &str, elapsed: Duration) {
        histogram
            .with_label_values(&[tier])
            .observe(elapsed.as_secs_f64());
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn register_gauge_vec(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    let metric =
        IntGaugeVec::new(Opts::new(name, help), labels).expect("valid metric name and labels");
    registry
        .register(Box::new(metric.clone()))
        .expect("each name is registered once");
    metric
}

fn register_counter_vec(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> IntCounterVec {
    let metric =
        IntCounterVec::new(Opts::new(name, help), labels).expect("valid metric name and labels");
    registry
        .register(Box::new(metric.clone()))
        .expect("metric registered only once");
    metric
}

fn register_counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let metric = IntCounter::new(name, help).expect("valid metric name and labels");
    registry
        .register(Box::new(metric.clone()))
        .expect("metric registered only once");
    metric
}

fn register_gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let metric = IntGauge::new(name, help).expect("valid metric name and labels");
    registry
        .register(Box::new(metric.clone()))
        .expect("metric registered only once");
    metric
}

fn register_histogram_vec(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> HistogramVec {
    let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_SECONDS.to_vec());
    let metric = HistogramVec::new(opts, labels).expect("valid metric name and labels");
    registry
        .register(Box::new(metric.clone()))
        .expect("metric registered only once");
    metric
}
