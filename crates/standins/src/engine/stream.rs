//! One connection that carries a stream of chunks, with the fault that hits it.

use std::cmp::Ordering;
use std::collections::VecDeque;
use std::sync::Arc;
use std::{io, mem};

use axum::body::Body;
use bytes::Bytes;
use futures::stream;
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::engine::faults::{StreamFault, StreamFaultKind};
use crate::engine::job::{Job, Progress};
use crate::journal::Outcome;
use crate::listener::broken;

/// Text of a chunk that belongs to no answer of the reader.
const FOREIGN_TEXT: &str = "foreign ";
/// Request that a crossed chunk claims to answer.
const FOREIGN_ID: &str = "foreign-request";

/// Reads the answer of a job from a position on.
#[derive(Debug)]
pub(crate) struct Reader {
    job: Arc<Job>,
    rx: watch::Receiver<Progress>,
    seq: u64,
    sent: u64,
    fault: Option<StreamFault>,
    queued: VecDeque<Bytes>,
    breaks: bool,
    ended: bool,
}

impl Reader {
    /// Reads from chunk `from` on.
    pub(crate) fn new(job: Arc<Job>, from: u64, fault: Option<StreamFault>) -> Self {
        let rx = job.progress.subscribe();
        Self {
            job,
            rx,
            seq: from,
            sent: 0,
            fault,
            queued: VecDeque::new(),
            breaks: false,
            ended: false,
        }
    }

    /// The body of the answer.
    pub(crate) fn into_body(self) -> Body {
        Body::from_stream(stream::unfold(self, |mut reader| async move {
            let chunk = reader.next().await?;
            Some((chunk, reader))
        }))
    }

    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            if let Some(chunk) = self.queued.pop_front() {
                return Some(Ok(chunk));
            }
            if mem::take(&mut self.breaks) {
                return Some(Err(broken().await));
            }
            if self.ended {
                return None;
            }
            self.wait_for_token().await;
            self.queue_chunk();
        }
    }

    /// Waits until the chunk at the current position exists or never will.
    async fn wait_for_token(&mut self) {
        let seq = self.seq;
        let moved =
            |progress: &Progress| progress.generated > seq || progress.outcome != Outcome::Running;
        self.rx.wait_for(moved).await.ok();
    }

    fn queue_chunk(&mut self) {
        let progress = *self.rx.borrow();
        let tokens = self.job.answer.tokens();
        if self.seq >= progress.generated && progress.outcome == Outcome::Cancelled {
            self.ended = true;
            return;
        }
        let fault = self.fault.take_if(|fault| self.sent >= fault.after);
        let chunk = self.chunk(&self.job.request_id, self.seq, tokens);
        match fault.map(|fault| fault.kind) {
            None => self.queued.push_back(chunk),
            Some(StreamFaultKind::Break) => {
                self.breaks = true;
                self.ended = true;
            }
            Some(StreamFaultKind::EndShort) => self.ended = true,
            Some(StreamFaultKind::Skip) => {}
            Some(StreamFaultKind::Duplicate) => {
                self.queued.push_back(chunk.clone());
                self.queued.push_back(chunk);
            }
            Some(StreamFaultKind::Cross) => {
                let foreign = event(self.seq, &self.chunk_json(FOREIGN_ID, Some(FOREIGN_TEXT)));
                self.queued.push_back(foreign);
            }
        }
        self.ended |= self.seq > tokens;
        self.seq += 1;
        self.sent += 1;
    }

    /// Tokens come first, then the chunk with the reason of the end, then `[DONE]`.
    fn chunk(&self, id: &str, seq: u64, tokens: u64) -> Bytes {
        match seq.cmp(&tokens) {
            Ordering::Less => event(seq, &self.chunk_json(id, Some(&self.job.answer.token(seq)))),
            Ordering::Equal => event(seq, &self.chunk_json(id, None)),
            Ordering::Greater => Bytes::from(format!("id: {seq}\ndata: [DONE]\n\n")),
        }
    }

    fn chunk_json(&self, id: &str, text: Option<&str>) -> Value {
        let reason = if text.is_some() {
            Value::Null
        } else {
            json!("stop")
        };
        let (object, choice) = if self.job.chat {
            let delta = text.map_or_else(|| json!({}), |text| json!({ "content": text }));
            (
                "chat.completion.chunk",
                json!({"index": 0, "delta": delta, "finish_reason": reason}),
            )
        } else {
            let text = text.unwrap_or_default();
            (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": reason}),
            )
        };
        json!({"id": id, "object": object, "model": self.job.model, "choices": [choice]})
    }
}

fn event(seq: u64, data: &Value) -> Bytes {
    Bytes::from(format!("id: {seq}\ndata: {data}\n\n"))
}

/// The whole answer as one JSON value, as if `id` had asked.
pub(crate) fn whole_answer(job: &Job, id: &str, cached_tokens: u64) -> Value {
    let text = job.answer.text();
    let (object, choice) = if job.chat {
        let message = json!({"role": "assistant", "content": text});
        (
            "chat.completion",
            json!({"index": 0, "message": message, "finish_reason": "stop"}),
        )
    } else {
        (
            "text_completion",
            json!({"index": 0, "text": text, "finish_reason": "stop"}),
        )
    };
    json!({
        "id": id, "object": object, "model": job.model, "choices": [choice],
        "usage": {
            "prompt_tokens": job.prompt_tokens,
            "completion_tokens": job.answer.tokens(),
            "total_tokens": job.prompt_tokens + job.answer.tokens(),
            "prompt_tokens_details": {"cached_tokens": cached_tokens},
        },
    })
}

/// The request that a crossed unstreamed answer claims to belong to.
pub(crate) fn foreign_id() -> &'static str {
    FOREIGN_ID
}
