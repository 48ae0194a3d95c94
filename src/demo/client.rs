//! The callers of the demonstration.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use kingcupfield_standins::prompt::expected_text;
use serde_json::{Value, json};
use tokio::time::{Instant, timeout};

use super::cluster::EntryAddress;
use super::firm::{Firm, key_of};
use super::plan::{Call, Planned};
use crate::connector::Connector;

/// A caller waits this much longer than the timeout that it sends.
const SLACK: Duration = Duration::from_secs(1);

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The whole answer, in time.
    Whole,
    /// Refused, and not run.
    Refused,
    /// It ran, and no whole answer came in time.
    Failed,
    /// Whether it ran is not known.
    Unknown,
    /// An answer that is not the whole answer to this request came as if it were.
    Wrong,
}

/// What the caller of one request was told.
#[derive(Debug, Clone)]
pub(super) struct CallResult {
    /// Position of the tier.
    pub(super) tier: usize,
    pub(super) outcome: Outcome,
    pub(super) request_id: String,
    /// Time to the first byte of a streamed answer.
    pub(super) first: Option<Duration>,
}

/// Sends requests of a plan to the instances, as the balancer would.
#[derive(Debug)]
pub(super) struct DemoClient {
    addresses: Vec<EntryAddress>,
    firm: Firm,
    connector: Connector,
}

/// What came back over HTTP.
#[derive(Debug, Default)]
struct Answer {
    status: u16,
    request_id: String,
    ran: String,
    body: String,
    ended: bool,
    first: Option<Duration>,
}

impl DemoClient {
    pub(super) fn new(addresses: Vec<EntryAddress>, firm: Firm) -> Self {
        Self {
            addresses,
            firm,
            connector: Connector::new(),
        }
    }

    /// Sends one request and tells how it ended.
    pub(super) async fn call(&self, planned: &Planned) -> CallResult {
        let answer = timeout(planned.timeout + SLACK, self.answer(planned)).await;
        let answer = answer.ok().flatten().unwrap_or_default();
        let first = match &planned.call {
            Call::Chat { stream: true, .. } => answer.first,
            _ => None,
        };
        CallResult {
            tier: planned.tier,
            outcome: end(planned, &answer),
            request_id: answer.request_id,
            first,
        }
    }

    async fn answer(&self, planned: &Planned) -> Option<Answer> {
        match &planned.call {
            Call::Chat {
                prompt,
                max_tokens,
                stream,
            } => {
                let body = json!({
                    "model": self.firm.model().0, "max_tokens": max_tokens, "stream": stream,
                    "messages": [{"role": "user", "content": prompt}],
                });
                self.send(planned, "/v1/chat/completions", &body, "").await
            }
            Call::Booking => {
                let issued = self
                    .send(planned, "/v1/idempotency-keys", &json!({}), "")
                    .await?;
                let issued_key: Value = serde_json::from_str(&issued.body).unwrap_or_default();
                let Some(key) = issued_key["idempotency_key"].as_str() else {
                    return Some(issued);
                };
                let (service, path) = self.firm.plain();
                let path = format!("/v1/services/{service}{path}");
                self.send(planned, &path, &booking(planned), key).await
            }
        }
    }

    async fn send(
        &self,
        planned: &Planned,
        path: &str,
        body: &Value,
        idempotency_key: &str,
    ) -> Option<Answer> {
        let (organisation, _) = self.firm.organisations()[planned.organisation];
        let mut req = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.entry(planned)))
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {}", key_of(organisation)))
            .header("kingcup-tier", Firm::tiers()[planned.tier])
            .header(
                "kingcup-timeout-ms",
                planned.timeout.as_millis().to_string(),
            );
        if !idempotency_key.is_empty() {
            req = req.header("idempotency-key", idempotency_key);
        }
        let req = req.body(Full::new(Bytes::from(body.to_string()))).ok()?;
        let started = Instant::now();
        let (head, mut body) = self.connector.send(req).await.ok()?.into_parts();
        let header = |name: &str| {
            let value = head.headers.get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let mut answer = Answer {
            status: head.status.as_u16(),
            request_id: header("kingcup-request-id"),
            ran: header("kingcup-ran"),
            ended: true,
            ..Answer::default()
        };
        let mut bytes = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                answer.ended = false;
                break;
            };
            answer.first.get_or_insert_with(|| started.elapsed());
            bytes.extend(frame.into_data().unwrap_or_default());
        }
        answer.body = String::from_utf8_lossy(&bytes).into_owned();
        Some(answer)
    }

    /// An instance of the caller's zone, each in turn.
    fn entry(&self, planned: &Planned) -> SocketAddr {
        let near: Vec<&EntryAddress> = self
            .addresses
            .iter()
            .filter(|entry| entry.zone == planned.zone)
            .collect();
        near[planned.number % near.len()].addr
    }
}

fn booking(planned: &Planned) -> Value {
    json!({"number": planned.number, "organisation": planned.organisation})
}

fn end(planned: &Planned, answer: &Answer) -> Outcome {
    let complete = answer.status == 200 && answer.ended;
    match answer.ran.as_str() {
        "no" => Outcome::Refused,
        "yes" if complete && is_own_answer(planned, answer) => Outcome::Whole,
        "yes" if complete => Outcome::Wrong,
        "yes" => Outcome::Failed,
        _ => Outcome::Unknown,
    }
}

fn is_own_answer(planned: &Planned, answer: &Answer) -> bool {
    match &planned.call {
        Call::Chat {
            prompt,
            max_tokens,
            stream: true,
        } => {
            let expected = expected_text(prompt, Some(*max_tokens));
            answer.body.ends_with("data: [DONE]\n\n") && streamed_text(&answer.body) == expected
        }
        Call::Chat {
            prompt, max_tokens, ..
        } => {
            let body: Value = serde_json::from_str(&answer.body).unwrap_or_default();
            let expected = expected_text(prompt, Some(*max_tokens));
            body["choices"][0]["message"]["content"] == expected.as_str()
        }
        Call::Booking => {
            let body: Value = serde_json::from_str(&answer.body).unwrap_or_default();
            body["echo"] == booking(planned).to_string().as_str()
        }
    }
}

fn streamed_text(body: &str) -> String {
    let data = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let texts = data.filter_map(|data| {
        let chunk: Value = serde_json::from_str(data).ok()?;
        chunk["choices"][0]["delta"]["content"]
            .as_str()
            .map(str::to_owned)
    });
    texts.collect()
}
