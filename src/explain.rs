//! Explains how a request was processed, from the record that its instance keeps.

use std::fmt::{self, Write};

use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::client::{Client, ClientError};

/// An event in the processing of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Milliseconds from receipt of the request to the event.
    pub at_ms: u64,
    /// Name of the event.
    pub event: String,
    /// Details; the fields depend on the event and on the instance's version.
    #[serde(default)]
    pub detail: Map<String, Value>,
}

/// Record of a request as an instance returns it; unknown fields of a newer version are ignored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Request id.
    pub request: String,
    /// Organisation that sent the request.
    pub organisation: String,
    /// Tier of the request.
    pub tier: String,
    /// Service that the request calls.
    pub service: String,
    /// Current or final state.
    pub outcome: String,
    /// Whether an upstream ran the request: `yes`, `no` or `unknown`.
    pub ran: String,
    /// Events in order.
    pub events: Vec<Event>,
    /// Number of events left out because the instance's limit per request was reached.
    #[serde(default)]
    pub events_dropped: u32,
}

/// Fetches the record of a request from an admin address; `None` if its instance doesn't keep one.
pub async fn fetch(
    client: &Client,
    address: &str,
    request: &str,
) -> Result<Option<Explanation>, ClientError> {
    let path = format!("/explain/{request}");
    let response = client.ask(Method::GET, address, &path).await?;
    if response.status == StatusCode::NOT_FOUND {
        return Ok(None);
    }
    let explanation = serde_json::from_slice(&response.body);
    explanation.map(Some).map_err(|e| ClientError::Broken {
        address: address.to_owned(),
        reason: format!(
            "{} with a body that is not a valid record: {e}",
            response.status
        ),
    })
}

impl Explanation {
    /// Formats the record as text: a line per event, the outcome and, after a failure, advice.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
        self.write_text(&mut text).ok();
        text
    }

    fn write_text(&self, f: &mut String) -> fmt::Result {
        let Self {
            request,
            organisation,
            tier,
            service,
            ..
        } = self;
        writeln!(
            f,
            "request {request} of {organisation}, tier {tier}, service {service}"
        )?;
        for event in &self.events {
            writeln!(f, "{:>8} ms  {}", event.at_ms, event.description())?;
        }
        if self.events_dropped > 0 {
            writeln!(
                f,
                "             {} later steps were not kept",
                self.events_dropped
            )?;
        }
        writeln!(
            f,
            "outcome: {}, {}",
            self.outcome,
            run_status_text(&self.ran)
        )?;
        if let Some(advice) = self.advice() {
            writeln!(f, "next: {advice}")?;
        }
        Ok(())
    }

    /// Kind of the last refusal, if the request was refused.
    pub fn refusal(&self) -> Option<&str> {
        let refused = self.events.iter().rev().find(|e| e.event == "refused")?;
        refused.detail.get("kind")?.as_str()
    }

    /// Suggests what an operator can check next; `None` if there is no advice for the outcome.
    pub fn advice(&self) -> Option<&'static str> {
        if self.outcome == "broken" {
            return Some("look at the replica named above: kingcup status shows its state");
        }
        if self.outcome == "late" {
            return Some("compare the caller's patience with the replica's times above");
        }
        Some(match self.refusal()? {
            "limited" => "the organisation used up its own limit: kingcup table show FILE",
            "shed" => "capacity is short for this tier: see docs/operating/overload.md",
            "deadline" => "the caller's patience ended first: compare it with the waits above",
            "quarantined" => {
                "replicas crashed of requests like this one: see replica_crashed in the logs"
            }
            "unavailable" => "no replica could take it: kingcup status shows those that can",
            "key_required" | "key_conflict" => {
                "the caller has to fetch a fresh key: see docs/callers.md"
            }
            _ => return None,
        })
    }
}

impl Event {
    fn description(&self) -> String {
        let detail = |name: &str| match self.detail.get(name) {
            Some(Value::String(text)) => text.clone(),
            Some(other) => other.to_string(),
            None => "?".to_owned(),
        };
        let upstream = || detail("upstream");
        match self.event.as_str() {
            "received" => "received and understood".to_owned(),
            "reserved" => format!("reserved at {}", upstream()),
            "rejected" => format!("not queued at {}: {}", upstream(), detail("why")),
            "granted" => format!("granted a slot at {}", upstream()),
            "dispatched" => format!("dispatched to {}", upstream()),
            "not_sent" => format!("not sent to {}: {}", upstream(), detail("reason")),
            "first_token" => "the first token came".to_owned(),
            "resumed" => format!("the stream broke and was resumed at {}", detail("from")),
            "caller_gone" => "the caller went away".to_owned(),
            "deadline_passed" => "the caller's deadline passed while it ran".to_owned(),
            "refused" => format!("refused as {}: {}", detail("kind"), detail("message")),
            "broke" => format!("the upstream broke: {}", detail("reason")),
            "answered" => "the whole answer was sent".to_owned(),
            other => format!("{}{}", other.replace('_', " "), self.detail_pairs()),
        }
    }

    // Events added by a newer version have no text here, so all their details are printed.
    fn detail_pairs(&self) -> String {
        let pairs = self.detail.iter().map(|(k, v)| format!(" {k}={v}"));
        pairs.collect()
    }
}

fn run_status_text(ran: &str) -> &'static str {
    match ran {
        "yes" => "it ran",
        "no" => "it did not run and never will",
        _ => "whether it ran is unknown",
    }
}
