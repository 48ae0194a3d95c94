//! Metrics of one instance, in the Prometheus text format.

use std::time::Duration;

use prometheus::core::Collector;
use prometheus::{
    Gauge, GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, Opts,
    Registry, TextEncoder,
};
use tokio::time::Instant;

use crate::node::Node;
use crate::tasks::TaskName;

/// Upper bounds of the histogram buckets in seconds: steps of about a factor of two around the latency
/// objectives.
const BUCKET_BOUNDS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 15.0,
];

/// Phase of a request whose duration is measured, from the receipt of the request unless noted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Until a slot at a replica is assigned.
    Queued,
    /// Until the first byte of the response.
    FirstByte,
    /// Until the end of the response.
    Complete,
    /// From the receipt of an event from the replica until it is passed to the caller's connection.
    Relay,
}

impl Phase {
    /// Value of the label `phase`.
    fn name(self) -> &'static str {
        match self {
            Self::Queued => "wait",
            Self::FirstByte => "first",
            Self::Complete => "whole",
            Self::Relay => "pass",
        }
    }
}

/// Largest number of replicas with metrics of their own; in a larger fleet the first ones by name have
/// them.
const MAX_REPLICAS: usize = 200;

/// Largest number of organisations with metrics of their own, those with the most usage.
const MAX_ORGANISATIONS: usize = 100;

/// Metrics of one instance. Outcomes come from closed lists, which bounds the number of label values.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    outcomes: IntCounterVec,
    durations: HistogramVec,
    /// Time from the announcement of a directory change by another instance to its arrival.
    directory_lag: Histogram,
    /// Log lines dropped by the rate limit or because the reader stalled.
    dropped_lines: IntCounter,
    /// Crashes of replicas while they ran requests of this instance.
    replica_crashes: IntCounter,
    /// Replicas whose directory entry expired although they had not announced their departure.
    expired_replicas: IntCounter,
    /// Connections of callers that were closed early, by reason.
    closed_connections: IntCounterVec,
    /// Memory held for callers and the most that may be held, in bytes.
    caller_memory: GaugeVec,
    /// Requests refused for want of memory, by whether they gave way or nothing gave way to them.
    refused_for_memory: GaugeVec,
    /// Tasks of this process that panicked or ended too soon, by name.
    task_failures: IntCounterVec,
    /// Streams that callers took up, by how it was known where they began.
    resumptions: IntCounterVec,
    /// What replicas stated about themselves, by kind of statement, and the invalid ones.
    statements: IntCounterVec,
    /// Load figures of replicas that could not be used.
    invalid_loads: IntCounter,
    /// Newest figure of how long work takes at each replica, in percent of the usual time.
    replica_work_times: GaugeVec,
    /// Limit in force of each replica that named one, in requests per second.
    replica_limits: GaugeVec,
    /// Bound in force of each replica that has just started or recovered.
    replica_paces: GaugeVec,
    /// Usage of organisations through all instances, in tokens per second.
    organisation_use: GaugeVec,
    /// Version of the table in force.
    table_version: Gauge,
    /// Seconds since the last response of the store, since the oldest of the peers' last reports, and
    /// since the announcement of the change that has not arrived yet.
    ages: GaugeVec,
    /// Requests waiting for a slot.
    waiting: Gauge,
    /// Open connections of callers, and active requests.
    callers: GaugeVec,
    /// Replicas by availability: open, cold and designated to this instance (`cold_kept`), cold and
    /// designated to another one (`cold_closed`), limited, resting, unusable.
    replica_states: GaugeVec,
    /// Other instances by whether their last report is recent (`heard`) or not (`silent`).
    peers: GaugeVec,
    /// Slots of each replica: used by this instance (`own`), used by others (`elsewhere`), and in
    /// total (`slots`).
    replica_slots: GaugeVec,
}

