//! Rests that upstreams ask this instance for, by 503 with `Retry-After`.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::header::RETRY_AFTER;
use http::{Response, StatusCode};
use kingcupfield_decisions::decimal::parse_decimal;
use kingcupfield_decisions::id::UpstreamId;
use kingcupfield_decisions::rest;
use tokio::time::Instant;

use crate::logging::quote_value;

/// Rests of the upstreams; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Rests {
    rests: Arc<Mutex<rest::Rests>>,
}

impl Rests {
    /// Records the rest that a response asks for, if it does; returns it.
    pub fn on_response<B>(
        &self,
        upstream: &UpstreamId,
        response: &Response<B>,
    ) -> Option<Duration> {
        let rest = requested_rest(upstream, response)?;
        log::info!(
            "event=upstream_rest upstream={upstream} for_ms={}",
            rest.as_millis()
        );
        self.lock().ask(Instant::now(), upstream, rest);
        Some(rest)
    }

    /// The upstreams that want no request now.
    pub fn resting(&self) -> Vec<UpstreamId> {
        self.lock().resting(Instant::now())
    }

    /// Whether an upstream wants no request now.
    pub fn holds(&self, upstream: &UpstreamId) -> bool {
        self.lock().holds(Instant::now(), upstream)
    }

    fn lock(&self) -> MutexGuard<'_, rest::Rests> {
        self.rests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads the rest that a refusal asks for. A value that makes no sense is logged and ignored.
fn requested_rest<B>(upstream: &UpstreamId, response: &Response<B>) -> Option<Duration> {
    if response.status() != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let mut values = response.headers().get_all(RETRY_AFTER).iter();
    let value = values.next()?;
    let seconds = value.to_str().ok().filter(|_| values.next().is_none());
    let seconds = seconds.and_then(|s| parse_decimal(s.trim(), rest::MAX_REST_S));
    if seconds.is_none() {
        let value = String::from_utf8_lossy(value.as_bytes());
        log::info!(
            "event=upstream_rest_bad upstream={upstream} value={}",
            quote_value(value)
        );
    }
    seconds.map(Duration::from_secs_f64)
}
