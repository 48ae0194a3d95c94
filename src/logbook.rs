//! Merges saved logs of several instances to show the timeline of one request, or to count the
//! failure causes of many requests.
//!
//! The clocks of instances differ. Each instance logs by how much the clocks of the others are
//! ahead of its own (`event=peer_clock`). Times are converted to the clock of the first log, and
//! the clock offsets used are part of the output.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::PathBuf;

use serde::Serialize;

/// A log file could not be read.
#[derive(Debug, thiserror::Error)]
#[error("{}: {reason}", path.display())]
pub struct LogError {
    /// Path of the log file.
    pub path: PathBuf,
    /// I/O error.
    pub reason: std::io::Error,
}

/// A log line that reports an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// Time in milliseconds by the clock of the instance that logged the line.
    pub time_ms: i64,
    /// Key=value pairs in the order of the line.
    pub pairs: Vec<(String, String)>,
}

impl Line {
    /// Parses `key=value` pairs; values with spaces are in double quotes. `None` if the line has no
    /// valid `time_ms` or no `event`.
    ///
    /// Text before `time_ms=`, for example the prefix of a log collector, is skipped.
    pub fn parse(text: &str) -> Option<Self> {
        let text = &text[text.find("time_ms=")?..];
        let mut pairs = Vec::new();
        let mut rest = text.trim();
        while !rest.is_empty() {
            let (key, after) = rest.split_once('=')?;
            let (value, next) = split_value(after);
            pairs.push((key.to_owned(), value));
            rest = next.trim_start();
        }
        let line = Self { time_ms: 0, pairs };
        let time_ms = line.get("time_ms")?.parse().ok()?;
        line.get("event")?;
        Some(Self { time_ms, ..line })
    }

    /// Value of the first pair with this key.
    pub fn get(&self, key: &str) -> Option<&str> {
        let found = self.pairs.iter().find(|(k, _)| k == key);
        found.map(|(_, v)| v.as_str())
    }

    fn event(&self) -> &str {
        self.get("event").unwrap_or_default()
    }
}

/// Splits the first value, quoted or not, from the rest of the line; a missing closing quote is
/// accepted.
fn split_value(text: &str) -> (String, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(' ').unwrap_or(text.len());
        return (text[..end].to_owned(), &text[end..]);
    };
    let mut value = String::new();
    let mut chars = quoted.char_indices();
    while let Some((i, c)) = chars.next() {
        match c {
            '"' => return (value, &quoted[i + 1..]),
            '\\' => value.extend(chars.next().map(|(_, c)| c)),
            c => value.push(c),
        }
    }
    (value, "")
}

/// The log of one instance.
#[derive(Debug)]
struct InstanceLog {
    instance: String,
    /// IP address, which other instances log as `peer`.
    address: String,
    lines: Vec<Line>,
    /// Milliseconds by which its clock is ahead of the clock of the first log; `None` if neither
    /// log reports it.
    clock_offset_ms: Option<i64>,
}

/// Logs of several instances; the clock of the first is the reference.
#[derive(Debug)]
pub struct Logbook {
    logs: Vec<InstanceLog>,
}

/// An event in the timeline of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TimelineEvent {
    /// Milliseconds since the first event of the request, by the clock of the first log.
    pub at_ms: i64,
    /// Instance that logged the event.
    pub instance: String,
    /// Key=value pairs without `time_ms` and `id`.
    pub pairs: Vec<(String, String)>,
}

/// Events of one request, merged from all logs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RequestTimeline {
    /// Request id.
    pub request: String,
    /// Events ordered by time.
    #[serde(rename = "steps")]
    pub events: Vec<TimelineEvent>,
    /// Instances and the milliseconds by which their clocks are ahead of the first log's; `None` if
    /// unknown, in which case no correction was made.
    #[serde(rename = "clocks")]
    pub clock_offsets_ms: Vec<(String, Option<i64>)>,
    /// Description of the failure; `None` if the request was served or no line reports a failure.
    pub cause: Option<String>,
}

/// Number of requests for which the logs report a failure cause, a success or nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Coverage {
    /// Number of requests looked up.
    pub asked: usize,
    /// Number of failed requests by kind of failure.
    pub causes: BTreeMap<String, usize>,
    /// Number of requests with an `answered` event and no failure.
    pub served: usize,
    /// Ids of requests for which no line reports a failure or an answer.
    pub unknown: Vec<String>,
}

