//! Reads what scheduling needs from a completion: model, prompt length, prefixes, answer length.

use kingcupfield_decisions::id::{PrefixHash, Tokens};
use serde_json::Value;
use xxhash_rust::xxh3::Xxh3;

use crate::error::{Refusal, RefusalKind};

/// Words of one prefix block; engines cache prompts in blocks of 16 tokens.
pub const BLOCK: usize = 16;

/// Prefix hashes sent with a reservation; longer prompts thin them out, so that a reservation
/// stays near 100 bytes.
pub const MAX_PREFIXES: usize = 8;

/// Answer length assumed when the caller names none.
pub const DEFAULT_MAX_TOKENS: Tokens = 256;

/// Longest answer that a caller may ask for.
pub const LONGEST_ANSWER: Tokens = 131_072;

/// What scheduling needs of a completion.
#[derive(Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Name of the model.
    pub model: String,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// Prompt length; words stand for tokens, as no tokenizer fits all engines.
    pub tokens: Tokens,
    /// Longest answer that the caller accepts.
    pub max_tokens: Tokens,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: Vec<PrefixHash>,
}

impl Prompt {
    /// Reads `body`, or says which field is wrong.
    pub fn parse(body: &Value) -> Result<Self, Refusal> {
        let fields = body
            .as_object()
            .ok_or_else(|| bad("the body must be a JSON object"))?;
        let model = fields
            .get("model")
            .and_then(Value::as_str)
            .ok_or_else(|| bad("model: a string is needed"))?;
        let stream = match fields.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(bad("stream: true or false is needed")),
        };
        let text = text_of(body)?;
        let words: Vec<&str> = text.split_whitespace().collect();
        Ok(Self {
            model: model.to_owned(),
            stream,
            tokens: words.len() as Tokens,
            max_tokens: max_tokens(body)?,
            prefixes: thin_out(prefix_hashes(&words)),
        })
    }
}

/// Hash of each prefix that ends at a block boundary, shortest first; each covers all before it.
pub fn prefix_hashes(words: &[&str]) -> Vec<PrefixHash> {
    let mut hash = Xxh3::new();
    let mut hashes = Vec::with_capacity(words.len() / BLOCK);
    for block in words.chunks_exact(BLOCK) {
        for word in block {
            hash.update(word.as_bytes());
            hash.update(b" ");
        }
        hashes.push(hash.digest());
    }
    hashes
}

fn thin_out(hashes: Vec<PrefixHash>) -> Vec<PrefixHash> {
    let n = hashes.len();
    if n <= MAX_PREFIXES {
        return hashes;
    }
    (1..=MAX_PREFIXES)
        .map(|i| hashes[i * n / MAX_PREFIXES - 1])
        .collect()
}

fn max_tokens(body: &Value) -> Result<Tokens, Refusal> {
    let field = ["max_tokens", "max_completion_tokens"]
        .iter()
        .find_map(|name| body.get(name).filter(|v| !v.is_null()));
    let Some(value) = field else {
        return Ok(DEFAULT_MAX_TOKENS);
    };
    value
        .as_u64()
        .filter(|n| (1..=LONGEST_ANSWER).contains(n))
        .ok_or_else(|| bad("max_tokens: a whole number from 1 to 131072 is needed"))
}

fn text_of(body: &Value) -> Result<String, Refusal> {
    if let Some(prompt) = body.get("prompt") {
        return match prompt {
            Value::String(text) => Ok(text.clone()),
            _ => Err(bad("prompt: one string is needed")),
        };
    }
    let messages = body
        .get("messages")
        .and_then(Value::as_array)
        .ok_or_else(|| bad("messages: a list is needed (or prompt: a string)"))?;
    let mut text = String::new();
    for message in messages {
        push_content(message, &mut text)?;
    }
    Ok(text)
}

fn push_content(message: &Value, text: &mut String) -> Result<(), Refusal> {
    match message.get("content") {
        Some(Value::String(content)) => text.push_str(content),
        Some(Value::Array(parts)) => {
            for part in parts.iter().filter_map(|p| p.get("text")?.as_str()) {
                text.push_str(part);
                text.push(' ');
            }
        }
        Some(Value::Null) | None if message.is_object() => {}
        _ => return Err(bad("messages: each needs a content of text")),
    }
    text.push('\n');
    Ok(())
}

fn bad(message: &str) -> Refusal {
    Refusal::new(RefusalKind::BadRequest).with_message(message)
}
