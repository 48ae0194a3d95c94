//! Messages between instances of this build and of earlier ones.

use std::net::Ipv4Addr;

use kingcupfield_decisions::directory_sync::Announced;
use kingcupfield_entry::peers::{Digest, ForwardScope, PeerMessage};
use yare::parameterized;

fn digest(upto: u64, small_upto: Option<u64>) -> Digest {
    Digest {
        upto,
        small_upto,
        ..Digest::default()
    }
}

fn direct(digest: Digest) -> PeerMessage {
    PeerMessage::Digest(Box::new(digest), ForwardScope::Nobody)
}

fn relayed(digests: Vec<Digest>) -> PeerMessage {
    let from = (1..).map(|n| Ipv4Addr::new(10, 0, 0, n));
    PeerMessage::Relayed(from.zip(digests).collect())
}

/// What the digests of a message announce: the revision of small entries, of all entries, and whether both
/// are told apart.
fn announced(message: &PeerMessage) -> Vec<(u64, u64, bool)> {
    let told = |a: Announced| (a.small_upto, a.upto, a.is_split);
    match message {
        PeerMessage::Digest(digest, _) => vec![told(digest.announced())],
        PeerMessage::Relayed(digests) => digests.iter().map(|(_, d)| told(d.announced())).collect(),
        _ => Vec::new(),
    }
}

struct Case {
    message: PeerMessage,
    announced: &'static [(u64, u64, bool)],
    /// What an instance of an earlier build understands.
    earlier: &'static [(u64, u64, bool)],
}

/// Guards against instances that don't hear of a small change, and against those of an earlier build that can't
/// read a message that tells of it.
#[parameterized(
    nothing_apart = { Case { message: direct(digest(5, None)), announced: &[(5, 5, false)], earlier: &[(5, 5, false)] } },
    small_ahead = { Case { message: direct(digest(5, Some(9))), announced: &[(9, 5, true)], earlier: &[(5, 5, false)] } },
    told_before = { Case { message: direct(digest(9, Some(7))), announced: &[(9, 9, true)], earlier: &[(9, 9, false)] } },
    none_relayed = { Case { message: relayed(Vec::new()), announced: &[], earlier: &[] } },
    one_of_two_relayed = { Case {
        message: relayed(vec![digest(5, None), digest(5, Some(u64::MAX))]),
        announced: &[(5, 5, false), (u64::MAX, 5, true)],
        earlier: &[(5, 5, false), (5, 5, false)],
    } },
)]
fn small_revisions_are_told_apart(case: Case) {
    let bytes = case.message.encode().expect("a datagram");
    let decoded = PeerMessage::decode(&bytes).expect("a message");
    assert_eq!(announced(&decoded), case.announced);
    let earlier: PeerMessage = rmp_serde::from_slice(&bytes).expect("a message");
    assert_eq!(announced(&earlier), case.earlier);
}

/// Guards against a message that is applied although its end is damaged.
#[test]
fn a_message_with_a_damaged_end_is_refused() {
    let mut bytes = direct(digest(5, Some(9))).encode().expect("a datagram");
    bytes.truncate(bytes.len() - 1);
    assert!(PeerMessage::decode(&bytes).is_err());
}
