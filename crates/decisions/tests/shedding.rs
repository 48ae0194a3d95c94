//! The level of a pool: nothing is refused while a lower tier is still admitted somewhere.

use std::time::Duration;

use kingcupfield_decisions::id::{InstanceId, Rank, RequestId};
use kingcupfield_decisions::shedding::{
    ACKNOWLEDGE_TIMEOUT, Estimate, FALL_AFTER, LevelMember, LevelMessage, LevelOwner,
    REFUSAL_RIGHT_LEASE, RefusalStep, ToLevelMember, ToLevelOwner, can_meet, is_unmeetable,
};
use tokio::time::Instant;
use yare::parameterized;

const BOTTOM: Rank = 3;

/// A level with members; messages arrive at once, except to and from those that are cut off.
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
        let mut level = LevelOwner::new(BOTTOM);
        level.set_members(now, names.clone());
        let members = names.iter().map(|_| LevelMember::new(BOTTOM)).collect();
        Self {
            now,
            level,
            names,
            members,
            cut: Vec::new(),
        }
    }

    /// Delivers until nothing is under way; returns what the members refused.
    fn deliver(&mut self, mut sends: Vec<LevelMessage>) -> Vec<RequestId> {
        let mut refused = Vec::new();
        loop {
            for send in std::mem::take(&mut sends) {
                let at = self.names.binary_search(&send.to).expect("a member");
                if !self.cut.contains(&at) {
                    refused.extend(self.members[at].on_message(self.now, &send.message));
                }
            }
            for at in 0..self.members.len() {
                for message in self.members[at].take_outgoing() {
                    if !self.cut.contains(&at) {
                        sends.extend(self.level.on_message(self.now, &self.names[at], &message));
                    }
                }
            }
            if sends.is_empty() {
                return refused;
            }
        }
    }

    fn pass(&mut self, time: Duration) -> Vec<RequestId> {
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

/// Two instances are full. One holds an urgent request that cannot be served any more, the other
/// a waiting request of the lowest tier. The urgent caller would be told "no capacity" while the
/// other caller is served.
#[test]
fn lower_tiers_of_all_instances_go_first() {
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
    let allowed = |rank| {
        pool.members
            .iter()
            .filter(|m| m.admits(pool.now, rank))
            .count()
    };
    assert_eq!([0, 1, 2, 3].map(allowed), [3, 3, 0, 0]);
    assert_eq!(pool.level.lowest_rank(), 1);
}

/// An instance holds requests of several tiers and one of them has to be refused. A caller of the
/// higher tier would see its request refused while this very instance keeps a lower one.
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

/// One instance is paused and cannot acknowledge. Callers of the others must not wait for it until
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
    pool.pass(ACKNOWLEDGE_TIMEOUT);
    assert_eq!(
        pool.members[0].request_refusal(pool.now, 0),
        RefusalStep::Allowed
    );
}

/// The instance that owns the level is cut off from one that is overloaded. Its callers would get
/// no answer at all before their deadlines.
#[test]
fn an_instance_without_an_owner_goes_on_alone() {
    let mut pool = Pool::new(2);
    pool.cut.push(0);
    assert_eq!(
        pool.members[0].request_refusal(pool.now, 1),
        RefusalStep::RaiseFirst
    );
    pool.pass(ACKNOWLEDGE_TIMEOUT * 2);
    assert_eq!(
        pool.members[0].request_refusal(pool.now, 1),
        RefusalStep::Allowed
    );
    assert!(!pool.members[0].admits(pool.now, 2));
    assert!(pool.members[1].admits(pool.now, 2));
}

/// The overload ends. Low tiers would stay refused for ever, or all come back in one moment and
/// cause the next overload.
#[test]
fn the_level_falls_one_step_at_a_time() {
    let mut pool = Pool::new(2);
    pool.members[0].request_refusal(pool.now, 0);
    pool.deliver(Vec::new());
    let mut levels = Vec::new();
    for _ in 0..4 {
        levels.push(pool.level.lowest_rank());
        pool.pass(FALL_AFTER);
    }
    assert_eq!(levels, vec![0, 1, 2, 3]);
    assert!(pool.members.iter().all(|m| m.admits(pool.now, BOTTOM)));
}

/// Refusals go on. A level that fell between two of them would let in requests of a tier that is
/// about to be refused again.
#[test]
fn the_level_stays_while_refusals_go_on() {
    let mut pool = Pool::new(2);
    pool.members[0].request_refusal(pool.now, 1);
    pool.deliver(Vec::new());
    for _ in 0..20 {
        pool.pass(Duration::from_millis(250));
        assert_eq!(
            pool.members[0].request_refusal(pool.now, 1),
            RefusalStep::Allowed
        );
        pool.deliver(Vec::new());
    }
    assert_eq!(pool.level.lowest_rank(), 1);
}

/// The level falls while one instance has not heard of it. It would go on to refuse tier 1 while
/// the others serve tier 2 again.
#[test]
fn a_right_to_refuse_ends_before_lower_tiers_come_back() {
    let mut pool = Pool::new(2);
    pool.members[0].request_refusal(pool.now, 1);
    pool.deliver(Vec::new());
    pool.now += FALL_AFTER;
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

/// The word of a fall is lost on the way to one instance, again and again. Until its right has
/// lapsed it may refuse tier 1, so the other must not serve tier 2 yet.
#[test]
fn a_lost_fall_waits_for_the_right_to_lapse() {
    let mut pool = Pool::new(2);
    pool.members[0].request_refusal(pool.now, 1);
    pool.deliver(Vec::new());
    pool.cut.push(0);
    pool.pass(FALL_AFTER + ACKNOWLEDGE_TIMEOUT * 2);
    assert_eq!(
        pool.members[0].request_refusal(pool.now, 1),
        RefusalStep::Allowed
    );
    assert!(!pool.members[1].admits(pool.now, 2));
    pool.pass(REFUSAL_RIGHT_LEASE);
    assert_eq!(
        pool.members[0].request_refusal(pool.now, 1),
        RefusalStep::RaiseFirst
    );
    assert!(pool.members[1].admits(pool.now, 2));
}

/// The level's owner dies. Rights and levels that rest on its word must end by themselves, the
/// rights first.
#[test]
fn a_right_lapses_before_the_level() {
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

/// A new owner starts counting anew. The members remember the dead owner's higher numbers and
/// would ignore every change.
#[test]
fn a_new_owner_overtakes_the_dead_one() {
    let mut pool = Pool::new(2);
    for _ in 0..3 {
        pool.members[0].request_refusal(pool.now, 1);
        pool.deliver(Vec::new());
        pool.pass(FALL_AFTER * 4);
    }
    pool.level = LevelOwner::new(BOTTOM);
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
    hopeless = { 500, 0, 600, false, true },
)]
fn deadline(left: u64, wait: u64, service: u64, meets: bool, hopeless: bool) {
    let ms = Duration::from_millis;
    let estimate = Estimate {
        wait: ms(wait),
        service: ms(service),
    };
    assert_eq!(can_meet(ms(left), estimate), meets);
    assert_eq!(is_unmeetable(ms(left), estimate), hopeless);
}
