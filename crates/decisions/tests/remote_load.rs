//! Running totals of the load that other instances report.

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

fn recomputed_total(reported: &[Vec<ReplicaLoad>], replica: u32) -> TotalLoad {
    let loads = reported.iter().flatten().filter(|l| l.replica == replica);
    loads.fold(TotalLoad::default(), |total, load| TotalLoad {
        running: total.running + u32::from(load.running),
        pending_prompt_tokens: total.pending_prompt_tokens + u64::from(load.prompt),
    })
}

proptest! {
    /// Instances report their load again and again, stop responding and return. If a total drifted,
    /// a replica would count as full for good, or be overfilled.
    #[test]
    fn totals_equal_recomputed_ones(messages in prop::collection::vec((0_usize..5, loads()), 1..60)) {
        let mut reported = vec![Vec::new(); 5];
        let mut remote_load = RemoteLoad::new();
        for (instance, loads) in messages {
            let previous: Vec<TotalLoad> = (0..8).map(|r| recomputed_total(&reported, r)).collect();
            remote_load.replace(&reported[instance], &loads);
            reported[instance] = loads;
            let changed = remote_load.take_changed();
            for replica in 0..8_u32 {
                let expected = recomputed_total(&reported, replica);
                prop_assert_eq!(remote_load.get(replica), expected);
                let differs = expected != previous[replica as usize];
                prop_assert!(!differs || changed.contains(&replica), "a change is not told");
            }
        }
    }
}

/// A message without changes marks no replica as changed, so that none is processed because of it.
#[test]
fn a_repeated_message_changes_nothing() {
    let load = |replica, running| ReplicaLoad {
        replica,
        running,
        prompt: 100,
    };
    let mut remote_load = RemoteLoad::new();
    remote_load.replace(&[], &[load(1, 1), load(2, 1)]);
    assert_eq!(remote_load.take_changed(), [1, 2]);
    remote_load.replace(&[load(1, 1), load(2, 1)], &[load(1, 1), load(2, 3)]);
    assert_eq!(remote_load.take_changed(), [2]);
    remote_load.replace(&[load(1, 1)], &[load(1, 1)]);
    assert!(remote_load.take_changed().is_empty());
}
