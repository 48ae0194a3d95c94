//! One request of the plan over HTTP, and what its caller received.

use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures::{StreamExt, TryFutureExt};
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyDataStream, Full};
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;
use tokio::time::{Instant, timeout_at};

use super::mix::{Job, Sender};
use crate::client::{Client, ClientError, read};

/// After the deadline the caller listens this long for a refusal that is on its way.
const GRACE: Duration = Duration::from_secs(5);

/// How a call ended, as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ending {
    /// The whole answer to its own request came.
    Whole,
    /// An error body came; its kind, and `yes`, `no` or `unknown` for whether it ran.
    Refused {
        /// `kind` of the error body, or the status without one.
        kind: String,
        /// `Kingcup-Ran`.
        ran: String,
    },
    /// A 200 that ended before `[DONE]`.
    Short,
    /// A chunk that belongs to another request.
    Foreign,
    /// No connection, nothing was sent.
    Unreachable,
    /// The connection broke.
    Broken,
    /// Neither answer nor refusal.
    Silent,
}

/// What one caller received; all times count from the planned arrival.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallResult {
    /// How it ended.
    pub ending: Ending,
    /// First token of a stream, or the head of a plain answer.
    pub first_token: Option<Duration>,
    /// The end, whatever it was.
    pub total: Duration,
    /// Chunks with a token.
    pub tokens: u64,
}

/// Sends calls to a list of addresses in turn, as the platform's balancer would.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client,
    addresses: Vec<String>,
}

/// A call ready to be sent: everything that a task needs without the plan.
#[derive(Debug, Clone)]
pub struct PlannedCall {
    number: u64,
    job: Job,
    sender: Sender,
    seed: u64,
}

impl PlannedCall {
    /// Takes a request out of the plan; prompts differ by `seed` and number.
    pub fn new(arrival: &super::Arrival<'_>, seed: u64) -> Self {
        Self {
            number: arrival.number,
            job: arrival.job.clone(),
            sender: arrival.sender.clone(),
            seed,
        }
    }

    /// The prompt: first the words that its job and organisation share, then its own.
    pub fn prompt(&self) -> String {
        let own = format!("{}-{}", self.seed, self.number);
        let shared = format!("{}-{}", self.sender.organisation, self.job.job);
        let words = (0..self.job.prompt_words).map(|i| {
            let stem = if i < self.job.shared_words {
                &shared
            } else {
                &own
            };
            format!("{stem}-{i}")
        });
        words.collect::<Vec<_>>().join(" ")
    }
}

/// The part of a chunk that tells whose it is.
#[derive(Debug, Deserialize)]
struct Chunk {
    #[serde(default)]
    id: String,
}

#[derive(Debug, Deserialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Debug, Deserialize)]
struct ErrorDetail {
    kind: String,
}

#[derive(Debug, Deserialize)]
struct IssuedKey {
    idempotency_key: String,
}

/// What an answer's body turned out to be.
struct Body {
    ending: Ending,
    first_token: Option<Instant>,
    tokens: u64,
}

impl Caller {
    /// Makes a caller of one or more addresses.
    pub fn new(addresses: Vec<String>) -> Self {
        Self {
            client: Client::new(),
            addresses,
        }
    }

    /// Sends `call`, which was planned for `planned`.
    pub async fn call(&self, call: PlannedCall, planned: Instant) -> CallResult {
        let deadline = planned + call.job.timeout() + GRACE;
        let body = match timeout_at(deadline, self.exchange(&call)).await {
            Ok(Ok(body)) => body,
            Ok(Err(e)) => Body::without_token(match e {
                ClientError::Connect { .. } | ClientError::Address { .. } => Ending::Unreachable,
                ClientError::Broken { .. } | ClientError::Timeout { .. } => Ending::Broken,
            }),
            Err(_) => Body::without_token(Ending::Silent),
        };
        CallResult {
            ending: body.ending,
            first_token: body.first_token.map(|at| at - planned),
            total: planned.elapsed(),
            tokens: body.tokens,
        }
    }

    fn address(&self, number: u64) -> &str {
        &self.addresses[number as usize % self.addresses.len()]
    }

