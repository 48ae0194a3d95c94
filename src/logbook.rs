//! Saved logs of several instances, read together: the life of one request, and for which of many
//! requests the logs name a cause.
//!
//! The clocks of instances differ. Each instance tells by how much the others are ahead of it; lines
//! are put in order by the clock of the first log, and the differences that were used are told.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::PathBuf;

use serde::Serialize;

/// A log that can't be read.
#[derive(Debug, thiserror::Error)]
#[error("{}: {reason}", path.display())]
pub struct LogError {
    /// The file.
    pub path: PathBuf,
    /// Why not.
    pub reason: std::io::Error,
}

/// One event of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// Time of day of its instance in milliseconds.
    pub time_ms: i64,
    /// Its pairs, in their order.
    pub pairs: Vec<(String, String)>,
}

impl Line {
    /// Reads `key=value` pairs; values with spaces stand in double quotes. `None` if the line is no event.
    ///
    /// What stands before the time, for example the prefix of a collector, is passed over.
    pub fn parse(text: &str) -> Option<Self> {
        let text = &text[text.find("time_ms=")?..];
        let mut pairs = Vec::new();
        let mut rest = text.trim();
        while !rest.is_empty() {
            let (key, after) = rest.split_once('=')?;
            let (value, next) = value(after);
            pairs.push((key.to_owned(), value));
            rest = next.trim_start();
        }
        let line = Self { time_ms: 0, pairs };
        let time_ms = line.get("time_ms")?.parse().ok()?;
        line.get("event")?;
        Some(Self { time_ms, ..line })
    }

    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<&str> {
        let found = self.pairs.iter().find(|(k, _)| k == key);
        found.map(|(_, v)| v.as_str())
    }

    fn event(&self) -> &str {
        self.get("event").unwrap_or_default()
    }
}

/// Splits off one value, with or without quotes.
fn value(text: &str) -> (String, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(' ').unwrap_or(text.len());
        return (text[..end].to_owned(), &text[end..]);
    };
    let mut value = String::new();
    let mut chars = quoted.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return (value, &quoted[at + 1..]),
            '\\' => value.extend(chars.next().map(|(_, c)| c)),
            c => value.push(c),
        }
    }
    (value, "")
}

/// The log of one instance.
#[derive(Debug)]
struct Book {
    instance: String,
    /// Its address, by which the others name it.
    address: String,
    lines: Vec<Line>,
    /// By how many milliseconds its clock is ahead of the first log's; `None` if nobody tells.
    ahead_ms: Option<i64>,
}

/// Logs of several instances.
#[derive(Debug)]
pub struct Logbook {
    books: Vec<Book>,
}

/// One event in the life of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Step {
    /// Milliseconds since the first event.
    pub at_ms: i64,
    /// The instance that tells it.
    pub instance: String,
    /// What it tells.
    pub pairs: Vec<(String, String)>,
}

/// The life of one request as the logs tell it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RequestTimeline {
    /// The request.
    pub request: String,
    /// Its events in order.
    pub steps: Vec<Step>,
    /// By how many milliseconds each instance's clock was taken to be ahead of the first log's.
    pub clocks: Vec<(String, Option<i64>)>,
    /// Why it was not served, in words; `None` if it was or no line tells.
    pub cause: Option<String>,
}

/// For how many requests the logs name a cause.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Coverage {
    /// Requests that were asked for.
    pub asked: usize,
    /// Those for which a cause is named, by cause.
    pub causes: BTreeMap<String, usize>,
    /// Those that were answered whole, as far as the logs tell.
    pub served: usize,
    /// Those of which no line tells.
    pub unknown: Vec<String>,
}

impl Logbook {
    /// Takes the texts of logs, an instance's each, with a name for those that lack a `start` line.
    pub fn from_texts<'a, I>(texts: I) -> Self
    where
        I: IntoIterator<Item = (&'a str, &'a str)>,
    {
        let books = texts
            .into_iter()
            .map(|(name, text)| Book::parse(name, text));
        Self::new(books.collect())
    }

    /// Reads the logs, a file for each instance.
    pub fn read(paths: &[PathBuf]) -> Result<Self, LogError> {
        let mut books = Vec::new();
        for path in paths {
            let text = std::fs::read_to_string(path).map_err(|reason| LogError {
                path: path.clone(),
                reason,
            })?;
            let name = path.file_stem().unwrap_or_default().to_string_lossy();
            books.push(Book::parse(&name, &text));
        }
        Ok(Self::new(books))
    }

