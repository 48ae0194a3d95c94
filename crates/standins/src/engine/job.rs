//! One request inside a fake engine.

use tokio::sync::watch;

use crate::journal::Outcome;
use crate::prompt::Answer;

/// How far a request came; its readers wait for changes of it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Progress {
    /// Tokens generated.
    pub(crate) generated: u64,
    /// Whether it goes on.
    pub(crate) outcome: Outcome,
}

/// A request and its answer, which is worked out from the prompt and never stored.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) request_id: String,
    pub(crate) model: String,
    pub(crate) chat: bool,
    pub(crate) prompt_tokens: u64,
    pub(crate) prefixes: Vec<u64>,
    pub(crate) answer: Answer,
    /// Position in the journal.
    pub(crate) run: usize,
    pub(crate) progress: watch::Sender<Progress>,
}

impl Job {
    pub(crate) fn cancelled(&self) -> bool {
        self.progress.borrow().outcome == Outcome::Cancelled
    }

    pub(crate) fn ended(&self) -> bool {
        self.progress.borrow().outcome != Outcome::Running
    }
}

/// A request of the batch.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) job: std::sync::Arc<Job>,
    /// Prompt tokens still to be processed.
    pub(crate) prefill_left: u64,
}
