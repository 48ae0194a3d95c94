//! The closed list of error kinds and the table from kind to answer.

use std::time::Duration;

use http::StatusCode;
use serde::Serialize;

/// What went wrong for a caller. The list is closed: every refusal has one of these kinds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The request cannot be understood.
    BadRequest,
    /// No key, or a key that the table does not hold.
    Unauthorized,
    /// The organisation may not do this.
    Forbidden,
    /// No such path, model, service or request.
    NotFound,
    /// The idempotency key was closed or belongs to another call.
    KeyConflict,
    /// The body or a header is larger than the limit.
    TooLarge,
    /// A non-idempotent call came without an idempotency key.
    KeyRequired,
    /// The organisation's own limit is used up.
    Limited,
    /// Capacity is short and the tier is refused.
    Shed,
    /// The instance cannot serve now: starting, leaving, full or without upstreams.
    Unavailable,
    /// The deadline cannot be met, or passed before dispatch.
    Deadline,
    /// The upstream broke after dispatch.
    UpstreamBroke,
    /// Whether the call ran cannot be known.
    Unknown,
}

/// Whether the upstream ran the request, as sent in `Kingcup-Ran`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunStatus {
    /// It was dispatched.
    Yes,
    /// It was not and never will be.
    No,
    /// It may have been.
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

/// How one kind is answered.
#[derive(Debug)]
pub struct ErrorResponse {
    /// The kind.
    pub kind: RefusalKind,
    /// HTTP status.
    pub status: StatusCode,
    /// Name in the error body, logs and metrics.
    pub name: &'static str,
    /// What a caller reads when there is nothing more exact to say.
    pub message: &'static str,
    /// Whether the upstream ran the request.
    pub ran: RunStatus,
    /// When the caller should come back, where nothing more exact is known.
    pub retry_after: Option<Duration>,
}

/// When a caller should come back that was refused for want of capacity: a second, in which a
/// change of membership or of the list is known everywhere.
const SOON: Duration = Duration::from_secs(1);

/// The table from kind to answer, in the order of [`RefusalKind`].
pub const ERROR_RESPONSES: [ErrorResponse; 13] = [
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

/// Like [`response`], for refusals of which the caller may try again.
const fn retryable_response(
    kind: RefusalKind,
    status: StatusCode,
    name: &'static str,
    message: &'static str,
) -> ErrorResponse {
    ErrorResponse {
        retry_after: Some(SOON),
        ..response(kind, status, name, message, RunStatus::No)
    }
}

impl RefusalKind {
    /// The kind with this name in error bodies.
    pub fn from_name(name: &str) -> Option<Self> {
        ERROR_RESPONSES
            .iter()
            .find(|row| row.name == name)
            .map(|row| row.kind)
    }

    /// The row of [`ERROR_RESPONSES`] for this kind.
    pub fn error_response(self) -> &'static ErrorResponse {
        &ERROR_RESPONSES[self as usize]
    }
}

/// Why a request was not answered by an upstream.
#[derive(Debug, Clone, thiserror::Error)]
#[error("{}: {message}", kind.error_response().name)]
pub struct Refusal {
    /// The kind, which decides the status.
    pub kind: RefusalKind,
    /// What the caller reads.
    pub message: String,
    /// Whether the upstream ran the request.
    pub ran: RunStatus,
    /// When the caller should come back, if it should.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Makes a refusal with the message and the `ran` of the table.
    pub fn new(kind: RefusalKind) -> Self {
        let row = kind.error_response();
        Self {
            kind,
            message: row.message.to_owned(),
            ran: row.ran,
            retry_after: None,
        }
    }

    /// Replaces the message by a more exact one.
    pub fn with_message<M>(mut self, message: M) -> Self
    where
        M: Into<String>,
    {
        self.message = message.into();
        self
    }

    /// Tells the caller when to come back.
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Replaces what is known about whether the upstream ran it.
    pub fn with_ran(mut self, ran: RunStatus) -> Self {
        self.ran = ran;
        self
    }
}

#[cfg(test)]
mod tests {
    use super::ERROR_RESPONSES;

    #[test]
    fn each_kind_stands_at_its_own_row() {
        for (i, row) in ERROR_RESPONSES.iter().enumerate() {
            assert_eq!(row.kind as usize, i, "{}", row.name);
            assert_eq!(row.kind.error_response().name, row.name);
        }
    }
}
