//! At which software version single streams began, while several versions serve.
//!
//! Load pattern: an instance is killed with dozens of streams, and their callers take them up at every other
//! instance. Each stream is therefore recorded by a few instances, chosen by a hash of the stream, so
//! that any instance finds them without a list of who has what. A record is never changed, so a copy needs
//! no agreement; one that is lost costs the rest of one stream.

use tokio::time::Instant;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::id::{InstanceAddress, StreamKey};
use crate::software_versions::StreamOrigin;

/// Instances besides the relaying one that record a stream: if six of ten instances are killed at once, the
/// records of one stream in five are lost.
pub const HOLDERS: usize = 3;

/// Instances that are asked for a stream: twice the holders, as two instances may know different members.
pub const ASKED: usize = 2 * HOLDERS;

/// Most streams of which an instance keeps a record: what a fleet of 1,200 instances that begins 10,000 streams
/// a second gives to one instance within a minute, ten times over.
const MAX_RECORDS: usize = 16_384;

/// Key of the stream that an attempt of a caller began.
pub fn stream_key(attempt_id: &str) -> StreamKey {
    xxh3_64(attempt_id.as_bytes())
}

/// The `count` instances among `members` that record a stream, or are asked for it.
pub fn choose_holders(
    key: StreamKey,
    members: impl Iterator<Item = InstanceAddress>,
    count: usize,
) -> Vec<InstanceAddress> {
    let mut ranked: Vec<(u64, InstanceAddress)> = members.map(|m| (weight(key, m), m)).collect();
    if ranked.len() > count {
        ranked.select_nth_unstable(count - 1);
        ranked.truncate(count);
    }
    ranked.into_iter().map(|(_, member)| member).collect()
}

/// Weight of an instance among those that may take care of a key, by which they are ranked.
pub fn weight(key: u64, member: InstanceAddress) -> u64 {
    xxh3_64_with_seed(&member.to_le_bytes(), key)
}

/// Progress of a stream at this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// This instance relays it.
    Relayed,
    /// This instance relayed it until it broke.
    Broken,
    /// Another instance relays it, or did so.
    Elsewhere,
}

/// Where a stream began.
#[derive(Debug, Clone, Copy)]
struct Record {
    key: StreamKey,
    origin: StreamOrigin,
    progress: Progress,
    /// When it was last heard of.
    updated_at: Instant,
}

/// The streams of which one instance knows where they began.
#[derive(Debug, Clone, Default)]
pub struct StreamRecords {
    /// Sorted by key.
    records: Vec<Record>,
}

impl StreamRecords {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a stream that this instance relays.
    pub fn begin(&mut self, now: Instant, key: StreamKey, origin: StreamOrigin) {
        self.insert(now, key, origin, Progress::Relayed);
    }

    /// Records a stream that another instance relays.
    pub fn learn(&mut self, now: Instant, key: StreamKey, origin: StreamOrigin) {
        self.insert(now, key, origin, Progress::Elsewhere);
    }

    /// Records that a stream of this instance has broken.
    pub fn on_broken(&mut self, now: Instant, key: StreamKey) {
        if let Ok(index) = self.find(key) {
            self.records[index].progress = Progress::Broken;
            self.records[index].updated_at = now;
        }
    }

    /// Removes a stream that is complete.
    pub fn on_complete(&mut self, key: StreamKey) {
        if let Ok(index) = self.find(key) {
            self.records.remove(index);
        }
    }

    /// Where a stream began.
    pub fn origin(&self, key: StreamKey) -> Option<StreamOrigin> {
        self.find(key).ok().map(|index| self.records[index].origin)
    }

    /// The streams that this instance relays, and with `with_broken` those that have broken here.
    pub fn own(&self, with_broken: bool) -> impl Iterator<Item = (StreamKey, StreamOrigin)> {
        let is_own = move |progress| match progress {
            Progress::Relayed => true,
            Progress::Broken => with_broken,
            Progress::Elsewhere => false,
        };
        let own = self.records.iter().filter(move |r| is_own(r.progress));
        own.map(|r| (r.key, r.origin))
    }

    /// Removes the streams that no caller takes up any more: not heard of since `oldest`.
    pub fn remove_older(&mut self, oldest: Instant) {
        let is_recent = |r: &Record| r.progress == Progress::Relayed || r.updated_at >= oldest;
        self.records.retain(is_recent);
    }

    /// Number of streams.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no stream is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn find(&self, key: StreamKey) -> Result<usize, usize> {
        self.records.binary_search_by_key(&key, |r| r.key)
    }

    /// Adds a stream. A stream that is known keeps its origin, and counts as relayed elsewhere only if it
    /// is not relayed here.
    fn insert(&mut self, now: Instant, key: StreamKey, origin: StreamOrigin, progress: Progress) {
        match self.find(key) {
            Ok(index) => {
                let record = &mut self.records[index];
                record.updated_at = now;
                if progress == Progress::Relayed {
                    record.progress = progress;
                }
            }
            Err(_) if self.records.len() >= MAX_RECORDS => {}
            Err(index) => self.records.insert(
                index,
                Record {
                    key,
                    origin,
                    progress,
                    updated_at: now,
                },
            ),
        }
    }
}
