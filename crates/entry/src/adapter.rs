//! The ports that an adapter fills in: the words of callers and upstreams, and the directory.

use std::rc::Rc;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use http::request::Parts as RequestParts;
use http::response::Parts as ResponseParts;
use http::{HeaderMap, StatusCode};
use kingcupfield_decisions::id::ZoneId;
use kingcupfield_decisions::known::{Entry, Revision};

use crate::refusal::Refusal;
use crate::replica::Published;
use crate::table::Table;

/// What the head of a caller's request says.
#[derive(Debug, Clone, Default)]
pub struct RequestMeta {
    /// The caller's id of this attempt.
    pub attempt_id: String,
    /// The key that it carries.
    pub api_key: Option<String>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// Tokens of the prompt.
    pub prompt_tokens: Option<u32>,
    /// Most tokens to generate.
    pub max_output_tokens: Option<u32>,
    /// Likely number of tokens to generate.
    pub expected_output_tokens: Option<u32>,
    /// Last event that the caller has, when it resumes a stream.
    pub last_event_id: Option<String>,
}

impl RequestMeta {
    /// Tokens that it likely generates.
    pub fn estimated_output_tokens(&self) -> f64 {
        f64::from(
            self.expected_output_tokens
                .or(self.max_output_tokens)
                .unwrap_or(0),
        )
    }
}

/// What the instance adds to a request that goes to a replica.
#[derive(Debug)]
pub struct ForwardInfo<'a> {
    /// The replica that alone may run it.
    pub replica: &'a str,
    /// Time that is left, if the caller named a deadline.
    pub time_left: Option<Duration>,
    /// The organisation that holds the caller's key.
    pub organisation: Option<&'a str>,
    /// The last event that the caller has, when a stream is resumed here.
    pub last_event_id: Option<&'a str>,
}

/// What the head of a replica's answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseClass {
    /// The answer of the replica that was asked.
    Executed,
    /// The replica did not run the request, for want of room.
    AtCapacity,
    /// Another replica stands at the address and did not run the request.
    WrongReplica,
    /// The replica did not run the request for another reason.
    NotExecuted,
    /// An answer to another request, or one that lacks what a replica's answer must have.
    Invalid,
}

/// The words that callers and upstreams use.
pub trait ProtocolAdapter {
    /// Reads a caller's request.
    fn parse_request(&self, head: &RequestParts) -> RequestMeta;

    /// The head fields with which the request goes to a replica.
    fn forward_headers(&self, head: &RequestParts, info: &ForwardInfo<'_>) -> HeaderMap;

    /// Judges the answer to the attempt `id`.
    fn classify_response(&self, id: &str, head: &ResponseParts) -> ResponseClass;

    /// The head fields of a replica's answer that the caller gets.
    fn response_headers(&self, head: &ResponseParts) -> HeaderMap;

    /// Status and head fields of a refusal.
    fn refusal_response(&self, id: Option<&str>, refusal: &Refusal) -> (StatusCode, HeaderMap);
}

/// A list of the directory.
#[derive(Debug)]
pub struct Listing {
    /// Revision up to which it is complete.
    pub revision: Revision,
    /// What it holds, or what has changed.
    pub entries: Vec<Entry>,
}

/// Why the directory did not answer.
#[derive(Debug, thiserror::Error)]
pub enum DirectoryError {
    /// It refused: too many calls, or not now.
    #[error("refused with status {0}")]
    Refused(StatusCode),
    /// The changes since that revision are no longer kept.
    #[error("history is no longer kept")]
    HistoryCompacted,
    /// No answer, or one that can't be read.
    #[error("{0}")]
    NoResponse(String),
}

/// What a directory entry means.
#[derive(Debug)]
pub enum ParsedEntry {
    /// A version of the table.
    Table(Rc<Table>),
    /// A replica.
    Replica(Published),
    /// A zone whose replicas are to get nothing new while the entry is there.
    DrainedZone(ZoneId),
    /// An entry that names a replica but can't be read.
    InvalidReplica(String),
    /// A table that can't be read; the last good one holds.
    InvalidTable(String),
    /// Something that is none of ours.
    Other,
}

/// The published directory, which is only read.
pub trait DirectoryClient {
    /// Reads everything.
    fn list(&self) -> LocalBoxFuture<'_, Result<Listing, DirectoryError>>;

    /// Waits for changes after a revision, for `wait` at most.
    fn watch(
        &self,
        after: Revision,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Listing, DirectoryError>>;

    /// Says what an entry means.
    fn parse_entry(&self, key: &str, value: &[u8]) -> ParsedEntry;
}
