//! What a fake ran, request by request, to be held against what callers were told.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// How far a run came.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// Accepted and not ended.
    #[default]
    Running,
    /// Ended with its whole answer.
    Finished,
    /// Cancelled before its end.
    Cancelled,
}

/// One arrival of a request at the fake; a repeated request has several.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Value of `X-Request-Id`.
    pub request_id: String,
    /// Time of arrival, in milliseconds since 1970.
    pub at_ms: u64,
    /// `METHOD /path` of a plain call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub call: Option<String>,
    /// Value of `Idempotency-Key`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotency_key: Option<String>,
    /// How far it came.
    pub outcome: Outcome,
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Tokens of the prompt found in the prefix cache.
    #[serde(default)]
    pub cached_tokens: u64,
    /// Tokens of the prompt that were processed.
    #[serde(default)]
    pub prefilled_tokens: u64,
    /// Tokens of the answer.
    #[serde(default)]
    pub generated_tokens: u64,
}

/// How often one request was run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCount {
    /// Value of `X-Request-Id`.
    pub request_id: String,
    /// Number of times that it arrived.
    pub runs: u32,
}

/// A request that the fake turned away without running it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnedAway {
    /// Value of `X-Request-Id`.
    pub request_id: String,
    /// Time of arrival, in milliseconds since 1970.
    pub at_ms: u64,
}

/// The journal as `GET /journal` prints it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalView {
    /// Every arrival, in order.
    pub runs: Vec<Run>,
    /// Count of arrivals by request, sorted by request.
    pub counts: Vec<RunCount>,
    /// Requests that were turned away, in order.
    #[serde(default)]
    pub turned_away: Vec<TurnedAway>,
}

/// Shared journal of one fake.
#[derive(Debug, Clone, Default)]
pub struct Journal {
    runs: Arc<Mutex<Vec<Run>>>,
    turned_away: Arc<Mutex<Vec<TurnedAway>>>,
}

impl Journal {
    /// An empty journal.
    pub fn new() -> Self {
        Self::default()
    }

    /// Every arrival, in order.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().clone()
    }

    /// Count of arrivals by request, sorted by request.
    pub fn counts(&self) -> Vec<RunCount> {
        let mut ids: Vec<String> = self
            .lock()
            .iter()
            .map(|run| run.request_id.clone())
            .collect();
        ids.sort_unstable();
        ids.chunk_by(|a, b| a == b)
            .map(|same| RunCount {
                request_id: same[0].clone(),
                runs: same.len() as u32,
            })
            .collect()
    }

    /// The journal as `GET /journal` prints it.
    pub fn view(&self) -> JournalView {
        JournalView {
            runs: self.runs(),
            counts: self.counts(),
            turned_away: self.lock_turned_away().clone(),
        }
    }

    /// Adds a request that is turned away.
    pub(crate) fn turn_away(&self, request_id: &str) {
        self.lock_turned_away().push(TurnedAway {
            request_id: request_id.to_owned(),
            at_ms: epoch_ms(),
        });
    }

    /// The arrival at `position`.
    pub(crate) fn get(&self, position: usize) -> Option<Run> {
        self.lock().get(position).cloned()
    }

    /// Adds an arrival and returns its position.
    pub(crate) fn push(&self, run: Run) -> usize {
        let mut runs = self.lock();
        runs.push(run);
        runs.len() - 1
    }

    /// Changes the run at `position`.
    pub(crate) fn update<U>(&self, position: usize, change: U)
    where
        U: FnOnce(&mut Run),
    {
        if let Some(run) = self.lock().get_mut(position) {
            change(run);
        }
    }

    fn lock_turned_away(&self) -> MutexGuard<'_, Vec<TurnedAway>> {
        self.turned_away
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Run>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The time of day in milliseconds since 1970.
pub fn epoch_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    since.as_millis() as u64
}
