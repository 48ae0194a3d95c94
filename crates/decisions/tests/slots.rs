//! The slot queue of a replica together with the holders that reserve in it.

use std::time::Duration;

use kingcupfield_decisions::concurrency::ConcurrencyLimit;
use kingcupfield_decisions::holder::{
    DispatchError, Holder, HolderAction, HolderOutput, OwnerEnvelope,
};
use kingcupfield_decisions::id::{InstanceId, Rank, RequestId, UpstreamId};
use kingcupfield_decisions::slots::{
    GRANT_LEASE, HOLDER_TIMEOUT, HolderEnvelope, LoadReport, RENEW_INTERVAL, Rejection,
    RequestOutcome, Reservation, SlotQueue, ToHolder, ToOwner,
};
use kingcupfield_decisions::work::Work;
use tokio::time::Instant;

const MS: Duration = Duration::from_millis(1);

fn reservation(request: &str, rank: Rank) -> Reservation {
    Reservation {
        request: request.into(),
        holder: "entry-1".into(),
        organisation: "terminal-a".into(),
        weight: 1,
        rank,
        work: Work::new(100, 50),
        prefixes: Vec::new(),
        time_left: Duration::from_secs(30),
        asked: 0,
    }
}

fn queue(now: Instant, limit: u32) -> SlotQueue {
    let limit = ConcurrencyLimit::new().with_max(limit).with_start(limit);
    SlotQueue::new("drafting-1".into(), None, now).with_limit(limit)
}

fn holder(name: &str) -> Holder {
    Holder::new(name.into(), 1_000)
}

/// Delivers messages between queue and holder until neither sends another one.
fn exchange_messages(
    now: Instant,
    queue: &mut SlotQueue,
    holder: &mut Holder,
    name: &str,
    envelopes: Vec<OwnerEnvelope>,
) -> Vec<HolderAction> {
    let from: InstanceId = name.into();
    let mut actions = Vec::new();
    let mut envelopes = envelopes;
    while !envelopes.is_empty() {
        let mut next = Vec::new();
        for envelope in envelopes {
            for answer in queue.on_message(now, &from, envelope.message) {
                let output = holder.on_message(now, &answer.upstream, answer.message);
                actions.extend(output.actions);
                next.extend(output.messages);
            }
        }
        envelopes = next;
    }
    actions
}

fn reserve(now: Instant, holder: &mut Holder, request: &str, rank: Rank) -> HolderOutput {
    let upstreams: [UpstreamId; 1] = ["drafting-1".into()];
    holder.reserve(now, reservation(request, rank), &upstreams)
}

fn granted(messages: &[HolderEnvelope]) -> Vec<&str> {
    let grants = messages
        .iter()
        .filter_map(|envelope| match &envelope.message {
            ToHolder::Grant { request, .. } => Some(&**request),
            ToHolder::Rejected { .. } => None,
        });
    grants.collect()
}

fn rejected(messages: &[HolderEnvelope]) -> Vec<(&str, Rejection)> {
    let rejected = messages
        .iter()
        .filter_map(|envelope| match &envelope.message {
            ToHolder::Grant { .. } => None,
            ToHolder::Rejected { request, why, .. } => Some((&**request, *why)),
        });
    rejected.collect()
}

fn send_reservation(
    queue: &mut SlotQueue,
    now: Instant,
    from: &str,
    request: &str,
    rank: Rank,
) -> Vec<HolderEnvelope> {
    let message = ToOwner::Reserve(reservation(request, rank));
    queue.on_message(now, &from.into(), message)
}

#[test]
fn free_slot_is_granted_and_used_once() {
    let now = Instant::now();
    let (mut queue, mut holder) = (queue(now, 1), holder("entry-1"));
    let output = reserve(now, &mut holder, "r1", 0);
    let actions = exchange_messages(now, &mut queue, &mut holder, "entry-1", output.messages);
    let request: RequestId = "r1".into();
    let upstream: UpstreamId = "drafting-1".into();
    let dispatch = HolderAction::Dispatch {
        request: RequestId::clone(&request),
        upstream,
    };
    assert_eq!(actions, [dispatch]);
    assert!(holder.dispatch(now, &request).is_ok());
    let again = holder.dispatch(now, &request);
    assert_eq!(again, Err(DispatchError::NotGranted));
}

/// An entry instance is paused between grant and dispatch and resumes after its lease ended. If the
/// grant were still valid, its request would run together with the one that got the slot meanwhile,
/// and both callers would wait longer than guaranteed.
#[test]
fn expired_grant_is_not_used() {
    let now = Instant::now();
    let (mut queue, mut holder) = (queue(now, 1), holder("entry-1"));
    let output = reserve(now, &mut holder, "r1", 0);
    exchange_messages(now, &mut queue, &mut holder, "entry-1", output.messages);
    let resumed = now + GRANT_LEASE;
    let Err(DispatchError::Lapsed { messages }) = holder.dispatch(resumed, &"r1".into()) else {
        panic!("an expired grant was used");
    };
    assert_eq!(messages.len(), 1);
    let actions = exchange_messages(resumed, &mut queue, &mut holder, "entry-1", messages);
    assert_eq!(actions.len(), 1);
    assert!(holder.dispatch(resumed, &"r1".into()).is_ok());
}

