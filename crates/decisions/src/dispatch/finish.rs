//! Which replicas complete a response before this instance shuts down.
//!
//! Load pattern: long prompts that still reach an instance that shuts down, as the load balancer has not
//! noticed yet or has too few others, while the fast replicas are full and nothing was measured of the slow ones.
//! A response that isn't complete in time is cut off, so each replica is judged by itself, at the moment of the
//! choice, and by a cautious estimate. A request that no replica can complete any more is taken out of the queue
//! while its caller can still go elsewhere.
//!
//! Once the instance closes its connections, it takes only what even a slow replica completes: what it accepts
//! keeps it from ending early, and its successor from starting.

use std::time::Duration;

use tokio::time::Instant;

use super::choice::is_candidate;
use super::size::PromptCost;
use super::upstream::{OUTPUT_LENGTH_MARGIN, Upstream};
use super::{Dispatcher, Job, JobId};
use crate::bounded::bounded_secs;
use crate::id::ServiceId;
use crate::regions::Regions;

/// Time per step of a slow engine with all slots in use, also presumed of one without measurements.
const SLOW_STEP_MS: f64 = 30.0;

/// Factor by which the steps of an engine may take longer than those that were measured, as more requests and their
/// prompts come.
const STEP_TIME_MARGIN: f64 = 1.5;

/// Factor by which a plain service may take longer than usual.
const SERVICE_TIME_MARGIN: f64 = 2.0;

/// Time of a response of an engine apart from the prompt and the tokens.
const OVERHEAD: Duration = Duration::from_millis(500);

/// Time of a response of a slow replica, plain service or engine, apart from the prompt and the tokens.
const SLOW_OVERHEAD: Duration = Duration::from_secs(1);

/// When responses have to be complete because the instance shuts down.
#[derive(Debug, Clone, Copy)]
pub(super) struct ShutdownLimit {
    /// Time of the last responses.
    finish_by: Instant,
    /// Whether the instance closes its connections already.
    is_closing: bool,
}

/// What determines how long a response takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResponseSize {
    /// Tokens in the prompt.
    pub prompt_tokens: f64,
    /// Tokens that the response is expected to have.
    pub expected_output_tokens: f64,
    /// Most tokens that the response may have, if the request says so.
    pub max_output_tokens: Option<f64>,
}

impl ResponseSize {
    /// The size of the rest of a response of which `tokens` have arrived.
    #[must_use]
    pub fn without_output(self, tokens: f64) -> Self {
        let rest = |all: f64| (all - tokens).max(0.0);
        Self {
            expected_output_tokens: rest(self.expected_output_tokens),
            max_output_tokens: self.max_output_tokens.map(rest),
            ..self
        }
    }

    /// Tokens that the response has at most, as far as that can be told; if the instance closes, as many as the
    /// request permits.
    fn longest_output(&self, limit: ShutdownLimit) -> f64 {
        let longest = self.expected_output_tokens * OUTPUT_LENGTH_MARGIN;
        match self.max_output_tokens {
            Some(max) if limit.is_closing => max,
            Some(max) => longest.min(max),
            None => longest,
        }
    }
}

impl Dispatcher {
    /// Sets the time by which responses have to be complete, because the instance shuts down.
    pub fn set_finish_by(&mut self, finish_by: Instant) {
        self.shutdown = Some(ShutdownLimit {
            finish_by,
            is_closing: false,
        });
    }

    /// Records that an instance that shuts down closes its connections.
    pub fn set_closing(&mut self) {
        if let Some(shutdown) = &mut self.shutdown {
            shutdown.is_closing = true;
        }
    }

    /// Whether some usable replica of a service in these regions would complete a response before the instance
    /// shuts down if it began now and were alone there; also `true` if there is no such replica.
    pub fn can_finish(
        &self,
        now: Instant,
        service: &ServiceId,
        regions: &Regions,
        size: &ResponseSize,
    ) -> bool {
        let may_serve =
            |u: &Upstream| u.replica.service == *service && regions.allows(&u.replica.region);
        self.any_can_finish(now, service, size, may_serve)
    }

