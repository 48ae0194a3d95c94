//! Property test: a table is unchanged after a round trip through CSV and through JSON.

use std::sync::Arc;

use kingcupfield::table::{csv, json};
use kingcupfield_decisions::values::{Organisation, Table, Tier};
use proptest::option;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Number of random tables.
const CASES: u32 = 256;
/// Seed of the random generator, fixed to make failures reproducible.
const SEED: u64 = 6;

// Names with all characters that require quoting in CSV.
fn any_name() -> impl Strategy<Value = Arc<str>> {
    "[a-zđẵ ;,\"'\n\t-]{1,12}".prop_map(Arc::from)
}

fn any_tier() -> impl Strategy<Value = Tier> {
    (any_name(), any::<u8>(), any::<u32>()).prop_map(|(tier, rank, weight)| Tier {
        tier,
        rank,
        weight,
    })
}

fn any_region() -> impl Strategy<Value = Arc<str>> {
    "[a-zäé-]{1,8}".prop_map(Arc::from)
}

fn any_organisation() -> impl Strategy<Value = Organisation> {
    let keys = prop::collection::vec("[0-9a-f]{64}", 0..3);
    let limits = (
        option::of(0.0..1e12),
        option::of(0.0..1e-3),
        option::of(any::<u32>()),
    );
    let regions = prop::collection::vec(any_region(), 0..3);
    (any_name(), any::<u32>(), any_name(), keys, limits, regions).prop_map(
        |(organisation, weight, max_tier, key_sha256, limits, allowed_regions)| Organisation {
            organisation,
            weight,
            max_tier,
            key_sha256,
            requests_per_s: limits.0,
            tokens_per_s: limits.1,
            max_running: limits.2,
            allowed_regions,
        },
    )
}

proptest! {
    #![proptest_config(Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn table_is_unchanged_by_a_round_trip(
        tiers in prop::collection::vec(any_tier(), 0..4),
        organisations in prop::collection::vec(any_organisation(), 0..6),
        emptied_zones in prop::collection::vec(any_name(), 0..3),
    ) {
        let table = Table { tiers, organisations, emptied_zones };
        let text = csv::write(&table).expect("written");
        prop_assert_eq!(&csv::read(text.as_bytes()).expect("read").check().table, &table);
        let text = json::write(&table).expect("written");
        prop_assert_eq!(&json::read(text.as_bytes()).expect("read").check().table, &table);
    }
}
