//! Report of a run, as text and as JSON.

use std::fmt::{self, Write};

use hdrhistogram::Histogram;
use serde::Serialize;
use tabled::builder::Builder;
use tabled::settings::{Alignment, Style, object::Columns};

use super::call::CallOutcome;
use super::tally::{Group, SecondCounts, Tally};

/// Percentiles of a duration, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Percentiles {
    /// 50th percentile (median).
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

/// Number of calls refused with one error kind and execution status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Refusals {
    /// `kind` of the error body, or the HTTP status if the body can't be parsed.
    pub kind: String,
    /// `Kingcup-Ran` header: `yes`, `no` or `unknown`, whether the request was executed.
    pub ran: String,
    /// Number of calls.
    pub count: u64,
}

/// Results of the calls of one tier or one job.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct GroupReport {
    /// Name of the tier or the job.
    pub name: String,
    /// Scheduled calls, including those not sent.
    pub sent: u64,
    /// Complete responses within the caller's timeout.
    pub good: u64,
    /// Share of scheduled calls with a complete response within the timeout, from 0 to 1.
    pub goodput: f64,
    /// Complete responses after the caller's timeout.
    pub late: u64,
    /// Refusals by error kind and execution status.
    pub refused: Vec<Refusals>,
    /// Responses that ended before they were complete.
    pub short: u64,
    /// Streams with a chunk of another request or with a chunk that is not valid JSON.
    pub foreign: u64,
    /// Calls for which no connection could be opened.
    pub unreachable: u64,
    /// Calls whose connection broke or timed out.
    pub broken: u64,
    /// Calls without a complete response or refusal until their timeout and grace period ended.
    pub silent: u64,
    /// Time from scheduled arrival to first token of complete responses.
    pub first_token: Percentiles,
    /// Time from scheduled arrival to the end of complete responses.
    pub whole: Percentiles,
    /// Counts for each second of scheduled arrival.
    pub seconds: Vec<SecondReport>,
}

/// Counts of the calls of a tier or job that were scheduled in one second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct SecondReport {
    /// Scheduled calls, including those not sent.
    pub sent: u64,
    /// Of these, complete responses within the caller's timeout.
    pub good: u64,
}

/// The report of a run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Seed of the schedule.
    pub seed: u64,
    /// Duration in seconds, from the start of the run to the end of its last call.
    pub seconds: f64,
    /// Calls not sent because too many were in flight; if above 0, the results are limited by the
    /// load generator.
    pub lost_by_tool: u64,
    /// Delay between scheduled arrival and sending; included in every other latency.
    pub send_lag: Percentiles,
    /// Results by tier.
    pub tiers: Vec<GroupReport>,
    /// Results by job.
    pub jobs: Vec<GroupReport>,
}

impl Report {
    /// Creates the report of a run from its counts and its seed.
    pub fn new(tally: &Tally, seed: u64) -> Self {
        Self {
            seed,
            seconds: tally.duration.as_secs_f64(),
            lost_by_tool: tally.not_sent,
            send_lag: percentiles(&tally.send_lag),
            tiers: tally.tiers.iter().map(group_report).collect(),
            jobs: tally.jobs.iter().map(group_report).collect(),
        }
    }

    /// Formats the report as text with aligned tables.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a `String` can't fail.
        self.write_text(&mut text).ok();
        text
    }

    fn write_text(&self, f: &mut String) -> fmt::Result {
        let Self { seed, seconds, .. } = self;
        let lag = self.send_lag.p99_ms;
        writeln!(f, "seed {seed}, {seconds:.1} s")?;
        writeln!(
            f,
            "99 in 100 calls left this tool within {lag:.1} ms of their planned time"
        )?;
        if self.lost_by_tool > 0 {
            let lost = self.lost_by_tool;
            writeln!(
                f,
                "{lost} calls were not sent: too many in flight for this tool"
            )?;
        }
        writeln!(f, "\n{}\n", group_table("tier", &self.tiers))?;
        writeln!(f, "{}\n", group_table("job", &self.jobs))?;
        for tier in &self.tiers {
            for Refusals { kind, ran, count } in &tier.refused {
                writeln!(
                    f,
                    "tier {}: {count} refused as {kind}, ran {ran}",
                    tier.name
                )?;
            }
        }
        Ok(())
    }
}

fn group_report(group: &Group) -> GroupReport {
    let count_of = |outcome: &CallOutcome| {
        let matching = group.outcomes.iter().find(|c| c.outcome == *outcome);
        matching.map_or(0, |c| c.count)
    };
    let refused = group.outcomes.iter().filter_map(|c| match &c.outcome {
        CallOutcome::Refused { kind, ran } => Some(Refusals {
            kind: kind.clone(),
            ran: ran.clone(),
            count: c.count,
        }),
        _ => None,
    });
    let second = |s: &SecondCounts| SecondReport {
        sent: s.sent,
        good: s.good,
    };
    GroupReport {
        name: group.name.clone(),
        sent: group.sent,
        good: group.good,
        goodput: group.good as f64 / group.sent.max(1) as f64,
        late: group.late,
        refused: refused.collect(),
        short: count_of(&CallOutcome::Truncated),
        foreign: count_of(&CallOutcome::WrongRequest),
        unreachable: count_of(&CallOutcome::Unreachable),
        broken: count_of(&CallOutcome::ConnectionBroken),
        silent: count_of(&CallOutcome::NoResponse),
        first_token: percentiles(&group.first_token),
        whole: percentiles(&group.whole),
        seconds: group.seconds.iter().map(second).collect(),
    }
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let ms = |micros: u64| micros as f64 / 1000.0;
    let quantile_ms = |quantile| ms(histogram.value_at_quantile(quantile));
    Percentiles {
        p50_ms: quantile_ms(0.5),
        p95_ms: quantile_ms(0.95),
        p99_ms: quantile_ms(0.99),
        p999_ms: quantile_ms(0.999),
        max_ms: ms(histogram.max()),
    }
}

// Column headings after the first, which is `tier` or `job`.
const COLUMN_HEADINGS: [&str; 10] = [
    "sent",
    "in time",
    "goodput",
    "late",
    "refused",
    "failed",
    "first p50",
    "first p99",
    "whole p50",
    "whole p99",
];

fn group_table(group_by: &str, groups: &[GroupReport]) -> String {
    let mut builder = Builder::default();
    builder.push_record(std::iter::once(group_by).chain(COLUMN_HEADINGS));
    for group in groups {
        let refused: u64 = group.refused.iter().map(|r| r.count).sum();
        let failed = group.short + group.foreign + group.unreachable + group.broken + group.silent;
        builder.push_record([
            group.name.clone(),
            group.sent.to_string(),
            group.good.to_string(),
            format!("{:.1} %", group.goodput * 100.0),
            group.late.to_string(),
            refused.to_string(),
            failed.to_string(),
            format!("{:.1} ms", group.first_token.p50_ms),
            format!("{:.1} ms", group.first_token.p99_ms),
            format!("{:.1} ms", group.whole.p50_ms),
            format!("{:.1} ms", group.whole.p99_ms),
        ]);
    }
    let mut table = builder.build();
    table.with(Style::psql());
    table.modify(Columns::new(1..), Alignment::right());
    table.to_string()
}
