//! Detection of events in a relayed stream, independent of how it is split into chunks.

use kingcupfield_entry::events::EventScanner;
use proptest::prelude::*;
use yare::parameterized;

struct Case {
    chunks: &'static [&'static str],
    events: u32,
    last_id: Option<&'static str>,
    in_event: bool,
}

/// A replica stops in the middle of an event, or sends one in several chunks. The id of the last
/// complete event decides where another replica resumes: one id too high loses an event, one too
/// low sends an event twice.
#[parameterized(
    whole = { Case { chunks: &["id: 1\ndata: a\n\n"], events: 1, last_id: Some("1"), in_event: false } },
    in_pieces = { Case { chunks: &["id: 1\nda", "ta: a\n", "\n"], events: 1, last_id: Some("1"), in_event: false } },
    cut_in_the_second = { Case { chunks: &["id: 1\n\nid: 2\ndata"], events: 1, last_id: Some("1"), in_event: true } },
    cut_before_the_blank_line = { Case { chunks: &["id: 1\n\nid: 2\ndata: b\n"], events: 1, last_id: Some("1"), in_event: true } },
    with_carriage_returns = { Case { chunks: &["id: 7\r\ndata: a\r\n\r\n"], events: 1, last_id: Some("7"), in_event: false } },
    without_id = { Case { chunks: &["data: a\n\n"], events: 1, last_id: None, in_event: false } },
    another_field_first = { Case { chunks: &["generation: 2\nid: 3\ndata: a\n\n"], events: 1, last_id: Some("3"), in_event: false } },
    blank_lines_alone = { Case { chunks: &["\n\n\n"], events: 0, last_id: None, in_event: false } },
    id_in_the_data = { Case { chunks: &["id: 1\ndata: id: 9\n\n"], events: 1, last_id: Some("1"), in_event: false } },
)]
fn events_are_found(case: Case) {
    let mut scanner = EventScanner::new();
    let events: u32 = case
        .chunks
        .iter()
        .map(|c| scanner.read(c.as_bytes()).events)
        .sum();
    assert_eq!(events, case.events);
    assert_eq!(scanner.last_event_id(), case.last_id);
    assert_eq!(scanner.in_partial_event(), case.in_event);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::with_cases(2000) })]

    /// However a stream is split into chunks, the same events are found, and the complete part of
    /// each chunk ends at the end of an event.
    #[test]
    fn chunk_boundaries_change_nothing(lines in proptest::collection::vec("(id: [0-9]{1,3}|data: [a-z]{0,9}|)", 0..30), cuts in proptest::collection::vec(0..200_usize, 0..6)) {
        let text = lines.join("\n");
        let mut whole = EventScanner::new();
        let expected = whole.read(text.as_bytes()).events;
        let mut cuts: Vec<usize> = cuts.into_iter().map(|c| c.min(text.len())).collect();
        cuts.extend([0, text.len()]);
        cuts.sort_unstable();
        let mut split = EventScanner::new();
        let mut found = 0;
        for pair in cuts.windows(2) {
            let chunk = &text.as_bytes()[pair[0]..pair[1]];
            let scanned = split.read(chunk);
            found += scanned.events;
            prop_assert!(scanned.complete_bytes == 0 || chunk[scanned.complete_bytes - 1] == b'\n');
        }
        prop_assert_eq!(found, expected);
        prop_assert_eq!(split.last_event_id(), whole.last_event_id());
    }

    /// The scanner accepts any bytes without a panic.
    #[test]
    fn any_bytes_are_accepted(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut scanner = EventScanner::new();
        let found = scanner.read(&bytes);
        prop_assert!(found.complete_bytes <= bytes.len());
    }
}
