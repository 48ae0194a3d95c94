//! Receives HTTP bodies over links of any speed.
//!
//! Load pattern: many instances receive a table of a megabyte at the same time, over links that they
//! share with callers. With a fixed time for the whole transfer, a slower link never gets the table:
//! each attempt is ended, the next one starts from the beginning, and all of them together slow the
//! link down further. A transfer is therefore ended only if it makes no progress.

pub mod account;
pub mod caller_body;
pub mod caller_io;
pub mod connections;
pub mod listener;
pub mod machine;
pub mod tracked_body;

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;
use tokio::time::{Instant, timeout};

/// Longest pause between two parts of a body.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Slowest transfer that is not ended, in bytes per second. It keeps a sender that trickles from
/// occupying a receiver, who could ask another one.
pub const MIN_BYTES_PER_S: u32 = 16 * 1024;

/// Why a body was not received.
#[derive(Debug, thiserror::Error)]
pub enum TransferError {
    /// The sender paused for too long, or sends too slowly.
    #[error("no progress after {received} bytes")]
    NoProgress {
        /// Number of bytes received until then.
        received: usize,
    },
    /// The body is larger than the receiver accepts.
    #[error("more than {max_bytes} bytes")]
    TooLarge {
        /// Number of bytes that the receiver accepts.
        max_bytes: usize,
    },
    /// The connection failed.
    #[error("{0}")]
    Broken(String),
}

/// Receives a body of at most `max_bytes` for as long as it makes progress.
pub async fn receive<B>(body: B, max_bytes: usize) -> Result<Bytes, TransferError>
where
    B: Body<Data = Bytes>,
    B::Error: std::fmt::Display,
{
    let mut body = std::pin::pin!(body);
    let started = Instant::now();
    let mut buf = BytesMut::new();
    loop {
        let received = buf.len();
        let no_progress = TransferError::NoProgress { received };
        let Ok(frame) = timeout(STALL_TIMEOUT, body.frame()).await else {
            return Err(no_progress);
        };
        let Some(frame) = frame else {
            return Ok(buf.freeze());
        };
        let frame = frame.map_err(|e| TransferError::Broken(e.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if received + data.len() > max_bytes {
            return Err(TransferError::TooLarge { max_bytes });
        }
        buf.extend_from_slice(&data);
        if started.elapsed() > STALL_TIMEOUT + min_rate_time(buf.len()) {
            return Err(no_progress);
        }
    }
}

/// Time that the slowest transfer takes for so many bytes.
pub fn min_rate_time(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / f64::from(MIN_BYTES_PER_S))
}
