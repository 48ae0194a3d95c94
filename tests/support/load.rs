//! A load of callers that runs while a test breaks things, and keeps what each was told.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::Method;
use kingcupfield_standins::journal::epoch_ms;
use kingcupfield_standins::prompt::expected_text;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::caller::{Call, Caller, Reply};
use crate::fleet::{BOOKINGS, Fleet, MODEL, key_of};
use crate::process::wait_for;

/// Longest pause of a caller between two calls, in milliseconds.
const MAX_THINK_MS: u64 = 40;
/// Times that a caller sends a booking before it gives up.
const BOOKING_ATTEMPTS: usize = 4;
/// Pause before a booking is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Tiers, the highest first.
pub const TIERS: [&str; 3] = ["urgent", "normal", "bulk"];
/// Organisations whose keys the callers use.
const ORGANISATIONS: [&str; 2] = ["terminal-a", "terminal-b"];

/// What a caller asked for.
#[derive(Debug, Clone)]
pub enum Requested {
    /// A completion with this text as its answer.
    Chat { expected: String },
    /// A booking under this idempotency key, with this body.
    Booking { key: String, body: String },
}

/// One call and what the caller was told.
#[derive(Debug, Clone)]
pub struct Record {
    pub requested: Requested,
    pub tier: usize,
    pub zone: &'static str,
    pub sent_ms: u64,
    pub answered_ms: u64,
    /// `None` when the connection failed before an answer began.
    pub reply: Option<Reply>,
}

impl Record {
    /// Whether the caller holds what it takes for its whole answer.
    pub fn appears_complete(&self) -> bool {
        self.reply
            .as_ref()
            .is_some_and(|reply| match self.requested {
                Requested::Chat { .. } => reply.claims_whole(),
                Requested::Booking { .. } => reply.status == 200 && reply.ended,
            })
    }
}

/// Where the balancer sends callers.
pub type EntryAddresses = Vec<(&'static str, SocketAddr)>;

/// How much is asked for.
#[derive(Debug, Clone, Copy)]
pub struct LoadConfig {
    pub seed: u64,
    pub callers: usize,
    pub max_tokens: u64,
    /// One call in this many is a booking.
    pub booking_every: u64,
    pub timeout_ms: u64,
}

impl LoadConfig {
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            callers: 24,
            max_tokens: 16,
            booking_every: 5,
            timeout_ms: 20_000,
        }
    }

    pub fn with_callers(mut self, callers: usize) -> Self {
        self.callers = callers;
        self
    }

    pub fn with_max_tokens(mut self, max_tokens: u64) -> Self {
        self.max_tokens = max_tokens;
        self
    }

    pub fn with_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = timeout_ms;
        self
    }
}

/// Callers at work.
#[derive(Debug)]
pub struct Load {
    addresses: watch::Sender<EntryAddresses>,
    stop: watch::Sender<bool>,
    records: Arc<Mutex<Vec<Record>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts callers at all entry instances of `fleet`.
    pub fn start(fleet: &Fleet, cfg: LoadConfig) -> Self {
        let addresses = watch::Sender::new(addresses_of(fleet));
        let stop = watch::Sender::new(false);
        let records = Arc::new(Mutex::new(Vec::new()));
        let tasks = (0..cfg.callers)
            .map(|number| {
                let worker = Worker {
                    cfg,
                    number,
                    zone: fleet.cfg.zones[number % fleet.cfg.zones.len()].0,
                    rng: ChaCha8Rng::seed_from_u64(cfg.seed * 1000 + number as u64),
                    caller: Caller::new(),
                    addresses: addresses.subscribe(),
                    stop: stop.subscribe(),
                    records: Arc::clone(&records),
                };
                tokio::spawn(worker.run())
            })
            .collect();
        Self {
            addresses,
            stop,
            records,
            tasks,
        }
    }

    /// Sends callers to the instances that are on the fleet's list now.
    pub fn update_addresses(&self, fleet: &Fleet) {
        self.addresses.send_replace(addresses_of(fleet));
    }

    /// Takes an instance out of the balancer.
    pub fn remove_address(&self, addr: SocketAddr) {
        self.addresses
            .send_modify(|addresses| addresses.retain(|(_, entry)| *entry != addr));
    }

    pub fn records(&self) -> Vec<Record> {
        self.records.lock().expect("no caller panicked").clone()
    }

    fn whole(&self) -> usize {
        let records = self.records.lock().expect("no caller panicked");
        records
            .iter()
            .filter(|record| record.appears_complete())
            .count()
    }

    /// Waits until callers have `count` more whole answers than now.
    pub async fn wait_for_complete(&self, count: usize) {
        let enough = self.whole() + count;
        wait_for("more whole answers", async || self.whole() >= enough).await;
    }

