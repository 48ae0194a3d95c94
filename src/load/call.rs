//! Sends one scheduled request over HTTP and classifies the response.

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

/// Extra time after the call's timeout in which a refusal already in transit is still accepted.
const REFUSAL_GRACE_PERIOD: Duration = Duration::from_secs(5);

/// Outcome of a call as the caller observes it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallOutcome {
    /// The complete response to this request arrived.
    Complete,
    /// An error response arrived.
    Refused {
        /// `kind` of the error body, or the HTTP status if the body can't be parsed.
        kind: String,
        /// `Kingcup-Ran` header: `yes`, `no` or `unknown`, whether the request was executed.
        ran: String,
    },
    /// The stream of a 200 response ended before `[DONE]`, or a key response had no valid body.
    Truncated,
    /// A chunk carries another request's ID or is not valid JSON.
    WrongRequest,
    /// No connection could be opened; nothing was sent.
    Unreachable,
    /// The connection broke or timed out before the response was complete.
    ConnectionBroken,
    /// No complete response or refusal arrived within the timeout and the grace period.
    NoResponse,
}

/// Result of one call; all durations are measured from the scheduled arrival time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallResult {
    /// How the call ended.
    pub outcome: CallOutcome,
    /// Time to the first chunk of a stream, or to the headers of a plain service's response.
    pub first_token: Option<Duration>,
    /// Time to the end of the call, whatever its outcome.
    pub total: Duration,
    /// Number of chunks received, excluding `[DONE]`; each is counted as one token.
    pub tokens: u64,
}

/// HTTP client that sends calls to its addresses in turn, like the platform's load balancer.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client,
    addresses: Vec<String>,
}

/// A scheduled call with its own copy of the data, so that a spawned task can send it.
#[derive(Debug, Clone)]
pub struct PlannedCall {
    number: u64,
    job: Job,
    sender: Sender,
    seed: u64,
}

impl PlannedCall {
    /// Copies a request from the schedule; `seed` and the request's number make its prompt unique.
    pub fn new(arrival: &super::Arrival<'_>, seed: u64) -> Self {
        Self {
            number: arrival.number,
            job: arrival.job.clone(),
            sender: arrival.sender.clone(),
            seed,
        }
    }

    /// Builds the prompt: words shared by the job and organisation, then words unique to the call.
    pub fn prompt(&self) -> String {
        let unique_stem = format!("{}-{}", self.seed, self.number);
        let shared_stem = format!("{}-{}", self.sender.organisation, self.job.job);
        let words = (0..self.job.prompt_words).map(|i| {
            let stem = if i < self.job.shared_words {
                &shared_stem
            } else {
                &unique_stem
            };
            format!("{stem}-{i}")
        });
        words.collect::<Vec<_>>().join(" ")
    }
}

/// The field of a completion chunk that identifies its request.
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

/// Outcome, timing and token count read from a response body.
struct ReceivedBody {
    outcome: CallOutcome,
    first_token: Option<Instant>,
    tokens: u64,
}

impl Caller {
    /// Creates a caller for the given instance addresses; at least one is required.
    pub fn new(addresses: Vec<String>) -> Self {
        Self {
            client: Client::new(),
            addresses,
        }
    }

    /// Sends `call` and reads its response; latencies are measured from `scheduled`.
    pub async fn call(&self, call: PlannedCall, scheduled: Instant) -> CallResult {
        let deadline = scheduled + call.job.timeout() + REFUSAL_GRACE_PERIOD;
        let body = match timeout_at(deadline, self.exchange(&call)).await {
            Ok(Ok(body)) => body,
            Ok(Err(e)) => ReceivedBody::without_tokens(match e {
                ClientError::Connect { .. } | ClientError::Address { .. } => {
                    CallOutcome::Unreachable
                }
                ClientError::Broken { .. } | ClientError::Timeout { .. } => {
                    CallOutcome::ConnectionBroken
                }
            }),
            Err(_) => ReceivedBody::without_tokens(CallOutcome::NoResponse),
        };
        CallResult {
            outcome: body.outcome,
            first_token: body.first_token.map(|at| at - scheduled),
            total: scheduled.elapsed(),
            tokens: body.tokens,
        }
    }

    // Address for the call with this number in the schedule.
    fn address_for(&self, number: u64) -> &str {
        &self.addresses[number as usize % self.addresses.len()]
    }

