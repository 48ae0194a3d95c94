//! Request mix of a run, read from a JSON file: arrival rates, kinds of requests and senders.

use std::path::{Path, PathBuf};
use std::time::Duration;

use kingcupfield_decisions::id::{OrganisationId, ServiceId, TierId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Reasons why a mix file is rejected.
#[derive(Debug, Error)]
pub enum MixError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// Path of the mix file.
        path: PathBuf,
        /// I/O error from the operating system.
        source: std::io::Error,
    },
    /// The file is not valid JSON or not a valid mix.
    #[error("{}: {reason}", path.display())]
    Malformed {
        /// Path of the mix file.
        path: PathBuf,
        /// What is wrong; JSON errors include line and column.
        reason: String,
    },
}

/// A period with a constant mean arrival rate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Duration in seconds.
    pub seconds: f64,
    /// Mean arrivals per second of a Poisson process.
    pub rate: f64,
}

/// A kind of request that the run sends.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// Name of this kind of request in reports.
    pub job: String,
    /// Service to call: a model or a plain HTTP service.
    pub service: ServiceId,
    /// Tier sent in the `kingcup-tier` header.
    pub tier: TierId,
    /// Frequency relative to the other jobs.
    pub weight: u32,
    /// Timeout of the caller in milliseconds; a later response doesn't count as goodput.
    pub timeout_ms: u64,
    /// `METHOD /path` of a plain service's call; `None` for a completion.
    #[serde(default)]
    pub call: Option<String>,
    /// Whether the call needs an idempotency key, which is requested before the call.
    #[serde(default)]
    pub non_idempotent: bool,
    /// Length of the prompt in words, including the shared prefix.
    #[serde(default)]
    pub prompt_words: u32,
    /// Length in words of the prompt prefix shared by requests of this job and organisation.
    #[serde(default)]
    pub shared_words: u32,
    /// `max_tokens` of the completion request.
    #[serde(default)]
    pub max_tokens: u32,
}

impl Job {
    /// Timeout of the caller, measured from the scheduled arrival.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

/// An organisation that sends requests, with its API key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sender {
    /// Identifier of the organisation; it also selects the shared prompt prefix.
    pub organisation: OrganisationId,
    /// API key sent in `Authorization: Bearer`.
    pub key: String,
    /// Number of requests relative to the other senders.
    pub weight: u32,
}

/// Arrival rates, kinds of requests and senders of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// Phases, run one after the other.
    pub phases: Vec<Phase>,
    /// Kinds of requests; one is drawn by weight for each arrival.
    pub jobs: Vec<Job>,
    /// Sending organisations; one is drawn by weight for each arrival.
    pub senders: Vec<Sender>,
}

impl Mix {
    /// Reads and validates a mix file.
    pub fn read(path: &Path) -> Result<Self, MixError> {
        let buf = std::fs::read(path).map_err(|source| MixError::Read {
            path: path.to_owned(),
            source,
        })?;
        let malformed = |reason| MixError::Malformed {
            path: path.to_owned(),
            reason,
        };
        let mix: Self = serde_json::from_slice(&buf).map_err(|e| malformed(e.to_string()))?;
        match mix.validation_error() {
            None => Ok(mix),
            Some(reason) => Err(malformed(reason)),
        }
    }

    /// Replaces all phases by a single one with `rate` mean arrivals per second.
    pub fn with_phase(mut self, rate: f64, duration: Duration) -> Self {
        self.phases = vec![Phase {
            seconds: duration.as_secs_f64(),
            rate,
        }];
        self
    }

    /// Describes the first validation error; `None` if the mix is valid.
    pub fn validation_error(&self) -> Option<String> {
        if let Some(phase) = self.phases.iter().find(|p| !has_valid_numbers(p)) {
            return Some(format!(
                "phase of {} s at {} a second: both are numbers above 0",
                phase.seconds, phase.rate
            ));
        }
        if let Some(job) = self.jobs.iter().find(|j| j.timeout_ms == 0) {
            return Some(format!("job {}: timeout_ms is above 0", job.job));
        }
        let has_malformed_call = |j: &&Job| {
            let call = j.call.as_deref();
            call.is_some_and(|c| c.split_once(" /").is_none())
        };
        if let Some(job) = self.jobs.iter().find(has_malformed_call) {
            return Some(format!("job {}: call is METHOD /path", job.job));
        }
        let job_weight = self.jobs.iter().map(|j| u64::from(j.weight)).sum::<u64>();
        let sender_weights = self.senders.iter().map(|s| u64::from(s.weight));
        if self.phases.is_empty() || job_weight == 0 || sender_weights.sum::<u64>() == 0 {
            return Some("a phase, a job and a sender with a weight are needed".to_owned());
        }
        None
    }
}

fn has_valid_numbers(phase: &Phase) -> bool {
    let positive = |n: f64| n.is_finite() && n > 0.0;
    positive(phase.seconds) && positive(phase.rate)
}
