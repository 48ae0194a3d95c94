//! Bounds of replicas that have just started or recovered, in the messages between instances.

use kingcupfield_entry::peers::{ReplicaPaceReport, Reports};

fn encode(reports: &Reports) -> Vec<u8> {
    rmp_serde::to_vec(reports).expect("reports encode")
}

/// Instances of earlier versions know only limits and leaving replicas. If the other fields were sent
/// without need, they could not read any message.
#[test]
fn reports_without_paces_are_as_before() {
    let reports = Reports {
        leaving: vec![(7, 1_700_000_000_000)],
        ..Reports::default()
    };
    let before = (Vec::<u8>::new(), &reports.leaving);
    let before = rmp_serde::to_vec(&before).expect("a pair encodes");
    assert_eq!(encode(&reports), before);
}

/// A report that is larger than the outbox presumes makes datagrams that are too large.
#[test]
fn a_pace_report_has_at_most_23_bytes() {
    let largest = ReplicaPaceReport {
        replica: u32::MAX,
        incarnation: u64::MAX,
        bound: Some(u16::MAX),
        change: u32::MAX,
    };
    let reports = |paces: &[ReplicaPaceReport]| Reports {
        paces: paces.to_vec(),
        ..Reports::default()
    };
    let (one, two) = (reports(&[largest]), reports(&[largest, largest]));
    let bytes = encode(&two).len() - encode(&one).len();
    assert!(bytes <= 23, "{bytes}");
    let decoded: Reports = rmp_serde::from_slice(&encode(&two)).expect("reports decode");
    assert_eq!(decoded, two);
}
