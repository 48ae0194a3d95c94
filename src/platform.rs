//! Reads the platform's configuration service by long poll.
//!
//! What can go wrong: the service is down, stale, slow or over its rate for long stretches. An
//! operator would notice requests refused for want of a list. The last good values are kept for
//! ever, and reconnects back off with jitter so that the fleet does not return all at once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use kingcupfield_decisions::configuration::ValueName;
use kingcupfield_decisions::id::Version;
use kingcupfield_decisions::store_view::{Era, era_of, number_of, revision_in_era};
use rand::RngExt;
use serde::Deserialize;
use serde_json::Value;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::connector::Connector;
use crate::fleet::Fleet;
use crate::logging::quote_value;
use crate::members::{Members, View};
use crate::metrics::Metrics;

/// How long one poll waits at the platform; each waiting watch counts as one call.
const POLL_WAIT: Duration = Duration::from_secs(10);

/// Added to the wait before a poll counts as lost.
const POLL_SLACK: Duration = Duration::from_secs(2);

/// Largest value that the platform holds: a megabyte, and room for the wrapping.
const VALUE_LIMIT: usize = 1_100_000;

/// First pause after a failed call; it doubles up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause between calls while the platform is down: 330 instances with three values each
/// make about 330 calls a second, a sixth of the platform's 2,000.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);

/// Time between polls of an instance that hears from its zone's readers instead: if both readers
/// were cut from the platform at once, the rest would still notice within this.
const SLOW_TURN: Duration = Duration::from_secs(20);

/// Shortest time between two answered polls, so that a platform that answers at once without
/// news is not asked in a loop.
const SHORTEST_TURN: Duration = Duration::from_millis(50);

#[derive(Deserialize)]
struct Published {
    version: Version,
    /// Number of times that the platform was restored from a copy.
    #[serde(default)]
    era: Era,
    value: Value,
}

enum Polled {
    News(Published),
    Nothing,
    OverRate,
    Failed(String),
}

/// Polls one value at the platform.
#[derive(Debug)]
pub struct PlatformReader {
    addresses: Vec<SocketAddr>,
    connector: Connector,
    fleet: Fleet,
    metrics: Metrics,
    name: ValueName,
    members: Members,
}

impl PlatformReader {
    /// Makes a reader of `name`.
    pub fn new(
        addresses: Vec<SocketAddr>,
        connector: Connector,
        fleet: Fleet,
        metrics: Metrics,
        name: ValueName,
        members: Members,
    ) -> Self {
        Self {
            addresses,
            connector,
            fleet,
            metrics,
            name,
            members,
        }
    }

    /// Polls for ever.
    pub async fn run(self) {
        let mut pause = FIRST_PAUSE;
        let mut turn = 0;
        let mut era = 0;
        // A refused version is not asked for again, or it would be answered at once for ever.
        let mut seen = 0;
        let mut view = self.members.watch();
        loop {
            let address = self.addresses[turn % self.addresses.len()];
            let held = self.fleet.version(self.name).unwrap_or(0);
            if era_of(held) > era {
                era = era_of(held);
                seen = 0;
            }
            let asked = number_of(held).max(seen);
            let reader = view.borrow_and_update().reads_platform;
            let wait = if reader { POLL_WAIT } else { Duration::ZERO };
            let polled = self.poll(address, era, asked, wait).await;
            self.count(&polled);
            match polled {
                Polled::News(published) => {
                    seen = published.version;
                    if published.era > era {
                        log::warn!(
                            "event=platform_restored name={} era={} before={era}",
                            self.name.as_str(),
                            published.era
                        );
                    }
                    era = published.era.max(era);
                    self.offer(&published);
                    self.fleet.heard_platform(self.name);
                    pause = FIRST_PAUSE;
                    self.rest(&mut view).await;
                }
                Polled::Nothing => {
                    self.fleet.heard_platform(self.name);
                    pause = FIRST_PAUSE;
                    self.rest(&mut view).await;
                }
                Polled::OverRate | Polled::Failed(_) => {
                    turn += 1;
                    sleep(jittered(pause)).await;
                    pause = (pause * 2).min(LONGEST_PAUSE);
                }
            }
        }
    }

    /// Offers an answer to the fleet. The list of instances is the platform's own, so one of a later era counts
    /// whatever its version. The other values are the operator's, whose versions never go back.
    fn offer(&self, published: &Published) {
        let version = match self.name {
            ValueName::Instances => revision_in_era(published.era, published.version),
            ValueName::Table | ValueName::Services => Some(published.version),
        };
        let Some(version) = version else {
            log::error!(
                "event=value_refused name={} reason=version_out_of_range era={} version={}",
                self.name.as_str(),
                published.era,
                published.version
            );
            return;
        };
        self.fleet.offer(self.name, version, &published.value);
    }

    /// Rests between two answered polls, long unless this instance reads for its zone.
    async fn rest(&self, view: &mut watch::Receiver<Arc<View>>) {
        sleep(SHORTEST_TURN).await;
        let slow = sleep(jittered(SLOW_TURN));
        tokio::select! {
            () = slow => {}
            _ = view.wait_for(|v| v.reads_platform) => {}
        }
    }

    async fn poll(
        &self,
        address: SocketAddr,
        era: Era,
        version: Version,
        wait: Duration,
    ) -> Polled {
        let uri = format!(
            "http://{address}/v1/values/{}?version={version}&era={era}&wait_ms={}",
            self.name.as_str(),
            wait.as_millis()
        );
        let req = match Request::get(uri).body(Full::<Bytes>::default()) {
            Ok(req) => req,
            Err(e) => return Polled::Failed(e.to_string()),
        };
        let answer = self
            .connector
            .fetch(req, VALUE_LIMIT, POLL_WAIT + POLL_SLACK)
            .await;
        match answer {
            Err(e) => Polled::Failed(e.to_string()),
            Ok(rsp) => match rsp.status() {
                StatusCode::OK => match serde_json::from_slice(rsp.body()) {
                    Ok(published) => Polled::News(published),
                    Err(e) => Polled::Failed(e.to_string()),
                },
                StatusCode::NOT_MODIFIED => Polled::Nothing,
                StatusCode::TOO_MANY_REQUESTS => Polled::OverRate,
                status => Polled::Failed(format!("status {status}")),
            },
        }
    }

    fn count(&self, polled: &Polled) {
        let result = match polled {
            Polled::News(_) => "news",
            Polled::Nothing => "nothing",
            Polled::OverRate => "over_rate",
            Polled::Failed(reason) => {
                log::debug!(
                    "event=platform_failed name={} reason={}",
                    self.name.as_str(),
                    quote_value(reason)
                );
                "failed"
            }
        };
        self.metrics
            .platform_calls
            .with_label_values(&[result])
            .inc();
    }
}

/// Between half and all of `pause`.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..=1.0))
}