impl Metrics {
    /// Registers all metrics.
    pub fn new() -> Self {
        let registry = Registry::new();
        Self {
            outcomes: counters(
                &registry,
                "kingcup_requests_total",
                "Requests by outcome",
                "outcome",
            ),
            closed_connections: counters(
                &registry,
                "kingcup_connections_closed_total",
                "Connections of callers that were closed early, by reason",
                "reason",
            ),
            caller_memory: gauges(
                &registry,
                "kingcup_caller_memory_bytes",
                "Memory for callers: held, and the most that may be held",
                "of",
            ),
            refused_for_memory: gauges(
                &registry,
                "kingcup_refused_for_memory",
                "Requests refused for want of memory since the start: evicted, denied",
                "how",
            ),
            task_failures: counters(
                &registry,
                "kingcup_task_failures_total",
                "Tasks of the process that panicked or ended too soon",
                "task",
            ),
            statements: counters(
                &registry,
                "kingcup_replica_statements_total",
                "Responses in which a replica states something about itself: limit, leaving, rest; invalid",
                "kind",
            ),
            invalid_loads: counter(
                &registry,
                "kingcup_invalid_load_figures_total",
                "Responses in which a replica states load figures that can't be used",
            ),
            replica_work_times: gauges(
                &registry,
                "kingcup_replica_work_time",
                "How long work takes at a replica in percent of the usual time, as it stated last",
                "replica",
            ),
            replica_limits: gauges(
                &registry,
                "kingcup_replica_limit",
                "Limit of a replica in requests per second from all instances",
                "replica",
            ),
            replica_paces: gauges(
                &registry,
                "kingcup_replica_pace",
                "Requests in flight that a replica which has just started or recovered may have from all instances",
                "replica",
            ),
            organisation_use: gauges(
                &registry,
                "kingcup_organisation_use",
                "Recent work of an organisation at replicas through all instances, in tokens per second",
                "organisation",
            ),
            durations: durations(&registry),
            directory_lag: directory_lag(&registry),
            resumptions: counters(
                &registry,
                "kingcup_stream_resumptions_total",
                "Streams that callers took up, by how their software version was known",
                "evidence",
            ),
            dropped_lines: counter(
                &registry,
                "kingcup_log_lines_dropped_total",
                "Log lines beyond the budget or a reader that stands still",
            ),
            replica_crashes: counter(
                &registry,
                "kingcup_replica_crashes_total",
                "Crashes of replicas while they ran requests of this instance",
            ),
            expired_replicas: counter(
                &registry,
                "kingcup_replicas_lapsed_total",
                "Replicas whose entry ended without a word that they leave",
            ),
            table_version: gauge(&registry, "kingcup_table_version", "Table in force"),
            ages: gauges(
                &registry,
                "kingcup_age_seconds",
                "Time since the store or the most silent peer was heard, and since an awaited change was announced",
                "of",
            ),
            callers: gauges(
                &registry,
                "kingcup_callers",
                "Open connections of callers, and requests being answered",
                "of",
            ),
            waiting: gauge(&registry, "kingcup_waiting", "Requests without a place"),
            replica_states: gauges(
                &registry,
                "kingcup_replicas",
                "Replicas by what they may get: open, cold_kept, cold_closed, limited, resting, unusable",
                "state",
            ),
            peers: gauges(
                &registry,
                "kingcup_instances",
                "Other instances by what is known of them",
                "state",
            ),
            replica_slots: replica_slots(&registry),
            registry,
        }
    }

    /// Counts an outcome of a request.
    pub fn count_outcome(&self, outcome: &'static str) {
        self.outcomes.with_label_values(&[outcome]).inc();
    }

    /// Counts a connection of a caller that was closed early.
    pub fn count_closed_connection(&self, reason: &'static str) {
        self.closed_connections.with_label_values(&[reason]).inc();
    }

    /// Counts a statement of a replica about itself.
    pub fn count_statement(&self, kind: &'static str) {
        self.statements.with_label_values(&[kind]).inc();
    }

    /// Counts load figures of a replica that can't be used.
    pub fn count_invalid_load(&self) {
        self.invalid_loads.inc();
    }

    /// Counts a stream that a caller took up, by how it was known where it began.
    pub fn count_resumption(&self, evidence: &'static str) {
        self.resumptions.with_label_values(&[evidence]).inc();
    }

    /// Counts dropped log lines.
    pub fn count_dropped_lines(&self, lines: u64) {
        self.dropped_lines.inc_by(lines);
    }

    /// Counts a replica that crashed while it ran requests of this instance.
    pub fn count_replica_crash(&self) {
        self.replica_crashes.inc();
    }

    /// Counts a task that panicked or ended too soon.
    pub fn count_task_failure(&self, name: TaskName) {
        self.task_failures.with_label_values(&[name]).inc();
    }

    /// Counts a replica whose directory entry expired.
    pub fn count_expired_replica(&self) {
        self.expired_replicas.inc();
    }

    /// Records the duration of a phase.
    pub fn observe(&self, phase: Phase, duration: Duration) {
        self.durations
            .with_label_values(&[phase.name()])
            .observe(duration.as_secs_f64());
    }

    /// Records how long a directory change took from its announcement by another instance.
    pub fn observe_directory_lag(&self, lag: Duration) {
        self.directory_lag.observe(lag.as_secs_f64());
    }

    /// Updates the gauges from the state of the instance and renders all metrics as text.
    pub fn render(&self, node: &Node) -> String {
        self.update_gauges(node);
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }

