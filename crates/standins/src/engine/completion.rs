//! The body of a completion request, as far as a fake reads it.

use serde::Deserialize;
use serde_json::Value;

/// One message of a chat.
#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: Value,
}

/// A completion request; unknown fields are ignored.
#[derive(Debug, Deserialize)]
pub(crate) struct Completion {
    #[serde(default)]
    pub(crate) model: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    pub(crate) max_tokens: Option<u64>,
    #[serde(default)]
    pub(crate) max_completion_tokens: Option<u64>,
    #[serde(default)]
    pub(crate) stream: bool,
}

impl Completion {
    /// The prompt: the text of all messages, a line each.
    pub(crate) fn text(&self) -> String {
        if let Some(prompt) = &self.prompt {
            return prompt.clone();
        }
        let texts: Vec<String> = self
            .messages
            .iter()
            .map(|m| content_text(&m.content))
            .collect();
        texts.join("\n")
    }
}

/// The text of a message, which is a string or a list of parts.
fn content_text(content: &Value) -> String {
    match content {
        Value::String(text) => text.clone(),
        Value::Array(parts) => {
            let texts: Vec<&str> = parts
                .iter()
                .filter_map(|part| part["text"].as_str())
                .collect();
            texts.join("\n")
        }
        _ => String::new(),
    }
}
