//! Fleet-wide retry budget, spent by instances that do not communicate.

use std::time::Duration;

use kingcupfield_decisions::id::ServiceId;
use kingcupfield_decisions::upstream_retries::{UpstreamRetryBounds, UpstreamRetryBudget};
use tokio::time::Instant;
use yare::parameterized;

const BOUNDS: UpstreamRetryBounds = UpstreamRetryBounds {
    ratio: 0.2,
    window: Duration::from_secs(10),
    extra: 54.0,
};

struct Case {
    instances: usize,
    /// Requests per second at each instance.
    rate: u64,
}

/// Every replica fails every request, and each instance wants to retry each of them. In any window
/// the retries of all instances together must stay within the operator's bound, or they would
/// double the load just when capacity is short.
#[parameterized(
    seven_busy = { Case { instances: 7, rate: 20 } },
    seven_idle = { Case { instances: 7, rate: 1 } },
    many = { Case { instances: 65, rate: 5 } },
    one_alone = { Case { instances: 1, rate: 50 } },
)]
fn instances_stay_within_the_bound_together(case: Case) {
    let service: ServiceId = "drafting".into();
    let start = Instant::now();
    let mut fleet: Vec<UpstreamRetryBudget> = (0..case.instances)
        .map(|_| UpstreamRetryBudget::new(BOUNDS))
        .collect();
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for ms in (0..30_000).step_by(1000 / case.rate as usize) {
        let now = start + Duration::from_millis(ms);
        for instance in &mut fleet {
            instance.on_request(now, &service);
            requests.push(now);
            if instance.try_spend(now, &service, case.instances) {
                retries.push(now);
            }
        }
    }
    for second in 0..20 {
        let from = start + Duration::from_secs(second);
        let within = |t: &&Instant| **t >= from && **t < from + BOUNDS.window;
        let asked = requests.iter().filter(within).count() as f64;
        let sent = retries.iter().filter(within).count() as f64;
        assert!(
            sent <= BOUNDS.ratio * asked + BOUNDS.extra,
            "{sent} for {asked}"
        );
    }
    assert!(!retries.is_empty(), "the budget allows no retry at all");
}