    fn new(mut books: Vec<Book>) -> Self {
        let offsets: Vec<Option<i64>> = (0..books.len())
            .map(|at| if at == 0 { Some(0) } else { ahead(&books, at) })
            .collect();
        for (book, ahead_ms) in books.iter_mut().zip(offsets) {
            book.ahead_ms = ahead_ms;
        }
        Self { books }
    }

    /// The life of a request; `None` if no line names it.
    pub fn timeline(&self, request: &str) -> Option<RequestTimeline> {
        let mut found: Vec<(i64, &Book, &Line)> = Vec::new();
        for book in &self.books {
            let lines = book.lines.iter().filter(|l| l.get("id") == Some(request));
            found.extend(lines.map(|l| (l.time_ms - book.ahead_ms.unwrap_or(0), book, l)));
        }
        found.sort_by_key(|(at, _, _)| *at);
        let first = found.first()?.0;
        let mut clocks: Vec<(String, Option<i64>)> = Vec::new();
        for (_, book, _) in &found {
            if !clocks
                .iter()
                .any(|(instance, _)| *instance == book.instance)
            {
                clocks.push((book.instance.clone(), book.ahead_ms));
            }
        }
        let cause = found.iter().rev().find_map(|(_, _, line)| cause(line));
        Some(RequestTimeline {
            request: request.to_owned(),
            steps: found.iter().map(|f| step(first, f)).collect(),
            clocks,
            cause,
        })
    }

    /// For which of the requests the logs name a cause.
    pub fn coverage<'a, I>(&self, requests: I) -> Coverage
    where
        I: IntoIterator<Item = &'a str>,
    {
        let mut lives: BTreeMap<&str, Vec<&Line>> = BTreeMap::new();
        for line in self.books.iter().flat_map(|b| &b.lines) {
            if let Some(id) = line.get("id") {
                lives.entry(id).or_default().push(line);
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
            let told = lives.get(request).map_or(&[][..], Vec::as_slice);
            if let Some(kind) = told.iter().rev().find_map(|l| cause_kind(l)) {
                *coverage.causes.entry(kind).or_default() += 1;
            } else if told.iter().any(|l| l.event() == "answered") {
                coverage.served += 1;
            } else {
                coverage.unknown.push(request.to_owned());
            }
        }
        coverage
    }
}

impl Book {
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
            ahead_ms: None,
        }
    }

    /// By how much it last saw another instance's clock ahead of its own.
    fn sees(&self, address: &str) -> Option<i64> {
        let told = self
            .lines
            .iter()
            .rev()
            .find(|l| l.event() == "peer_clock" && l.get("peer") == Some(address))?;
        told.get("ahead_ms")?.parse().ok()
    }
}

/// By how much the clock of one log is ahead of the first one's.
///
/// Each side's word holds the time that its message took; with both words that cancels out.
fn ahead(books: &[Book], at: usize) -> Option<i64> {
    let (first, book) = (&books[0], &books[at]);
    match (first.sees(&book.address), book.sees(&first.address)) {
        (Some(there), Some(here)) => Some((there - here) / 2),
        (Some(there), None) => Some(there),
        (None, Some(here)) => Some(-here),
        (None, None) => None,
    }
}

fn step(first: i64, (at, book, line): &(i64, &Book, &Line)) -> Step {
    let shown = |(key, _): &&(String, String)| !matches!(key.as_str(), "time_ms" | "id");
    Step {
        at_ms: at - first,
        instance: book.instance.clone(),
        pairs: line.pairs.iter().filter(shown).cloned().collect(),
    }
}

/// The kind of failure that a line tells of, if it tells of one that its caller notices.
fn cause_kind(line: &Line) -> Option<String> {
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

fn cause(line: &Line) -> Option<String> {
    let kind = cause_kind(line)?;
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
    /// The life in words, one line a step.
    pub fn text(&self) -> String {
        let mut text = format!("request {}\n", self.request);
        // Writing to a string can't fail.
        for (instance, ahead) in &self.clocks {
            match ahead {
                Some(0) => {}
                Some(ahead) => {
                    let _ = writeln!(text, "clock of {instance}: {ahead} ms ahead, taken off");
                }
                None => {
                    let _ = writeln!(text, "clock of {instance}: not known, taken as it is");
                }
            }
        }
        for step in &self.steps {
            let pairs: Vec<String> = step.pairs.iter().map(|(k, v)| format!("{k}={v}")).collect();
            let _ = writeln!(
                text,
                "{:>8} ms  {}  {}",
                step.at_ms,
                step.instance,
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
    /// The counts in words.
    pub fn text(&self) -> String {
        let named: usize = self.causes.values().sum();
        let mut text = format!(
            "{} requests: a cause is named for {named}, {} were served, of {} no line tells\n",
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
