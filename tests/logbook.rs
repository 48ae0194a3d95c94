//! Merging saved logs of several instances.

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

/// Log of an instance whose clock is 500 ms ahead; a message takes 30 ms.
const SECOND: &str = "\
time_ms=10500 event=start instance=baltic-1 listen=10.2.0.1:80 ready_listen=10.2.0.1:81
time_ms=11000 event=peer_clock peer=10.1.0.1 ahead_ms=-530
time_ms=20550 event=refused id=a kind=shed ran=no after_ms=5 reason=\"no room for \\\"x\\\" in 5 ms\"
";

fn logbook() -> Logbook {
    Logbook::from_texts([("first", FIRST), ("second", SECOND)])
}

/// The lines of a request are in two logs whose clocks differ by half a second. Sorted by logged time,
/// the refusal would follow the failed send, although it happened before it.
#[test]
fn lines_are_ordered_by_one_clock() {
    let timeline = logbook().timeline("a").expect("its lines");
    let order: Vec<(i64, &str)> = timeline
        .events
        .iter()
        .map(|s| (s.at_ms, s.instance.as_str()))
        .collect();
    assert_eq!(order, [(0, "north-1"), (50, "baltic-1"), (90, "north-1")]);
    assert_eq!(
        timeline.clock_offsets_ms,
        [
            ("north-1".to_owned(), Some(0)),
            ("baltic-1".to_owned(), Some(500))
        ]
    );
    let text = timeline.text();
    assert!(
        text.contains("clock of baltic-1: 500 ms ahead, taken off"),
        "{text}"
    );
    assert!(
        text.contains("cause: shed: no room for \"x\" in 5 ms; ran: no"),
        "{text}"
    );
}

/// Neither log reports the clock offset of the second instance. Its times are used unchanged, and the
/// output says so.
#[test]
fn an_unknown_clock_offset_is_reported() {
    let first = FIRST.replace("event=peer_clock", "event=other");
    let second = SECOND.replace("event=peer_clock", "event=other");
    let logbook = Logbook::from_texts([("first", first.as_str()), ("second", second.as_str())]);
    let text = logbook.timeline("a").expect("its lines").text();
    assert!(
        text.contains("clock of baltic-1: not known, taken as it is"),
        "{text}"
    );
}

#[test]
fn causes_are_counted_and_gaps_are_named() {
    let coverage = logbook().coverage(["a", "b", "c", "d"]);
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

struct LineCase {
    text: &'static str,
    /// The value of `reason`, if the line is an event.
    reason: Option<&'static str>,
}

#[parameterized(
    plain = { LineCase { text: "time_ms=1 event=x reason=short", reason: Some("short") } },
    quoted = { LineCase { text: r#"time_ms=1 event=x reason="a b=c" id=1"#, reason: Some("a b=c") } },
    escaped = { LineCase { text: r#"time_ms=1 event=x reason="a \"b\" \\""#, reason: Some(r#"a "b" \"#) } },
    behind_a_prefix = { LineCase { text: "host-1 12:00 time_ms=1 event=x reason=y", reason: Some("y") } },
    no_event = { LineCase { text: "time_ms=1 reason=y", reason: None } },
    no_time = { LineCase { text: "event=x reason=y", reason: None } },
    no_pairs = { LineCase { text: "time_ms=1 event=x reason", reason: None } },
    bad_time = { LineCase { text: "time_ms=soon event=x reason=y", reason: None } },
    unclosed = { LineCase { text: "time_ms=1 event=x reason=\"cut", reason: Some("cut") } },
)]
fn a_line_is_parsed_or_skipped(case: LineCase) {
    let line = Line::parse(case.text);
    assert_eq!(line.as_ref().and_then(|l| l.get("reason")), case.reason);
}

/// Numbers the cases: they run in parallel, and each needs its own folder.
static NEXT_CASE: AtomicU32 = AtomicU32::new(0);

struct ExplainCase {
    /// Arguments of `kingcup explain`; FIRST, SECOND and IDS are replaced by file paths.
    args: &'static [&'static str],
    exit_code: i32,
    /// Text expected on standard output or standard error.
    expected_text: &'static str,
}

#[parameterized(
    one = { ExplainCase { args: &["a", "--logs", "FIRST", "SECOND"], exit_code: 0, expected_text: "cause: shed" } },
    many = { ExplainCase { args: &["--logs", "--ids", "IDS", "FIRST", "SECOND"], exit_code: 0, expected_text: "4 requests: a cause is named for 2, 1 were served, of 1 no line tells" } },
    programs = { ExplainCase { args: &["a", "--logs", "--json", "FIRST"], exit_code: 0, expected_text: "\"instance\": \"north-1\"" } },
    not_logged = { ExplainCase { args: &["z", "--logs", "FIRST"], exit_code: 1, expected_text: "no log given names request z" } },
    no_file = { ExplainCase { args: &["a", "--logs"], exit_code: 2, expected_text: "a log file is missing" } },
    missing_file = { ExplainCase { args: &["a", "--logs", "no/such.log"], exit_code: 2, expected_text: "no/such.log: " } },
    no_request = { ExplainCase { args: &["--logs"], exit_code: 2, expected_text: "the request id is missing" } },
)]
fn the_client_reads_saved_logs(case: ExplainCase) {
    let case_number = NEXT_CASE.fetch_add(1, Ordering::Relaxed);
    let name = format!("kingcup-logbook-{}-{case_number}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).expect("a folder");
    let files = [("FIRST", FIRST), ("SECOND", SECOND), ("IDS", "a b\nc d\n")];
    for (name, text) in files {
        std::fs::write(folder.join(name), text).expect("a file");
    }
    let is_file = |arg: &&str| files.iter().any(|(name, _)| name == arg);
    let args = case.args.iter().map(|arg| {
        if is_file(arg) {
            folder.join(arg)
        } else {
            PathBuf::from(arg)
        }
    });
    let output = Command::new(env!("CARGO_BIN_EXE_kingcup"))
        .arg("explain")
        .args(args)
        .output()
        .expect("the client starts");
    std::fs::remove_dir_all(&folder).expect("the folder");
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8(text).expect("UTF-8");
    assert_eq!(output.status.code(), Some(case.exit_code), "{text}");
    assert!(text.contains(case.expected_text), "{text}");
}
