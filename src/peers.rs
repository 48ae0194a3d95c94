//! Links to the other entry instances: ordered, batched, bounded, and lost without harm.
//!
//! What can go wrong: a peer dies, pauses or is cut off while messages wait for it. One would
//! notice memory that grows, or old messages that arrive long after. A link holds a bounded number
//! of messages and drops those older than [`STALE`]; all that they carry is soft state, which is
//! repeated or falls back to a lease's end.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hmac::{Hmac, KeyInit, Mac};
use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::traits::ToRpcParams;
use jsonrpsee::rpc_params;
use jsonrpsee::ws_client::{HeaderMap, HeaderValue, WsClient, WsClientBuilder};
use kingcupfield_decisions::configuration::ConfigurationMessage;
use kingcupfield_decisions::id::{Incarnation, InstanceId};
use kingcupfield_transfer::min_rate_time;
use rand::RngExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::{RawValue, to_raw_value};
use sha2::Sha256;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use crate::error::{Error, Result};
use crate::fleet::Fleet;
use crate::logging::quote_value;
use crate::message::{Announcement, DELIVER, Envelope, PROTOCOL, PeerMessage, VALUES};
use crate::metrics::Metrics;

/// Messages that wait for one peer; more are dropped.
const LINK_CAPACITY: usize = 4096;

/// Most messages in one envelope.
const BATCH: usize = 256;

/// Messages that waited longer are dropped: every lease that they could speak of has ended.
const STALE: Duration = Duration::from_secs(1);

/// A delivery that takes longer counts as lost: longer than the slow links between regions need.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(1500);

/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// First pause after a failed connect; it doubles up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause between connects; a peer that returns is reached within this.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// Largest message: a published value has up to a megabyte.
pub const MESSAGE_LIMIT: u32 = 4 * 1024 * 1024;

/// What the secret signs to make the peers' token.
const TOKEN_CONTEXT: &[u8] = b"kingcupfield peer 1";

/// Proof that a process belongs to the system, derived from the shared secret.
#[derive(Clone)]
pub struct PeerToken {
    header: String,
}

impl std::fmt::Debug for PeerToken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PeerToken(..)")
    }
}

impl PeerToken {
    /// Derives the token from `secret`.
    pub fn new(secret: &[u8]) -> Self {
        let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC takes any key length");
        mac.update(TOKEN_CONTEXT);
        Self {
            header: format!("Bearer {}", hex::encode(mac.finalize().into_bytes())),
        }
    }

    /// Value of the header `Authorization`.
    pub fn header(&self) -> &str {
        &self.header
    }
}

#[derive(Debug)]
struct Queued {
    at: Instant,
    message: PeerMessage,
}

#[derive(Debug)]
struct Link {
    to: InstanceId,
    tx: mpsc::Sender<Queued>,
}

#[derive(Debug)]
struct Inner {
    me: InstanceId,
    incarnation: Incarnation,
    token: PeerToken,
    fleet: Fleet,
    metrics: Metrics,
    links: Mutex<Vec<Link>>,
}

/// Handle of the links; clones share them.
#[derive(Debug, Clone)]
pub struct Peers {
    inner: Arc<Inner>,
}

impl Peers {
    /// Makes the links of instance `me`; each starts with its first message.
    pub fn new(
        me: InstanceId,
        incarnation: Incarnation,
        token: PeerToken,
        fleet: Fleet,
        metrics: Metrics,
    ) -> Self {
        let links = Mutex::default();
        Self {
            inner: Arc::new(Inner {
                me,
                incarnation,
                token,
                fleet,
                metrics,
                links,
            }),
        }
    }

    /// Sends `message` to `to`, in order with the earlier ones, or drops it if the link is full.
    pub fn send(&self, to: &InstanceId, message: PeerMessage) {
        let counter = &self.inner.metrics.peer_messages;
        let kind = message.kind();
        let queued = Queued {
            at: Instant::now(),
            message,
        };
        let sent = self.link(to).try_send(queued).is_ok();
        let direction = if sent { "sent" } else { "dropped" };
        counter.with_label_values(&[direction, kind]).inc();
    }

    /// Asks the contact at `address` for the values that this instance lacks; the answer may take as long
    /// as the slowest transfer of the largest one.
    pub async fn ask_values(
        &self,
        address: SocketAddr,
        announce: ConfigurationMessage,
    ) -> Result<Vec<ConfigurationMessage>> {
        let max_time = DELIVERY_TIMEOUT + min_rate_time(MESSAGE_LIMIT as usize);
        let client = connect(&self.inner.token, &address.to_string(), max_time).await?;
        request(
            &client,
            VALUES,
            &Announcement {
                protocol: PROTOCOL,
                announce,
            },
        )
        .await
    }

    /// Number of links, for the dump.
    pub fn len(&self) -> usize {
        self.inner
            .links
            .lock()
            .expect("no holder of the links panics")
            .len()
    }

