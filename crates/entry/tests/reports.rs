//! Encoding of what an instance reports about replicas and organisations, across versions.

use kingcupfield_decisions::id::NameHash;
use kingcupfield_entry::peers::{
    Digest, ReplicaLimitReport, ReplicaPaceReport, ReplicaSpeedReport, Reports,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use yare::parameterized;

/// Reports as earlier versions encode and decode them.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
struct EarlierReports {
    limits: Vec<ReplicaLimitReport>,
    leaving: Vec<(NameHash, u64)>,
}

/// Number of fields of a digest without reports.
const FIELDS_BEFORE_REPORTS: u8 = 16;

fn encode<T>(value: &T) -> Vec<u8>
where
    T: Serialize,
{
    rmp_serde::to_vec(value).expect("a value that can be encoded")
}

fn decode<T>(bytes: &[u8]) -> T
where
    T: DeserializeOwned,
{
    rmp_serde::from_slice(bytes).expect("a value that can be decoded")
}

fn earlier() -> EarlierReports {
    let limit = ReplicaLimitReport {
        replica: 7,
        incarnation: u64::MAX,
        per_s: Some(2.5),
        earliest_age_ms: 900,
        latest_age_ms: 3,
    };
    EarlierReports {
        limits: vec![limit],
        leaving: vec![(8, 1_700_000_000_000)],
    }
}

/// The same reports in the current type.
fn without_scheduling() -> Reports {
    Reports {
        limits: earlier().limits,
        leaving: earlier().leaving,
        ..Reports::default()
    }
}

fn speed(replica: NameHash) -> ReplicaSpeedReport {
    ReplicaSpeedReport {
        replica,
        incarnation: u64::MAX,
        percent: u16::MAX,
        age_ms: 500,
    }
}

fn pace(bound: Option<u16>) -> ReplicaPaceReport {
    ReplicaPaceReport {
        replica: NameHash::MAX,
        incarnation: u64::MAX,
        bound,
        change: u32::MAX,
    }
}

/// Guards against instances of two versions that don't understand each other during a release: the
/// limits that replicas name and the replicas that leave would then be unknown for as long.
#[test]
fn earlier_and_current_versions_read_each_other() {
    let bytes = encode(&earlier());
    assert_eq!(encode(&without_scheduling()), bytes);
    assert_eq!(decode::<Reports>(&bytes), without_scheduling());
    assert_eq!(decode::<EarlierReports>(&bytes), earlier());
}

/// Guards against larger messages in deployments that use none of the parts.
#[test]
fn nothing_to_report_takes_no_bytes() {
    let nothing = Digest::default();
    // A digest is an array, which begins with its type and length.
    let head = encode(&nothing);
    assert_eq!(head[..3], [0xdc, 0, FIELDS_BEFORE_REPORTS]);
    assert_eq!(
        decode::<Digest>(&encode(&nothing)).reports,
        Reports::default()
    );
}

/// Each list must arrive also where the others are empty: an empty one before it keeps its place.
#[parameterized(
    usage = { Reports { usage: vec![(1, 0.5), (NameHash::MAX, f32::MAX)], ..Reports::default() } },
    speeds = { Reports { speeds: vec![speed(1), speed(2)], ..Reports::default() } },
    paces = { Reports { paces: vec![pace(Some(3)), pace(None)], ..Reports::default() } },
    all = { Reports { usage: vec![(1, 0.0)], speeds: vec![speed(1)], paces: vec![pace(Some(1))], ..without_scheduling() } },
)]
fn reports_make_a_round_trip(reports: Reports) {
    let digest = Digest {
        reports: reports.clone(),
        ..Digest::default()
    };
    assert_eq!(decode::<Reports>(&encode(&reports)), reports);
    assert_eq!(decode::<Digest>(&encode(&digest)).reports, reports);
}

/// The scope page counts 12 bytes for the use of one organisation, of which 32 are reported. Links of
/// 10 Mbit/s carry the messages of hundreds of instances.
#[test]
fn the_use_of_an_organisation_takes_at_most_12_bytes() {
    let usage = |count| Reports {
        usage: vec![(NameHash::MAX, f32::MAX); count],
        ..Reports::default()
    };
    let growth = encode(&usage(32)).len() - encode(&usage(1)).len();
    assert!(growth <= 31 * 12 + 2, "{growth} bytes for 31 organisations");
}
