//! Admission of a received request: retry budget, then the organisation's limits.

use kingcupfield_decisions::id::Tokens;

use crate::error::{Refusal, RefusalKind};
use crate::limits::Admission;
use crate::request::Meta;
use crate::shared::Shared;

/// Admits a request that is expected to use `tokens`, or refuses it as the organisation's own
/// fault (429), which is no shed.
pub fn admit(shared: &Shared, meta: &Meta, tokens: Tokens) -> Result<Admission, Refusal> {
    shared
        .limits
        .admit_attempt(&meta.organisation, meta.attempt)
        .map_err(|e| {
            let refusal = Refusal::new(RefusalKind::Limited)
                .with_message("the organisation's retry budget is spent");
            refusal.with_retry_after(e.retry_after)
        })?;
    shared
        .limits
        .enter(&meta.organisation, tokens)
        .map_err(|e| Refusal::new(RefusalKind::Limited).with_retry_after(e.retry_after))
}
