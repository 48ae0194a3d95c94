//! Sums of what the other instances have at replicas.

use kingcupfield_decisions::remote_load::{RemoteLoad, ReplicaLoad, TotalLoad};
use proptest::prelude::*;

fn loads() -> impl Strategy<Value = Vec<ReplicaLoad>> {
    let load =
        (0_u32..8, 1_u16..5, 0_u32..4000).prop_map(|(replica, running, prompt)| ReplicaLoad {
            replica,
            running,
            prompt,
        });
    prop::collection::vec(load, 0..6).prop_map(|mut loads| {
        loads.sort_by_key(|l| l.replica);
        loads.dedup_by_key(|l| l.replica);
        loads
    })
}

fn sum_anew(told: &[Vec<ReplicaLoad>], replica: u32) -> TotalLoad {
    let at = told.iter().flatten().filter(|l| l.replica == replica);
    at.fold(TotalLoad::default(), |sum, load| TotalLoad {
        running: sum.running + u32::from(load.running),
        prompt: sum.prompt + u64::from(load.prompt),
    })
}

proptest! {
    /// Instances tell their load again and again, fall silent and return. If a sum drifted, a
    /// replica would count as full for good, or be overfilled.
    #[test]
    fn sums_are_what_adding_up_anew_gives(words in prop::collection::vec((0_usize..5, loads()), 1..60)) {
        let mut told = vec![Vec::new(); 5];
        let mut elsewhere = RemoteLoad::new();
        for (instance, loads) in words {
            let before: Vec<TotalLoad> = (0..8).map(|r| sum_anew(&told, r)).collect();
            elsewhere.replace(&told[instance], &loads);
            told[instance] = loads;
            let changed = elsewhere.take_changed();
            for replica in 0..8_u32 {
                let now = sum_anew(&told, replica);
                prop_assert_eq!(elsewhere.get(replica), now);
                let differs = now != before[replica as usize];
                prop_assert!(!differs || changed.contains(&replica), "a change is not told");
            }
        }
    }
}

/// A message that repeats what is known changes nothing, so that nobody looks at all replicas for
/// it.
#[test]
fn a_repeated_word_changes_nothing() {
    let load = |replica, running| ReplicaLoad {
        replica,
        running,
        prompt: 100,
    };
    let mut elsewhere = RemoteLoad::new();
    elsewhere.replace(&[], &[load(1, 1), load(2, 1)]);
    assert_eq!(elsewhere.take_changed(), [1, 2]);
    elsewhere.replace(&[load(1, 1), load(2, 1)], &[load(1, 1), load(2, 3)]);
    assert_eq!(elsewhere.take_changed(), [2]);
    elsewhere.replace(&[load(1, 1)], &[load(1, 1)]);
    assert!(elsewhere.take_changed().is_empty());
}
