//! Counts call outcomes and latencies by tier, by job and by second of arrival.

use std::time::Duration;

use hdrhistogram::Histogram;
use kingcupfield_decisions::id::TierId;

use super::Arrival;
use super::call::{CallOutcome, CallResult};

/// Longest duration a histogram can hold; longer ones are recorded as this. No caller waits longer.
const MAX_RECORDED_TIME: Duration = Duration::from_mins(15);

/// Significant decimal digits of recorded durations: with three, a p99 of 1 s is exact to 1 ms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Indexes of the counters to which a call's result is added, and the call's timeout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CountKey {
    tier: usize,
    job: usize,
    second: usize,
    timeout: Duration,
}

/// Counts of the calls scheduled in one second of the run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SecondCounts {
    /// Scheduled calls, including those not sent.
    pub sent: u64,
    /// Of these, complete responses within the timeout.
    pub good: u64,
}

/// Number of calls with one outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutcomeCount {
    /// Outcome that is counted.
    pub outcome: CallOutcome,
    /// Number of calls.
    pub count: u64,
}

/// Counts of one tier or one job.
#[derive(Debug, Clone)]
pub struct Group {
    /// Name of the tier or the job.
    pub name: String,
    /// Scheduled calls, including those not sent.
    pub sent: u64,
    /// Complete responses within the caller's timeout.
    pub good: u64,
    /// Complete responses after the caller's timeout.
    pub late: u64,
    /// Number of calls by outcome, sorted by outcome.
    pub outcomes: Vec<OutcomeCount>,
    /// Scheduled arrival to first token of complete responses, in microseconds.
    pub first_token: Histogram<u64>,
    /// Scheduled arrival to end of complete responses, in microseconds.
    pub whole: Histogram<u64>,
    /// Counts by second of scheduled arrival, from the start of the run.
    pub seconds: Vec<SecondCounts>,
}

/// All counts of a run.
#[derive(Debug, Clone)]
pub struct Tally {
    /// Counts by tier, in order of first arrival.
    pub tiers: Vec<Group>,
    /// Counts by job, in order of first arrival.
    pub jobs: Vec<Group>,
    /// Delay from scheduled arrival to sending, in microseconds; included in every other latency.
    pub send_lag: Histogram<u64>,
    /// Calls that were not sent because too many were in flight.
    pub not_sent: u64,
    /// Time from the start of the run to the end of its last call.
    pub duration: Duration,
    // Calls that ended, including those not sent.
    ended: u64,
}

impl Tally {
    /// Creates an empty tally.
    pub fn new() -> Self {
        Self {
            tiers: Vec::new(),
            jobs: Vec::new(),
            send_lag: new_histogram(),
            not_sent: 0,
            duration: Duration::ZERO,
            ended: 0,
        }
    }

    /// Sets the duration of the run.
    pub fn with_duration(mut self, duration: Duration) -> Self {
        self.duration = duration;
        self
    }

    /// Counts an arrival that is handled `lag` after its scheduled time.
    pub fn record_arrival(&mut self, arrival: &Arrival<'_>, lag: Duration) {
        let key = self.count_key(arrival);
        record_time(&mut self.send_lag, lag);
        for group in [&mut self.tiers[key.tier], &mut self.jobs[key.job]] {
            group.sent += 1;
            group.second_mut(key.second).sent += 1;
        }
    }

    /// Counts an arrival that is not sent because too many calls are in flight.
    pub fn record_dropped(&mut self, _arrival: &Arrival<'_>) {
        self.not_sent += 1;
        self.ended += 1;
    }

    /// Returns the counters for the result of `arrival`, adding its tier and job if new.
    pub fn count_key(&mut self, arrival: &Arrival<'_>) -> CountKey {
        CountKey {
            tier: find_or_add_group(&mut self.tiers, &arrival.job.tier),
            job: find_or_add_group(&mut self.jobs, &TierId::from(arrival.job.job.as_str())),
            second: arrival.at.as_secs() as usize,
            timeout: arrival.job.timeout(),
        }
    }

    /// Counts the outcome of a call and records its latencies if the response is complete.
    pub fn record_end(&mut self, key: CountKey, result: &CallResult) {
        self.ended += 1;
        let complete = result.outcome == CallOutcome::Complete;
        let good = complete && result.total <= key.timeout;
        for group in [&mut self.tiers[key.tier], &mut self.jobs[key.job]] {
            group.count_outcome(&result.outcome);
            if !complete {
                continue;
            }
            record_time(&mut group.whole, result.total);
            if let Some(first_token) = result.first_token {
                record_time(&mut group.first_token, first_token);
            }
            if good {
                group.good += 1;
                group.second_mut(key.second).good += 1;
            } else {
                group.late += 1;
            }
        }
    }

    /// Number of scheduled calls so far, including those not sent.
    pub fn total_scheduled(&self) -> u64 {
        self.tiers.iter().map(|t| t.sent).sum()
    }

    /// Number of calls that ended, including those not sent.
    pub fn total_ended(&self) -> u64 {
        self.ended
    }
}

impl Default for Tally {
    fn default() -> Self {
        Self::new()
    }
}

impl Group {
    fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            sent: 0,
            good: 0,
            late: 0,
            outcomes: Vec::new(),
            first_token: new_histogram(),
            whole: new_histogram(),
            seconds: Vec::new(),
        }
    }

    // Counters of one second of the run; the list is extended up to it if needed.
    fn second_mut(&mut self, index: usize) -> &mut SecondCounts {
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, SecondCounts::default());
        }
        &mut self.seconds[index]
    }

    fn count_outcome(&mut self, outcome: &CallOutcome) {
        match self.outcomes.binary_search_by(|c| c.outcome.cmp(outcome)) {
            Ok(i) => self.outcomes[i].count += 1,
            Err(i) => self.outcomes.insert(
                i,
                OutcomeCount {
                    outcome: outcome.clone(),
                    count: 1,
                },
            ),
        }
    }
}

fn find_or_add_group(groups: &mut Vec<Group>, name: &str) -> usize {
    groups
        .iter()
        .position(|g| g.name == name)
        .unwrap_or_else(|| {
            groups.push(Group::new(name));
            groups.len() - 1
        })
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_RECORDED_TIME.as_micros() as u64, SIGNIFICANT_DIGITS)
        .expect("constant bounds are valid")
}

fn record_time(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(time.as_micros() as u64);
}