    /// Sets all gauges from the current state of the instance.
    fn update_gauges(&self, node: &Node) {
        let now = Instant::now();
        let peers = node.peers.borrow();
        let dispatch = node.dispatch.borrow();
        self.table_version.set(node.table_version() as f64);
        self.waiting.set(dispatch.waiting_count() as f64);
        for (of, count) in [
            ("connections", *node.open_connections.borrow()),
            ("requests", node.active_requests.get()),
        ] {
            self.callers.with_label_values(&[of]).set(count as f64);
        }
        let memory = &node.caller_memory;
        for (of, bytes) in [("held", memory.held()), ("limit", memory.limit())] {
            self.caller_memory
                .with_label_values(&[of])
                .set(bytes as f64);
        }
        let refused = memory.refused();
        for (how, count) in [("evicted", refused.evicted), ("denied", refused.denied)] {
            let gauge = self.refused_for_memory.with_label_values(&[how]);
            gauge.set(count as f64);
        }
        if let Some(age) = node.store_age() {
            self.set_age("store", age);
        }
        self.set_age("peers", peers.max_report_age(now));
        let awaited = node.directory_reader.borrow().awaited_for(now);
        self.set_age("awaited_change", awaited.unwrap_or_default());
        let live = peers.live_count(now) as f64 - 1.0;
        let peer_count = peers.all().len() as f64;
        self.peers.with_label_values(&["heard"]).set(live);
        self.peers
            .with_label_values(&["silent"])
            .set(peer_count - live);
        let counts = dispatch.replica_counts(now);
        for (state, count) in [
            ("open", counts.accepting),
            ("cold_kept", counts.cold_designated),
            ("cold_closed", counts.cold_not_designated),
            ("limited", counts.limited),
            ("resting", counts.resting),
            ("unusable", counts.unusable),
        ] {
            self.replica_states
                .with_label_values(&[state])
                .set(f64::from(count));
        }
        let work_times = dispatch.work_times(now).take(MAX_REPLICAS);
        let percents = work_times.map(|(replica, figure)| (replica, f64::from(figure.percent)));
        replace_values(&self.replica_work_times, percents);
        let limits = dispatch.limits(now).take(MAX_REPLICAS);
        replace_values(&self.replica_limits, limits);
        let paces = dispatch.paces().take(MAX_REPLICAS);
        let bounds = paces.map(|(replica, bound)| (replica, f64::from(bound)));
        replace_values(&self.replica_paces, bounds);
        let usage = node.largest_usage(now, MAX_ORGANISATIONS);
        replace_values(&self.organisation_use, usage);
        self.replica_slots.reset();
        for usage in dispatch.replica_usage().take(MAX_REPLICAS) {
            let set = |whose: &str, slots: u32| {
                let labels = [&**usage.upstream, whose];
                self.replica_slots
                    .with_label_values(&labels)
                    .set(f64::from(slots));
            };
            set("own", usage.own_running);
            set("elsewhere", usage.remote_running);
            set("slots", usage.slots);
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

fn counters(registry: &Registry, name: &str, help: &str, label: &str) -> IntCounterVec {
    let counters =
        IntCounterVec::new(Opts::new(name, help), &[label]).expect("a fixed name is valid");
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

fn replica_slots(registry: &Registry) -> GaugeVec {
    let opts = Opts::new(
        "kingcup_replica_places",
        "Places at a replica: held here, held elsewhere, and its slots",
    );
    let replicas = GaugeVec::new(opts, &["replica", "whose"]).expect("a fixed name is valid");
    register(registry, replicas.clone());
    replicas
}

fn durations(registry: &Registry) -> HistogramVec {
    let opts = HistogramOpts::new("kingcup_request_seconds", "Time by phase of a request");
    let durations = HistogramVec::new(opts.buckets(BUCKET_BOUNDS_S.to_vec()), &["phase"])
        .expect("a fixed name is valid");
    register(registry, durations.clone());
    durations
}

fn directory_lag(registry: &Registry) -> Histogram {
    let opts = HistogramOpts::new(
        "kingcup_directory_lag_seconds",
        "Time from the announcement of a directory change by another instance to its arrival",
    );
    let lag = Histogram::with_opts(opts.buckets(BUCKET_BOUNDS_S.to_vec()))
        .expect("a fixed name is valid");
    register(registry, lag.clone());
    lag
}

fn register<C>(registry: &Registry, collector: C)
where
    C: Collector + 'static,
{
    registry
        .register(Box::new(collector))
        .expect("each name is registered once");
}

/// Replaces all values of a gauge with one label.
fn replace_values<L, I>(gauge: &GaugeVec, values: I)
where
    L: AsRef<str>,
    I: IntoIterator<Item = (L, f64)>,
{
    gauge.reset();
    for (label, value) in values {
        gauge.with_label_values(&[label.as_ref()]).set(value);
    }
}
