//! Finds the ends and ids of events in a passing byte stream, without reading what they hold.

/// Longest event id that is remembered; longer ones can't be resumed after.
const MAX_ID: usize = 64;

/// State of a scan across chunks.
#[derive(Debug, Default)]
pub struct EventScanner {
    line: Vec<u8>,
    overlong: bool,
    pending_id: Option<String>,
    last_id: Option<String>,
    in_event: bool,
    events: u32,
}

/// What a chunk held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScannedChunk {
    /// Events that ended in it.
    pub events: u32,
    /// Bytes up to the end of the last of them; 0 if none ended.
    pub complete_bytes: usize,
}

impl EventScanner {
    /// Starts before the first event.
    pub fn new() -> Self {
        Self::default()
    }

    /// Id of the last event that is complete.
    pub fn last_event_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether bytes of an unfinished event have passed.
    pub fn in_partial_event(&self) -> bool {
        self.in_event || !self.line.is_empty()
    }

    /// Forgets an unfinished event, whose rest will come from another replica as a whole.
    pub fn discard_partial_event(&mut self) {
        self.line.clear();
        self.overlong = false;
        self.pending_id = None;
        self.in_event = false;
    }

    /// Reads the next bytes.
    pub fn read(&mut self, chunk: &[u8]) -> ScannedChunk {
        self.events = 0;
        let mut complete = 0;
        for (at, byte) in chunk.iter().enumerate() {
            if *byte != b'\n' {
                self.push(*byte);
                continue;
            }
            let before = self.events;
            self.end_line();
            if self.events > before {
                complete = at + 1;
            }
        }
        ScannedChunk {
            events: self.events,
            complete_bytes: complete,
        }
    }

    fn push(&mut self, byte: u8) {
        if self.line.len() < MAX_ID + 4 {
            self.line.push(byte);
        } else {
            self.overlong = true;
        }
    }

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
