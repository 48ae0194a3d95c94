//! Level of a pool: no request may be refused while a lower tier is still admitted by some
//! instance.

use std::time::Duration;

use kingcupfield_decisions::id::{InstanceId, Rank, RequestId};
use kingcupfield_decisions::shedding::{
    ACKNOWLEDGE_TIMEOUT, Estimate, LOWER_AFTER, LevelMember, LevelMessage, LevelOwner,
    REFUSAL_RIGHT_LEASE, RefusalStep, ToLevelMember, ToLevelOwner, can_meet, is_unmeetable,
};
use tokio::time::Instant;
use yare::parameterized;

/// Rank of the lowest tier.
const LOWEST_RANK: Rank = 3;

/// A level with its members. Messages arrive at once, except to and from the members in `cut`.
struct Pool {
    now: Instant,
    level: LevelOwner,
    names: Vec<InstanceId>,
    members: Vec<LevelMember>,
    cut: Vec<usize>,
}

impl Pool {
    fn new(members: usize) -> Self {
        let now = Instant::now();
        let names: Vec<InstanceId> = (0..members).map(|n| format!("entry-{n}").into()).collect();
        let mut level = LevelOwner::new(LOWEST_RANK);
        level.set_members(now, names.clone());
        let members = names
            .iter()
            .map(|_| LevelMember::new(LOWEST_RANK))
            .collect();
        Self {
            now,
            level,
            names,
            members,
            cut: Vec::new(),
        }
    }

    /// Delivers messages until none is in transit; returns the requests that the members refused.
    fn deliver(&mut self, mut sends: Vec<LevelMessage>) -> Vec<RequestId> {
        let mut refused = Vec::new();
        loop {
            for send in std::mem::take(&mut sends) {
                let index = self.names.binary_search(&send.to).expect("a member");
                if !self.cut.contains(&index) {
                    refused.extend(self.members[index].on_message(self.now, &send.message));
                }
            }
            for index in 0..self.members.len() {
                for message in self.members[index].take_outgoing() {
                    if !self.cut.contains(&index) {
                        sends.extend(
                            self.level
                                .on_message(self.now, &self.names[index], &message),
                        );
                    }
                }
            }
            if sends.is_empty() {
                return refused;
            }
        }
    }

    /// Advances the time in ticks of 50 ms; returns the requests that the members refused.
    fn advance(&mut self, time: Duration) -> Vec<RequestId> {
        let mut refused = Vec::new();
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(50);
            let sends = self.level.on_tick(self.now);
            refused.extend(self.deliver(sends));
        }
        refused
    }
}

/// Two instances are full. One holds an urgent request that cannot be served, the other a waiting
/// request of the lowest tier. The waiting one must be refused first, or the urgent caller would
/// get "no capacity" while the other is served.
#[test]
fn lower_tiers_are_refused_first_at_all_instances() {
    let mut pool = Pool::new(3);
    pool.members[1].add_waiting(&"low".into(), 3);
    pool.members[1].add_waiting(&"urgent".into(), 0);

    assert_eq!(
        pool.members[0].request_refusal(pool.now, 1),
        RefusalStep::RaiseFirst
    );
    assert_eq!(pool.deliver(Vec::new()), vec![RequestId::from("low")]);

    assert_eq!(
        pool.members[0].request_refusal(pool.now, 1),
        RefusalStep::Allowed
    );
    let admitting = |rank| {
        pool.members
            .iter()
            .filter(|m| m.admits(pool.now, rank))
            .count()
    };
    assert_eq!([0, 1, 2, 3].map(admitting), [3, 3, 0, 0]);
    assert_eq!(pool.level.lowest_rank(), 1);
}

/// An instance holds requests of several tiers and has to refuse one of them. A request of a higher
/// tier must not be refused while this instance keeps a lower one.
#[test]
fn own_lower_tiers_are_evicted_from_the_lowest_up() {
    let mut pool = Pool::new(1);
    for (request, rank) in [("a", 2), ("b", 3), ("c", 1)] {
        pool.members[0].add_waiting(&request.into(), rank);
    }
    let mut evicted = Vec::new();
    while let RefusalStep::EvictFirst(request) = pool.members[0].request_refusal(pool.now, 1) {
        let rank = if &*request == "b" { 3 } else { 2 };
        pool.members[0].remove_waiting(&request, rank);
        evicted.push(request);
    }
    assert_eq!(evicted, vec![RequestId::from("b"), RequestId::from("a")]);
    assert_eq!(
        pool.members[0].request_refusal(pool.now, 1),
        RefusalStep::RaiseFirst
    );
}

/// One instance is paused and cannot acknowledge. Requests at the others must not wait for it until
/// their deadlines.
#[test]
fn a_paused_instance_delays_a_refusal_by_a_bounded_time() {
    let mut pool = Pool::new(3);
    pool.cut.push(2);
    assert_eq!(
        pool.members[0].request_refusal(pool.now, 0),
        RefusalStep::RaiseFirst
    );
    pool.deliver(Vec::new());
    assert_eq!(
        pool.members[0].request_refusal(pool.now, 0),
        RefusalStep::RaiseFirst
    );
    pool.advance(ACKNOWLEDGE_TIMEOUT);
    assert_eq!(
        pool.members[0].request_refusal(pool.now, 0),
        RefusalStep::Allowed
    );
}

/// An overloaded instance is cut off from the owner of the level. Without a timeout its callers
/// would get no response before their deadlines.
#[test]
fn an_instance_without_a_reachable_owner_refuses_alone() {
    let mut pool = Pool::new(2);
    pool.cut.push(0);
    assert_eq!(
        pool.members[0].request_refusal(pool.now, 1),
        RefusalStep::RaiseFirst
    );
    pool.advance(ACKNOWLEDGE_TIMEOUT * 2);
    assert_eq!(
        pool.members[0].request_refusal(pool.now, 1),
        RefusalStep::Allowed
    );
    assert!(!pool.members[0].admits(pool.now, 2));
    assert!(pool.members[1].admits(pool.now, 2));
}

