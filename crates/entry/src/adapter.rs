//! Interfaces that a platform adapter implements: protocol translation and access to the directory.

use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt as _;
use futures::future::LocalBoxFuture;
use http::request::Parts as RequestParts;
use http::response::Parts as ResponseParts;
use http::{HeaderMap, StatusCode};
use kingcupfield_decisions::dispatch::ResponseSize;
use kingcupfield_decisions::id::ZoneId;
use kingcupfield_decisions::load_figures::LoadFigures;
use kingcupfield_decisions::store_view::{Entry, Revision};

use crate::refusal::Refusal;
use crate::replica::PublishedReplica;
use crate::table::Table;

/// Metadata in the head of a caller's request.
#[derive(Debug, Clone, Default)]
pub struct RequestMeta {
    /// Id that the caller chose for this attempt; empty if the request has none.
    pub attempt_id: String,
    /// API key of the caller.
    pub api_key: Option<String>,
    /// Time for which the caller waits for the response, from the receipt of the request.
    pub timeout: Option<Duration>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: Option<u32>,
    /// Largest number of tokens to generate.
    pub max_output_tokens: Option<u32>,
    /// Expected number of tokens to generate.
    pub expected_output_tokens: Option<u32>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event_id: Option<String>,
    /// Id of the caller's attempt that brought the first event of the stream that it resumes.
    pub resumed_attempt_id: Option<String>,
}

impl RequestMeta {
    /// Tokens of the request and of its response.
    pub fn response_size(&self) -> ResponseSize {
        ResponseSize {
            prompt_tokens: f64::from(self.prompt_tokens.unwrap_or(0)),
            expected_output_tokens: self.estimated_output_tokens(),
            max_output_tokens: self.max_output_tokens.map(f64::from),
        }
    }

    /// Estimated number of tokens to generate: the expected number, else the largest, else 0.
    pub fn estimated_output_tokens(&self) -> f64 {
        f64::from(
            self.expected_output_tokens
                .or(self.max_output_tokens)
                .unwrap_or(0),
        )
    }
}

/// Information that the instance adds to a request when it forwards it to a replica.
#[derive(Debug)]
pub struct ForwardInfo<'a> {
    /// Id of the only replica that may run the request.
    pub replica: &'a str,
    /// Time left until the request's timeout.
    pub time_left: Option<Duration>,
    /// Organisation that owns the caller's API key.
    pub organisation: Option<&'a str>,
    /// Id of the last event that was sent to the caller, if the replica resumes a stream.
    pub last_event_id: Option<&'a str>,
}

/// Classification of a replica's response by its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseClass {
    /// Response of the intended replica, which ran the request.
    Executed,
    /// The replica has no capacity left and did not run the request.
    AtCapacity,
    /// A different replica listens at the address; it did not run the request.
    WrongReplica,
    /// The replica did not run the request for another reason.
    NotExecuted,
    /// Response to a different request, or one without the required headers.
    Invalid,
}

/// Value of an optional response header.
#[derive(Debug, Clone, PartialEq)]
pub enum Stated<T> {
    /// The response has no such header.
    Absent,
    /// The value of the header.
    Valid(T),
    /// The header is present but can't be used; the text says why.
    Invalid(String),
}

impl<T> Stated<T> {
    /// Converts a valid value; one that can't be converted becomes invalid, with the returned text.
    pub fn and_then<U, F>(self, convert: F) -> Stated<U>
    where
        F: FnOnce(T) -> Result<U, String>,
    {
        match self {
            Self::Absent => Stated::Absent,
            Self::Valid(value) => convert(value).map_or_else(Stated::Invalid, Stated::Valid),
            Self::Invalid(text) => Stated::Invalid(text),
        }
    }
}

/// What a replica states about itself in the head of a response.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplicaStatement {
    /// Requests per second that it accepts from all instances together.
    pub limit_per_s: Stated<f64>,
    /// That it shuts down and wants no new requests.
    pub leaving: Stated<()>,
    /// Time for which it wants no requests from this instance, after it has refused one.
    pub rest: Stated<Duration>,
    /// Its load at the moment of the response.
    pub load: Stated<LoadFigures>,
}

/// Translation between the instance and the HTTP headers of callers and replicas.
pub trait ProtocolAdapter {
    /// Parses the head of a caller's request.
    fn parse_request(&self, head: &RequestParts) -> RequestMeta;

