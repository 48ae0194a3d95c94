//! The closed list of error kinds, and the HTTP response to each.

use std::time::Duration;

use http::StatusCode;
use serde::Serialize;

/// Kind of error that a caller receives. The list is closed: every refusal has one of these kinds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The request is malformed.
    BadRequest,
    /// The request has no API key, or one that is not in the table.
    Unauthorized,
    /// The organisation is not permitted to make this call.
    Forbidden,
    /// No such path, model, service or request.
    NotFound,
    /// The idempotency key was closed or belongs to another call.
    KeyConflict,
    /// The body or a header exceeds the size limit.
    TooLarge,
    /// A non-idempotent call has no idempotency key.
    KeyRequired,
    /// The organisation's limit is exhausted.
    Limited,
    /// Capacity is short, and requests of this tier are refused.
    Shed,
    /// Replicas crashed while they ran requests like this one.
    Quarantined,
    /// The instance can't serve now: it starts, shuts down, is full or has no upstreams.
    Unavailable,
    /// The deadline can't be met, or passed before dispatch.
    Deadline,
    /// The upstream failed after the request was dispatched.
    UpstreamBroke,
    /// It is not known whether the upstream ran the call.
    Unknown,
}

/// Whether the upstream ran the request, as sent in the header `Kingcup-Ran`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunStatus {
    /// The request was dispatched to an upstream.
    Yes,
    /// The request was not dispatched and never will be.
    No,
    /// The request may have been dispatched to an upstream.
    Unknown,
}

impl RunStatus {
    /// Value of the header `Kingcup-Ran`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Yes => "yes",
            Self::No => "no",
            Self::Unknown => "unknown",
        }
    }
}

/// HTTP response to one kind of error.
#[derive(Debug)]
pub struct ErrorResponse {
    /// Kind of error.
    pub kind: RefusalKind,
    /// HTTP status.
    pub status: StatusCode,
    /// Name in the error body, logs and metrics.
    pub name: &'static str,
    /// Default message of the error body.
    pub message: &'static str,
    /// Whether the upstream ran the request, unless the refusal says otherwise.
    pub ran: RunStatus,
    /// Default retry delay; `None` if the caller should not retry.
    pub retry_after: Option<Duration>,
}

/// Default retry delay after a refusal for lack of capacity. A change of membership or of the
/// upstream list reaches every instance within this time.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Response to each kind of error, in the order of [`RefusalKind`].
pub const ERROR_RESPONSES: [ErrorResponse; 14] = [
    response(
        RefusalKind::BadRequest,
        StatusCode::BAD_REQUEST,
        "bad_request",
        "the request cannot be understood",
        RunStatus::No,
    ),
    response(
        RefusalKind::Unauthorized,
        StatusCode::UNAUTHORIZED,
        "unauthorized",
        "no valid key in Authorization: Bearer KEY",
        RunStatus::No,
    ),
    response(
        RefusalKind::Forbidden,
        StatusCode::FORBIDDEN,
        "forbidden",
        "the organisation may not do this",
        RunStatus::No,
    ),
    response(
        RefusalKind::NotFound,
        StatusCode::NOT_FOUND,
        "not_found",
        "no such path, model, service or request",
        RunStatus::No,
    ),
    response(
        RefusalKind::KeyConflict,
        StatusCode::CONFLICT,
        "key_conflict",
        "the idempotency key cannot be used for this call",
        RunStatus::No,
    ),
    response(
        RefusalKind::TooLarge,
        StatusCode::PAYLOAD_TOO_LARGE,
        "too_large",
        "the body is larger than the limit",
        RunStatus::No,
    ),
    response(
        RefusalKind::KeyRequired,
        StatusCode::PRECONDITION_REQUIRED,
        "key_required",
        "this call needs an Idempotency-Key from POST /v1/idempotency-keys",
        RunStatus::No,
    ),
    retryable_response(
        RefusalKind::Limited,
        StatusCode::TOO_MANY_REQUESTS,
        "limited",
        "the organisation's limit is used up",
    ),
    retryable_response(
        RefusalKind::Shed,
        StatusCode::SERVICE_UNAVAILABLE,
        "shed",
        "capacity is short for this tier",
    ),
    retryable_response(
        RefusalKind::Quarantined,
        StatusCode::SERVICE_UNAVAILABLE,
        "quarantined",
        "replicas crashed while they ran requests like this one",
    ),
    retryable_response(
        RefusalKind::Unavailable,
        StatusCode::SERVICE_UNAVAILABLE,
        "unavailable",
        "the instance cannot serve this now",
    ),
    retryable_response(
        RefusalKind::Deadline,
        StatusCode::GATEWAY_TIMEOUT,
        "deadline",
        "the deadline cannot be met",
    ),
    response(
        RefusalKind::UpstreamBroke,
        StatusCode::BAD_GATEWAY,
        "upstream_broke",
        "the upstream broke after the request was dispatched",
        RunStatus::Yes,
    ),
    response(
        RefusalKind::Unknown,
        StatusCode::BAD_GATEWAY,
        "unknown",
        "whether the call ran cannot be known",
        RunStatus::Unknown,
    ),
];

