//! Changes between lists of drained zones.

use std::time::Duration;

use kingcupfield_decisions::drained_zones::DrainedZones;
use tokio::time::Instant;
use yare::parameterized;

struct Step {
    zones: &'static [&'static str],
    drained: &'static [&'static str],
    restored: &'static [&'static str],
}

struct Series {
    steps: &'static [Step],
}

fn names<T>(zones: &[T]) -> Vec<&str>
where
    T: AsRef<str>,
{
    zones.iter().map(AsRef::as_ref).collect()
}

/// A zone is drained from the first list that contains it to the first one that doesn't.
#[parameterized(
    once = { Series { steps: &[
        Step { zones: &["b"], drained: &["b"], restored: &[] },
        Step { zones: &["b"], drained: &[], restored: &[] },
        Step { zones: &[], drained: &[], restored: &["b"] },
    ] } },
    overlapping = { Series { steps: &[
        Step { zones: &["b"], drained: &["b"], restored: &[] },
        Step { zones: &["c", "b", "b"], drained: &["c"], restored: &[] },
        Step { zones: &["c"], drained: &[], restored: &["b"] },
        Step { zones: &["b"], drained: &["b"], restored: &["c"] },
    ] } },
)]
fn a_zone_is_drained_while_it_is_listed(series: Series) {
    let start = Instant::now();
    let mut zones = DrainedZones::new();
    for (i, step) in series.steps.iter().enumerate() {
        let now = start + Duration::from_secs(i as u64);
        let change = zones.update(now, step.zones.iter().map(|z| (*z).into()));
        assert_eq!(names(&change.drained), step.drained);
        assert_eq!(names(&change.restored), step.restored);
        for zone in ["a", "b", "c"] {
            assert_eq!(zones.contains(zone), step.zones.contains(&zone));
        }
        for zone in step.restored {
            assert_eq!(zones.restored_at(zone), Some(now));
        }
    }
    assert_eq!(zones.restored_at("a"), None);
}