    async fn exchange(&self, call: &PlannedCall) -> Result<Body, ClientError> {
        let address = self.address(call.number);
        let mut req = self.request(call);
        if call.job.non_idempotent {
            let issue = self.key_request(call);
            let rsp = self.client.send(address, issue).await?;
            if rsp.status() != StatusCode::OK && rsp.status() != StatusCode::CREATED {
                return refused(address, rsp).await;
            }
            let answer = read(address, rsp).await?;
            let Ok(key) = serde_json::from_slice::<IssuedKey>(&answer.body) else {
                return Ok(Body::without_token(Ending::Short));
            };
            if let Ok(value) = key.idempotency_key.parse() {
                req.headers_mut().insert("idempotency-key", value);
            }
        }
        let rsp = self.client.send(address, req).await?;
        if !rsp.status().is_success() {
            return refused(address, rsp).await;
        }
        if call.job.call.is_some() {
            let head = Instant::now();
            return read(address, rsp).await.map(|_| Body {
                ending: Ending::Whole,
                first_token: Some(head),
                tokens: 0,
            });
        }
        self.follow(address, rsp).await
    }

    fn request(&self, call: &PlannedCall) -> Request<Full<Bytes>> {
        let address = self.address(call.number);
        let uri = |path: &str| format!("http://{address}{path}");
        if let Some((method, path)) = call.job.call.as_deref().and_then(|c| c.split_once(' ')) {
            let uri = uri(&format!("/v1/services/{}{path}", call.job.service));
            let body = json!({"load": call.number, "seed": call.seed});
            return build(call, method, &uri, body.to_string());
        }
        let body = json!({
            "model": call.job.service,
            "stream": true,
            "max_tokens": call.job.max_tokens,
            "messages": [{"role": "user", "content": call.prompt()}],
        });
        build(call, "POST", &uri("/v1/chat/completions"), body.to_string())
    }

    fn key_request(&self, call: &PlannedCall) -> Request<Full<Bytes>> {
        let address = self.address(call.number);
        let uri = format!("http://{address}/v1/idempotency-keys");
        build(call, "POST", &uri, String::new())
    }

    async fn follow(&self, address: &str, rsp: Response<Incoming>) -> Result<Body, ClientError> {
        let id = header(&rsp, "kingcup-request-id");
        let mut events = BodyDataStream::new(rsp.into_body()).eventsource();
        let mut followed = Followed::new(id);
        while let Some(event) = events.next().await {
            let event = event.map_err(|e| ClientError::Broken {
                address: address.to_owned(),
                reason: e.to_string(),
            })?;
            followed.push(&event.data);
        }
        Ok(followed.finish())
    }
}

impl Body {
    fn without_token(ending: Ending) -> Self {
        Self {
            ending,
            first_token: None,
            tokens: 0,
        }
    }
}

/// A stream as far as it was read.
struct Followed {
    id: String,
    first_token: Option<Instant>,
    tokens: u64,
    done: bool,
    foreign: bool,
}

impl Followed {
    fn new(id: String) -> Self {
        Self {
            id,
            first_token: None,
            tokens: 0,
            done: false,
            foreign: false,
        }
    }

    fn push(&mut self, data: &str) {
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        self.first_token.get_or_insert_with(Instant::now);
        self.tokens += 1;
        let chunk: Option<Chunk> = serde_json::from_str(data).ok();
        self.foreign |= chunk.is_none_or(|c| c.id != self.id);
    }

    fn finish(self) -> Body {
        Body {
            ending: match (self.foreign, self.done) {
                (true, _) => Ending::Foreign,
                (false, true) => Ending::Whole,
                (false, false) => Ending::Short,
            },
            first_token: self.first_token,
            tokens: self.tokens,
        }
    }
}

// An operator's word that fits no header leaves an empty request, which ends as unreachable.
fn build(call: &PlannedCall, method: &str, uri: &str, body: String) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(uri)
        .header(AUTHORIZATION, format!("Bearer {}", call.sender.key))
        .header(CONTENT_TYPE, "application/json")
        .header("kingcup-tier", call.job.tier.as_ref())
        .header("kingcup-timeout-ms", call.job.timeout_ms)
        .body(Full::from(body))
        .unwrap_or_default()
}

fn header<B>(rsp: &Response<B>, name: &str) -> String {
    let value = rsp.headers().get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}

async fn refused(address: &str, rsp: Response<Incoming>) -> Result<Body, ClientError> {
    let status = rsp.status();
    let ran = header(&rsp, "kingcup-ran");
    let kind = read(address, rsp)
        .map_ok(|answer| serde_json::from_slice::<ErrorBody>(&answer.body))
        .await?
        .map_or_else(|_| status.as_u16().to_string(), |body| body.error.kind);
    Ok(Body::without_token(Ending::Refused { kind, ran }))
}