    // Sends the call, after requesting an idempotency key if its job needs one.
    async fn exchange(&self, call: &PlannedCall) -> Result<ReceivedBody, ClientError> {
        let address = self.address_for(call.number);
        let mut req = self.request(call);
        if call.job.non_idempotent {
            let key_req = self.key_request(call);
            let rsp = self.client.send(address, key_req).await?;
            if rsp.status() != StatusCode::OK && rsp.status() != StatusCode::CREATED {
                return read_refusal(address, rsp).await;
            }
            let key_rsp = read(address, rsp).await?;
            let Ok(key) = serde_json::from_slice::<IssuedKey>(&key_rsp.body) else {
                return Ok(ReceivedBody::without_tokens(CallOutcome::Truncated));
            };
            if let Ok(value) = key.idempotency_key.parse() {
                req.headers_mut().insert("idempotency-key", value);
            }
        }
        let rsp = self.client.send(address, req).await?;
        if !rsp.status().is_success() {
            return read_refusal(address, rsp).await;
        }
        if call.job.call.is_some() {
            let received_at = Instant::now();
            return read(address, rsp).await.map(|_| ReceivedBody {
                outcome: CallOutcome::Complete,
                first_token: Some(received_at),
                tokens: 0,
            });
        }
        self.read_stream(address, rsp).await
    }

    fn request(&self, call: &PlannedCall) -> Request<Full<Bytes>> {
        let address = self.address_for(call.number);
        let uri = |path: &str| format!("http://{address}{path}");
        if let Some((method, path)) = call.job.call.as_deref().and_then(|c| c.split_once(' ')) {
            let uri = uri(&format!("/v1/services/{}{path}", call.job.service));
            let body = json!({"load": call.number, "seed": call.seed});
            return build_request(call, method, &uri, body.to_string());
        }
        let body = json!({
            "model": call.job.service,
            "stream": true,
            "max_tokens": call.job.max_tokens,
            "messages": [{"role": "user", "content": call.prompt()}],
        });
        build_request(call, "POST", &uri("/v1/chat/completions"), body.to_string())
    }

    fn key_request(&self, call: &PlannedCall) -> Request<Full<Bytes>> {
        let address = self.address_for(call.number);
        let uri = format!("http://{address}/v1/idempotency-keys");
        build_request(call, "POST", &uri, String::new())
    }

    async fn read_stream(
        &self,
        address: &str,
        rsp: Response<Incoming>,
    ) -> Result<ReceivedBody, ClientError> {
        let request_id = header_value(&rsp, "kingcup-request-id");
        let mut events = BodyDataStream::new(rsp.into_body()).eventsource();
        let mut reader = StreamReader::new(request_id);
        while let Some(event) = events.next().await {
            let event = event.map_err(|e| ClientError::Broken {
                address: address.to_owned(),
                reason: e.to_string(),
            })?;
            reader.push(&event.data);
        }
        Ok(reader.finish())
    }
}

impl ReceivedBody {
    fn without_tokens(outcome: CallOutcome) -> Self {
        Self {
            outcome,
            first_token: None,
            tokens: 0,
        }
    }
}

/// State of a completion stream while its events are read.
struct StreamReader {
    request_id: String,
    first_token: Option<Instant>,
    tokens: u64,
    done: bool,
    wrong_request: bool,
}

impl StreamReader {
    fn new(request_id: String) -> Self {
        Self {
            request_id,
            first_token: None,
            tokens: 0,
            done: false,
            wrong_request: false,
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
        self.wrong_request |= chunk.is_none_or(|c| c.id != self.request_id);
    }

    fn finish(self) -> ReceivedBody {
        ReceivedBody {
            outcome: match (self.wrong_request, self.done) {
                (true, _) => CallOutcome::WrongRequest,
                (false, true) => CallOutcome::Complete,
                (false, false) => CallOutcome::Truncated,
            },
            first_token: self.first_token,
            tokens: self.tokens,
        }
    }
}

// A value from the mix file that isn't valid in a header or URI results in an empty request, which
// is counted as unreachable.
fn build_request(
    call: &PlannedCall,
    method: &str,
    uri: &str,
    body: String,
) -> Request<Full<Bytes>> {
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

fn header_value<B>(rsp: &Response<B>, name: &str) -> String {
    let value = rsp.headers().get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}

async fn read_refusal(address: &str, rsp: Response<Incoming>) -> Result<ReceivedBody, ClientError> {
    let status = rsp.status();
    let ran = header_value(&rsp, "kingcup-ran");
    let kind = read(address, rsp)
        .map_ok(|rsp| serde_json::from_slice::<ErrorBody>(&rsp.body))
        .await?
        .map_or_else(|_| status.as_u16().to_string(), |body| body.error.kind);
    Ok(ReceivedBody::without_tokens(CallOutcome::Refused {
        kind,
        ran,
    }))
}
