//! Far more is asked for than the engines can do, in all tiers. Callers of low tiers are refused
//! before any of a higher one, and what is taken in is answered whole.

use crate::checks::check;
use crate::fleet::{Fleet, FleetConfig};
use crate::load::{Load, LoadConfig, Record, TIERS};

fn whole_share(records: &[Record], tier: usize) -> f64 {
    let of_tier: Vec<&Record> = records
        .iter()
        .filter(|record| record.tier == tier)
        .collect();
    let whole = of_tier
        .iter()
        .filter(|record| record.appears_complete())
        .count();
    whole as f64 / of_tier.len() as f64
}

#[tokio::test]
async fn under_overload_the_higher_tiers_are_served() {
    let cfg = FleetConfig::small().with_engine_args(&["--generation", "g1", "--max-running", "4"]);
    let fleet = Fleet::start(cfg).await;
    let load = LoadConfig::new(33)
        .with_callers(96)
        .with_max_tokens(32)
        .with_timeout_ms(3_000);
    let load = Load::start(&fleet, load);
    load.wait_for_complete(400).await;
    let records = load.stop().await;
    check(&records, &fleet.runs().await);
    let shares: Vec<f64> = (0..TIERS.len())
        .map(|tier| whole_share(&records, tier))
        .collect();
    assert!(shares[0] > 0.9, "whole answers by tier: {shares:?}");
    assert!(
        shares[0] >= shares[1] && shares[1] >= shares[2],
        "by tier: {shares:?}"
    );
    assert!(shares[2] < 0.9, "there was no overload: {shares:?}");
}
