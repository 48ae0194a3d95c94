//! Messages about crashes of replicas.

use std::time::Duration;

use kingcupfield_decisions::crash_suspects::{Crash, CrashReport, Suspect};
use kingcupfield_entry::peers::PeerMessage;
use kingcupfield_entry::quarantine::{CrashMessage, completed_messages, crashed_messages};
use tokio::time::Instant;
use yare::parameterized;

/// Payload of a datagram that links carry undivided.
const MAX_DATAGRAM_BYTES: usize = 1200;

fn encoded_size(message: &CrashMessage) -> usize {
    let bytes = rmp_serde::to_vec(&PeerMessage::Crash(message.clone()));
    bytes.expect("a message that can be encoded").len()
}

/// Reports with the largest values that are encoded.
fn reports(now: Instant, crashes: u32, suspects: u64) -> Vec<CrashReport> {
    let report = |number: u32| CrashReport {
        crash: Crash {
            replica: u32::MAX - number,
            incarnation: u64::MAX,
            at: now.checked_sub(Duration::from_mins(5)).unwrap_or(now),
        },
        suspects: (0..suspects)
            .map(|suspect| Suspect {
                fingerprint: u64::MAX - suspect,
                ran_for: Duration::from_mins(3),
                has_written: true,
            })
            .collect(),
    };
    (0..crashes).map(report).collect()
}

// Guards against datagrams that links divide or drop, and against suspects that are left out of them.
#[parameterized(
    one = { 1, 3 },
    many_suspects = { 1, 700 },
    many_crashes = { 300, 1 },
    both = { 40, 90 },
)]
fn reports_of_any_size_fit_into_datagrams(crashes: u32, suspects: u64) {
    let now = Instant::now();
    let sent = reports(now, crashes, suspects);

    let messages = crashed_messages(now, &sent);

    let largest = messages.iter().map(encoded_size).max();
    assert!(largest <= Some(MAX_DATAGRAM_BYTES), "{largest:?}");
    let received = messages.into_iter().flat_map(|message| match message {
        CrashMessage::Crashed(news) => news,
        CrashMessage::Completed(_) => Vec::new(),
    });
    let received: usize = received.map(|news| news.received(now).suspects.len()).sum();
    assert_eq!(received as u64, u64::from(crashes) * suspects);
}

// Guards against the same for what is cleared.
#[test]
fn completions_of_any_number_fit_into_datagrams() {
    let now = Instant::now();
    let at = now.checked_sub(Duration::from_mins(5)).unwrap_or(now);
    let completed: Vec<_> = (0..500).map(|f| (u64::MAX - f, at)).collect();

    let messages: Vec<_> = completed_messages(now, &completed).collect();

    let largest = messages.iter().map(encoded_size).max();
    assert!(largest <= Some(MAX_DATAGRAM_BYTES), "{largest:?}");
}
