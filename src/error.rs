//! The library's error type, and the closed list of kinds that callers are refused with.

use std::net::AddrParseError;
use std::path::PathBuf;

pub use kingcupfield_entry::refusal::{
    ERROR_RESPONSES, ErrorResponse, Refusal, RefusalKind, RunStatus,
};

/// Result of the library's operations.
pub type Result<T> = std::result::Result<T, Error>;

/// Errors of a process, as opposed to those of one request.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file could not be read.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A settings file is not valid.
    #[error("{}: {reason}", path.display())]
    Settings {
        /// The file.
        path: PathBuf,
        /// Field and reason.
        reason: String,
    },
    /// An address of the settings or the list is not `IP:port`.
    #[error("address {address:?}: {source}")]
    Address {
        /// The text.
        address: String,
        /// What the parser said.
        source: AddrParseError,
    },
    /// Two services registered under one name, or one is missing.
    #[error("service {name:?}: {reason}")]
    Service {
        /// The name.
        name: &'static str,
        /// What is wrong.
        reason: &'static str,
    },
    /// A service ended or panicked; the process must end too.
    #[error("service {name:?} died: {reason}")]
    Died {
        /// The name.
        name: &'static str,
        /// Panic message or "ended".
        reason: String,
    },
    /// The mailbox of a service is full.
    #[error("service {0:?} is busy")]
    Busy(&'static str),
    /// An HTTP exchange with the platform or a peer failed.
    #[error("{what}: {reason}")]
    Exchange {
        /// With whom.
        what: String,
        /// What happened.
        reason: String,
    },
    /// An I/O error, e.g. an address in use.
    #[error("{what}: {source}")]
    Io {
        /// What was tried.
        what: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The logger could not be set up.
    #[error("log: {0}")]
    Log(String),
}

impl Error {
    /// Wraps an I/O error with what was tried.
    pub fn io<W>(what: W, source: std::io::Error) -> Self
    where
        W: Into<String>,
    {
        Self::Io {
            what: what.into(),
            source,
        }
    }
}
