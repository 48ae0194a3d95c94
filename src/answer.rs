//! Checks that the chunks of a stream are the whole answer to its own request, in order.
//!
//! What can go wrong: an engine or a proxy on the way sends another request's chunk, repeats
//! chunks after a reconnect, drops some, or ends early without an error. A caller would notice a
//! garbled or cut text and take it for whole. Each chunk carries the request id and a sequence
//! number; nothing passes that is not the next one of this request.

use eventsource_stream::Event;
use kingcupfield_decisions::id::{RequestId, Sequence};
use serde::Deserialize;

/// Text of the event that ends a whole stream.
pub const DONE: &str = "[DONE]";

/// Sequence number of the first chunk.
pub const FIRST: Sequence = 0;

/// What to do with one event of a stream.
#[derive(Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The next chunk; pass it on.
    Pass,
    /// Seen already; drop it.
    Duplicate,
    /// Chunks are missing before it; resume from the expected one.
    Gap,
    /// Another request's chunk; close the connection and resume.
    Foreign,
    /// Not a chunk at all; close the connection and resume.
    Malformed,
    /// The stream is whole.
    Done,
    /// The end mark came before the chunk that says why generation finished; resume.
    Short,
}

#[derive(Deserialize)]
struct Chunk {
    id: String,
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    delta: Option<Delta>,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

/// Follows one stream over all its connections.
#[derive(Debug)]
pub struct AnswerChecker {
    request: RequestId,
    next: Sequence,
    finish: Option<String>,
    text: Option<String>,
}

impl AnswerChecker {
    /// Starts before the first chunk of `request`.
    pub fn new(request: RequestId) -> Self {
        Self {
            request,
            next: FIRST,
            finish: None,
            text: None,
        }
    }

    /// Also collects the text, for a caller that did not ask for a stream.
    pub fn with_text(mut self) -> Self {
        self.text = Some(String::new());
        self
    }

    /// Sequence number of the next expected chunk.
    pub fn next(&self) -> Sequence {
        self.next
    }

    /// Chunks that passed.
    pub fn passed(&self) -> u64 {
        self.next - FIRST
    }

    /// The collected text and why generation finished.
    pub fn into_text(self) -> CollectedText {
        CollectedText {
            text: self.text.unwrap_or_default(),
            finish_reason: self.finish.unwrap_or_else(|| "stop".to_owned()),
        }
    }

    /// Judges the next event.
    pub fn check(&mut self, event: &Event) -> Verdict {
        if event.data.trim() == DONE {
            return if self.finish.is_some() {
                Verdict::Done
            } else {
                Verdict::Short
            };
        }
        let Ok(seq) = event.id.parse::<Sequence>() else {
            return Verdict::Malformed;
        };
        let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) else {
            return Verdict::Malformed;
        };
        if chunk.id != *self.request {
            return Verdict::Foreign;
        }
        match seq {
            s if s < self.next => Verdict::Duplicate,
            s if s > self.next => Verdict::Gap,
            _ => {
                self.take(chunk);
                Verdict::Pass
            }
        }
    }

    fn take(&mut self, chunk: Chunk) {
        self.next += 1;
        for choice in chunk.choices {
            if let Some(reason) = choice.finish_reason {
                self.finish = Some(reason);
            }
            let Some(text) = &mut self.text else { continue };
            let piece = choice.text.or_else(|| choice.delta.and_then(|d| d.content));
            text.push_str(&piece.unwrap_or_default());
        }
    }
}

/// The text of a whole answer.
#[derive(Debug)]
pub struct CollectedText {
    /// All chunks' text in order.
    pub text: String,
    /// Why generation finished.
    pub finish_reason: String,
}
