//! Finds the ends and ids of server-sent events in a byte stream, without parsing their data.

/// Longest event id in bytes that is recorded; a stream can't be resumed after a longer one.
const MAX_ID_BYTES: usize = 64;

/// Bytes of a line before the event id: "id:" and the usual space.
const ID_FIELD_BYTES: usize = 4;

/// Incremental scanner of an event stream that arrives in chunks.
#[derive(Debug, Default)]
pub struct EventScanner {
    /// Current line, up to the length that an event id needs.
    line: Vec<u8>,
    /// Whether the current line is longer than `line`.
    overlong: bool,
    /// Id of the current event, if it had one so far.
    pending_id: Option<String>,
    /// Id of the last complete event.
    last_id: Option<String>,
    /// Whether the current event has at least one complete line.
    in_event: bool,
    /// Number of events that ended in the current chunk.
    events: u32,
}

/// Result of scanning one chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScannedChunk {
    /// Number of events that ended in the chunk.
    pub events: u32,
    /// Bytes of the chunk up to the end of the last complete event; 0 if none ended.
    pub complete_bytes: usize,
}

impl EventScanner {
    /// Creates a scanner at the start of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Id of the last complete event, if it had one.
    pub fn last_event_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether the bytes scanned so far end within an event.
    pub fn in_partial_event(&self) -> bool {
        self.in_event || !self.line.is_empty()
    }

    /// Discards an incomplete event; another replica will send it again from its start.
    pub fn discard_partial_event(&mut self) {
        self.line.clear();
        self.overlong = false;
        self.pending_id = None;
        self.in_event = false;
    }

    /// Scans the next chunk of the stream.
    pub fn read(&mut self, chunk: &[u8]) -> ScannedChunk {
        self.events = 0;
        let mut complete = 0;
        for (index, byte) in chunk.iter().enumerate() {
            if *byte != b'\n' {
                self.push(*byte);
                continue;
            }
            let before = self.events;
            self.end_line();
            if self.events > before {
                complete = index + 1;
            }
        }
        ScannedChunk {
            events: self.events,
            complete_bytes: complete,
        }
    }

    /// Adds a byte to the current line.
    fn push(&mut self, byte: u8) {
        if self.line.len() < MAX_ID_BYTES + ID_FIELD_BYTES {
            self.line.push(byte);
        } else {
            self.overlong = true;
        }
    }

    /// Handles the end of a line: an empty line ends the event.
    fn end_line(&mut self) {
        if self.line.last() == Some(&b'\r') {
            self.line.pop();
        }
        if self.line.is_empty() && !self.overlong {
            self.end_event();
        } else {
            self.in_event = true;
            if let Some(id) = self.line.strip_prefix(b"id:").filter(|_| !self.overlong) {
                self.pending_id = std::str::from_utf8(id).ok().map(|id| id.trim().to_owned());
            }
        }
        self.line.clear();
        self.overlong = false;
    }

    /// Counts a complete event and records its id.
    fn end_event(&mut self) {
        if !self.in_event {
            return;
        }
        self.in_event = false;
        self.events += 1;
        if let Some(id) = self.pending_id.take() {
            self.last_id = Some(id);
        }
    }
}
