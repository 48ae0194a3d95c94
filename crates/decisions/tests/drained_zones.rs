//! Which zones get nothing new.

use std::time::Duration;

use kingcupfield_decisions::drained_zones::DrainedZones;
use tokio::time::Instant;
use yare::parameterized;

struct Step {
    zones: &'static [&'static str],
    emptied: &'static [&'static str],
    refilled: &'static [&'static str],
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

/// A zone is emptied from the first list that names it to the first that does not.
#[parameterized(
    once = { Series { steps: &[
        Step { zones: &["b"], emptied: &["b"], refilled: &[] },
        Step { zones: &["b"], emptied: &[], refilled: &[] },
        Step { zones: &[], emptied: &[], refilled: &["b"] },
    ] } },
    overlapping = { Series { steps: &[
        Step { zones: &["b"], emptied: &["b"], refilled: &[] },
        Step { zones: &["c", "b", "b"], emptied: &["c"], refilled: &[] },
        Step { zones: &["c"], emptied: &[], refilled: &["b"] },
        Step { zones: &["b"], emptied: &["b"], refilled: &["c"] },
    ] } },
)]
fn a_zone_is_emptied_while_it_is_listed(series: Series) {
    let start = Instant::now();
    let mut zones = DrainedZones::new();
    for (at, step) in series.steps.iter().enumerate() {
        let now = start + Duration::from_secs(at as u64);
        let change = zones.update(now, step.zones.iter().map(|z| (*z).into()));
        assert_eq!(names(&change.drained), step.emptied);
        assert_eq!(names(&change.restored), step.refilled);
        for zone in ["a", "b", "c"] {
            assert_eq!(zones.contains(zone), step.zones.contains(&zone));
        }
        for zone in step.refilled {
            assert_eq!(zones.restored_at(zone), Some(now));
        }
    }
    assert_eq!(zones.restored_at("a"), None);
}