/// An entry instance crashes while its requests run. If its slots were not freed, the replica would
/// be idle while other callers wait.
#[test]
fn slots_of_a_dead_holder_are_freed() {
    let start = Instant::now();
    let mut queue = queue(start, 2);
    for request in ["r1", "r2"] {
        assert_eq!(
            granted(&send_reservation(&mut queue, start, "entry-1", request, 0)),
            [request]
        );
        let request = request.into();
        queue.on_message(start, &"entry-1".into(), ToOwner::Dispatched { request });
    }
    assert!(granted(&send_reservation(&mut queue, start, "entry-2", "r3", 0)).is_empty());
    let mut now = start;
    let mut granted_requests = Vec::new();
    for asked in 1.. {
        now += RENEW_INTERVAL;
        let renew = ToOwner::Renew {
            asked,
            running: Vec::new(),
        };
        let mut messages = queue.on_message(now, &"entry-2".into(), renew);
        messages.extend(queue.on_tick(now));
        granted_requests.extend(granted(&messages).into_iter().map(String::from));
        if now > start + HOLDER_TIMEOUT + RENEW_INTERVAL {
            break;
        }
    }
    assert_eq!(granted_requests, ["r3"]);
    assert_eq!(queue.digest(now).running, 1);
}

#[test]
fn higher_tier_goes_first_and_lower_is_rejected_when_full() {
    let now = Instant::now();
    let mut queue = queue(now, 1).with_max_waiting(2);
    send_reservation(&mut queue, now, "entry-1", "runs", 0);
    send_reservation(&mut queue, now, "entry-1", "low", 2);
    send_reservation(&mut queue, now, "entry-1", "middle", 1);
    let full = send_reservation(&mut queue, now, "entry-1", "high", 0);
    assert_eq!(rejected(&full), [("low", Rejection::Full)]);
    let full = send_reservation(&mut queue, now, "entry-1", "lower", 3);
    assert_eq!(rejected(&full), [("lower", Rejection::Full)]);
    let finished = ToOwner::Finished {
        request: "runs".into(),
        outcome: RequestOutcome::default(),
    };
    let next = queue.on_message(now, &"entry-1".into(), finished);
    assert_eq!(granted(&next), ["high"]);
}

#[test]
fn lower_tiers_and_a_leaving_replica_reject_waiting_and_new_requests() {
    let now = Instant::now();
    let mut queue = queue(now, 1);
    send_reservation(&mut queue, now, "entry-1", "runs", 0);
    send_reservation(&mut queue, now, "entry-1", "low", 2);
    send_reservation(&mut queue, now, "entry-1", "high", 0);
    let shed = queue.set_lowest_rank(now, 1);
    assert_eq!(rejected(&shed), [("low", Rejection::Shed)]);
    let shed = send_reservation(&mut queue, now, "entry-1", "low-2", 2);
    assert_eq!(rejected(&shed), [("low-2", Rejection::Shed)]);
    let report = LoadReport {
        at_ms: 0,
        running: 1,
        waiting: 0,
        kv_used: 0,
        kv_total: 100,
        leaving: true,
    };
    let left = queue.on_load_report(now, report);
    assert_eq!(rejected(&left), [("high", Rejection::Leaving)]);
    let left = send_reservation(&mut queue, now, "entry-1", "late", 0);
    assert_eq!(rejected(&left), [("late", Rejection::Leaving)]);
}

/// The owner of a replica crashes and the next owner doesn't know the running requests. If it
/// granted the whole limit at once, twice the replica's limit would run.
#[test]
fn new_owner_limits_grants_until_all_holders_have_reported() {
    let now = Instant::now();
    let mut queue = queue(now, 8).with_zone_size(4);
    let grants: usize = (0..8)
        .map(|i| send_reservation(&mut queue, now, "entry-1", &format!("r{i}"), 0))
        .map(|messages| granted(&messages).len())
        .sum();
    assert_eq!(grants, 2);
    for (i, entry) in ["entry-1", "entry-2", "entry-3", "entry-4"]
        .iter()
        .enumerate()
    {
        let running = vec![format!("old-{i}").into()];
        let renew = ToOwner::Renew { asked: 9, running };
        queue.on_message(now, &(*entry).into(), renew);
    }
    assert_eq!(queue.digest(now).running, 8);
    assert_eq!(queue.digest(now).waiting, 4);
    queue.on_tick(now + 50 * MS);
    assert_eq!(queue.digest(now).running, 8);
}
