//! Time for which an instance waits for a change of the directory that others have announced.

use std::time::Duration;

use kingcupfield_decisions::awaited_revision::AwaitedRevision;
use kingcupfield_decisions::store_view::Revision;
use tokio::time::Instant;
use yare::parameterized;

/// What happens at one moment.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Another instance announces a revision.
    Announced(Revision),
    /// Everything up to a revision arrives, after this wait for the awaited one.
    Known(Revision, Option<u64>),
}

struct Case {
    /// Steps with their time in milliseconds.
    steps: &'static [(u64, Step)],
    /// Wait at 1,000 ms for what is still missing.
    waited_ms: Option<u64>,
}

/// Guards against an instance that is late without knowing it: while changes keep arriving, the one that is
/// missing must count from its own announcement, not from the last one.
#[parameterized(
    nothing = { Case { steps: &[], waited_ms: None } },
    missing = { Case { steps: &[(100, Step::Announced(5)), (400, Step::Announced(5))], waited_ms: Some(900) } },
    arrived = { Case { steps: &[(100, Step::Announced(5)), (300, Step::Known(5, Some(200)))], waited_ms: None } },
    only_older_arrive = { Case { steps: &[(100, Step::Announced(5)), (300, Step::Known(4, None))], waited_ms: Some(900) } },
    newer_missing = { Case { steps: &[(100, Step::Announced(5)), (200, Step::Announced(7)), (300, Step::Known(6, Some(200)))], waited_ms: Some(800) } },
    all_arrive_at_once = { Case { steps: &[(100, Step::Announced(5)), (200, Step::Announced(7)), (300, Step::Known(7, Some(200)))], waited_ms: None } },
    again = { Case { steps: &[(100, Step::Announced(5)), (200, Step::Known(9, Some(100))), (600, Step::Announced(10))], waited_ms: Some(400) } },
)]
fn the_wait_counts_from_the_announcement(case: Case) {
    let start = Instant::now();
    let mut awaited = AwaitedRevision::default();
    for (at_ms, step) in case.steps {
        let now = start + Duration::from_millis(*at_ms);
        match step {
            Step::Announced(revision) => awaited.on_announced(now, *revision),
            Step::Known(revision, waited_ms) => {
                let waited = awaited.on_known(now, *revision);
                assert_eq!(waited, waited_ms.map(Duration::from_millis));
            }
        }
    }
    let waited = awaited.waited(start + Duration::from_secs(1));
    assert_eq!(waited, case.waited_ms.map(Duration::from_millis));
}
