//! Owners, fallback shares, prefix caches, response lengths and replica health.

use std::time::Duration;

use kingcupfield_decisions::health::{Health, HealthStage, PROBE_PAUSE};
use kingcupfield_decisions::id::{InstanceId, OrganisationId, ServiceId};
use kingcupfield_decisions::length::LengthPredictor;
use kingcupfield_decisions::ownership::{fallback_share_of, owner, ranked};
use kingcupfield_decisions::prefixes::{CacheChange, CacheEvent, PrefixCache};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

const SEED: u64 = 3;

fn entries(count: usize) -> Vec<InstanceId> {
    (0..count).map(|i| format!("entry-{i}").into()).collect()
}

/// An instance leaves. Only its keys get a new owner: for each, the instance that ranked second.
#[test]
fn departure_moves_only_its_own_keys() {
    let all = entries(7);
    let remaining = &all[1..];
    let mut moved = 0;
    for key in (0..700).map(|i| format!("drafting-{i}")) {
        let owner_before = owner(&key, &all).expect("instances live");
        let owner_after = owner(&key, remaining).expect("instances live");
        if owner_before == &all[0] {
            moved += 1;
            assert_eq!(owner_after, ranked(&key, &all)[1]);
        } else {
            assert_eq!(owner_after, owner_before);
        }
    }
    assert!((60..140).contains(&moved), "{moved} of 700 keys");
    assert_eq!(owner("drafting-1", &[]), None);
}

/// While no owner is reachable, the instances together use the whole capacity and never more.
#[test]
fn fallback_shares_sum_to_the_capacity() {
    for (instances, capacity) in [(7, 16), (7, 3), (1, 5), (66, 16)] {
        let all = entries(instances);
        let shares = all.iter();
        let sum: u32 = shares
            .map(|instance| fallback_share_of("drafting-1", instance, capacity, &all))
            .sum();
        assert_eq!(sum, capacity, "{instances} instances");
    }
}

/// Cache events arrive late and some are lost. A prefix that a lost event may have evicted doesn't
/// count.
#[test]
fn gap_in_cache_events_counts_as_eviction() {
    let event = |seq, change, prefix| CacheEvent {
        seq,
        change,
        prefix,
    };
    let mut cache = PrefixCache::new();
    cache.on_grant(&[1, 2]);
    cache.on_event(event(1, CacheChange::Stored, 3));
    assert_eq!(cache.cached(&[1, 2, 9]), 2);
    cache.on_event(event(2, CacheChange::Evicted, 2));
    cache.on_event(event(1, CacheChange::Stored, 2));
    assert_eq!(cache.cached(&[1, 2]), 1);
    cache.on_event(event(9, CacheChange::Stored, 4));
    assert_eq!(cache.cached(&[1]), 0);
    assert_eq!(cache.cached(&[4]), 1);
}

#[test]
fn prefix_cache_is_bounded() {
    let mut cache = PrefixCache::new().with_capacity(64);
    for prefix in 0..10_000 {
        cache.on_grant(&[prefix]);
        assert!(cache.len() <= 64);
    }
    assert_eq!(cache.cached(&[9_999]), 1);
}

/// The responses of one model to two organisations differ a hundredfold in length, and the callers'
/// `max_tokens` is far above both.
#[test]
fn lengths_are_learned_for_each_organisation() {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut lengths = LengthPredictor::new();
    let service: ServiceId = "drafting".into();
    let (mut prediction_error, mut max_tokens_error, mut total_tokens) = (0, 0, 0);
    for i in 0..2_000 {
        let long = i % 2 == 0;
        let (name, mean) = if long {
            ("museum", 2_000)
        } else {
            ("harbour", 20)
        };
        let organisation: OrganisationId = name.into();
        let answer = rng.random_range(mean / 2..mean * 3 / 2);
        let predicted = lengths.predict(&organisation, &service, 500, Some(4_096));
        prediction_error += predicted.abs_diff(answer);
        max_tokens_error += 4_096_u64.abs_diff(answer);
        total_tokens += answer;
        lengths.on_answer(&organisation, &service, 500, answer);
    }
    println!("error {prediction_error} of {total_tokens} tokens, by max_tokens {max_tokens_error}");
    assert!(
        prediction_error * 3 < total_tokens,
        "error {prediction_error} of {total_tokens}"
    );
    assert!(
        prediction_error * 5 < max_tokens_error,
        "error {prediction_error}, by max_tokens {max_tokens_error}"
    );
}

/// A replica stalls and recovers. Its slots come back step by step, and a slow response ejects it
/// again.
#[test]
fn slots_come_back_by_probes_and_steps() {
    let start = Instant::now();
    let mut health = Health::new();
    health.on_overdue(start);
    assert_eq!(health.allowed_slots(start, 16, 3, 3), 3);
    let mut now = start + PROBE_PAUSE;
    assert_eq!(health.allowed_slots(now, 16, 3, 3), 4);
    health.on_granted(now);
    assert_eq!(health.allowed_slots(now, 16, 4, 3), 4);
    let mut slots = Vec::new();
    for _ in 0..14 {
        now += Duration::from_secs(1);
        health.on_answer(now, now, 1.0, 1.0);
        slots.push(health.allowed_slots(now, 16, 0, 0));
    }
    assert!(slots.is_sorted(), "{slots:?}");
    assert_eq!((slots[0], slots[13]), (1, 16));
    assert_eq!(health.stage(), HealthStage::Healthy);
    health.on_answer(now, now, 9.0, 9.0);
    assert_eq!(health.stage(), HealthStage::Probing);
}
