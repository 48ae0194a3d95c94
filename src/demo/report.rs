//! What the demonstration found: callers' records held against the upstreams' journals.

use std::fmt;
use std::time::Duration;

use kingcupfield_standins::journal::Run;
use serde::Serialize;
use tabled::builder::Builder;
use tabled::settings::object::Columns;
use tabled::settings::{Alignment, Style};

use super::DemoConfig;
use super::client::{CallResult, Outcome};
use super::firm::Firm;
use super::plan::Plan;

/// Counts of one tier.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TierReport {
    /// Name of the tier.
    pub tier: String,
    /// Requests sent.
    pub sent: usize,
    /// Whole answers in time.
    pub whole: usize,
    /// Refusals that said "not run".
    pub refused: usize,
    /// Requests that ran without a whole answer in time.
    pub failed: usize,
    /// Requests of which it is not known whether they ran.
    pub unknown: usize,
    /// Median time to the first token of streamed answers, in milliseconds.
    pub first_token_p50_ms: u64,
    /// 99th percentile of the time to the first token, in milliseconds.
    pub first_token_p99_ms: u64,
}

/// What the demonstration found.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Report {
    /// The firm.
    pub firm: Firm,
    /// The seed.
    pub seed: u64,
    /// Digest of the plan of requests.
    pub plan: String,
    /// Counts by tier, the highest first.
    pub tiers: Vec<TierReport>,
    /// Prompt tokens that engines processed.
    pub prefill_tokens: u64,
    /// Of them, tokens of requests whose caller got no whole answer in time.
    pub wasted_prefill_tokens: u64,
    /// Requests and bookings that upstreams ran more than once.
    pub run_twice: usize,
    /// Refusals that said "not run" for a request that ran.
    pub refused_but_ran: usize,
    /// Answers that came as whole and were not the whole answer to their request.
    pub wrong_answers: usize,
}

impl Report {
    pub(super) fn new(cfg: &DemoConfig, plan: &Plan, results: &[CallResult], runs: &[Run]) -> Self {
        let tiers = Firm::tiers().into_iter().enumerate();
        let mut ran: Vec<&str> = runs.iter().map(|run| run.request_id.as_str()).collect();
        ran.sort_unstable();
        let has_run = |result: &&CallResult| ran.binary_search(&result.request_id.as_str()).is_ok();
        let of_end = |end| results.iter().filter(move |result| result.outcome == end);
        Self {
            firm: cfg.firm,
            seed: cfg.seed,
            plan: format!("{:016x}", plan.digest()),
            tiers: tiers
                .map(|(tier, name)| tier_report(tier, name, results))
                .collect(),
            prefill_tokens: runs.iter().map(|run| run.prefilled_tokens).sum(),
            wasted_prefill_tokens: wasted_prefill(results, runs),
            run_twice: run_twice(runs),
            refused_but_ran: of_end(Outcome::Refused).filter(has_run).count(),
            wrong_answers: of_end(Outcome::Wrong).count(),
        }
    }

    /// Whether the run broke a promise.
    pub fn broke_a_promise(&self) -> bool {
        self.run_twice + self.refused_but_ran + self.wrong_answers > 0
    }
}

fn tier_report(tier: usize, name: &str, results: &[CallResult]) -> TierReport {
    let of_tier: Vec<&CallResult> = results
        .iter()
        .filter(|result| result.tier == tier)
        .collect();
    let count = |end| {
        of_tier
            .iter()
            .filter(|result| result.outcome == end)
            .count()
    };
    let ran = of_tier
        .iter()
        .filter(|result| result.outcome != Outcome::Refused);
    let mut first: Vec<Duration> = ran.filter_map(|result| result.first).collect();
    first.sort_unstable();
    TierReport {
        tier: name.to_owned(),
        sent: of_tier.len(),
        whole: count(Outcome::Whole),
        refused: count(Outcome::Refused),
        failed: count(Outcome::Failed) + count(Outcome::Wrong),
        unknown: count(Outcome::Unknown),
        first_token_p50_ms: percentile_ms(&first, 50),
        first_token_p99_ms: percentile_ms(&first, 99),
    }
}

/// The smallest value that is at least as large as `per_cent` of all; 0 for none.
fn percentile_ms(sorted: &[Duration], per_cent: usize) -> u64 {
    let rank = (sorted.len() * per_cent).div_ceil(100);
    let value = sorted.get(rank.saturating_sub(1));
    value.map_or(0, |value| value.as_millis() as u64)
}

fn wasted_prefill(results: &[CallResult], runs: &[Run]) -> u64 {
    let whole = results
        .iter()
        .filter(|result| result.outcome == Outcome::Whole);
    let mut whole: Vec<&str> = whole.map(|result| result.request_id.as_str()).collect();
    whole.sort_unstable();
    let wasted = runs
        .iter()
        .filter(|run| whole.binary_search(&run.request_id.as_str()).is_err());
    wasted.map(|run| run.prefilled_tokens).sum()
}

fn run_twice(runs: &[Run]) -> usize {
    let requests = runs.iter().map(|run| run.request_id.as_str()).collect();
    let keys = runs
        .iter()
        .filter_map(|run| run.idempotency_key.as_deref())
        .collect();
    repeated(requests) + repeated(keys)
}

fn repeated(mut names: Vec<&str>) -> usize {
    names.sort_unstable();
    names
        .chunk_by(|a, b| a == b)
        .filter(|same| same.len() > 1)
        .count()
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut builder = Builder::default();
        builder.push_record([
            "tier",
            "sent",
            "whole in time",
            "refused",
            "failed",
            "unknown",
            "first token p50",
            "p99",
        ]);
        for tier in &self.tiers {
            builder.push_record([
                tier.tier.clone(),
                tier.sent.to_string(),
                tier.whole.to_string(),
                tier.refused.to_string(),
                tier.failed.to_string(),
                tier.unknown.to_string(),
                format!("{} ms", tier.first_token_p50_ms),
                format!("{} ms", tier.first_token_p99_ms),
            ]);
        }
        let mut table = builder.build();
        table.with(Style::psql());
        table.modify(Columns::new(1..), Alignment::right());
        writeln!(
            f,
            "{}, seed {}, plan {}\n\n{table}\n",
            self.firm, self.seed, self.plan
        )?;
        writeln!(
            f,
            "prefill: {} tokens, of which {} for nothing",
            self.prefill_tokens, self.wasted_prefill_tokens
        )?;
        writeln!(f, "run twice: {}", self.run_twice)?;
        writeln!(f, "refused as not run, but ran: {}", self.refused_but_ran)?;
        writeln!(f, "wrong answers given as whole: {}", self.wrong_answers)
    }
}
