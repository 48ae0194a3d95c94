//! Saved logs of several instances, read together.

use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};

use kingcupfield::logbook::{Line, Logbook};
use yare::parameterized;

const FIRST: &str = "\
time_ms=10000 event=start instance=north-1 listen=10.1.0.1:80 ready_listen=10.1.0.1:81
time_ms=10500 event=peer_clock peer=10.2.0.1 ahead_ms=470
time_ms=20000 event=sent id=a replica=i-1 wait_ms=3
time_ms=20090 event=send_failed id=a replica=i-1 how=full runs=0
time_ms=20300 event=answered id=b replica=i-1 status=200
time_ms=20400 event=answered id=c replica=i-1 status=500
";

/// Its clock is 500 ms ahead; a message takes 30 ms.
const SECOND: &str = "\
time_ms=10500 event=start instance=baltic-1 listen=10.2.0.1:80 ready_listen=10.2.0.1:81
time_ms=11000 event=peer_clock peer=10.1.0.1 ahead_ms=-530
time_ms=20550 event=refused id=a kind=shed ran=no after_ms=5 reason=\"no room for \\\"x\\\" in 5 ms\"
";

fn book() -> Logbook {
    Logbook::from_texts([("first", FIRST), ("second", SECOND)])
}

/// A request's lines stand in two logs whose clocks differ by half a second. Sorted by the time that
/// they bear, the refusal would come long after the failed send that it stands before.
#[test]
fn lines_are_ordered_by_one_clock() {
    let story = book().timeline("a").expect("its lines");
    let order: Vec<(i64, &str)> = story
        .steps
        .iter()
        .map(|s| (s.at_ms, s.instance.as_str()))
        .collect();
    assert_eq!(order, [(0, "north-1"), (50, "baltic-1"), (90, "north-1")]);
    assert_eq!(
        story.clocks,
        [
            ("north-1".to_owned(), Some(0)),
            ("baltic-1".to_owned(), Some(500))
        ]
    );
    let text = story.text();
    assert!(
        text.contains("clock of baltic-1: 500 ms ahead, taken off"),
        "{text}"
    );
    assert!(
        text.contains("cause: shed: no room for \"x\" in 5 ms; ran: no"),
        "{text}"
    );
}

/// Nobody tells how the second instance's clock stands. Its lines are taken as they are, and the
/// reader is told so.
#[test]
fn an_unknown_clock_is_told() {
    let first = FIRST.replace("event=peer_clock", "event=other");
    let second = SECOND.replace("event=peer_clock", "event=other");
    let book = Logbook::from_texts([("first", first.as_str()), ("second", second.as_str())]);
    let text = book.timeline("a").expect("its lines").text();
    assert!(
        text.contains("clock of baltic-1: not known, taken as it is"),
        "{text}"
    );
}

#[test]
fn causes_are_counted_and_gaps_are_named() {
    let coverage = book().coverage(["a", "b", "c", "d"]);
    assert_eq!(coverage.asked, 4);
    assert_eq!(coverage.served, 1);
    assert_eq!(coverage.unknown, ["d"]);
    let causes: Vec<(&str, usize)> = coverage
        .causes
        .iter()
        .map(|(cause, count)| (cause.as_str(), *count))
        .collect();
    assert_eq!(causes, [("replica_failed", 1), ("shed", 1)]);
}

struct Text {
    text: &'static str,
    /// The value of `reason`, if the line is an event.
    reason: Option<&'static str>,
}

#[parameterized(
    plain = { Text { text: "time_ms=1 event=x reason=short", reason: Some("short") } },
    quoted = { Text { text: r#"time_ms=1 event=x reason="a b=c" id=1"#, reason: Some("a b=c") } },
    escaped = { Text { text: r#"time_ms=1 event=x reason="a \"b\" \\""#, reason: Some(r#"a "b" \"#) } },
    behind_a_prefix = { Text { text: "host-1 12:00 time_ms=1 event=x reason=y", reason: Some("y") } },
    no_event = { Text { text: "time_ms=1 reason=y", reason: None } },
    no_time = { Text { text: "event=x reason=y", reason: None } },
    no_pairs = { Text { text: "time_ms=1 event=x reason", reason: None } },
    bad_time = { Text { text: "time_ms=soon event=x reason=y", reason: None } },
    unclosed = { Text { text: "time_ms=1 event=x reason=\"cut", reason: Some("cut") } },
)]
fn a_line_is_read_or_passed_over(case: Text) {
    let line = Line::parse(case.text);
    assert_eq!(line.as_ref().and_then(|l| l.get("reason")), case.reason);
}

/// The cases run side by side, so that each writes files of its own.
static CASES: AtomicU32 = AtomicU32::new(0);

struct Asked {
    /// Words behind `explain`; FIRST, SECOND and IDS stand for files.
    words: &'static [&'static str],
    code: i32,
    says: &'static str,
}

#[parameterized(
    one = { Asked { words: &["a", "--logs", "FIRST", "SECOND"], code: 0, says: "cause: shed" } },
    many = { Asked { words: &["--logs", "--ids", "IDS", "FIRST", "SECOND"], code: 0, says: "4 requests: a cause is named for 2, 1 were served, of 1 no line tells" } },
    programs = { Asked { words: &["a", "--logs", "--json", "FIRST"], code: 0, says: "\"instance\": \"north-1\"" } },
    not_logged = { Asked { words: &["z", "--logs", "FIRST"], code: 1, says: "no log given names request z" } },
    no_file = { Asked { words: &["a", "--logs"], code: 2, says: "a log file is missing" } },
    missing_file = { Asked { words: &["a", "--logs", "no/such.log"], code: 2, says: "no/such.log: " } },
    no_request = { Asked { words: &["--logs"], code: 2, says: "the request id is missing" } },
)]
fn the_client_reads_saved_logs(case: Asked) {
    let case_number = CASES.fetch_add(1, Ordering::Relaxed);
    let name = format!("kingcup-logbook-{}-{case_number}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).expect("a folder");
    let files = [("FIRST", FIRST), ("SECOND", SECOND), ("IDS", "a b\nc d\n")];
    for (name, text) in files {
        std::fs::write(folder.join(name), text).expect("a file");
    }
    let named = |word: &&str| files.iter().any(|(name, _)| name == word);
    let words = case.words.iter().map(|word| {
        if named(word) {
            folder.join(word)
        } else {
            PathBuf::from(word)
        }
    });
    let output = Command::new(env!("CARGO_BIN_EXE_kingcup"))
        .arg("explain")
        .args(words)
        .output()
        .expect("the client starts");
    std::fs::remove_dir_all(&folder).expect("the folder");
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8(text).expect("UTF-8");
    assert_eq!(output.status.code(), Some(case.code), "{text}");
    assert!(text.contains(case.says), "{text}");
}
