//! Predicts how many tokens an answer will have.
//!
//! Load pattern: long translations among short status checks, hundredfold apart. Callers send a
//! `max_tokens` that is far above most answers; charging by it would make every request long and
//! would refuse as late what ends in time.

use crate::id::{OrganisationId, ServiceId, Tokens};

/// Pairs of organisation and service remembered; beyond it the one used longest ago is forgotten.
///
/// 7,100 organisations use a few models each, but one entry instance of 330 sees few of them.
pub const MAX_LENGTHS: usize = 8192;

/// Answer length assumed when neither history nor `max_tokens` tells anything.
pub const ASSUMED_DECODE: Tokens = 256;

/// Share of `max_tokens` assumed before the first answer was seen.
const UNSEEN_SHARE: f64 = 0.5;

/// Share of a new answer in the moving mean; about the last ten answers count.
const GAIN: f64 = 0.1;

/// Prompt-length classes, each four times longer than the one before: up to 64, 256, 1,024, ..
const CLASSES: usize = 6;

/// Mean answer length seen for one class of prompt lengths.
#[derive(Debug, Clone, Copy, Default)]
struct Seen {
    tokens: f64,
    answers: u32,
}

impl Seen {
    fn add(&mut self, tokens: Tokens) {
        self.answers = self.answers.saturating_add(1);
        let gain = GAIN.max(1.0 / f64::from(self.answers));
        self.tokens += (tokens as f64 - self.tokens) * gain;
    }
}

/// What was seen of one organisation at one service.
#[derive(Debug, Clone)]
struct Length {
    organisation: OrganisationId,
    service: ServiceId,
    by_prompt: [Seen; CLASSES],
    all: Seen,
    used: u64,
}

/// Predictor of answer lengths, bounded by [`MAX_LENGTHS`].
#[derive(Debug, Clone, Default)]
pub struct LengthPredictor {
    lengths: Vec<Length>,
    uses: u64,
}

impl LengthPredictor {
    /// Makes a predictor that has seen no answer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Remembered pairs of organisation and service.
    pub fn len(&self) -> usize {
        self.lengths.len()
    }

    /// Whether no answer was seen yet.
    pub fn is_empty(&self) -> bool {
        self.lengths.is_empty()
    }

    /// Expected answer tokens of a request with `prompt` tokens and the caller's `max_tokens`.
    pub fn predict(
        &self,
        organisation: &OrganisationId,
        service: &ServiceId,
        prompt: Tokens,
        max_tokens: Option<Tokens>,
    ) -> Tokens {
        let seen = self
            .position(organisation, service)
            .ok()
            .and_then(|i| self.lengths[i].expected(prompt));
        let expected = match (seen, max_tokens) {
            (Some(tokens), _) => tokens.round() as Tokens,
            (None, Some(max)) => (max as f64 * UNSEEN_SHARE) as Tokens,
            (None, None) => ASSUMED_DECODE,
        };
        expected.clamp(1, max_tokens.unwrap_or(Tokens::MAX).max(1))
    }

    /// Notes that a whole answer to a request with `prompt` tokens had `decode` tokens.
    pub fn on_answer(
        &mut self,
        organisation: &OrganisationId,
        service: &ServiceId,
        prompt: Tokens,
        decode: Tokens,
    ) {
        self.uses += 1;
        let i = match self.position(organisation, service) {
            Ok(i) => i,
            Err(_) => self.insert(organisation, service),
        };
        let length = &mut self.lengths[i];
        length.used = self.uses;
        length.all.add(decode);
        length.by_prompt[class(prompt)].add(decode);
    }

    fn position(&self, organisation: &OrganisationId, service: &ServiceId) -> Result<usize, usize> {
        self.lengths.binary_search_by(|length| {
            (&length.organisation, &length.service).cmp(&(organisation, service))
        })
    }

    fn insert(&mut self, organisation: &OrganisationId, service: &ServiceId) -> usize {
        if self.lengths.len() >= MAX_LENGTHS {
            self.forget_oldest();
        }
        let i = self
            .position(organisation, service)
            .unwrap_or_else(|free| free);
        self.lengths.insert(
            i,
            Length {
                organisation: OrganisationId::clone(organisation),
                service: ServiceId::clone(service),
                by_prompt: [Seen::default(); CLASSES],
                all: Seen::default(),
                used: self.uses,
            },
        );
        i
    }

    fn forget_oldest(&mut self) {
        let oldest = self
            .lengths
            .iter()
            .enumerate()
            .min_by_key(|(_, length)| length.used)
            .map(|(i, _)| i);
        if let Some(i) = oldest {
            self.lengths.remove(i);
        }
    }
}

impl Length {
    /// Mean of the prompt's class, or of all answers while the class was not seen.
    fn expected(&self, prompt: Tokens) -> Option<f64> {
        [self.by_prompt[class(prompt)], self.all]
            .into_iter()
            .find(|seen| seen.answers > 0)
            .map(|seen| seen.tokens)
    }
}

/// Class of a prompt length.
fn class(prompt: Tokens) -> usize {
    let log4 = prompt.max(1).ilog2() as usize / 2;
    log4.saturating_sub(3).min(CLASSES - 1)
}
