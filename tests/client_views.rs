//! How `kingcup status` and `kingcup explain` parse and format the responses of an instance.

use kingcupfield::explain::Explanation;
use kingcupfield::status::sample::{named, parse};
use yare::parameterized;

#[test]
fn samples_are_parsed_with_their_labels() {
    let samples = parse(
        "# HELP kingcup_requests_total Requests.\n\
         kingcup_requests_total{outcome=\"answered\",tier=\"a \\\"b\\\", c\\\\d\"} 12\n\
         kingcup_held_requests 3\n\
         nonsense\n\
         broken{a=\"b} 1\n",
    );
    assert_eq!(samples.len(), 2);
    let requests = named(&samples, "kingcup_requests_total")
        .next()
        .expect("read");
    assert_eq!(requests.label("outcome"), "answered");
    assert_eq!(requests.label("tier"), "a \"b\", c\\d");
    assert!((requests.value - 12.0).abs() < f64::EPSILON);
    assert_eq!(requests.label("none"), "");
}

struct ExplanationCase {
    /// JSON of the events, separated by commas.
    events: &'static str,
    outcome: &'static str,
    /// Texts that the explanation must contain.
    expected_texts: &'static [&'static str],
}

#[parameterized(
    limit = { ExplanationCase {
        events: r#"{"at_ms":0,"event":"received"},
                   {"at_ms":0,"event":"refused","detail":{"kind":"limited","message":"20/s"}}"#,
        outcome: "refused",
        expected_texts: &["refused as limited: 20/s", "own limit", "it did not run and never will"],
    } },
    shed = { ExplanationCase {
        events: r#"{"at_ms":3,"event":"rejected","detail":{"upstream":"drafting-1","why":"shed"}},
                   {"at_ms":4,"event":"refused","detail":{"kind":"shed","message":"full"}}"#,
        outcome: "refused",
        expected_texts: &["not queued at drafting-1: shed", "capacity is short for this tier"],
    } },
    deadline = { ExplanationCase {
        events: r#"{"at_ms":1,"event":"reserved","detail":{"upstream":"drafting-1"}},
                   {"at_ms":900,"event":"refused","detail":{"kind":"deadline","message":"late"}}"#,
        outcome: "refused",
        expected_texts: &["reserved at drafting-1", "900 ms", "patience ended first"],
    } },
    upstream = { ExplanationCase {
        events: r#"{"at_ms":2,"event":"dispatched","detail":{"upstream":"drafting-2"}},
                   {"at_ms":9,"event":"broke","detail":{"reason":"cut short"}}"#,
        outcome: "broken",
        expected_texts: &["dispatched to drafting-2", "the upstream broke: cut short", "the replica named"],
    } },
    newer_event = { ExplanationCase {
        events: r#"{"at_ms":2,"event":"moved_on","detail":{"to":"x"}}"#,
        outcome: "running",
        expected_texts: &["moved on to=\"x\""],
    } },
)]
fn an_explanation_is_formatted_as_text(case: ExplanationCase) {
    let ExplanationCase {
        events,
        outcome,
        expected_texts,
    } = case;
    let json = format!(
        r#"{{"request":"a.1.1","organisation":"o","tier":"t","service":"s","outcome":"{outcome}",
            "ran":"no","events":[{events}],"added_later":true}}"#
    );
    let explanation: Explanation = serde_json::from_str(&json).expect("a record");
    let text = explanation.text();
    for expected in expected_texts {
        assert!(text.contains(expected), "{expected:?} in {text}");
    }
}
