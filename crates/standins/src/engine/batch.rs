//! Continuous batching: requests join in order of arrival, each step gives every request of the
//! batch one token, and prompts are processed in pieces between the steps.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::engine::cache::PrefixCache;
use crate::engine::config::EngineConfig;
use crate::engine::events::CacheEvents;
use crate::engine::job::{Job, Running};
use crate::journal::{Journal, Outcome};

/// Most prompt tokens processed in one step, so that a long prompt doesn't hold the others up.
const PREFILL_PER_STEP: u64 = 1024;
/// Ended requests whose streams can still be resumed.
const MAX_STREAMS: usize = 8192;

/// Everything that the engine's steps change.
#[derive(Debug)]
pub(crate) struct Batch {
    cfg: EngineConfig,
    waiting: VecDeque<Arc<Job>>,
    running: Vec<Running>,
    /// Sorted by request.
    streams: Vec<Arc<Job>>,
    ended: VecDeque<Arc<Job>>,
    cache: PrefixCache,
    pub(crate) events: CacheEvents,
    journal: Journal,
}

impl Batch {
    pub(crate) fn new(cfg: EngineConfig, journal: Journal) -> Self {
        Self {
            waiting: VecDeque::new(),
            running: Vec::new(),
            streams: Vec::new(),
            ended: VecDeque::new(),
            cache: PrefixCache::new(cfg.kv_total),
            events: CacheEvents::new(cfg.cache_event_gap),
            cfg,
            journal,
        }
    }

    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn kv_used(&self) -> u64 {
        self.cache.tokens()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Takes a request in; it waits behind all that came before it.
    pub(crate) fn push(&mut self, job: Arc<Job>) {
        match self.position(&job.request_id) {
            Ok(at) => self.streams[at] = Arc::clone(&job),
            Err(at) => self.streams.insert(at, Arc::clone(&job)),
        }
        self.waiting.push_back(job);
    }

    pub(crate) fn stream(&self, request_id: &str) -> Option<Arc<Job>> {
        self.position(request_id)
            .ok()
            .map(|at| Arc::clone(&self.streams[at]))
    }

    /// Starts a step: takes requests in, processes prompts, and returns how long the step takes.
    pub(crate) fn start_step(&mut self) -> Duration {
        self.drop_cancelled();
        self.admit();
        let mut budget = PREFILL_PER_STEP;
        for running in &mut self.running {
            let piece = running.prefill_left.min(budget);
            running.prefill_left -= piece;
            budget -= piece;
            if piece > 0 {
                self.journal
                    .update(running.job.run, |run| run.prefilled_tokens += piece);
            }
        }
        let generation = &self.cfg.generation;
        generation.step
            + generation.step_per_running * self.running.len() as u32
            + generation.prefill_time(PREFILL_PER_STEP - budget)
    }

    /// Ends a step: every request whose prompt is processed has one token more.
    pub(crate) fn end_step(&mut self, now: Instant) {
        for running in self
            .running
            .iter()
            .filter(|running| running.prefill_left == 0)
        {
            let job = &running.job;
            let first = job.progress.borrow().generated == 0;
            if first {
                let change = self.cache.store(&job.prefixes);
                self.events.record(&change, now);
            }
            job.progress.send_if_modified(|progress| {
                let moves = progress.outcome == Outcome::Running;
                progress.generated += u64::from(moves);
                if moves && progress.generated == job.answer.tokens() {
                    progress.outcome = Outcome::Finished;
                }
                moves
            });
        }
        self.drop_ended();
    }

    fn drop_cancelled(&mut self) {
        let (cancelled, waiting) = self.waiting.drain(..).partition(|job| job.cancelled());
        self.waiting = waiting;
        self.ended.extend::<VecDeque<_>>(cancelled);
        self.drop_ended();
    }

    fn drop_ended(&mut self) {
        for running in self.running.extract_if(.., |running| running.job.ended()) {
            let progress = *running.job.progress.borrow();
            self.journal.update(running.job.run, |run| {
                run.outcome = progress.outcome;
                run.generated_tokens = progress.generated;
            });
            self.ended.push_back(running.job);
        }
        while self.ended.len() > MAX_STREAMS {
            let Some(job) = self.ended.pop_front() else {
                break;
            };
            if let Ok(at) = self.position(&job.request_id)
                && Arc::ptr_eq(&self.streams[at], &job)
            {
                self.streams.remove(at);
            }
        }
    }

    fn admit(&mut self) {
        while self.running.len() < self.cfg.max_running {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            let cached = self.cache.cached_tokens(&job.prefixes);
            self.journal
                .update(job.run, |run| run.cached_tokens = cached);
            let prefill_left = job.prompt_tokens.saturating_sub(cached);
            self.running.push(Running { job, prefill_left });
        }
    }

    fn position(&self, request_id: &str) -> Result<usize, usize> {
        self.streams
            .binary_search_by(|job| job.request_id.as_str().cmp(request_id))
    }
}
