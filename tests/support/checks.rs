//! What callers were told, held against what the upstreams ran.

use serde_json::Value;

use crate::caller::Reply;
use crate::fleet::Ran;
use crate::load::{Record, Requested, TIERS};

/// A request that was waiting when a higher tier was refused may still arrive at its upstream this
/// much later: both times are taken by other processes than the one that decided.
const ARRIVAL_SLACK_MS: u64 = 250;

/// Panics with every broken promise that the records and the journals show.
pub fn check(records: &[Record], runs: &[Ran]) {
    let mut broken = nothing_seen(records, runs);
    broken.extend(run_twice(runs));
    broken.extend(not_run_that_ran(records, runs));
    broken.extend(not_whole(records));
    broken.extend(without_verdict(records));
    broken.extend(inversions(records, runs));
    let shown: Vec<String> = broken.iter().take(10).cloned().collect();
    assert!(
        broken.is_empty(),
        "{} broken promises:\n{}",
        broken.len(),
        shown.join("\n")
    );
}

/// A run without whole answers or journals shows nothing.
fn nothing_seen(records: &[Record], runs: &[Ran]) -> Vec<String> {
    let whole = records
        .iter()
        .filter(|record| record.appears_complete())
        .count();
    let seen = whole > 0 && !runs.is_empty();
    let empty = (!seen).then(|| format!("{whole} whole answers, {} runs", runs.len()));
    empty.into_iter().collect()
}

fn is_chat(record: &Record) -> bool {
    matches!(record.requested, Requested::Chat { .. })
}

fn repeated(mut names: Vec<&str>) -> Vec<String> {
    names.sort_unstable();
    let same = names.chunk_by(|a, b| a == b).filter(|same| same.len() > 1);
    same.map(|same| format!("{} ran {} times", same[0], same.len()))
        .collect()
}

fn run_twice(runs: &[Ran]) -> Vec<String> {
    let mut broken = repeated(runs.iter().map(|ran| ran.run.request_id.as_str()).collect());
    broken.extend(repeated(
        runs.iter()
            .filter_map(|ran| ran.run.idempotency_key.as_deref())
            .collect(),
    ));
    broken
}

/// Times at which a request or, for a booking, its key arrived at an upstream.
fn arrivals(record: &Record, reply: &Reply, runs: &[Ran]) -> Vec<u64> {
    let own = runs.iter().filter(|ran| match &record.requested {
        Requested::Chat { .. } => ran.run.request_id == reply.request_id(),
        Requested::Booking { key, .. } => ran.run.idempotency_key.as_ref() == Some(key),
    });
    own.map(|ran| ran.run.at_ms).collect()
}

/// A booking that was refused and sent again may run the second time; the refusal was true when
/// nothing had run before it, and the last one when nothing ran at all.
fn not_run_that_ran(records: &[Record], runs: &[Ran]) -> Vec<String> {
    let mut broken = Vec::new();
    for (at, record) in records.iter().enumerate() {
        let Some(reply) = record.reply.as_ref().filter(|reply| reply.ran() == "no") else {
            continue;
        };
        let sent_again = records[at + 1..]
            .iter()
            .any(|later| same_booking(record, later));
        let ran = arrivals(record, reply, runs);
        if ran
            .iter()
            .any(|at_ms| !sent_again || *at_ms <= record.sent_ms)
        {
            broken.push(format!(
                "told not run, but ran: {} {}",
                reply.request_id(),
                reply.body
            ));
        }
    }
    broken
}

fn same_booking(a: &Record, b: &Record) -> bool {
    match (&a.requested, &b.requested) {
        (Requested::Booking { key: a, .. }, Requested::Booking { key: b, .. }) => a == b,
        _ => false,
    }
}

fn not_whole(records: &[Record]) -> Vec<String> {
    let claimed = records.iter().filter(|record| record.appears_complete());
    let replies = claimed.filter_map(|record| Some((record, record.reply.as_ref()?)));
    let wrong = replies.filter(|(record, reply)| match &record.requested {
        Requested::Chat { expected } => reply.text() != *expected || foreign_chunks(reply),
        Requested::Booking { body, .. } => reply.json()["echo"] != body.as_str(),
    });
    wrong
        .map(|(_, reply)| format!("not its whole answer: {}", reply.body))
        .collect()
}

fn foreign_chunks(reply: &Reply) -> bool {
    reply.events().into_iter().any(|data| {
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        chunk["id"]
            .as_str()
            .is_some_and(|id| id != reply.request_id())
    })
}

fn without_verdict(records: &[Record]) -> Vec<String> {
    let replies = records.iter().filter_map(|record| record.reply.as_ref());
    let silent = replies.filter(|reply| !["yes", "no", "unknown"].contains(&reply.ran()));
    silent
        .map(|reply| format!("no word on whether it ran: {} {}", reply.status, reply.body))
        .collect()
}

/// A lower tier that was waiting when a higher one was shed in the same pool, and ran after that.
fn inversions(records: &[Record], runs: &[Ran]) -> Vec<String> {
    let mut broken = Vec::new();
    for shed in records.iter().filter(|record| kind(record) == "shed") {
        let lower = records.iter().filter(|lower| {
            lower.tier > shed.tier
                && pool(lower) == pool(shed)
                && lower.sent_ms + ARRIVAL_SLACK_MS < shed.answered_ms
        });
        for lower in lower {
            let Some(reply) = &lower.reply else { continue };
            let after = shed.answered_ms + ARRIVAL_SLACK_MS;
            if arrivals(lower, reply, runs)
                .iter()
                .any(|at_ms| *at_ms > after)
            {
                let (low, high) = (TIERS[lower.tier], TIERS[shed.tier]);
                broken.push(format!(
                    "{low} {} ran after {high} was shed",
                    reply.request_id()
                ));
            }
        }
    }
    broken
}

/// Kind of the refusal, empty for none.
pub fn kind(record: &Record) -> String {
    record
        .reply
        .as_ref()
        .map(Reply::error_kind)
        .unwrap_or_default()
}

fn pool(record: &Record) -> (&'static str, bool) {
    (record.zone, is_chat(record))
}

/// Panics when a call was cut: no answer, a broken one, or a failure in place of one.
pub fn check_none_cut(records: &[Record]) {
    let cut: Vec<String> = records
        .iter()
        .filter(|record| !record.appears_complete())
        .map(|record| match &record.reply {
            None => format!("no answer: {:?}", record.requested),
            Some(reply) => format!("{} {}", reply.status, reply.body),
        })
        .collect();
    let shown: Vec<String> = cut.iter().take(10).cloned().collect();
    assert!(
        cut.is_empty(),
        "{} of {} cut:\n{}",
        cut.len(),
        records.len(),
        shown.join("\n")
    );
}
