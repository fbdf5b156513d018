//! Keeps the table of a keyed topic up to date.

use std::time::Duration;

use clock::{Clock, Millis};
use log::{info, warn};
use rand::RngExt;
use tokio::sync::Notify;

use crate::{
    KeyedChange, KeyedLog, KeyedPage, KeyedTable, LogPosition, ReadPacing, StoreError,
};

/// Initial retry delay, ms; doubles with each failure.
const RETRY_MS: u64 = 100;

/// Event reported by [`follow_keyed`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyedEvent {
    /// A read succeeded, with or without changes.
    Changed {
        /// The changes, in order.
        changes: Vec<KeyedChange>,
        /// Position up to which the topic has been read.
        end: LogPosition,
        /// False for the initial listing, whose records may be of any age.
        fresh: bool,
    },
    /// The log was restored from an older copy.  The changes that follow lead from
    /// the last state to the restored one.
    Restored {
        /// End of the topic in the earlier epoch, as far as it was read.
        before: LogPosition,
        /// End of the topic now.
        end: LogPosition,
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
    /// Times between the calls.
    pub pacing: &'a ReadPacing,
    /// Delay after a read with records, ms, so that the next read returns more of
    /// them at once; longer in a large fleet.
    pub batch_delay_ms: u64,
    /// Notified when peers have read further than this follower, whose connection
    /// has probably gone silent, or can read the log while it cannot; the pending
    /// read or the delay before the next one then ends.
    pub restart_read: &'a Notify,
}

/// What a follower reads next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Next {
    /// The newest record of every key.
    Listing,
    /// The records after the end of the table.
    Records,
}

struct Follower<'a, C, F> {
    topic: &'a str,
    pacing: &'a ReadPacing,
    clock: &'a C,
    on_event: F,
    table: KeyedTable,
    next: Next,
    listed_once: bool,
    /// Whether a read of records succeeded after the last listing.
    read_since_listing: bool,
    lost_at: Option<Millis>,
    retry_ms: u64,
}

/// Reads a topic indefinitely and reports its changes to `on_event`.
///
/// Starts with a listing of all keys, and repeats it when the log no longer holds
/// the next record, or was restored from an older copy.
pub async fn follow_keyed<L, C, F>(
    mut log: L,
    options: FollowOptions<'_>,
    clock: &C,
    on_event: F,
) where
    L: KeyedLog,
    C: Clock,
    F: FnMut(KeyedEvent),
{
    let topic = options.topic;
    let mut follower = Follower {
        topic,
        pacing: options.pacing,
        clock,
        on_event,
        table: KeyedTable::default(),
        next: Next::Listing,
        listed_once: false,
        read_since_listing: false,
        lost_at: None,
        retry_ms: RETRY_MS,
    };
    loop {
        let wait_ms = options.pacing.draw_wait_ms(&mut rand::rng());
        let end = follower.table.end();
        let read = match follower.next {
            Next::Listing => log.newest(topic).await,
            Next::Records => tokio::select! {
                read = log.read(topic, end.offset, wait_ms) => read,
                () = options.restart_read.notified() => {
                    info!("event=log_read_again topic={topic} end={end} reason=peers_know_more");
                    continue;
                }
            },
        };
        let delay_ms = match read {
            Ok(page) => follower.record_page(&page, options.batch_delay_ms),
            Err(err) => follower.record_error(&err),
        };
        if delay_ms > 0 {
            let delay = tokio::time::sleep(Duration::from_millis(delay_ms));
            tokio::select! {
                () = delay => {}
                () = options.restart_read.notified() => {}
            }
        }
    }
}

impl<C, F> Follower<'_, C, F>
where
    C: Clock,
    F: FnMut(KeyedEvent),
{
    /// Applies a page; returns the delay before the next read, ms.
    fn record_page(&mut self, page: &KeyedPage, batch_delay_ms: u64) -> u64 {
        let topic = self.topic;
        let known = self.table.end();
        if page.epoch < known.epoch {
            warn!(
                "event=log_answer_outdated topic={topic} epoch={} known={known}",
                page.epoch
            );
            return self.retry_delay_ms();
        }
        if page.epoch > known.epoch && self.next == Next::Records {
            // The records continue another history than the table's.
            self.next = Next::Listing;
            return 0;
        }
        self.record_recovery();
        self.read_since_listing = self.next == Next::Records;
        if self.read_since_listing {
            self.retry_ms = RETRY_MS;
        }
        if page.epoch > known.epoch && self.listed_once {
            self.record_restored(page);
        }
        let changes = match self.next {
            Next::Listing => self.table.apply_full(page),
            Next::Records => self.table.apply(page),
        };
        let has_new_records = self.next == Next::Records && !page.records.is_empty();
        (self.on_event)(KeyedEvent::Changed {
            changes,
            end: self.table.end(),
            fresh: self.listed_once,
        });
        // The pages of a listing are not an atomic snapshot; the next read returns
        // the records appended meanwhile.
        self.next = Next::Records;
        self.listed_once = true;
        if has_new_records {
            self.pacing.batch_delay_ms(batch_delay_ms)
        } else {
            0
        }
    }

    fn record_recovery(&mut self) {
        if let Some(at) = self.lost_at.take() {
            let outage_ms = self.clock.now().since(at);
            info!(
                "event=log_regained topic={} away_ms={outage_ms}",
                self.topic
            );
            (self.on_event)(KeyedEvent::Recovered { outage_ms });
        }
    }

    fn record_restored(&mut self, page: &KeyedPage) {
        let before = self.table.end();
        let end = LogPosition {
            epoch: page.epoch,
            offset: page.end,
        };
        warn!(
            "event=log_restored topic={} before={before} end={end}",
            self.topic
        );
        (self.on_event)(KeyedEvent::Restored { before, end });
    }

    /// Records a failed call; returns the delay before the next one, ms.
    fn record_error(&mut self, err: &StoreError) -> u64 {
        let topic = self.topic;
        match err {
            StoreError::Trimmed { first } => {
                let end = self.table.end();
                info!("event=log_trimmed topic={topic} needed={end} first={first}");
                self.next = Next::Listing;
                // Without a delay, a log that rejects the end of its own listing
                // would be read in a busy loop.
                if std::mem::take(&mut self.read_since_listing) {
                    0
                } else {
                    self.retry_delay_ms()
                }
            }
            StoreError::EpochChanged { epoch } => {
                info!("event=log_restored_while_read topic={topic} epoch={epoch}");
                self.next = Next::Listing;
                self.retry_delay_ms()
            }
            err => {
                if self.lost_at.is_none() {
                    self.lost_at = Some(self.clock.now());
                    warn!("event=log_lost topic={topic} reason=\"{err}\"");
                    let reason = err.to_string();
                    (self.on_event)(KeyedEvent::Lost { reason });
                }
                self.retry_delay_ms()
            }
        }
    }

    /// Returns the delay before a retry, ms, and doubles the next one.
    fn retry_delay_ms(&mut self) -> u64 {
        // Jitter keeps processes that start together from retrying together.
        let delay_ms = rand::rng().random_range(self.retry_ms / 2..=self.retry_ms);
        self.retry_ms = (self.retry_ms * 2).min(self.pacing.retry_max_ms());
        delay_ms
    }
}
