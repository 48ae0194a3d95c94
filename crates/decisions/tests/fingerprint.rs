//! Fingerprints of requests.

use kingcupfield_decisions::fingerprint::of_request;

// Guards against two requests that are taken for one because their fields read alike when joined.
#[test]
fn fields_and_services_are_told_apart() {
    let fields: [&[&[u8]]; 4] = [&[b"ab", b"c"], &[b"a", b"bc"], &[b"abc"], &[b"abc", b""]];
    let mut fingerprints: Vec<_> = fields
        .iter()
        .map(|fields| of_request("s", fields.iter().copied()))
        .collect();
    fingerprints.push(of_request("t", [&b"abc"[..]]));
    fingerprints.sort_unstable();
    fingerprints.dedup();

    assert_eq!(fingerprints.len(), 5);
}