    /// Removes and returns the waiting requests that no replica can complete any more before the instance shuts
    /// down.
    pub fn take_unfinishable(&mut self, now: Instant) -> Vec<JobId> {
        if self.shutdown.is_none() {
            return Vec::new();
        }
        let unfinishable = |job: &Job| {
            let can_finish =
                self.any_can_finish(now, &job.service, &job.size, |u| is_candidate(u, job));
            !can_finish
        };
        let waiting = self.waiting.iter().map(|w| &w.job);
        let ids: Vec<JobId> = waiting
            .filter(|job| unfinishable(job))
            .map(|job| job.id)
            .collect();
        self.waiting.retain(|w| !ids.contains(&w.job.id));
        ids
    }

    /// Whether a replica with its present load completes the response before the instance shuts down.
    pub(super) fn finishes_before_shutdown(
        &self,
        now: Instant,
        u: &Upstream,
        job: &Job,
        prompt_cost: &PromptCost,
    ) -> bool {
        self.shutdown.is_none_or(|limit| {
            let left = limit.finish_by.saturating_duration_since(now);
            let longest = u.longest_time(now, limit, &job.size, prompt_cost, u.load());
            u.has_slot_at_once() && longest <= left
        })
    }

    /// Whether one of the usable replicas that `may_serve` selects would complete a response in time; also `true`
    /// if it selects none.
    fn any_can_finish<F>(
        &self,
        now: Instant,
        service: &ServiceId,
        size: &ResponseSize,
        may_serve: F,
    ) -> bool
    where
        F: Fn(&Upstream) -> bool,
    {
        let Some(limit) = self.shutdown else {
            return true;
        };
        let left = limit.finish_by.saturating_duration_since(now);
        let prompt_cost = self.prompt_cost(service);
        let mut usable = self
            .upstreams
            .iter()
            .filter(|u| u.is_usable() && may_serve(u))
            .peekable();
        usable.peek().is_none()
            || usable
                .any(|u| u.longest_time(now, limit, size, &prompt_cost, Load::default()) <= left)
    }
}

/// What runs at a replica before a request.
#[derive(Debug, Clone, Copy, Default)]
struct Load {
    /// Prompt tokens that it has yet to process.
    prompt_tokens: f64,
    /// Requests for each of its slots.
    requests_per_slot: f64,
}

impl Upstream {
    /// The present load, as the instances report it. What the replica states may be false and must not keep
    /// requests away.
    fn load(&self) -> Load {
        Load {
            prompt_tokens: self.pending_prompt_tokens(),
            requests_per_slot: f64::from(self.reported_running())
                / f64::from(self.replica.slots.max(1)),
        }
    }

    /// Longest time that the replica is expected to need for a response behind the `load`.
    fn longest_time(
        &self,
        now: Instant,
        limit: ShutdownLimit,
        size: &ResponseSize,
        prompt_cost: &PromptCost,
        load: Load,
    ) -> Duration {
        let factor = self.speed.factor(now).max(1.0);
        let time = if self.replica.is_engine {
            let steps = prompt_cost.first_steps
                + prompt_cost.prompt_steps(load.prompt_tokens)
                + prompt_cost.prompt_steps(size.prompt_tokens)
                + size.longest_output(limit);
            bounded_secs(steps * self.longest_step_ms(limit) * factor / 1e3) + OVERHEAD
        } else {
            let usual_ms = self.latency.service_ms() * (1.0 + load.requests_per_slot);
            bounded_secs(usual_ms * factor * SERVICE_TIME_MARGIN / 1e3)
        };
        if limit.is_closing {
            time.max(SLOW_OVERHEAD)
        } else {
            time
        }
    }

    /// Milliseconds per step; those of a slow engine if nothing was measured, or if the instance closes.
    fn longest_step_ms(&self, limit: ShutdownLimit) -> f64 {
        let learned_ms = self.latency.learned_step_ms();
        let longest_ms = learned_ms.map_or(SLOW_STEP_MS, |ms| ms * STEP_TIME_MARGIN);
        if limit.is_closing {
            longest_ms.max(SLOW_STEP_MS)
        } else {
            longest_ms
        }
    }

    /// Whether another request begins at once, instead of waiting at the replica for a time that isn't known.
    fn has_slot_at_once(&self) -> bool {
        !self.replica.is_engine || self.reported_running() < self.replica.slots
    }
}
