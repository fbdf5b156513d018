//! Writes snapshots of the configuration to the log and loads from them.
//!
//! The log keeps records for a limited time.  A snapshot, split into parts that
//! fit in a record, is appended again before the oldest needed record expires.
//! A reader whose log no longer starts at offset 0 begins with a snapshot that
//! has all of its parts and the correct digest.  Incomplete ones are ignored.

use std::collections::BTreeMap;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::{Config, RECORD_VERSION, Verdict};

/// Maximum size of a part's text, in bytes.
const PART_MAX_BYTES: usize = 64 * 1024;

/// Why the configuration could not be loaded.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum SnapshotError {
    /// the log starts at offset {0} and has no complete snapshot; fetch the configuration from a peer
    NoCompleteSnapshot(u64),
}

impl std::error::Error for SnapshotError {}

/// One part of a snapshot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// Record format, see [`RECORD_VERSION`].
    pub v: u32,
    /// Position and text of the part.
    pub snapshot: PartBody,
}

/// Position and text of a part.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PartBody {
    /// Offset of the first record that the snapshot does not include.
    pub offset: u64,
    /// [`Config::digest`] of the snapshot.
    pub digest: String,
    /// Index of the part, from 0.
    pub part: usize,
    /// Number of parts in the snapshot.
    pub parts: usize,
    /// This part's slice of the configuration's JSON.
    pub text: String,
}

impl Config {
    /// Encodes the configuration as JSON, as it is sent to peers.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("a configuration always encodes")
    }

    /// Decodes the output of [`Config::encode`]; `None` if it is malformed.
    pub fn decode(text: &str) -> Option<Config> {
        serde_json::from_str(text).ok()
    }

    /// Encodes the configuration as records for the log, one per part.
    pub fn snapshot_records(&self) -> Vec<String> {
        let text = self.encode();
        let slices = split_text(&text);
        let digest = self.digest();
        let parts = slices.len();
        let part = |(part, slice): (usize, &str)| SnapshotPart {
            v: RECORD_VERSION,
            snapshot: PartBody {
                offset: self.offset,
                digest: digest.clone(),
                part,
                parts,
                text: slice.to_owned(),
            },
        };
        let encode = |part: SnapshotPart| {
            serde_json::to_string(&part).expect("a snapshot part always encodes")
        };
        slices
            .into_iter()
            .enumerate()
            .map(part)
            .map(encode)
            .collect()
    }
}

/// Splits a text at character boundaries into slices of bounded size.
fn split_text(text: &str) -> Vec<&str> {
    let mut slices = Vec::new();
    let mut rest = text;
    while rest.len() > PART_MAX_BYTES {
        let mut end = PART_MAX_BYTES;
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (slice, tail) = rest.split_at(end);
        slices.push(slice);
        rest = tail;
    }
    slices.push(rest);
    slices
}

/// Builds a configuration from a log whose first records may have expired.
#[derive(Clone, Debug, Default)]
pub struct Loader {
    config: Option<Config>,
    /// Records read before a complete snapshot was found.
    pending: Vec<(u64, String)>,
    /// Texts by part index, of incomplete snapshots by offset and digest.
    parts: BTreeMap<(u64, String), BTreeMap<usize, String>>,
}

impl Loader {
    /// Creates a loader for a log whose first record has the offset `first`.
    ///
    /// A log that starts at 0 is complete and needs no snapshot.
    pub fn new(first: u64) -> Self {
        let config = (first == 0).then(Config::default);
        Loader {
            config,
            ..Loader::default()
        }
    }

    /// Creates a loader that continues from an existing configuration.
    pub fn from_config(config: Config) -> Self {
        Loader {
            config: Some(config),
            ..Loader::default()
        }
    }

    /// Processes the record at `offset`.
    ///
    /// Returns the verdict of [`Config::apply`], or `None` as long as the record
    /// is only buffered because no complete snapshot has been read.
    pub fn apply(&mut self, offset: u64, body: &str) -> Option<Verdict> {
        let snapshot = self.add_part(body);
        if let Some(config) = &mut self.config {
            return Some(config.apply(offset, body));
        }
        self.pending.push((offset, body.to_owned()));
        self.start_from_snapshot(snapshot?);
        None
    }

    /// The configuration; `None` until a complete snapshot has been read.
    pub fn config(&self) -> Option<&Config> {
        self.config.as_ref()
    }

    /// Stores a snapshot part; returns the snapshot if it is now complete.
    fn add_part(&mut self, body: &str) -> Option<Config> {
        if !body.contains("\"snapshot\"") {
            return None;
        }
        let part: SnapshotPart = serde_json::from_str(body).ok()?;
        if part.v != RECORD_VERSION {
            return None;
        }
        let PartBody {
            offset: snapshot_offset,
            digest,
            part,
            parts,
            text,
        } = part.snapshot;
        let key = (snapshot_offset, digest.clone());
        let texts = self.parts.entry(key.clone()).or_default();
        texts.insert(part, text);
        if texts.len() < parts {
            return None;
        }
        let texts = self.parts.remove(&key)?;
        let text: String = texts.into_values().collect();
        let config = Config::decode(&text)?;
        if config.digest() != digest {
            return None;
        }
        self.parts
            .retain(|(offset, _), _| *offset > snapshot_offset);
        Some(config)
    }

    /// Starts from a snapshot unless records between it and the log's first
    /// record are missing.
    fn start_from_snapshot(&mut self, mut config: Config) {
        let first = self.pending.first().map_or(0, |(offset, _)| *offset);
        if config.offset < first {
            return;
        }
        for (offset, body) in std::mem::take(&mut self.pending) {
            config.apply(offset, &body);
        }
        self.config = Some(config);
    }
}
