//! The life of one request in words, from the record that its instance keeps.

use std::fmt::{self, Write};

use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::client::{Client, ClientError};

/// One step in the life of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Milliseconds since receipt.
    pub at_ms: u64,
    /// What happened.
    pub event: String,
    /// More about it; the fields depend on the event and on the instance's version.
    #[serde(default)]
    pub detail: Map<String, Value>,
}

/// What an instance remembers of a request; fields of a newer instance are ignored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Its id.
    pub request: String,
    /// Whose it is.
    pub organisation: String,
    /// Its tier.
    pub tier: String,
    /// Its service.
    pub service: String,
    /// Where it stands.
    pub outcome: String,
    /// Whether the upstream ran it.
    pub ran: String,
    /// Its life.
    pub events: Vec<Event>,
    /// Events beyond the instance's bound.
    #[serde(default)]
    pub events_dropped: u32,
}

/// Asks one admin address; `None` when its instance does not remember the request.
pub async fn fetch(
    client: &Client,
    address: &str,
    request: &str,
) -> Result<Option<Explanation>, ClientError> {
    let path = format!("/explain/{request}");
    let answer = client.ask(Method::GET, address, &path).await?;
    if answer.status == StatusCode::NOT_FOUND {
        return Ok(None);
    }
    let explanation = serde_json::from_slice(&answer.body);
    explanation.map(Some).map_err(|e| ClientError::Broken {
        address: address.to_owned(),
        reason: format!("{} with a body that is no record: {e}", answer.status),
    })
}

impl Explanation {
    /// The life in words, one line a step, and what to do about it.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
        self.write(&mut text).ok();
        text
    }

    fn write(&self, f: &mut String) -> fmt::Result {
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
            writeln!(f, "{:>8} ms  {}", event.at_ms, event.sentence())?;
        }
        if self.events_dropped > 0 {
            writeln!(
                f,
                "             {} later steps were not kept",
                self.events_dropped
            )?;
        }
        writeln!(f, "outcome: {}, {}", self.outcome, ran(&self.ran))?;
        if let Some(advice) = self.advice() {
            writeln!(f, "next: {advice}")?;
        }
        Ok(())
    }

    /// Kind of the refusal, if it was refused.
    pub fn refusal(&self) -> Option<&str> {
        let refused = self.events.iter().rev().find(|e| e.event == "refused")?;
        refused.detail.get("kind")?.as_str()
    }

    /// What an operator may do about it.
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
            "unavailable" => "no replica could take it: kingcup status shows those that can",
            "key_required" | "key_conflict" => {
                "the caller has to fetch a fresh key: see docs/callers.md"
            }
            _ => return None,
        })
    }
}

impl Event {
    fn sentence(&self) -> String {
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
            other => format!("{}{}", other.replace('_', " "), self.pairs()),
        }
    }

    // An event that only a newer instance knows is still told with all that it says.
    fn pairs(&self) -> String {
        let pairs = self.detail.iter().map(|(k, v)| format!(" {k}={v}"));
        pairs.collect()
    }
}

fn ran(ran: &str) -> &'static str {
    match ran {
        "yes" => "it ran",
        "no" => "it did not run and never will",
        _ => "whether it ran is unknown",
    }
}