    /// Whether no link was started yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn link(&self, to: &InstanceId) -> mpsc::Sender<Queued> {
        let mut links = self
            .inner
            .links
            .lock()
            .expect("no holder of the links panics");
        match links.binary_search_by(|l| l.to.cmp(to)) {
            Ok(at) => links[at].tx.clone(),
            Err(at) => {
                let (tx, rx) = mpsc::channel(LINK_CAPACITY);
                links.insert(
                    at,
                    Link {
                        to: to.clone(),
                        tx: tx.clone(),
                    },
                );
                let run = LinkRun {
                    inner: self.inner.clone(),
                    to: to.clone(),
                    rx,
                    pause: FIRST_PAUSE,
                };
                tokio::spawn(run.run());
                tx
            }
        }
    }
}

struct LinkRun {
    inner: Arc<Inner>,
    to: InstanceId,
    rx: mpsc::Receiver<Queued>,
    pause: Duration,
}

impl LinkRun {
    async fn run(mut self) {
        while let Some(first) = self.rx.recv().await {
            let Some(client) = self.connect().await else {
                self.back_off().await;
                continue;
            };
            self.pause = FIRST_PAUSE;
            self.deliver_all(&client, first).await;
        }
    }

    async fn connect(&self) -> Option<WsClient> {
        let snapshot = self.inner.fleet.snapshot();
        let address = snapshot.entry(&self.to)?.rpc_address.clone()?;
        match connect(&self.inner.token, &address, DELIVERY_TIMEOUT).await {
            Ok(client) => Some(client),
            Err(e) => {
                log::debug!(
                    "event=peer_unreachable peer={} reason={}",
                    self.to,
                    quote_value(e)
                );
                None
            }
        }
    }

    async fn back_off(&mut self) {
        let jitter = rand::rng().random_range(0.5..=1.0);
        sleep(self.pause.mul_f64(jitter)).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }

    /// Delivers until the connection breaks; one envelope at a time keeps the order, and what
    /// comes meanwhile goes together into the next.
    async fn deliver_all(&mut self, client: &WsClient, first: Queued) {
        let mut next = Some(first);
        loop {
            let Some(first) = next.take() else {
                tokio::select! {
                    queued = self.rx.recv() => match queued {
                        Some(queued) => next = Some(queued),
                        None => return,
                    },
                    _ = client.on_disconnect() => return,
                }
                continue;
            };
            let mut queued = vec![first];
            while queued.len() < BATCH {
                match self.rx.try_recv() {
                    Ok(more) => queued.push(more),
                    Err(_) => break,
                }
            }
            if let Err(e) = self.deliver(client, queued).await {
                log::debug!(
                    "event=delivery_failed peer={} reason={}",
                    self.to,
                    quote_value(e)
                );
                return;
            }
        }
    }

    async fn deliver(&self, client: &WsClient, queued: Vec<Queued>) -> Result<()> {
        let fresh = queued.into_iter().filter(|q| q.at.elapsed() < STALE);
        let messages: Vec<PeerMessage> = fresh.map(|q| q.message).collect();
        if messages.is_empty() {
            return Ok(());
        }
        let envelope = Envelope::new(self.inner.me.clone(), self.inner.incarnation, &messages);
        let params = Encoded::new(&envelope).map_err(|e| exchange(DELIVER, &e))?;
        let bytes = self.inner.metrics.peer_bytes.with_label_values(&["sent"]);
        bytes.inc_by(params.len() as u64);
        let delivered = client.request(DELIVER, params).await;
        delivered.map_err(|e| exchange(DELIVER, &e))
    }
}

/// Parameters as they go out, so that their bytes can be counted.
struct Encoded(Box<RawValue>);

impl Encoded {
    fn new<P>(params: &P) -> std::result::Result<Self, serde_json::Error>
    where
        P: Serialize,
    {
        Ok(Self(to_raw_value(&[params])?))
    }

    fn len(&self) -> usize {
        self.0.get().len()
    }
}

impl ToRpcParams for Encoded {
    fn to_rpc_params(self) -> std::result::Result<Option<Box<RawValue>>, serde_json::Error> {
        Ok(Some(self.0))
    }
}

/// Connects to the peer at `address`; an answer may take as long as `timeout`.
pub async fn connect(token: &PeerToken, address: &str, timeout: Duration) -> Result<WsClient> {
    let mut headers = HeaderMap::new();
    let header = HeaderValue::from_str(token.header()).expect("the token is hexadecimal");
    headers.insert("authorization", header);
    WsClientBuilder::default()
        .set_headers(headers)
        .connection_timeout(CONNECT_TIMEOUT)
        .request_timeout(timeout)
        .max_request_size(MESSAGE_LIMIT)
        .max_response_size(MESSAGE_LIMIT)
        .build(format!("ws://{address}"))
        .await
        .map_err(|e| exchange(address, &e))
}

async fn request<P, A>(client: &WsClient, method: &str, params: &P) -> Result<A>
where
    P: Serialize + Sync,
    A: DeserializeOwned,
{
    client
        .request(method, rpc_params![params])
        .await
        .map_err(|e| exchange(method, &e))
}

fn exchange<E>(what: &str, e: &E) -> Error
where
    E: std::fmt::Display,
{
    Error::Exchange {
        what: what.to_owned(),
        reason: e.to_string(),
    }
}
