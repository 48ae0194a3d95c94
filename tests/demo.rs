//! The demonstration breaks no promise, and its seed fixes the plan.

use std::time::Duration;

use kingcupfield::demo::{self, DemoConfig, Firm, Plan};
use yare::parameterized;

const LENGTH: Duration = Duration::from_secs(3);

#[parameterized(
    harrowgate = { Firm::Harrowgate },
    lotus = { Firm::Lotus },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_run_answers_and_breaks_no_promise(firm: Firm) {
    let cfg = DemoConfig::new(firm).with_seed(7).with_length(LENGTH);
    let report = demo::run(cfg).await.expect("a report");
    assert!(!report.broke_a_promise(), "{report}");
    assert_eq!(report.tiers.len(), 3);
    for tier in &report.tiers {
        let ended = tier.whole + tier.refused + tier.failed + tier.unknown;
        assert_eq!(ended, tier.sent, "{report}");
        assert!(tier.whole > 0, "{report}");
    }
    assert!(
        report.wasted_prefill_tokens < report.prefill_tokens,
        "{report}"
    );
}

/// Two runs start side by side in one process. If they shared a folder, one would at times find the
/// secret of the other half written and not start.
#[test]
fn each_run_has_a_folder_of_its_own() {
    assert_ne!(demo::new_folder(), demo::new_folder());
}

#[test]
fn the_seed_fixes_the_plan() {
    let plan = |firm, seed| Plan::new(firm, seed, LENGTH);
    assert_eq!(plan(Firm::Lotus, 7), plan(Firm::Lotus, 7));
    assert_ne!(plan(Firm::Lotus, 7), plan(Firm::Lotus, 8));
    let harrowgate = plan(Firm::Harrowgate, 7);
    assert_ne!(harrowgate.digest(), plan(Firm::Harrowgate, 8).digest());
    assert!(harrowgate.requests.is_sorted_by_key(|planned| planned.at));
    assert!(
        harrowgate
            .requests
            .iter()
            .all(|planned| planned.at < LENGTH)
    );
}
