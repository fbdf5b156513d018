//! Compacted topics, which keep the newest record of each key.
//!
//! [`KeyedLog`] is the interface to a platform's log, [`KeyedTable`] holds the
//! newest values of one topic, and [`follow_keyed`] keeps a table up to date.
//! This module does not depend on a platform's protocol.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use clock::{Clock, Millis};
use log::{info, warn};
use rand::RngExt;
use tokio::sync::Notify;

use crate::StoreError;

/// Initial retry delay, ms; doubles with each failure up to [`RETRY_MAX_MS`].
const RETRY_MS: u64 = 100;

/// Maximum retry delay, ms.
const RETRY_MAX_MS: u64 = 700;

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
    fn newest(
        &mut self,
        topic: &str,
    ) -> impl Future<Output = Result<KeyedPage, StoreError>>;

    /// Appends one record and returns the new end of the topic.
    ///
    /// Fails with [`StoreError::Conflict`] if the topic does not end at
    /// `expected_end`.
    fn append(
        &mut self,
        topic: &str,
        key: &str,
        value: &[u8],
        expected_end: u64,
    ) -> impl Future<Output = Result<u64, StoreError>>;
}

/// The newest value of each key of a topic.
#[derive(Clone, Debug, Default)]
pub struct KeyedTable {
    /// Offset and value of the newest record of each key; `None` if the key was
    /// removed.
    values: BTreeMap<String, (u64, Option<Bytes>)>,
    end: u64,
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
        /// Offset of the record.
        offset: u64,
    },
    /// The key was removed.
    Removed {
        /// Key.
        key: String,
    },
}

impl KeyedTable {
    /// Offset up to which the table reflects the topic.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Applies records in order; a record older than the key's known one has no
    /// effect.
    pub fn apply(&mut self, page: &KeyedPage) -> Vec<KeyedChange> {
        let mut changes = Vec::new();
        for record in &page.records {
            changes.extend(self.apply_record(record));
        }
        self.end = self.end.max(page.next);
        changes
    }

    /// Applies a listing of the newest record of every key, as of `page.end`.
    ///
    /// Keys that are not listed are removed, unless the listing ends before
    /// [`KeyedTable::end`] and is therefore outdated.  Its records are applied in
    /// either case if they are newer by offset.
    pub fn apply_full(&mut self, page: &KeyedPage) -> Vec<KeyedChange> {
        let mut changes = Vec::new();
        if page.end >= self.end {
            let listed = |key: &str| page.records.iter().any(|r| r.key == key);
            let removed: Vec<String> = self
                .values
                .iter()
                .filter(|(key, (offset, value))| {
                    value.is_some() && *offset < page.end && !listed(key)
                })
                .map(|(key, _)| key.clone())
                .collect();
            for key in removed {
                self.values.insert(key.clone(), (page.end, None));
                changes.push(KeyedChange::Removed { key });
            }
        }
        for record in &page.records {
            changes.extend(self.apply_record(record));
        }
        self.end = self.end.max(page.end);
        changes
    }

    fn apply_record(&mut self, record: &KeyedRecord) -> Option<KeyedChange> {
        let known = self.values.get(&record.key);
        if known.is_some_and(|(offset, _)| *offset >= record.offset) {
            return None;
        }
        let value = record.value.clone();
        self.values
            .insert(record.key.clone(), (record.offset, value.clone()));
        let key = record.key.clone();
        Some(match value {
            Some(value) => KeyedChange::Put {
                key,
                value,
                offset: record.offset,
            },
            None => KeyedChange::Removed { key },
        })
    }
}

/// Event reported by [`follow_keyed`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyedEvent {
    /// A read succeeded, with or without changes.
    Changed {
        /// The changes, in order.
        changes: Vec<KeyedChange>,
        /// Offset up to which the topic has been read.
        end: u64,
        /// False for the initial listing, whose records may be of any age.
        fresh: bool,
    },
    /// A call to the log failed; the table keeps its last state.
    Lost {
        /// Text of the error.
        reason: String,
    },
    /// A call succeeded after [`KeyedEvent::Lost`].
    Recovered {
        /// Time since the first failed call, ms.
        outage_ms: u64,
    },
}

/// Options of [`follow_keyed`].
#[derive(Debug)]
pub struct FollowOptions<'a> {
    /// Topic.
    pub topic: &'a str,
    /// Maximum time for which a read waits for new records, ms.
    pub wait_ms: u64,
    /// Delay after a read with records, ms, so that the next read returns more of
    /// them at once.
    pub batch_delay_ms: u64,
    /// Notified when peers have read further than this follower, whose connection
    /// has probably gone silent; the pending read is then restarted.
    pub restart_read: &'a Notify,
}

/// Reads a topic indefinitely and reports its changes to `on_event`.
///
/// Starts with a listing of all keys, and repeats it when the log no longer holds
/// the next record.
pub async fn follow_keyed<L, C, F>(
    mut log: L,
    options: FollowOptions<'_>,
    clock: &C,
    mut on_event: F,
) where
    L: KeyedLog,
    C: Clock,
    F: FnMut(KeyedEvent),
{
    let FollowOptions {
        topic,
        wait_ms,
        batch_delay_ms,
        restart_read,
    } = options;
    let mut table = KeyedTable::default();
    let mut needs_listing = true;
    let mut listed_once = false;
    let mut lost_at: Option<Millis> = None;
    let mut retry_ms = RETRY_MS;
    loop {
        let read = if needs_listing {
            log.newest(topic).await
        } else {
            let end = table.end();
            tokio::select! {
                read = log.read(topic, end, wait_ms) => read,
                () = restart_read.notified() => {
                    info!("event=log_read_again topic={topic} end={end} reason=peers_know_more");
                    continue;
                }
            }
        };
        match read {
            Ok(page) => {
                if let Some(at) = lost_at.take() {
                    let outage_ms = clock.now().since(at);
                    info!("event=log_regained topic={topic} away_ms={outage_ms}");
                    on_event(KeyedEvent::Recovered { outage_ms });
                }
                retry_ms = RETRY_MS;
                let changes = if needs_listing {
                    table.apply_full(&page)
                } else {
                    table.apply(&page)
                };
                let end = table.end();
                let fresh = listed_once;
                let has_new_records = !needs_listing && !page.records.is_empty();
                on_event(KeyedEvent::Changed {
                    changes,
                    end,
                    fresh,
                });
                // The pages of a listing are not an atomic snapshot; the next read returns
                // the records appended meanwhile.
                needs_listing = false;
                listed_once = true;
                if has_new_records && batch_delay_ms > 0 {
                    tokio::time::sleep(Duration::from_millis(batch_delay_ms)).await;
                }
            }
            Err(StoreError::Trimmed { first }) => {
                info!(
                    "event=log_trimmed topic={topic} needed={} first={first}",
                    table.end()
                );
                needs_listing = true;
            }
            Err(err) => {
                if lost_at.is_none() {
                    lost_at = Some(clock.now());
                    warn!("event=log_lost topic={topic} reason=\"{err}\"");
                    on_event(KeyedEvent::Lost {
                        reason: err.to_string(),
                    });
                }
                // Jitter keeps processes that start together from retrying together.
                let delay_ms = rand::rng().random_range(retry_ms / 2..=retry_ms);
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                retry_ms = (retry_ms * 2).min(RETRY_MAX_MS);
            }
        }
    }
}