impl Logbook {
    /// Parses `(name, text)` pairs, one log per instance; the name is used if a log has no `start`
    /// line.
    pub fn from_texts<'a, I>(texts: I) -> Self
    where
        I: IntoIterator<Item = (&'a str, &'a str)>,
    {
        let logs = texts
            .into_iter()
            .map(|(name, text)| InstanceLog::parse(name, text));
        Self::new(logs.collect())
    }

    /// Reads log files, one per instance; a file's name without extension is used if it has no
    /// `start` line.
    pub fn read(paths: &[PathBuf]) -> Result<Self, LogError> {
        let mut logs = Vec::new();
        for path in paths {
            let text = std::fs::read_to_string(path).map_err(|reason| LogError {
                path: path.clone(),
                reason,
            })?;
            let name = path.file_stem().unwrap_or_default().to_string_lossy();
            logs.push(InstanceLog::parse(&name, &text));
        }
        Ok(Self::new(logs))
    }

    fn new(mut logs: Vec<InstanceLog>) -> Self {
        let offsets: Vec<Option<i64>> = (0..logs.len())
            .map(|i| {
                if i == 0 {
                    Some(0)
                } else {
                    clock_offset_ms(&logs, i)
                }
            })
            .collect();
        for (log, offset_ms) in logs.iter_mut().zip(offsets) {
            log.clock_offset_ms = offset_ms;
        }
        Self { logs }
    }

    /// Timeline of a request; `None` if no line has its id.
    pub fn timeline(&self, request: &str) -> Option<RequestTimeline> {
        let mut found: Vec<(i64, &InstanceLog, &Line)> = Vec::new();
        for log in &self.logs {
            let lines = log.lines.iter().filter(|l| l.get("id") == Some(request));
            found.extend(lines.map(|l| (l.time_ms - log.clock_offset_ms.unwrap_or(0), log, l)));
        }
        found.sort_by_key(|(time_ms, _, _)| *time_ms);
        let first_ms = found.first()?.0;
        let mut clock_offsets_ms: Vec<(String, Option<i64>)> = Vec::new();
        for (_, log, _) in &found {
            if !clock_offsets_ms
                .iter()
                .any(|(instance, _)| *instance == log.instance)
            {
                clock_offsets_ms.push((log.instance.clone(), log.clock_offset_ms));
            }
        }
        let cause = found
            .iter()
            .rev()
            .find_map(|(_, _, line)| failure_description(line));
        Some(RequestTimeline {
            request: request.to_owned(),
            events: found.iter().map(|f| timeline_event(first_ms, f)).collect(),
            clock_offsets_ms,
            cause,
        })
    }

    /// Counts the requests for which the logs report a failure cause, a success or nothing.
    pub fn coverage<'a, I>(&self, requests: I) -> Coverage
    where
        I: IntoIterator<Item = &'a str>,
    {
        let mut lines_by_id: BTreeMap<&str, Vec<&Line>> = BTreeMap::new();
        for line in self.logs.iter().flat_map(|log| &log.lines) {
            if let Some(id) = line.get("id") {
                lines_by_id.entry(id).or_default().push(line);
            }
        }
        let mut coverage = Coverage {
            asked: 0,
            causes: BTreeMap::new(),
            served: 0,
            unknown: Vec::new(),
        };
        for request in requests {
            coverage.asked += 1;
            let lines = lines_by_id.get(request).map_or(&[][..], Vec::as_slice);
            if let Some(kind) = lines.iter().rev().find_map(|l| failure_kind(l)) {
                *coverage.causes.entry(kind).or_default() += 1;
            } else if lines.iter().any(|l| l.event() == "answered") {
                coverage.served += 1;
            } else {
                coverage.unknown.push(request.to_owned());
            }
        }
        coverage
    }
}

impl InstanceLog {
    fn parse(name: &str, text: &str) -> Self {
        let lines: Vec<Line> = text.lines().filter_map(Line::parse).collect();
        let start = lines.iter().find(|l| l.event() == "start");
        let from_start = |key: &str| start.and_then(|l| l.get(key)).map(str::to_owned);
        let listen = from_start("listen").unwrap_or_default();
        let address = listen.split(':').next().unwrap_or_default().to_owned();
        Self {
            instance: from_start("instance").unwrap_or_else(|| name.to_owned()),
            address,
            lines,
            clock_offset_ms: None,
        }
    }

    /// Last logged offset of the clock of the instance at `address` from this one's, in
    /// milliseconds; positive if the other clock is ahead.
    fn peer_offset_ms(&self, address: &str) -> Option<i64> {
        let line = self
            .lines
            .iter()
            .rev()
            .find(|l| l.event() == "peer_clock" && l.get("peer") == Some(address))?;
        line.get("ahead_ms")?.parse().ok()
    }
}