/// The overload ends. Low tiers must not stay refused forever, nor be admitted again all at once,
/// which would cause the next overload.
#[test]
fn the_level_is_lowered_by_one_tier_at_a_time() {
    let mut pool = Pool::new(2);
    pool.members[0].request_refusal(pool.now, 0);
    pool.deliver(Vec::new());
    let mut levels = Vec::new();
    for _ in 0..4 {
        levels.push(pool.level.lowest_rank());
        pool.advance(LOWER_AFTER);
    }
    assert_eq!(levels, vec![0, 1, 2, 3]);
    assert!(pool.members.iter().all(|m| m.admits(pool.now, LOWEST_RANK)));
}

/// Refusals continue. If the level were lowered between two of them, requests of a tier would be
/// admitted that is about to be refused again.
#[test]
fn the_level_stays_raised_while_refusals_continue() {
    let mut pool = Pool::new(2);
    pool.members[0].request_refusal(pool.now, 1);
    pool.deliver(Vec::new());
    for _ in 0..20 {
        pool.advance(Duration::from_millis(250));
        assert_eq!(
            pool.members[0].request_refusal(pool.now, 1),
            RefusalStep::Allowed
        );
        pool.deliver(Vec::new());
    }
    assert_eq!(pool.level.lowest_rank(), 1);
}

/// The level is lowered, but one instance has not received the change yet. It must not refuse tier
/// 1 while the others serve tier 2 again.
#[test]
fn a_right_to_refuse_ends_before_lower_tiers_are_admitted() {
    let mut pool = Pool::new(2);
    pool.members[0].request_refusal(pool.now, 1);
    pool.deliver(Vec::new());
    pool.now += LOWER_AFTER;
    let set = pool.level.on_tick(pool.now);
    assert!(matches!(
        set[0].message,
        ToLevelMember::Set { lowest_rank: 2, .. }
    ));
    pool.members[1].on_message(pool.now, &set[1].message);
    let acknowledge = pool.members[1].take_outgoing();
    let early = pool
        .level
        .on_message(pool.now, &pool.names[1], &acknowledge[0]);
    assert!(early.is_empty());
    assert!(!pool.members[1].admits(pool.now, 2));

    pool.members[0].on_message(pool.now, &set[0].message);
    assert_eq!(
        pool.members[0].request_refusal(pool.now, 1),
        RefusalStep::RaiseFirst
    );
}

/// All messages that lower the level are lost on the way to one instance. Until its right to refuse
/// has expired it may refuse tier 1, so the other instance must not serve tier 2 yet.
#[test]
fn a_lost_lowering_waits_for_the_right_to_expire() {
    let mut pool = Pool::new(2);
    pool.members[0].request_refusal(pool.now, 1);
    pool.deliver(Vec::new());
    pool.cut.push(0);
    pool.advance(LOWER_AFTER + ACKNOWLEDGE_TIMEOUT * 2);
    assert_eq!(
        pool.members[0].request_refusal(pool.now, 1),
        RefusalStep::Allowed
    );
    assert!(!pool.members[1].admits(pool.now, 2));
    pool.advance(REFUSAL_RIGHT_LEASE);
    assert_eq!(
        pool.members[0].request_refusal(pool.now, 1),
        RefusalStep::RaiseFirst
    );
    assert!(pool.members[1].admits(pool.now, 2));
}

/// The owner of the level dies. Levels and rights to refuse that it has set must expire on their
/// own, the rights first.
#[test]
fn a_right_to_refuse_expires_before_the_level() {
    let mut pool = Pool::new(2);
    pool.members[0].request_refusal(pool.now, 1);
    pool.deliver(Vec::new());
    pool.now += REFUSAL_RIGHT_LEASE;
    assert_eq!(
        pool.members[0].request_refusal(pool.now, 1),
        RefusalStep::RaiseFirst
    );
    assert!(!pool.members[1].admits(pool.now, 2));
}

/// A new owner starts at epoch 0, while the members remember higher epochs of the dead owner. It
/// must continue after those, or the members would ignore every change.
#[test]
fn a_new_owner_continues_after_the_epoch_of_the_dead_one() {
    let mut pool = Pool::new(2);
    for _ in 0..3 {
        pool.members[0].request_refusal(pool.now, 1);
        pool.deliver(Vec::new());
        pool.advance(LOWER_AFTER * 4);
    }
    pool.level = LevelOwner::new(LOWEST_RANK);
    let sends = pool.level.set_members(pool.now, pool.names.clone());
    pool.deliver(sends);
    let sends = pool
        .level
        .on_message(pool.now, &pool.names[0], &ToLevelOwner::Raise { rank: 0 });
    pool.deliver(sends);
    assert_eq!(
        pool.members[1].request_refusal(pool.now, 0),
        RefusalStep::Allowed
    );
}

#[parameterized(
    in_time = { 1000, 400, 600, true, false },
    late = { 1000, 401, 600, false, false },
    unmeetable = { 500, 0, 600, false, true },
)]
fn deadlines_are_compared_with_estimates(
    left_ms: u64,
    wait_ms: u64,
    service_ms: u64,
    meets: bool,
    unmeetable: bool,
) {
    let ms = Duration::from_millis;
    let estimate = Estimate {
        wait: ms(wait_ms),
        service: ms(service_ms),
    };
    assert_eq!(can_meet(ms(left_ms), estimate), meets);
    assert_eq!(is_unmeetable(ms(left_ms), estimate), unmeetable);
}