    /// Waits until callers of one zone have `count` more whole answers than now.
    pub async fn wait_for_complete_in_zone(&self, zone: &str, count: usize) {
        let whole = || {
            let records = self.records.lock().expect("no caller panicked");
            records
                .iter()
                .filter(|record| record.zone == zone && record.appears_complete())
                .count()
        };
        let enough = whole() + count;
        wait_for("more whole answers in a zone", async || whole() >= enough).await;
    }

    /// Lets each caller end what it asked for, and returns all that they were told.
    pub async fn stop(mut self) -> Vec<Record> {
        self.stop.send_replace(true);
        for task in self.tasks.drain(..) {
            task.await.expect("a caller that did not panic");
        }
        let records = self.records();
        let booked = records.iter().filter(|record| {
            matches!(record.requested, Requested::Booking { .. }) && record.reply.is_some()
        });
        assert!(booked.count() > 0, "no booking was answered");
        records
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

fn addresses_of(fleet: &Fleet) -> EntryAddresses {
    let live = fleet
        .entries
        .iter()
        .filter(|entry| entry.state == Some("live"));
    live.map(|entry| (entry.zone, entry.addr)).collect()
}

/// One caller.
#[derive(Debug)]
struct Worker {
    cfg: LoadConfig,
    number: usize,
    zone: &'static str,
    rng: ChaCha8Rng,
    caller: Caller,
    addresses: watch::Receiver<EntryAddresses>,
    stop: watch::Receiver<bool>,
    records: Arc<Mutex<Vec<Record>>>,
}

impl Worker {
    async fn run(mut self) {
        let mut turn = 0;
        while !*self.stop.borrow() {
            turn += 1;
            if self.rng.random_range(0..self.cfg.booking_every) == 0 {
                self.book(turn).await;
            } else {
                self.chat(turn).await;
            }
            sleep(Duration::from_millis(
                self.rng.random_range(0..MAX_THINK_MS),
            ))
            .await;
        }
    }

    async fn chat(&mut self, turn: u64) {
        let prompt = format!("caller {} turn {turn} seed {}", self.number, self.cfg.seed);
        let max_tokens = self.rng.random_range(2..=self.cfg.max_tokens);
        let call = Call::chat(MODEL, &prompt, max_tokens, self.rng.random_range(0..2) == 0);
        let expected = expected_text(&prompt, Some(max_tokens));
        self.send(Requested::Chat { expected }, call).await;
    }

    /// Books once, sending the same key again while the outcome is open.
    async fn book(&mut self, turn: u64) {
        let Some(key) = self.idempotency_key().await else {
            return;
        };
        let body = format!("{{\"caller\":{},\"turn\":{turn}}}", self.number);
        for _ in 0..BOOKING_ATTEMPTS {
            let call = Call::new(Method::POST, BOOKINGS)
                .with_body(body.as_bytes())
                .with_header("idempotency-key", &key);
            let requested = Requested::Booking {
                key: key.clone(),
                body: body.clone(),
            };
            let settled = self.send(requested, call).await;
            if settled {
                return;
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    async fn idempotency_key(&mut self) -> Option<String> {
        let (_, addr) = self.entry();
        let call = Call::new(Method::POST, "/v1/idempotency-keys")
            .with_json(&json!({}))
            .with_key(&key_of(self.organisation()));
        let reply = self.caller.call(addr, &call).await?;
        reply.json()["idempotency_key"].as_str().map(str::to_owned)
    }

    /// Sends a call and records it; true when the caller knows the outcome.
    async fn send(&mut self, requested: Requested, call: Call) -> bool {
        let tier = self.rng.random_range(0..TIERS.len());
        let (zone, addr) = self.entry();
        let call = call
            .with_key(&key_of(self.organisation()))
            .with_header("kingcup-tier", TIERS[tier])
            .with_header("kingcup-timeout-ms", &self.cfg.timeout_ms.to_string());
        let sent_ms = epoch_ms();
        let reply = self.caller.call(addr, &call).await;
        let settled = reply
            .as_ref()
            .is_some_and(|reply| reply.ended && reply.ran() != "unknown");
        let answered_ms = epoch_ms();
        let record = Record {
            requested,
            tier,
            zone,
            sent_ms,
            answered_ms,
            reply,
        };
        self.records
            .lock()
            .expect("no caller panicked")
            .push(record);
        settled
    }

    fn organisation(&self) -> &'static str {
        ORGANISATIONS[self.number / 3 % ORGANISATIONS.len()]
    }

    /// An instance of the caller's own zone, which the balancer keeps to while one is there.
    fn entry(&mut self) -> (&'static str, SocketAddr) {
        let all = self.addresses.borrow().clone();
        let mut near = all.clone();
        near.retain(|(zone, _)| *zone == self.zone);
        let addresses = if near.is_empty() { all } else { near };
        addresses[self.rng.random_range(0..addresses.len())]
    }
}
