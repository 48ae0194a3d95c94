//! Who is refused when the memory for callers runs short.

use std::time::Duration;

use kingcupfield_decisions::caller_memory::{CallerMemory, EntryId, GRACE};
use kingcupfield_decisions::id::Rank;
use tokio::time::Instant;
use yare::parameterized;

const LIMIT: usize = 800_000;

/// A request that is held when another one needs memory.
#[derive(Clone, Copy)]
struct Held {
    rank: Rank,
    bytes: usize,
    age: Duration,
    state: State,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Arriving,
    Waiting,
    Sent,
}

fn held(rank: Rank, bytes: usize, age_s: u64, state: State) -> Held {
    Held {
        rank,
        bytes,
        age: Duration::from_secs(age_s),
        state,
    }
}

struct Case {
    held: Vec<Held>,
    rank: Rank,
    bytes: usize,
    /// Indices of those that give way; `None` if the request is refused.
    expected: Option<Vec<usize>>,
}

/// Guards against a request that is refused for bodies of a lower tier or unfinished ones, and against one that
/// displaces what was sent or came before it.
#[parameterized(
    room = { Case { held: vec![held(1, 100_000, 5, State::Arriving)], rank: 1, bytes: 100_000, expected: Some(vec![]) } },
    slowest_unfinished = { Case { held: vec![held(1, 400_000, 2, State::Arriving), held(1, 300_000, 9, State::Arriving)], rank: 1, bytes: 100_000, expected: Some(vec![1]) } },
    unfinished_for_a_short_time = { Case { held: vec![held(1, 700_000, 0, State::Arriving)], rank: 1, bytes: 100_000, expected: None } },
    complete_ones_of_its_tier_stay = { Case { held: vec![held(1, 700_000, 9, State::Waiting)], rank: 1, bytes: 100_000, expected: None } },
    complete_ones_of_a_lower_tier_give_way = { Case { held: vec![held(1, 300_000, 9, State::Waiting), held(2, 400_000, 0, State::Waiting)], rank: 1, bytes: 100_000, expected: Some(vec![1]) } },
    lower_tier_before_slow_ones = { Case { held: vec![held(1, 350_000, 9, State::Arriving), held(2, 350_000, 0, State::Arriving)], rank: 1, bytes: 100_000, expected: Some(vec![1]) } },
    higher_tiers_stay = { Case { held: vec![held(0, 700_000, 9, State::Arriving)], rank: 1, bytes: 100_000, expected: None } },
    sent_ones_stay = { Case { held: vec![held(2, 700_000, 9, State::Sent)], rank: 0, bytes: 100_000, expected: None } },
    nobody_gives_way_in_vain = { Case { held: vec![held(1, 600_000, 9, State::Sent), held(1, 100_000, 9, State::Arriving)], rank: 1, bytes: 300_000, expected: None } },
    small_ones_have_a_part_of_their_own = { Case { held: vec![held(1, 700_000, 0, State::Sent)], rank: 1, bytes: 10_000, expected: Some(vec![]) } },
)]
fn gives_way_to(case: Case) {
    let now = Instant::now() + Duration::from_mins(1);
    let mut memory = CallerMemory::new(LIMIT);
    let ids: Vec<EntryId> = case
        .held
        .iter()
        .map(|h| add(&mut memory, now, *h))
        .collect();
    let before = memory.held();
    let id = memory.open(now, case.rank);
    let result = memory.grow(now, id, case.bytes);
    let chosen = result.as_ref().ok();
    let expected: Option<Vec<EntryId>> = case
        .expected
        .map(|indices| indices.into_iter().map(|i| ids[i]).collect());
    assert_eq!(chosen, expected.as_ref());
    match chosen {
        None => assert_eq!(memory.held(), before, "nothing has changed"),
        Some(_) => assert!(memory.held() <= LIMIT, "{}", memory.held()),
    }
}

fn add(memory: &mut CallerMemory, now: Instant, held: Held) -> EntryId {
    let id = memory.open(now - held.age, held.rank);
    memory.force(id, held.bytes);
    match held.state {
        State::Arriving => {}
        State::Waiting => memory.on_complete(id),
        State::Sent => assert!(memory.on_send(id)),
    }
    id
}

/// Guards against a request that is sent after it was refused because it gave way.
#[test]
fn what_gave_way_is_not_sent() {
    let now = Instant::now() + GRACE;
    let mut memory = CallerMemory::new(LIMIT);
    let low = memory.open(now, 2);
    memory.grow(now, low, 600_000).expect("room");
    memory.on_complete(low);
    let high = memory.open(now, 0);
    assert_eq!(memory.grow(now, high, 600_000), Ok(vec![low]));
    assert!(!memory.on_send(low));
    memory.close(low);
    assert_eq!(memory.held(), 600_000);
}
