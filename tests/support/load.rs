//! Concurrent callers that send requests while a test injects faults, and record every response.

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

/// Upper bound of the random pause of a caller between two calls, in milliseconds.
const MAX_THINK_MS: u64 = 40;
/// Number of times that a caller sends a booking whose outcome remains unknown.
const BOOKING_ATTEMPTS: usize = 4;
/// Pause before a booking is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Tiers, highest priority first.
pub const TIERS: [&str; 3] = ["urgent", "normal", "bulk"];
/// Organisations whose keys the callers use.
const ORGANISATIONS: [&str; 2] = ["terminal-a", "terminal-b"];

/// Request of a caller, with the data to check its response.
#[derive(Debug, Clone)]
pub enum Requested {
    /// A completion that must return this text.
    Chat { expected: String },
    /// A booking under this idempotency key, with this body.
    Booking { key: String, body: String },
}

/// One call and the response that its caller received; times are milliseconds since the epoch.
#[derive(Debug, Clone)]
pub struct Record {
    pub requested: Requested,
    /// Index into `TIERS`.
    pub tier: usize,
    /// Availability zone of the instance that was called.
    pub zone: &'static str,
    pub sent_ms: u64,
    pub answered_ms: u64,
    /// `None` if the connection failed before a response began.
    pub reply: Option<Reply>,
}

impl Record {
    /// Whether the caller can't tell that its response is incomplete.
    pub fn appears_complete(&self) -> bool {
        self.reply
            .as_ref()
            .is_some_and(|reply| match self.requested {
                Requested::Chat { .. } => reply.claims_whole(),
                Requested::Booking { .. } => reply.status == 200 && reply.ended,
            })
    }
}

/// Availability zones and addresses of the instances that receive calls.
pub type EntryAddresses = Vec<(&'static str, SocketAddr)>;

/// Configuration of the callers.
#[derive(Debug, Clone, Copy)]
pub struct LoadConfig {
    pub seed: u64,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Largest `max_tokens` of a completion.
    pub max_tokens: u64,
    /// One in this many calls, on average, is a booking.
    pub booking_every: u64,
    /// Value of the `kingcup-timeout-ms` header.
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

/// Handle of the running callers; dropping it aborts them.
#[derive(Debug)]
pub struct Load {
    addresses: watch::Sender<EntryAddresses>,
    stop: watch::Sender<bool>,
    records: Arc<Mutex<Vec<Record>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts callers that call all live entry instances of `fleet`.
    pub fn start(fleet: &Fleet, cfg: LoadConfig) -> Self {
        let addresses = watch::Sender::new(live_addresses(fleet));
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

    /// Directs callers to the instances that are live in `fleet` now.
    pub fn update_addresses(&self, fleet: &Fleet) {
        self.addresses.send_replace(live_addresses(fleet));
    }

    /// Stops callers from calling the instance at `addr`.
    pub fn remove_address(&self, addr: SocketAddr) {
        self.addresses
            .send_modify(|addresses| addresses.retain(|(_, entry)| *entry != addr));
    }

    pub fn records(&self) -> Vec<Record> {
        self.records.lock().expect("no caller panicked").clone()
    }

    fn complete_count(&self) -> usize {
        let records = self.records.lock().expect("no caller panicked");
        records
            .iter()
            .filter(|record| record.appears_complete())
            .count()
    }

    /// Waits for `count` more complete responses.
    pub async fn wait_for_complete(&self, count: usize) {
        let target_count = self.complete_count() + count;
        wait_for("more whole answers", async || {
            self.complete_count() >= target_count
        })
        .await;
    }

    /// Waits for `count` more complete responses from instances of one availability zone.
    pub async fn wait_for_complete_in_zone(&self, zone: &str, count: usize) {
        let complete_count = || {
            let records = self.records.lock().expect("no caller panicked");
            records
                .iter()
                .filter(|record| record.zone == zone && record.appears_complete())
                .count()
        };
        let target_count = complete_count() + count;
        wait_for("more whole answers in a zone", async || {
            complete_count() >= target_count
        })
        .await;
    }

    /// Waits until each caller has finished its current request, then returns all records.
    pub async fn stop(mut self) -> Vec<Record> {
        self.stop.send_replace(true);
        for task in self.tasks.drain(..) {
            task.await.expect("a caller that did not panic");
        }
        let records = self.records();
        let answered_bookings = records.iter().filter(|record| {
            matches!(record.requested, Requested::Booking { .. }) && record.reply.is_some()
        });
        assert!(answered_bookings.count() > 0, "no booking was answered");
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

fn live_addresses(fleet: &Fleet) -> EntryAddresses {
    let live_entries = fleet
        .entries
        .iter()
        .filter(|entry| entry.state == Some("live"));
    live_entries.map(|entry| (entry.zone, entry.addr)).collect()
}

/// One caller: sends calls one after the other until it is stopped.
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

    /// Sends one booking and retries it with the same key while its outcome is unknown.
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
            let outcome_known = self.send(requested, call).await;
            if outcome_known {
                return;
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    async fn idempotency_key(&mut self) -> Option<String> {
        let (_, addr) = self.choose_entry();
        let call = Call::new(Method::POST, "/v1/idempotency-keys")
            .with_json(&json!({}))
            .with_key(&key_of(self.organisation()));
        let reply = self.caller.call(addr, &call).await?;
        reply.json()["idempotency_key"].as_str().map(str::to_owned)
    }

    /// Sends a call and records its response; returns whether the caller knows the outcome.
    async fn send(&mut self, requested: Requested, call: Call) -> bool {
        let tier = self.rng.random_range(0..TIERS.len());
        let (zone, addr) = self.choose_entry();
        let call = call
            .with_key(&key_of(self.organisation()))
            .with_header("kingcup-tier", TIERS[tier])
            .with_header("kingcup-timeout-ms", &self.cfg.timeout_ms.to_string());
        let sent_ms = epoch_ms();
        let reply = self.caller.call(addr, &call).await;
        let outcome_known = reply
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
        outcome_known
    }

    fn organisation(&self) -> &'static str {
        ORGANISATIONS[self.number / 3 % ORGANISATIONS.len()]
    }

    /// Chooses a random instance of the caller's zone, or of any zone if its own has none.
    fn choose_entry(&mut self) -> (&'static str, SocketAddr) {
        let all = self.addresses.borrow().clone();
        let mut same_zone = all.clone();
        same_zone.retain(|(zone, _)| *zone == self.zone);
        let addresses = if same_zone.is_empty() { all } else { same_zone };
        addresses[self.rng.random_range(0..addresses.len())]
    }
}
