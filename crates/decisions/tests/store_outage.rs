//! Store that is out of reach for all, or for some instances only.

use std::time::Duration;

use kingcupfield_decisions::store_outage::StoreOutage;
use tokio::time::Instant;
use yare::parameterized;

struct Case {
    /// Responses to any instance, in milliseconds.
    responses_ms: &'static [u64],
    /// Whether an outage is recent at 20,000 ms.
    is_recent: bool,
}

/// Guards against replicas that get requests after their entries were removed: calls of some instances failed
/// while the store served others, and all took the removal for one of the store's faults.
#[parameterized(
    no_response_yet = { Case { responses_ms: &[], is_recent: true } },
    first_response = { Case { responses_ms: &[19_000], is_recent: true } },
    responses_to_some = { Case { responses_ms: &[10_000, 12_000, 14_000, 16_000, 18_000, 19_900], is_recent: false } },
    an_instance_took_over = { Case { responses_ms: &[13_000, 15_000, 17_300, 19_500], is_recent: false } },
    no_response_for_long = { Case { responses_ms: &[13_000, 15_000, 17_000], is_recent: true } },
    back_for_a_second = { Case { responses_ms: &[13_000, 14_500, 19_000], is_recent: true } },
    back_for_five_seconds = { Case { responses_ms: &[10_000, 15_000, 17_000, 19_000], is_recent: false } },
    reported_late = { Case { responses_ms: &[10_000, 19_000, 14_000], is_recent: true } },
)]
fn an_outage_is_a_time_without_a_response_to_any_instance(case: Case) {
    let start = Instant::now();
    let mut outage = StoreOutage::default();
    for at_ms in case.responses_ms {
        outage.on_response(start + Duration::from_millis(*at_ms));
    }
    assert_eq!(
        outage.is_recent(start + Duration::from_secs(20)),
        case.is_recent
    );
}