const fn response(
    kind: RefusalKind,
    status: StatusCode,
    name: &'static str,
    message: &'static str,
    ran: RunStatus,
) -> ErrorResponse {
    ErrorResponse {
        kind,
        status,
        name,
        message,
        ran,
        retry_after: None,
    }
}

/// Like [`response`], with a retry delay: the request did not run and the caller may retry.
const fn retryable_response(
    kind: RefusalKind,
    status: StatusCode,
    name: &'static str,
    message: &'static str,
) -> ErrorResponse {
    ErrorResponse {
        retry_after: Some(DEFAULT_RETRY_AFTER),
        ..response(kind, status, name, message, RunStatus::No)
    }
}

impl RefusalKind {
    /// Returns the kind with this name in error bodies.
    pub fn from_name(name: &str) -> Option<Self> {
        ERROR_RESPONSES
            .iter()
            .find(|response| response.name == name)
            .map(|response| response.kind)
    }

    /// Returns the entry of [`ERROR_RESPONSES`] for this kind.
    pub fn error_response(self) -> &'static ErrorResponse {
        &ERROR_RESPONSES[self as usize]
    }
}

/// Refusal of a request: the error that the caller receives instead of an upstream response.
#[derive(Debug, Clone, thiserror::Error)]
#[error("{}: {message}", kind.error_response().name)]
pub struct Refusal {
    /// Kind of error, which determines the HTTP status.
    pub kind: RefusalKind,
    /// Message for the caller and the log.
    pub message: String,
    /// Whether the upstream ran the request.
    pub ran: RunStatus,
    /// Delay after which the caller should retry; `None` if it should not.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal with the default message and run status of its kind, without a retry delay.
    pub fn new(kind: RefusalKind) -> Self {
        let response = kind.error_response();
        Self {
            kind,
            message: response.message.to_owned(),
            ran: response.ran,
            retry_after: None,
        }
    }

    /// Replaces the message by a more specific one.
    pub fn with_message<M>(mut self, message: M) -> Self
    where
        M: Into<String>,
    {
        self.message = message.into();
        self
    }

    /// Sets the delay after which the caller should retry.
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Sets whether the upstream ran the request.
    pub fn with_ran(mut self, ran: RunStatus) -> Self {
        self.ran = ran;
        self
    }
}

#[cfg(test)]
mod tests {
    use super::ERROR_RESPONSES;

    #[test]
    fn responses_are_in_the_order_of_kinds() {
        for (index, response) in ERROR_RESPONSES.iter().enumerate() {
            assert_eq!(response.kind as usize, index, "{}", response.name);
            assert_eq!(response.kind.error_response().name, response.name);
        }
    }
}
