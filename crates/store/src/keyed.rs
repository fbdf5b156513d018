//! Topics that keep the newest record of each key.
//!
//! [`KeyedLog`] is what a platform's log must offer, [`KeyedTable`] is the
//! fold of one topic, and [`follow_keyed`] keeps a table current.  Nothing here
//! depends on how a platform spells its calls.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use clock::{Clock, Millis};
use log::{info, warn};
use rand::RngExt;
use tokio::sync::Notify;

use crate::StoreError;

/// Pause after a failed call, ms; it doubles up to [`RETRY_MAX_MS`].
const RETRY_MS: u64 = 100;

/// Longest pause after failed calls, ms.
const RETRY_MAX_MS: u64 = 700;

/// One record of a keyed topic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyedRecord {
    /// Key.
    pub key: String,
    /// Value; `None` drops the key.
    pub value: Option<Bytes>,
    /// Offset in the topic.
    pub offset: u64,
}

/// Records from an offset on.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KeyedPage {
    /// The records, in offset order.
    pub records: Vec<KeyedRecord>,
    /// Offset that the next append gets.
    pub end: u64,
    /// Offset from which to read on.
    pub next: u64,
}

/// What a platform's keyed log offers.
///
/// One value makes one call at a time; followers have one each, so that a
/// read that waits holds up no other.
pub trait KeyedLog {
    /// Reads from `from` on, waiting up to `wait_ms` for a first record.
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

    /// Appends one record if the topic still ends at `at`; returns the new end.
    fn append(
        &mut self,
        topic: &str,
        key: &str,
        value: &[u8],
        at: u64,
    ) -> impl Future<Output = Result<u64, StoreError>>;
}

/// The newest value of each key of a topic.
#[derive(Clone, Debug, Default)]
pub struct KeyedTable {
    values: BTreeMap<String, (u64, Option<Bytes>)>,
    end: u64,
}

/// What became of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyedChange {
    /// It has another value.
    Put {
        /// Key.
        key: String,
        /// Value.
        value: Bytes,
        /// Offset of the record.
        offset: u64,
    },
    /// It was dropped.
    Removed {
        /// Key.
        key: String,
    },
}

impl KeyedTable {
    /// Offset up to which the table knows the topic.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Takes records in order; older ones than those known change nothing.
    pub fn apply(&mut self, page: &KeyedPage) -> Vec<KeyedChange> {
        let mut changes = Vec::new();
        for record in &page.records {
            changes.extend(self.take_record(record));
        }
        self.end = self.end.max(page.next);
        changes
    }

    /// Takes the newest record of every key, as of `page.end`.
    ///
    /// A list that ends before what is known is stale; its missing keys say
    /// nothing, while its records are still older or newer by their offsets.
    pub fn apply_full(&mut self, page: &KeyedPage) -> Vec<KeyedChange> {
        let mut changes = Vec::new();
        if page.end >= self.end {
            let listed = |key: &str| page.records.iter().any(|r| r.key == key);
            let gone: Vec<String> = self
                .values
                .iter()
                .filter(|(key, (offset, value))| {
                    value.is_some() && *offset < page.end && !listed(key)
                })
                .map(|(key, _)| key.clone())
                .collect();
            for key in gone {
                self.values.insert(key.clone(), (page.end, None));
                changes.push(KeyedChange::Removed { key });
            }
        }
        for record in &page.records {
            changes.extend(self.take_record(record));
        }
        self.end = self.end.max(page.end);
        changes
    }

    fn take_record(&mut self, record: &KeyedRecord) -> Option<KeyedChange> {
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

/// What a follower tells its owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyedEvent {
    /// Keys changed, or the topic was read without a change.
    Changed {
        /// The changes, in order.
        changes: Vec<KeyedChange>,
        /// Offset up to which the topic is known.
        end: u64,
        /// Whether they were made while the topic was followed.
        fresh: bool,
    },
    /// The log did not answer as expected; the last table holds on.
    Lost {
        /// Why.
        reason: String,
    },
    /// The log answers again.
    Recovered {
        /// How long it had not, ms.
        outage_ms: u64,
    },
}

/// What a follower reads, and how.
#[derive(Debug)]
pub struct FollowOptions<'a> {
    /// Topic.
    pub topic: &'a str,
    /// Time for which a read waits for news, ms.
    pub wait_ms: u64,
    /// Pause after news, in which more gather for the next read, ms.
    pub batch_delay_ms: u64,
    /// Told when others know more than this follower: its connection has gone
    /// silent, and the read is to be made anew.
    pub restart_read: &'a Notify,
}

/// Keeps a table of a topic current for as long as it is polled.
///
/// History that the log has dropped is made up for by a whole list.
pub async fn follow_keyed<L, C, F>(
    mut log: L,
    follow: FollowOptions<'_>,
    clock: &C,
    mut tell: F,
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
    } = follow;
    let mut table = KeyedTable::default();
    let mut whole = true;
    let mut followed = false;
    let mut lost_at: Option<Millis> = None;
    let mut retry_ms = RETRY_MS;
    loop {
        let read = if whole {
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
                    tell(KeyedEvent::Recovered { outage_ms });
                }
                retry_ms = RETRY_MS;
                let changes = if whole {
                    table.apply_full(&page)
                } else {
                    table.apply(&page)
                };
                let end = table.end();
                let fresh = followed;
                let news = !whole && !page.records.is_empty();
                tell(KeyedEvent::Changed {
                    changes,
                    end,
                    fresh,
                });
                // The list's pages are no snapshot: what came between is read.
                whole = false;
                followed = true;
                if news && batch_delay_ms > 0 {
                    tokio::time::sleep(Duration::from_millis(batch_delay_ms)).await;
                }
            }
            Err(StoreError::Trimmed { first }) => {
                info!(
                    "event=log_trimmed topic={topic} needed={} first={first}",
                    table.end()
                );
                whole = true;
            }
            Err(err) => {
                if lost_at.is_none() {
                    lost_at = Some(clock.now());
                    warn!("event=log_lost topic={topic} reason=\"{err}\"");
                    tell(KeyedEvent::Lost {
                        reason: err.to_string(),
                    });
                }
                // Drawn, so that those who start together do not ask together.
                let pause_ms = rand::rng().random_range(retry_ms / 2..=retry_ms);
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                retry_ms = (retry_ms * 2).min(RETRY_MAX_MS);
            }
        }
    }
}
