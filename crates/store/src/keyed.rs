//! Compacted topics, which keep the newest record of each key.
//!
//! [`KeyedLog`] is the interface to a platform's log, [`KeyedTable`] holds the
//! newest values of one topic, and [`follow_keyed`](crate::follow_keyed) keeps a
//! table up to date.  This module does not depend on a platform's protocol.
//!
//! The platform may restore a log from a copy that is some seconds old.  The
//! records since that copy are then lost, and their offsets are assigned again.
//! Each restoration starts a new epoch, so a position is an epoch and an offset.
//! See `docs/design/outage.md`.

use std::collections::BTreeMap;

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::StoreError;

/// A position in a topic.
///
/// Offsets of different epochs count different histories, so there is no order
/// over all positions, only [`LogPosition::is_behind`].
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Hash, PartialEq, Serialize,
)]
#[display("{epoch}/{offset}")]
pub struct LogPosition {
    /// Rises by one each time that the log is restored from an older copy.
    pub epoch: u64,
    /// Offset within the topic.
    pub offset: u64,
}

impl LogPosition {
    /// Returns whether a reader at `other` knows something that one at this
    /// position does not.
    ///
    /// An earlier epoch is always behind, whatever its offset: what was read
    /// there may be lost.
    pub fn is_behind(self, other: LogPosition) -> bool {
        if self.epoch == other.epoch {
            self.offset < other.offset
        } else {
            self.epoch < other.epoch
        }
    }
}

/// One record of a keyed topic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyedRecord {
    /// Key.
    pub key: String,
    /// Value; `None` removes the key.
    pub value: Option<Bytes>,
    /// Offset in the topic.
    pub offset: u64,
}

/// Result of a read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KeyedPage {
    /// The records, in offset order.
    pub records: Vec<KeyedRecord>,
    /// Epoch of the log when it answered.
    pub epoch: u64,
    /// End of the topic: the offset that the next appended record will get.
    pub end: u64,
    /// Offset of the next read.
    pub next: u64,
}

/// Client of a platform's keyed log.
///
/// A client makes one call at a time.  Each follower has its own, so that a
/// waiting read does not block other calls.
pub trait KeyedLog {
    /// Reads records starting at `from`; if there are none yet, waits up to
    /// `wait_ms` for the first one.
    fn read(
        &mut self,
        topic: &str,
        from: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<KeyedPage, StoreError>>;

    /// Reads the newest record of every key.
    ///
    /// Fails with [`StoreError::EpochChanged`] if the log was restored between two
    /// pages of the listing.
    fn newest(
        &mut self,
        topic: &str,
    ) -> impl Future<Output = Result<KeyedPage, StoreError>>;

    /// Appends one record and returns the new end of the topic.
    ///
    /// Fails with [`StoreError::Conflict`] if the topic does not end at the offset
    /// of `expected_end`, and with [`StoreError::EpochChanged`] if it does, but in
    /// another epoch; the record is then in the log.
    fn append(
        &mut self,
        topic: &str,
        key: &str,
        value: &[u8],
        expected_end: LogPosition,
    ) -> impl Future<Output = Result<LogPosition, StoreError>>;
}

/// The newest value of each key of a topic.
#[derive(Clone, Debug, Default)]
pub struct KeyedTable {
    /// Offset and value of the newest record of each key; `None` if the key was
    /// removed.
    values: BTreeMap<String, (u64, Option<Bytes>)>,
    end: LogPosition,
}

/// Change of a key in a [`KeyedTable`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyedChange {
    /// The key was added or its value replaced.
    Put {
        /// Key.
        key: String,
        /// Value.
        value: Bytes,
        /// Position of the record.
        position: LogPosition,
    },
    /// The key was removed.
    Removed {
        /// Key.
        key: String,
    },
}

impl KeyedTable {
    /// Position up to which the table reflects the topic.
    pub fn end(&self) -> LogPosition {
        self.end
    }

    /// Applies records in order; a record older than the key's known one has no
    /// effect, and neither has a page of another epoch than the table's.
    pub fn apply(&mut self, page: &KeyedPage) -> Vec<KeyedChange> {
        if page.epoch != self.end.epoch {
            return Vec::new();
        }
        let records = page.records.iter();
        let changes = records.filter_map(|record| self.apply_record(record));
        let changes = changes.collect();
        self.end.offset = self.end.offset.max(page.next);
        changes
    }

    /// Applies a listing of the newest record of every key, as of `page.end`.
    ///
    /// Keys that are not listed are removed, unless the listing ends before
    /// [`KeyedTable::end`] and is therefore outdated.  Its records are applied in
    /// either case if they are newer by offset.
    ///
    /// A listing of a later epoch replaces the table, even if it ends earlier; one
    /// of an earlier epoch has no effect.
    pub fn apply_full(&mut self, page: &KeyedPage) -> Vec<KeyedChange> {
        if page.epoch < self.end.epoch {
            return Vec::new();
        }
        if page.epoch > self.end.epoch {
            return self.replace(page);
        }
        let mut changes = Vec::new();
        if page.end >= self.end.offset {
            changes.extend(self.remove_unlisted(page));
        }
        let records = page.records.iter();
        changes.extend(records.filter_map(|record| self.apply_record(record)));
        self.end.offset = self.end.offset.max(page.end);
        changes
    }

    /// Removes the keys that `page` does not list; a record after the end of the
    /// listing is kept.
    fn remove_unlisted(&mut self, page: &KeyedPage) -> Vec<KeyedChange> {
        let listed = |key: &str| page.records.iter().any(|r| r.key == key);
        let mut removed = Vec::new();
        for (key, (offset, value)) in &mut self.values {
            if value.is_some() && *offset < page.end && !listed(key) {
                *offset = page.end;
                *value = None;
                removed.push(KeyedChange::Removed { key: key.clone() });
            }
        }
        removed
    }

    /// Replaces the table by a listing of a later epoch.  A record that survived the
    /// restoration is not a change.
    fn replace(&mut self, page: &KeyedPage) -> Vec<KeyedChange> {
        self.end = LogPosition {
            epoch: page.epoch,
            offset: page.end,
        };
        // Nothing of the earlier epoch is kept: its offsets would hide new records.
        let mut earlier = std::mem::take(&mut self.values);
        let mut changes = Vec::new();
        for record in &page.records {
            let known = earlier.remove(&record.key);
            if known.is_none_or(|(_, value)| value != record.value) {
                changes.push(self.change(record));
            }
            let value = (record.offset, record.value.clone());
            self.values.insert(record.key.clone(), value);
        }
        let lost = earlier
            .into_iter()
            .filter(|(_, (_, value))| value.is_some());
        changes.extend(lost.map(|(key, _)| KeyedChange::Removed { key }));
        changes
    }

    fn apply_record(&mut self, record: &KeyedRecord) -> Option<KeyedChange> {
        let known = self.values.get(&record.key);
        if known.is_some_and(|(offset, _)| *offset >= record.offset) {
            return None;
        }
        let value = (record.offset, record.value.clone());
        self.values.insert(record.key.clone(), value);
        Some(self.change(record))
    }

    fn change(&self, record: &KeyedRecord) -> KeyedChange {
        let key = record.key.clone();
        match &record.value {
            Some(value) => KeyedChange::Put {
                key,
                value: value.clone(),
                position: LogPosition {
                    epoch: self.end.epoch,
                    offset: record.offset,
                },
            },
            None => KeyedChange::Removed { key },
        }
    }
}
