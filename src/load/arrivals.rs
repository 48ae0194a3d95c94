//! Seeded arrival schedule of a run; the same mix and seed produce the same schedule.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::mix::{Job, Mix, Sender};

/// One scheduled request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival<'a> {
    /// Zero-based position in the schedule.
    pub number: u64,
    /// Scheduled arrival time, as an offset from the start of the run.
    pub at: Duration,
    /// Kind of request to send.
    pub job: &'a Job,
    /// Organisation that sends the request, with its API key.
    pub sender: &'a Sender,
}

/// Iterator that generates the schedule lazily, without storing it.
///
/// Times in it are in seconds from the start of the run.
#[derive(Debug, Clone)]
pub struct Arrivals<'a> {
    mix: &'a Mix,
    rng: ChaCha8Rng,
    number: u64,
    phase_index: usize,
    phase_start_s: f64,
    last_arrival_s: f64,
}

impl<'a> Arrivals<'a> {
    /// Creates the schedule of `mix` for one seed.
    pub fn new(mix: &'a Mix, seed: u64) -> Self {
        Self {
            mix,
            rng: ChaCha8Rng::seed_from_u64(seed),
            number: 0,
            phase_index: 0,
            phase_start_s: 0.0,
            last_arrival_s: 0.0,
        }
    }

    // A Poisson process is memoryless, so the interval to the next arrival can be drawn anew at
    // the start of each phase.
    fn next_arrival_s(&mut self) -> Option<f64> {
        loop {
            let phase = self.mix.phases.get(self.phase_index)?;
            let uniform: f64 = self.rng.random();
            let arrival_s = self.last_arrival_s - (1.0 - uniform).ln() / phase.rate;
            let end_s = self.phase_start_s + phase.seconds;
            if arrival_s < end_s {
                self.last_arrival_s = arrival_s;
                return Some(arrival_s);
            }
            self.phase_index += 1;
            self.phase_start_s = end_s;
            self.last_arrival_s = end_s;
        }
    }

    // Draws an item with a probability proportional to its weight; `None` if all weights are 0.
    fn pick_weighted<T, W>(&mut self, items: &'a [T], weight: W) -> Option<&'a T>
    where
        W: Fn(&T) -> u32,
    {
        let total: u64 = items.iter().map(|i| u64::from(weight(i))).sum();
        if total == 0 {
            return None;
        }
        let mut remaining = self.rng.random_range(0..total);
        items.iter().find(|item| {
            let weight = u64::from(weight(item));
            let selected = remaining < weight;
            remaining = remaining.saturating_sub(weight);
            selected
        })
    }
}

impl<'a> Iterator for Arrivals<'a> {
    type Item = Arrival<'a>;

    fn next(&mut self) -> Option<Arrival<'a>> {
        let at = Duration::from_secs_f64(self.next_arrival_s()?);
        let mix = self.mix;
        let job = self.pick_weighted(&mix.jobs, |j| j.weight)?;
        let sender = self.pick_weighted(&mix.senders, |s| s.weight)?;
        let number = self.number;
        self.number += 1;
        Some(Arrival {
            number,
            at,
            job,
            sender,
        })
    }
}
