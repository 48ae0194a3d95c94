//! Reads load reports and cache events of the replicas that this instance owns.

use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures::StreamExt;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use kingcupfield_decisions::id::{Sequence, UpstreamId};
use kingcupfield_decisions::prefixes::{CacheChange, CacheEvent};
use kingcupfield_decisions::slots::LoadReport;
use rand::RngExt;
use serde::Deserialize;
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::sleep;

use crate::connector::Connector;
use crate::members::Members;
use crate::slots::Slots;

/// How often a replica's load report is read; it lags anyway, and a leaving replica's own word
/// must be known within the few seconds that the brief allows.
const REPORT_EVERY: Duration = Duration::from_secs(1);

/// A report that takes longer is skipped.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest report.
const REPORT_LIMIT: usize = 4096;

/// Pause before a broken feed of cache events is read again.
const FEED_PAUSE: Duration = Duration::from_secs(1);

/// One replica to be watched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Watched {
    /// The replica.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: String,
    /// Whether it is a model engine, which has a feed of cache events.
    pub model: bool,
}

#[derive(Debug)]
struct Watch {
    watched: Watched,
    tasks: Vec<AbortHandle>,
}

#[derive(Debug, Deserialize)]
struct EventData {
    seq: Sequence,
    op: Operation,
    prefix: String,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Operation {
    Stored,
    Evicted,
}

/// Watches replicas; clones share the handles.
#[derive(Debug, Clone)]
pub struct Watcher {
    connector: Connector,
    slots: Slots,
    members: Members,
}

impl Watcher {
    /// Makes a watcher that reports to `slots` and `members`.
    pub fn new(connector: Connector, slots: Slots, members: Members) -> Self {
        Self {
            connector,
            slots,
            members,
        }
    }

    /// Follows the list of owned replicas for ever.
    pub async fn run(self, mut owned: watch::Receiver<Vec<Watched>>) {
        let mut tasks = JoinSet::new();
        let mut watches: Vec<Watch> = Vec::new();
        loop {
            let wanted = owned.borrow_and_update().clone();
            watches.retain(|watch| {
                let keep = wanted.contains(&watch.watched);
                if !keep {
                    watch.tasks.iter().for_each(AbortHandle::abort);
                }
                keep
            });
            for watched in wanted {
                if !watches.iter().any(|w| w.watched == watched) {
                    let handles = self.start(&mut tasks, &watched);
                    watches.push(Watch {
                        watched,
                        tasks: handles,
                    });
                }
            }
            while tasks.try_join_next().is_some() {}
            if owned.changed().await.is_err() {
                return;
            }
        }
    }

    fn start(&self, tasks: &mut JoinSet<()>, watched: &Watched) -> Vec<AbortHandle> {
        let reports = tasks.spawn(self.clone().read_reports(watched.clone()));
        let mut handles = vec![reports];
        if watched.model {
            handles.push(tasks.spawn(self.clone().read_events(watched.clone())));
        }
        handles
    }

    async fn read_reports(self, watched: Watched) {
        loop {
            if let Some(report) = self.read_report(&watched.address).await {
                if report.leaving {
                    self.members.on_upstream_leaving(&watched.upstream);
                }
                self.slots.on_load_report(&watched.upstream, report);
            }
            let jitter = rand::rng().random_range(0.9..=1.1);
            sleep(REPORT_EVERY.mul_f64(jitter)).await;
        }
    }

    async fn read_report(&self, address: &str) -> Option<LoadReport> {
        let req = Request::get(format!("http://{address}/load"))
            .body(Full::<Bytes>::default())
            .ok()?;
        let rsp = self
            .connector
            .fetch(req, REPORT_LIMIT, REPORT_TIMEOUT)
            .await
            .ok()?;
        (rsp.status() == StatusCode::OK).then(|| serde_json::from_slice(rsp.body()).ok())?
    }

    async fn read_events(self, watched: Watched) {
        let mut next = 0;
        loop {
            self.follow_events(&watched, &mut next).await;
            sleep(FEED_PAUSE).await;
        }
    }

    async fn follow_events(&self, watched: &Watched, next: &mut Sequence) -> Option<()> {
        let uri = format!("http://{}/cache/events?from={next}", watched.address);
        let req = Request::get(uri).body(Full::<Bytes>::default()).ok()?;
        let rsp = self
            .connector
            .send(req)
            .await
            .ok()
            .filter(|r| r.status() == StatusCode::OK)?;
        let mut events = Box::pin(rsp.into_body().into_data_stream().eventsource());
        while let Some(event) = events.next().await {
            let data: EventData = serde_json::from_str(&event.ok()?.data).ok()?;
            *next = data.seq + 1;
            let change = match data.op {
                Operation::Stored => CacheChange::Stored,
                Operation::Evicted => CacheChange::Evicted,
            };
            let prefix = u64::from_str_radix(&data.prefix, 16).ok()?;
            let event = CacheEvent {
                seq: data.seq,
                change,
                prefix,
            };
            self.slots.on_cache_event(&watched.upstream, event);
        }
        Some(())
    }
}
