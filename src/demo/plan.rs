//! The plan of requests, fixed by the seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64;

use super::firm::Firm;

/// When one engine slows down, as a part of the run.
pub(super) const SLOW_FROM: f64 = 0.2;
/// When the burst begins.
pub(super) const BURST_FROM: f64 = 0.45;
/// When the burst ends.
pub(super) const BURST_UNTIL: f64 = 0.6;
/// When one engine leaves.
pub(super) const LEAVE_FROM: f64 = 0.75;

/// How many times as many requests arrive in the burst.
const BURST: f64 = 3.0;
/// Words of a shared beginning of prompts.
const PREAMBLE_WORDS: usize = 160;

/// What is asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// A completion.
    Chat {
        /// The prompt.
        prompt: String,
        /// Limit of the answer, in tokens.
        max_tokens: u64,
        /// Whether the answer is streamed.
        stream: bool,
    },
    /// A call that must not be repeated.
    Booking,
}

/// One request of the plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Planned {
    /// Position in the plan.
    pub number: usize,
    /// When it is sent, from the start.
    pub at: Duration,
    /// Position of the availability zone of the caller.
    pub zone: usize,
    /// Position of the organisation.
    pub organisation: usize,
    /// Position of the tier.
    pub tier: usize,
    /// What is asked for.
    pub call: Call,
    /// The caller gives up after this long.
    pub timeout: Duration,
}

/// All requests, in the order of their times.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The requests.
    pub requests: Vec<Planned>,
}

/// Kind of job: its share of all, words of its own, length of its answer and its timeout.
struct Job {
    per_cent: u32,
    words: usize,
    max_tokens: u64,
    timeout: Duration,
}

/// Status checks, drafts and long summaries; a summary is more than thirty times a status check.
const JOBS: [Job; 3] = [
    Job {
        per_cent: 70,
        words: 20,
        max_tokens: 12,
        timeout: Duration::from_secs(2),
    },
    Job {
        per_cent: 25,
        words: 120,
        max_tokens: 120,
        timeout: Duration::from_secs(8),
    },
    Job {
        per_cent: 5,
        words: 1500,
        max_tokens: 400,
        timeout: Duration::from_secs(12),
    },
];
/// Of a hundred requests this many are bookings.
const BOOKINGS_PER_CENT: u32 = 10;
/// Shares of the tiers, the highest first, in per cent.
const TIERS_PER_CENT: [u32; 3] = [20, 50, 30];

impl Plan {
    /// Plans `length` of arrivals; the same firm, seed and length give the same plan.
    pub fn new(firm: Firm, seed: u64, length: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut requests = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            let part = at.as_secs_f64() / length.as_secs_f64();
            let burst = (BURST_FROM..BURST_UNTIL).contains(&part);
            let rate = firm.rate_per_s() * if burst { BURST } else { 1.0 };
            let gap = -(1.0 - rng.random::<f64>()).ln() / rate;
            at += Duration::from_secs_f64(gap);
            if at >= length {
                return Self { requests };
            }
            requests.push(planned(firm, requests.len(), at, &mut rng));
        }
    }

    /// Equal plans have equal digests.
    pub fn digest(&self) -> u64 {
        xxh3_64(format!("{:?}", self.requests).as_bytes())
    }
}

fn planned(firm: Firm, number: usize, at: Duration, rng: &mut ChaCha8Rng) -> Planned {
    let weights: Vec<u32> = firm
        .organisations()
        .iter()
        .map(|(_, weight)| *weight)
        .collect();
    let zone = rng.random_range(0..firm.zones().len());
    let organisation = pick(&weights, rng);
    let tier = pick(&TIERS_PER_CENT, rng);
    let job = &JOBS[pick(&JOBS.map(|job| job.per_cent), rng)];
    let booking = rng.random_range(0..100) < BOOKINGS_PER_CENT;
    let call = if booking {
        Call::Booking
    } else {
        chat(firm, number, job, rng)
    };
    let timeout = if booking {
        JOBS[0].timeout
    } else {
        job.timeout
    };
    Planned {
        number,
        at,
        zone,
        organisation,
        tier,
        call,
        timeout,
    }
}

fn chat(firm: Firm, number: usize, job: &Job, rng: &mut ChaCha8Rng) -> Call {
    let preamble = rng.random_range(0..firm.preambles());
    let shared = (0..PREAMBLE_WORDS).map(|word| format!("p{preamble}-{word}"));
    let own = (0..job.words).map(|word| format!("r{number}-{word}"));
    let words: Vec<String> = shared.chain(own).collect();
    Call::Chat {
        prompt: words.join(" "),
        max_tokens: job.max_tokens,
        stream: rng.random_range(0..4) > 0,
    }
}

/// A position, drawn by weight.
fn pick(weights: &[u32], rng: &mut ChaCha8Rng) -> usize {
    let mut left = rng.random_range(0..weights.iter().sum());
    for (position, weight) in weights.iter().enumerate() {
        if left < *weight {
            return position;
        }
        left -= weight;
    }
    0
}
