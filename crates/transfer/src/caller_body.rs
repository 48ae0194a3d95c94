//! Receives the body of a caller's request into memory that an account allows.

use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use kingcupfield_decisions::caller_memory::OutOfMemory;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::account::{Claim, Hold};

/// Smallest memory that is taken for a body whose length is not known.
const MIN_CAPACITY: usize = 4 * 1024;

/// Bytes that count for a body while it arrives, beside its own: the buffers of its connection.
pub(crate) const BUFFER_BYTES: usize = 24 * 1024;

/// Bytes of a body after which memory for the length that its head tells is taken at once.
const TRUSTED_AFTER: usize = 64 * 1024;

/// Longest time for which the rest of a body is read that is refused for want of memory.
const DISCARD_TIME: Duration = Duration::from_secs(2);

/// A body is copied into memory of its own size if less than this fraction of its memory is used.
const MIN_USED_FRACTION: f64 = 0.75;

/// Limits of a body.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Largest body in bytes.
    pub max_bytes: usize,
    /// When the body has to be complete.
    pub complete_by: Instant,
}

impl BodyLimits {
    /// Limits of a body that begins to arrive now.
    pub fn new(max_bytes: usize, max_time: Duration) -> Self {
        Self {
            max_bytes,
            complete_by: Instant::now() + max_time,
        }
    }
}

/// Why a body was not received. Nothing of its request may run.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// It is larger than the limit.
    #[error("the body is larger than {max_bytes} bytes")]
    TooLarge {
        /// Largest body in bytes.
        max_bytes: usize,
    },
    /// It did not arrive in time.
    #[error("the body did not arrive in time")]
    TimedOut,
    /// The caller or its connection ended it too soon.
    #[error("the body is incomplete: {0}")]
    Broken(String),
    /// The process has no memory for it.
    #[error("no memory for the body: {0}")]
    OutOfMemory(#[from] OutOfMemory),
    /// It gave way to another request before it was complete.
    #[error("the body arrived too slowly while memory is short")]
    Evicted,
}

/// A complete body, counted until the last copy of its bytes is dropped.
#[derive(Debug)]
pub struct CallerBody {
    /// Its bytes.
    pub bytes: Bytes,
    /// Right of its request to be sent.
    pub claim: Claim,
}

/// Receives a body. Chunks are copied together as they come, so that small ones cost no more than their bytes.
pub async fn receive<B>(
    body: &mut B,
    limits: BodyLimits,
    hold: Hold,
) -> Result<CallerBody, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    hold.grow(BUFFER_BYTES)?;
    let mut eviction = hold.claim();
    let data = tokio::select! {
        biased;
        () = eviction.evicted() => return Err(BodyError::Evicted),
        data = read_or_discard(body, limits.max_bytes, &hold) => data?,
        () = sleep_until(limits.complete_by) => return Err(BodyError::TimedOut),
    };
    hold.shrink(BUFFER_BYTES);
    hold.on_complete();
    let claim = hold.claim();
    let bytes = hold.into_bytes(data);
    Ok(CallerBody { bytes, claim })
}

/// Reads the body of a request that is refused already and drops it, unless there is not even memory for the
/// buffers of its connection.
pub async fn discard_held<B>(body: &mut B, limits: BodyLimits, hold: Hold)
where
    B: Body<Data = Bytes> + Unpin,
{
    if hold.grow(BUFFER_BYTES).is_err() {
        return;
    }
    let mut eviction = hold.claim();
    tokio::select! {
        biased;
        () = eviction.evicted() => {}
        () = discard(body, limits) => {}
    }
}

/// Reads a body to its end. If memory runs short, the rest is read and dropped.
async fn read_or_discard<B>(
    body: &mut B,
    max_bytes: usize,
    hold: &Hold,
) -> Result<Vec<u8>, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let result = read_to_end(body, max_bytes, hold).await;
    if let Err(BodyError::OutOfMemory(_)) = result {
        hold.shrink_to(BUFFER_BYTES);
        discard(body, BodyLimits::new(max_bytes, DISCARD_TIME)).await;
    }
    result
}

/// Reads a body to its end into memory that counts in `hold`.
async fn read_to_end<B>(body: &mut B, max_bytes: usize, hold: &Hold) -> Result<Vec<u8>, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let announced = body.size_hint().exact().map(|len| len as usize);
    if announced.is_some_and(|len| len > max_bytes) {
        return Err(BodyError::TooLarge { max_bytes });
    }
    let mut data = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| BodyError::Broken(e.to_string()))?;
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        if data.len() + chunk.len() > max_bytes {
            return Err(BodyError::TooLarge { max_bytes });
        }
        reserve(&mut data, chunk.len(), announced, max_bytes, hold)?;
        data.extend_from_slice(&chunk);
    }
    if (data.len() as f64) < data.capacity() as f64 * MIN_USED_FRACTION {
        let unused = data.capacity() - data.len();
        data.shrink_to_fit();
        hold.shrink(unused);
    }
    Ok(data)
}

/// Takes memory for `more` bytes of a body of at most `max_bytes`, whose length may be known.
fn reserve(
    data: &mut Vec<u8>,
    more: usize,
    announced: Option<usize>,
    max_bytes: usize,
    hold: &Hold,
) -> Result<(), OutOfMemory> {
    let needed = data.len() + more;
    if needed <= data.capacity() {
        return Ok(());
    }
    let capacity = match announced {
        Some(length) if needed > TRUSTED_AFTER.min(length) => length,
        _ => needed
            .next_power_of_two()
            .clamp(MIN_CAPACITY, max_bytes.max(MIN_CAPACITY)),
    };
    let capacity = capacity.max(needed);
    hold.grow(capacity - data.capacity())?;
    data.reserve_exact(capacity - data.len());
    Ok(())
}

/// Reads a body that is not used and drops it, until its end, a limit or an error.
///
/// A connection that is closed while its caller still sends is reset, and the caller may see the reset in place
/// of the response.
pub async fn discard<B>(body: &mut B, limits: BodyLimits)
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut left = limits.max_bytes;
    while let Ok(Some(Ok(frame))) = timeout_at(limits.complete_by, body.frame()).await {
        let len = frame.data_ref().map_or(0, Bytes::len);
        let Some(rest) = left.checked_sub(len) else {
            return;
        };
        left = rest;
    }
}
