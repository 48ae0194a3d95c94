//! Large directory values in compressed form, as instances send them to each other.
//!
//! Load pattern: a new version of a large table goes to every instance at once. Uncompressed it would
//! occupy a small machine's link for a second for each instance that asks for it. Each value is compressed
//! once, and passed on as it was received.

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use kingcupfield_decisions::store_view::{Entry, Revision};
use serde::{Deserialize, Serialize};

use crate::snapshot::MAX_SNAPSHOT_BYTES;

/// A large entry whose value is compressed by zlib.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CompressedEntry {
    /// Key of the entry.
    pub key: String,
    /// Revision of its last change.
    pub revision: Revision,
    /// The compressed value.
    pub value: Bytes,
}

impl CompressedEntry {
    /// Compresses the value of an entry.
    pub fn new(entry: &Entry) -> std::io::Result<Self> {
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(entry.value.as_deref().unwrap_or_default())?;
        Ok(Self {
            key: entry.key.clone(),
            revision: entry.revision,
            value: encoder.finish()?.into(),
        })
    }

    /// Decompresses the value, which may have at most [`MAX_SNAPSHOT_BYTES`].
    pub fn decompress(&self) -> std::io::Result<Entry> {
        let mut value = Vec::new();
        let limit = MAX_SNAPSHOT_BYTES as u64;
        ZlibDecoder::new(&*self.value)
            .take(limit + 1)
            .read_to_end(&mut value)?;
        if value.len() as u64 > limit {
            return Err(std::io::Error::other(format!("more than {limit} bytes")));
        }
        Ok(Entry {
            key: self.key.clone(),
            revision: self.revision,
            value: Some(value),
        })
    }
}

/// The compressed form of the latest large values, sorted by key.
#[derive(Debug, Default)]
pub struct LargeValues {
    entries: Vec<CompressedEntry>,
}

impl LargeValues {
    /// The compressed form of an entry, which is compressed if that has not happened yet.
    pub fn get(&mut self, entry: &Entry) -> std::io::Result<CompressedEntry> {
        let known = self.entries.binary_search_by(|e| e.key.cmp(&entry.key));
        let known = known.map(|index| &self.entries[index]);
        if let Ok(known) = known
            && known.revision == entry.revision
        {
            return Ok(known.clone());
        }
        let compressed = CompressedEntry::new(entry)?;
        self.insert(compressed.clone());
        Ok(compressed)
    }

    /// Keeps the compressed form of an entry in place of the one of an earlier revision.
    pub fn insert(&mut self, entry: CompressedEntry) {
        match self.entries.binary_search_by(|e| e.key.cmp(&entry.key)) {
            Ok(index) => self.entries[index] = entry,
            Err(index) => self.entries.insert(index, entry),
        }
    }
}
