//! Answers to callers: headers, error bodies and assembled completions.

use axum::body::Body;
use axum::response::Response;
use http::HeaderValue;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use kingcupfield_decisions::id::RequestId;
use serde_json::{Value, json};

use crate::answer::CollectedText;
use crate::error::{Refusal, RunStatus};
use crate::prompt::Prompt;

/// Header with the id of the request.
pub const REQUEST_ID: &str = "kingcup-request-id";
/// Header that says whether the upstream ran the request.
pub const RAN: &str = "kingcup-ran";

/// What a caller gets.
#[derive(Debug)]
pub enum Head {
    /// A refusal or a failure.
    Refused(Refusal),
    /// A whole JSON answer of an upstream.
    Json(Value),
    /// A JSON answer of this instance; no upstream ran.
    Made(Value),
    /// A stream, or the answer of a plain service.
    Stream(Response),
}

/// Makes the response for `head`.
pub fn respond(id: &RequestId, head: Head) -> Response {
    match head {
        Head::Refused(refusal) => refused(id, &refusal),
        Head::Json(body) => with_headers(json_response(&body), id, RunStatus::Yes),
        Head::Made(body) => with_headers(json_response(&body), id, RunStatus::No),
        Head::Stream(rsp) => with_headers(rsp, id, RunStatus::Yes),
    }
}

/// Makes the response for a refusal.
pub fn refused(id: &RequestId, refusal: &Refusal) -> Response {
    let row = refusal.kind.error_response();
    let body = json!({"error": {
        "kind": row.name,
        "message": refusal.message,
        "ran": refusal.ran,
        "request_id": &**id,
    }});
    let mut rsp = with_headers(json_response(&body), id, refusal.ran);
    *rsp.status_mut() = row.status;
    if let Some(after) = refusal.retry_after.or(row.retry_after) {
        let seconds = after.as_millis().div_ceil(1000).max(1) as u64;
        rsp.headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    rsp
}

/// Makes a JSON response.
pub fn json_response(body: &Value) -> Response {
    Response::builder()
        .header(CONTENT_TYPE, "application/json")
        .body(Body::from(body.to_string()))
        .expect("constant headers")
}

/// The `OpenAI` form of a whole completion.
pub fn completion_body(
    path: &str,
    id: &RequestId,
    prompt: &Prompt,
    decoded: u64,
    text: &CollectedText,
) -> Value {
    let chat = path.ends_with("/chat/completions");
    let choice = if chat {
        json!({"index": 0, "message": {"role": "assistant", "content": text.text}, "finish_reason": text.finish_reason})
    } else {
        json!({"index": 0, "text": text.text, "finish_reason": text.finish_reason})
    };
    json!({
        "id": &**id,
        "object": if chat { "chat.completion" } else { "text_completion" },
        "model": prompt.model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": prompt.tokens,
            "completion_tokens": decoded,
            "total_tokens": prompt.tokens + decoded,
        },
    })
}

fn with_headers(mut rsp: Response, id: &RequestId, ran: RunStatus) -> Response {
    if let Ok(value) = HeaderValue::from_str(id) {
        rsp.headers_mut().insert(REQUEST_ID, value);
    }
    rsp.headers_mut()
        .insert(RAN, HeaderValue::from_static(ran.as_str()));
    rsp
}
