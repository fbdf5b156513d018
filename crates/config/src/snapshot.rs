//! Snapshots of the configuration on the log, and loading from them.
//!
//! The log keeps records for a limited time.  A snapshot, cut into parts that
//! fit a record, is appended again before the oldest needed record expires.
//! A reader that finds the log's beginning gone starts from a snapshot whose
//! parts are all there and whose digest is right; a half-written one counts
//! for nothing.

use std::collections::BTreeMap;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::{Config, RECORD_VERSION, Verdict};

/// Largest part of a snapshot, in bytes of JSON text.
const PART_MAX_BYTES: usize = 64 * 1024;

/// Why the configuration could not be loaded.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum SnapshotError {
    /// the log starts at offset {0} and holds no whole snapshot; fetch the configuration from a peer
    NoCompleteSnapshot(u64),
}

impl std::error::Error for SnapshotError {}

/// One part of a snapshot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// Record format.
    pub v: u32,
    /// What the part carries.
    pub snapshot: PartBody,
}

/// Place and text of a part.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PartBody {
    /// Next offset to fold after the snapshot.
    pub offset: u64,
    /// Digest of the whole configuration.
    pub digest: String,
    /// Index of the part.
    pub part: usize,
    /// How many parts there are.
    pub parts: usize,
    /// The part's piece of the configuration's JSON.
    pub text: String,
}

impl Config {
    /// The configuration as one text, for peers.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("a configuration always encodes")
    }

    /// Reads back what [`Config::encode`] wrote.
    pub fn decode(text: &str) -> Option<Config> {
        serde_json::from_str(text).ok()
    }

    /// The configuration as records for the log.
    pub fn snapshot_records(&self) -> Vec<String> {
        let text = self.encode();
        let pieces = cut(&text);
        let digest = self.digest();
        let parts = pieces.len();
        let part = |(part, piece): (usize, &str)| SnapshotPart {
            v: RECORD_VERSION,
            snapshot: PartBody {
                offset: self.offset,
                digest: digest.clone(),
                part,
                parts,
                text: piece.to_owned(),
            },
        };
        let encode = |part: SnapshotPart| {
            serde_json::to_string(&part).expect("a snapshot part always encodes")
        };
        pieces
            .into_iter()
            .enumerate()
            .map(part)
            .map(encode)
            .collect()
    }
}

fn cut(text: &str) -> Vec<&str> {
    let mut pieces = Vec::new();
    let mut rest = text;
    while rest.len() > PART_MAX_BYTES {
        let mut end = PART_MAX_BYTES;
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (piece, tail) = rest.split_at(end);
        pieces.push(piece);
        rest = tail;
    }
    pieces.push(rest);
    pieces
}

/// Folds a stream of records whose beginning may be gone.
#[derive(Clone, Debug, Default)]
pub struct Loader {
    config: Option<Config>,
    /// Records seen before a base was found.
    waiting: Vec<(u64, String)>,
    parts: BTreeMap<(u64, String), BTreeMap<usize, String>>,
}

impl Loader {
    /// A loader for a log that starts at `first`.
    ///
    /// A log that starts at 0 is its own base.
    pub fn new(first: u64) -> Self {
        let config = (first == 0).then(Config::default);
        Loader {
            config,
            ..Loader::default()
        }
    }

    /// A loader that goes on from a known configuration.
    pub fn from_config(config: Config) -> Self {
        Loader {
            config: Some(config),
            ..Loader::default()
        }
    }

    /// Takes the record at `offset`.  Returns the fold's verdict once there
    /// is a base.
    pub fn apply(&mut self, offset: u64, body: &str) -> Option<Verdict> {
        let whole = self.take_part(body);
        if let Some(config) = &mut self.config {
            return Some(config.apply(offset, body));
        }
        self.waiting.push((offset, body.to_owned()));
        self.start_from(whole?);
        None
    }

    /// The configuration, once there is a base.
    pub fn config(&self) -> Option<&Config> {
        self.config.as_ref()
    }

    /// Collects the parts of snapshots; returns one that became whole.
    fn take_part(&mut self, body: &str) -> Option<Config> {
        if !body.contains("\"snapshot\"") {
            return None;
        }
        let part: SnapshotPart = serde_json::from_str(body).ok()?;
        if part.v != RECORD_VERSION {
            return None;
        }
        let PartBody {
            offset: base,
            digest,
            part,
            parts,
            text,
        } = part.snapshot;
        let key = (base, digest.clone());
        let pieces = self.parts.entry(key.clone()).or_default();
        pieces.insert(part, text);
        if pieces.len() < parts {
            return None;
        }
        let pieces = self.parts.remove(&key)?;
        let text: String = pieces.into_values().collect();
        let config = Config::decode(&text)?;
        if config.digest() != digest {
            return None;
        }
        self.parts.retain(|(at, _), _| *at > base);
        Some(config)
    }

    /// Goes on from a whole snapshot if no record after it is missing.
    fn start_from(&mut self, mut config: Config) {
        let first = self.waiting.first().map_or(0, |(offset, _)| *offset);
        if config.offset < first {
            return;
        }
        for (offset, body) in std::mem::take(&mut self.waiting) {
            config.apply(offset, &body);
        }
        self.config = Some(config);
    }
}