    /// Returns the header values that determine the work of a request, the same in each of a caller's
    /// attempts.
    fn work_headers<'a>(&self, head: &'a RequestParts) -> Vec<&'a [u8]>;

    /// Returns the ids of the parts of a request's prompt, which other requests may share.
    fn prompt_parts<'a>(&self, head: &'a RequestParts) -> Vec<&'a str>;

    /// Builds the headers with which a request is forwarded to a replica.
    fn forward_headers(&self, head: &RequestParts, info: &ForwardInfo<'_>) -> HeaderMap;

    /// Classifies a replica's response; `id` is the attempt id of the request.
    fn classify_response(&self, id: &str, head: &ResponseParts) -> ResponseClass;

    /// Reads what a replica states about itself in the head of a response.
    fn replica_statement(&self, head: &ResponseParts) -> ReplicaStatement;

    /// Builds the headers of a replica's response that are passed to the caller.
    fn response_headers(&self, head: &ResponseParts) -> HeaderMap;

    /// Builds the status and headers of a refusal; `id` is the caller's attempt id.
    fn refusal_response(&self, id: Option<&str>, refusal: &Refusal) -> (StatusCode, HeaderMap);
}

/// Entries read from the directory.
#[derive(Debug)]
pub struct Listing {
    /// Revision of the directory up to which the listing is complete.
    pub revision: Revision,
    /// All entries of the directory, or those that changed.
    pub entries: Vec<Entry>,
}

/// A response of the directory of which the head has arrived.
pub struct Transfer<'a> {
    /// Whether the rest of it is so large that it may take long over a slow link.
    pub is_large: bool,
    /// Receives the rest.
    pub listing: LocalBoxFuture<'a, Result<Listing, DirectoryError>>,
}

impl std::fmt::Debug for Transfer<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Transfer")
            .field("is_large", &self.is_large)
            .finish_non_exhaustive()
    }
}

impl From<Listing> for Transfer<'_> {
    /// Creates a response that has arrived as a whole.
    fn from(listing: Listing) -> Self {
        Self {
            is_large: false,
            listing: std::future::ready(Ok(listing)).boxed_local(),
        }
    }
}

/// Error of a call to the directory.
#[derive(Debug, thiserror::Error)]
pub enum DirectoryError {
    /// The directory refused the call, for example because of a rate limit.
    #[error("refused with status {0}")]
    Refused(StatusCode),
    /// The directory no longer has the changes since the requested revision.
    #[error("changes since the requested revision are no longer available")]
    HistoryCompacted,
    /// No response, or one that can't be parsed.
    #[error("{0}")]
    NoResponse(String),
}

/// Parsed directory entry.
#[derive(Debug)]
pub enum ParsedEntry {
    /// A version of the table.
    Table(Rc<Table>),
    /// A replica.
    Replica(PublishedReplica),
    /// A zone whose replicas receive no new requests while the entry exists.
    DrainedZone(ZoneId),
    /// A replica entry that can't be parsed, with the reason.
    InvalidReplica(String),
    /// A table that can't be parsed, with the reason; the last valid one stays in force.
    InvalidTable(String),
    /// An entry of an unrelated kind.
    Other,
}

/// Read-only client of the published directory.
pub trait DirectoryClient {
    /// Keys of the entries whose values may be large, which are read apart from the others.
    fn large_keys(&self) -> &'static [&'static str];

    /// Reads all entries.
    fn list(&self) -> LocalBoxFuture<'_, Result<Transfer<'_>, DirectoryError>>;

    /// Reads all entries but those of [`Self::large_keys`].
    fn list_small(&self) -> LocalBoxFuture<'_, Result<Listing, DirectoryError>>;

    /// Waits for changes after a revision, at most for `wait`; returns no entries if there are none.
    fn watch(
        &self,
        after: Revision,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Transfer<'_>, DirectoryError>>;

    /// Waits for changes of the entries but those of [`Self::large_keys`], as [`Self::watch`] does for all.
    fn watch_small(
        &self,
        after: Revision,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Listing, DirectoryError>>;

    /// Reads the revision of the last change, as of now.
    fn current_revision(&self) -> LocalBoxFuture<'_, Result<Revision, DirectoryError>>;

    /// Parses an entry by its key and value.
    fn parse_entry(&self, key: &str, value: &[u8]) -> ParsedEntry;

    /// Whether `value` describes an earlier state of an entry than `than`: an older version of the table, or
    /// the same start of a replica, which leaves according to `than`.
    fn is_earlier_state(&self, key: &str, value: &[u8], than: &[u8]) -> bool;
}
