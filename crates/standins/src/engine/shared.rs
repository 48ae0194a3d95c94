//! What the HTTP face and the batch loop of a fake engine share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};

use crate::engine::batch::Batch;
use crate::engine::completion::Completion;
use crate::engine::config::EngineConfig;
use crate::engine::faults::EngineFaults;
use crate::engine::job::{Job, Progress};
use crate::fault_switch::FaultSwitch;
use crate::journal::{Journal, Outcome, Run, epoch_ms};
use crate::prompt::{Answer, count_tokens, prefix_hashes};

/// What `GET /load` answers; it is as old as its time says.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Time of the report, in milliseconds since 1970.
    pub at_ms: u64,
    /// Requests in the batch.
    pub running: usize,
    /// Requests that wait for the batch.
    pub waiting: usize,
    /// Tokens in the prefix cache.
    pub kv_used: u64,
    /// Size of the prefix cache, in tokens.
    pub kv_total: u64,
    /// Whether the replica is about to stop.
    pub leaving: bool,
}

/// Shared state of one fake engine.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) cfg: EngineConfig,
    pub(crate) faults: FaultSwitch<EngineFaults>,
    pub(crate) journal: Journal,
    pub(crate) report: watch::Sender<LoadReport>,
    pub(crate) arrived: Notify,
    batch: Mutex<Batch>,
}

impl Shared {
    pub(crate) fn new(cfg: EngineConfig) -> Self {
        let journal = Journal::new();
        let shared = Self {
            faults: FaultSwitch::new(),
            batch: Mutex::new(Batch::new(cfg.clone(), journal.clone())),
            journal,
            report: watch::Sender::new(LoadReport::default()),
            arrived: Notify::new(),
            cfg,
        };
        shared.renew_report();
        shared
    }

    pub(crate) fn batch(&self) -> MutexGuard<'_, Batch> {
        self.batch.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Journals a request and queues it for the batch.
    pub(crate) fn accept(&self, request_id: &str, req: &Completion, chat: bool) -> Arc<Job> {
        let text = req.text();
        let prompt_tokens = count_tokens(&text);
        let run = self.journal.push(Run {
            request_id: request_id.to_owned(),
            at_ms: epoch_ms(),
            prompt_tokens,
            ..Run::default()
        });
        let job = Arc::new(Job {
            request_id: request_id.to_owned(),
            model: req.model.clone(),
            chat,
            prompt_tokens,
            prefixes: prefix_hashes(&text),
            answer: Answer::new(&text, req.max_tokens.or(req.max_completion_tokens)),
            run,
            progress: watch::Sender::new(Progress {
                generated: 0,
                outcome: Outcome::Running,
            }),
        });
        self.batch().push(Arc::clone(&job));
        self.arrived.notify_one();
        job
    }

    /// Cancels a request that has not ended.
    pub(crate) fn cancel(&self, job: &Job) {
        let cancelled = job.progress.send_if_modified(|progress| {
            let running = progress.outcome == Outcome::Running;
            if running {
                progress.outcome = Outcome::Cancelled;
            }
            running
        });
        if cancelled {
            self.journal
                .update(job.run, |run| run.outcome = Outcome::Cancelled);
        }
    }

    pub(crate) fn renew_report(&self) {
        let batch = self.batch();
        self.report.send_replace(LoadReport {
            at_ms: epoch_ms(),
            running: batch.running(),
            waiting: batch.waiting(),
            kv_used: batch.kv_used(),
            kv_total: self.cfg.kv_total,
            leaving: self.faults.get().leaving,
        });
    }
}