/// Milliseconds by which the clock of log `index` is ahead of the clock of the first log.
///
/// Each logged offset includes the transit time of the message it was measured with. Averaging the
/// offsets of both directions cancels the transit times out.
fn clock_offset_ms(logs: &[InstanceLog], index: usize) -> Option<i64> {
    let (first, other) = (&logs[0], &logs[index]);
    match (
        first.peer_offset_ms(&other.address),
        other.peer_offset_ms(&first.address),
    ) {
        (Some(forward), Some(reverse)) => Some((forward - reverse) / 2),
        (Some(forward), None) => Some(forward),
        (None, Some(reverse)) => Some(-reverse),
        (None, None) => None,
    }
}

fn timeline_event(
    first_ms: i64,
    (time_ms, log, line): &(i64, &InstanceLog, &Line),
) -> TimelineEvent {
    let is_shown = |(key, _): &&(String, String)| !matches!(key.as_str(), "time_ms" | "id");
    TimelineEvent {
        at_ms: time_ms - first_ms,
        instance: log.instance.clone(),
        pairs: line.pairs.iter().filter(is_shown).cloned().collect(),
    }
}

/// Kind of failure that a line reports; `None` unless the failure is visible to the caller.
fn failure_kind(line: &Line) -> Option<String> {
    let detail = |key: &str| line.get(key).unwrap_or("?").to_owned();
    match line.event() {
        "refused" => Some(detail("kind")),
        "stream_ended" if line.get("how") != Some("resumed") => {
            Some(format!("stream_{}", detail("how")))
        }
        "caller_left" => Some("caller_left".to_owned()),
        "cut" => Some("cut".to_owned()),
        "answered" if detail("status").starts_with(['4', '5']) => Some("replica_failed".to_owned()),
        _ => None,
    }
}

/// Describes the failure that a line reports.
fn failure_description(line: &Line) -> Option<String> {
    let kind = failure_kind(line)?;
    let detail = |key: &str| line.get(key).unwrap_or("?");
    Some(match line.event() {
        "refused" => format!("{kind}: {}; ran: {}", detail("reason"), detail("ran")),
        "stream_ended" => format!(
            "{kind} at {} after {} ms, last event {}",
            detail("replica"),
            detail("after_ms"),
            detail("last_event"),
        ),
        "cut" => format!(
            "the instance ended {} ms after it had taken the request; it stood at {}",
            detail("after_ms"),
            detail("replica"),
        ),
        "caller_left" => format!(
            "its caller left after {} ms; it stood at {}",
            detail("after_ms"),
            detail("replica"),
        ),
        _ => format!("{} answered {}", detail("replica"), detail("status")),
    })
}

impl RequestTimeline {
    /// Formats the clock offsets, the events, one per line, and the cause as text.
    pub fn text(&self) -> String {
        let mut text = format!("request {}\n", self.request);
        // Writing to a string can't fail.
        for (instance, offset_ms) in &self.clock_offsets_ms {
            match offset_ms {
                Some(0) => {}
                Some(offset_ms) => {
                    let _ = writeln!(text, "clock of {instance}: {offset_ms} ms ahead, taken off");
                }
                None => {
                    let _ = writeln!(text, "clock of {instance}: not known, taken as it is");
                }
            }
        }
        for event in &self.events {
            let pairs: Vec<String> = event
                .pairs
                .iter()
                .map(|(k, v)| format!("{k}={v}"))
                .collect();
            let _ = writeln!(
                text,
                "{:>8} ms  {}  {}",
                event.at_ms,
                event.instance,
                pairs.join(" ")
            );
        }
        let cause = self.cause.as_deref();
        let _ = writeln!(
            text,
            "cause: {}",
            cause.unwrap_or("none, no line tells of a failure")
        );
        text
    }
}

impl Coverage {
    /// Formats the counts and the ids of unknown requests as text.
    pub fn text(&self) -> String {
        let failed: usize = self.causes.values().sum();
        let mut text = format!(
            "{} requests: a cause is named for {failed}, {} were served, of {} no line tells\n",
            self.asked,
            self.served,
            self.unknown.len()
        );
        for (cause, count) in &self.causes {
            let _ = writeln!(text, "{count:>8}  {cause}");
        }
        for request in &self.unknown {
            let _ = writeln!(text, "unknown  {request}");
        }
        text
    }
}
