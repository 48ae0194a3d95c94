//! Whether the crashes of several suspects are enough to refuse a request with some of them.

use super::record::{Record, Sighting};

/// Crashes of which a request has all recurring suspects, from which on it is refused.
const CRASHES_TO_REFUSE: usize = 2;

/// By how many crashes a suspect must exceed another one that was running in no others, to be taken for the
/// cause of all of them.
const CRASHES_TO_EXPLAIN: usize = 2;

/// Whether a request must be refused that has the suspects `of_request` of `all` that recur.
///
/// The cause of a crash is among the suspects that were running there. If the request has all of them, it
/// has the cause, whichever that is; if it has some, it may be sound, and shows so when it is completed.
pub(super) fn suffices(all: &[&Record], of_request: &[&Record]) -> bool {
    let is_of_request = |r: &Record| of_request.iter().any(|o| o.fingerprint == r.fingerprint);
    let unexplained: Vec<&Record> = all
        .iter()
        .copied()
        .filter(|r| is_of_request(r) || !all.iter().any(|cause| explains(cause, r)))
        .collect();
    let has_cause = |sighting: &&Sighting| {
        let running = unexplained.iter().filter(|r| r.was_in(&sighting.crash));
        let (written, new): (Vec<&Record>, Vec<&Record>) = running.partition(|r| r.has_written());
        let causes = if new.is_empty() { written } else { new };
        causes.into_iter().all(is_of_request)
    };
    let crashes = |record: &&Record| record.crashes().iter().filter(has_cause).count();
    of_request.iter().any(|r| crashes(r) >= CRASHES_TO_REFUSE)
}

/// Whether all crashes of a suspect are explained by another one that was running in each of them and in
/// several more.
fn explains(cause: &Record, record: &Record) -> bool {
    cause.crashes().len() >= record.crashes().len() + CRASHES_TO_EXPLAIN
        && record.crashes().iter().all(|s| cause.was_in(&s.crash))
}
