//! Settings of a fake engine.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// How fast a hardware generation is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Generation {
    /// Name, as published in the list of instances.
    pub name: String,
    /// Uncached prompt tokens processed in a second; `None` takes no time.
    pub prefill_tokens_per_s: Option<u32>,
    /// Time of one decode step with an empty batch.
    pub step: Duration,
    /// Time that each request of the batch adds to a step.
    pub step_per_running: Duration,
}

impl Generation {
    /// The older generation: about 20 ms between tokens.
    pub fn g1() -> Self {
        Self {
            name: "g1".to_owned(),
            prefill_tokens_per_s: Some(8_000),
            step: Duration::from_millis(16),
            step_per_running: Duration::from_micros(500),
        }
    }

    /// The newer generation: twice as fast as `g1`.
    pub fn g2() -> Self {
        Self {
            name: "g2".to_owned(),
            prefill_tokens_per_s: Some(16_000),
            step: Duration::from_millis(8),
            step_per_running: Duration::from_micros(250),
        }
    }

    /// An engine that answers as fast as the machine can, for measuring what stands before it.
    pub fn instant() -> Self {
        Self {
            name: "instant".to_owned(),
            prefill_tokens_per_s: None,
            step: Duration::ZERO,
            step_per_running: Duration::ZERO,
        }
    }

    /// The generation of that name.
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "g1" => Some(Self::g1()),
            "g2" => Some(Self::g2()),
            "instant" => Some(Self::instant()),
            _ => None,
        }
    }

    /// Time to process `tokens` uncached prompt tokens.
    pub(crate) fn prefill_time(&self, tokens: u64) -> Duration {
        match self.prefill_tokens_per_s {
            Some(rate) => Duration::from_secs_f64(tokens as f64 / f64::from(rate.max(1))),
            None => Duration::ZERO,
        }
    }
}

/// Settings of a fake engine.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Speed.
    pub generation: Generation,
    /// Most requests in the batch; the others wait in order of arrival.
    pub max_running: usize,
    /// Size of the prefix cache, in tokens.
    pub kv_total: u64,
    /// Age that a load report reaches before the next one.
    pub load_lag: Duration,
    /// Delay of cache events.
    pub cache_event_delay: Duration,
    /// One cache event in this many is never sent; 0 sends all.
    pub cache_event_gap: u64,
}

impl EngineConfig {
    /// An engine of the newer generation on a free port.
    pub fn new() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            generation: Generation::g2(),
            max_running: 16,
            kv_total: 64 * 1024,
            load_lag: Duration::from_millis(500),
            cache_event_delay: Duration::from_millis(300),
            cache_event_gap: 16,
        }
    }

    /// Listens on `listen`.
    pub fn with_listen(mut self, listen: SocketAddr) -> Self {
        self.listen = listen;
        self
    }

    /// Runs at the speed of `generation`.
    pub fn with_generation(mut self, generation: Generation) -> Self {
        self.generation = generation;
        self
    }

    /// Batches at most `max_running` requests.
    pub fn with_max_running(mut self, max_running: usize) -> Self {
        self.max_running = max_running.max(1);
        self
    }

    /// Caches at most `kv_total` tokens.
    pub fn with_kv_total(mut self, kv_total: u64) -> Self {
        self.kv_total = kv_total;
        self
    }

    /// Renews the load report every `load_lag`.
    pub fn with_load_lag(mut self, load_lag: Duration) -> Self {
        self.load_lag = load_lag;
        self
    }

    /// Sends cache events `delay` late and leaves out one in `gap`.
    pub fn with_cache_events(mut self, delay: Duration, gap: u64) -> Self {
        self.cache_event_delay = delay;
        self.cache_event_gap = gap;
        self
    }
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self::new()
    }
}
