//! Predicts the number of tokens in a response.
//!
//! Load pattern: long translations among short status checks, which differ a hundredfold. Callers
//! set `max_tokens` far above most response lengths. Charging for it would make every request look
//! long and would reject requests as late that could finish in time.

use crate::id::{OrganisationId, ServiceId, Tokens};

/// Pairs of organisation and service to remember; beyond it, the least recently used one is
/// evicted.
///
/// 7,100 organisations use a few models each, but one entry instance of 330 sees few of them.
pub const MAX_ENTRIES: usize = 8192;

/// Response length assumed without history and `max_tokens`.
pub const DEFAULT_OUTPUT_TOKENS: Tokens = 256;

/// Share of `max_tokens` assumed without history.
const UNSEEN_MAX_TOKENS_SHARE: f64 = 0.5;

/// Weight of a new response in the mean, which covers about the last ten responses.
const NEW_RESPONSE_WEIGHT: f64 = 0.1;

/// Number of prompt length classes, each four times longer than the one before: up to 64, 256,
/// 1,024, ..
const PROMPT_CLASSES: usize = 6;

/// Mean response length for one class of prompt lengths.
#[derive(Debug, Clone, Copy, Default)]
struct MeanLength {
    mean_tokens: f64,
    responses: u32,
}

impl MeanLength {
    fn add(&mut self, tokens: Tokens) {
        self.responses = self.responses.saturating_add(1);
        let gain = NEW_RESPONSE_WEIGHT.max(1.0 / f64::from(self.responses));
        self.mean_tokens += (tokens as f64 - self.mean_tokens) * gain;
    }
}

/// Response lengths of one organisation at one service.
#[derive(Debug, Clone)]
struct History {
    organisation: OrganisationId,
    service: ServiceId,
    by_prompt: [MeanLength; PROMPT_CLASSES],
    all: MeanLength,
    last_used: u64,
}

/// Predicts response lengths from the history of at most [`MAX_ENTRIES`] pairs of organisation and
/// service.
#[derive(Debug, Clone, Default)]
pub struct LengthPredictor {
    entries: Vec<History>,
    use_count: u64,
}

impl LengthPredictor {
    /// Creates a predictor without history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of pairs of organisation and service in the history.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the history is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Expected tokens in the response to a prompt of `prompt_tokens`, bounded by the caller's
    /// `max_tokens`.
    pub fn predict(
        &self,
        organisation: &OrganisationId,
        service: &ServiceId,
        prompt_tokens: Tokens,
        max_tokens: Option<Tokens>,
    ) -> Tokens {
        let history = self
            .position(organisation, service)
            .ok()
            .and_then(|i| self.entries[i].expected(prompt_tokens));
        let expected = match (history, max_tokens) {
            (Some(tokens), _) => tokens.round() as Tokens,
            (None, Some(max_tokens)) => (max_tokens as f64 * UNSEEN_MAX_TOKENS_SHARE) as Tokens,
            (None, None) => DEFAULT_OUTPUT_TOKENS,
        };
        expected.clamp(1, max_tokens.unwrap_or(Tokens::MAX).max(1))
    }

    /// Records that a complete response to a prompt of `prompt_tokens` had `output_tokens`.
    pub fn on_answer(
        &mut self,
        organisation: &OrganisationId,
        service: &ServiceId,
        prompt_tokens: Tokens,
        output_tokens: Tokens,
    ) {
        self.use_count += 1;
        let i = match self.position(organisation, service) {
            Ok(i) => i,
            Err(_) => self.insert(organisation, service),
        };
        let history = &mut self.entries[i];
        history.last_used = self.use_count;
        history.all.add(output_tokens);
        history.by_prompt[prompt_class(prompt_tokens)].add(output_tokens);
    }

    fn position(&self, organisation: &OrganisationId, service: &ServiceId) -> Result<usize, usize> {
        self.entries.binary_search_by(|history| {
            (&history.organisation, &history.service).cmp(&(organisation, service))
        })
    }

    fn insert(&mut self, organisation: &OrganisationId, service: &ServiceId) -> usize {
        if self.entries.len() >= MAX_ENTRIES {
            self.evict_least_recently_used();
        }
        let i = self
            .position(organisation, service)
            .unwrap_or_else(|insert_at| insert_at);
        self.entries.insert(
            i,
            History {
                organisation: OrganisationId::clone(organisation),
                service: ServiceId::clone(service),
                by_prompt: [MeanLength::default(); PROMPT_CLASSES],
                all: MeanLength::default(),
                last_used: self.use_count,
            },
        );
        i
    }

    fn evict_least_recently_used(&mut self) {
        let oldest = self
            .entries
            .iter()
            .enumerate()
            .min_by_key(|(_, history)| history.last_used)
            .map(|(i, _)| i);
        if let Some(i) = oldest {
            self.entries.remove(i);
        }
    }
}

impl History {
    /// Mean of the prompt's length class, or of all responses if the class has none.
    fn expected(&self, prompt_tokens: Tokens) -> Option<f64> {
        [self.by_prompt[prompt_class(prompt_tokens)], self.all]
            .into_iter()
            .find(|mean| mean.responses > 0)
            .map(|mean| mean.mean_tokens)
    }
}

/// Length class of a prompt.
fn prompt_class(prompt_tokens: Tokens) -> usize {
    let log4 = prompt_tokens.max(1).ilog2() as usize / 2;
    log4.saturating_sub(3).min(PROMPT_CLASSES - 1)
}
