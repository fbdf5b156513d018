//! Tables built from a topic that keeps the newest record of each key.

use std::{cell::RefCell, future::pending};

use bytes::Bytes;
use clock::SystemClock;
use proptest::prelude::*;
use store::{
    FollowOptions, KeyedChange, KeyedEvent, KeyedLog, KeyedPage, KeyedRecord,
    KeyedTable, LogPosition, ReadPacing, StoreError, follow_keyed,
};
use tokio::sync::Notify;

fn record(key: &str, value: &str, offset: u64) -> KeyedRecord {
    KeyedRecord {
        key: key.to_owned(),
        value: Some(Bytes::copy_from_slice(value.as_bytes())).filter(|v| !v.is_empty()),
        offset,
    }
}

fn page(records: Vec<KeyedRecord>, end: u64) -> KeyedPage {
    KeyedPage {
        records,
        end,
        next: end,
        ..KeyedPage::default()
    }
}

fn removed(key: &str) -> KeyedChange {
    KeyedChange::Removed {
        key: key.to_owned(),
    }
}

#[test]
fn full_list_removes_missing_keys() {
    let mut table = KeyedTable::default();
    table.apply(&page(vec![record("a", "1", 0), record("b", "1", 1)], 2));
    let changes = table.apply_full(&page(vec![record("a", "1", 0)], 5));
    assert_eq!(changes, [removed("b")]);
    assert_eq!(table.end().offset, 5);
}

#[test]
fn stale_full_list_is_ignored() {
    let mut table = KeyedTable::default();
    table.apply(&page(vec![record("a", "2", 8), record("b", "1", 9)], 10));
    let changes = table.apply_full(&page(vec![record("a", "1", 3)], 6));
    assert_eq!(changes, []);
    assert_eq!(table.end().offset, 10);
}

fn page_of_epoch(epoch: u64, records: Vec<KeyedRecord>, end: u64) -> KeyedPage {
    KeyedPage {
        epoch,
        ..page(records, end)
    }
}

/// Offsets are assigned again after the log was restored from an older copy, so a
/// record with a lower offset than the known one may be newer.
#[test]
fn listing_of_a_later_epoch_replaces_the_table() {
    let mut table = KeyedTable::default();
    table.apply(&page(vec![record("a", "1", 3), record("b", "2", 99)], 100));
    let restored = vec![record("a", "1", 3), record("b", "1", 7)];
    let changes = table.apply_full(&page_of_epoch(1, restored, 80));
    let position = LogPosition {
        epoch: 1,
        offset: 7,
    };
    let expected = KeyedChange::Put {
        key: "b".to_owned(),
        value: Bytes::from_static(b"1"),
        position,
    };
    assert_eq!(changes, [expected], "only what the restoration changed");
    assert_eq!(
        table.end(),
        LogPosition {
            epoch: 1,
            offset: 80
        }
    );
    let rewritten = page_of_epoch(1, vec![record("b", "2", 85)], 86);
    assert_eq!(table.apply(&rewritten).len(), 1);
}

#[test]
fn answer_of_an_earlier_epoch_is_ignored() {
    let mut table = KeyedTable::default();
    table.apply_full(&page_of_epoch(2, vec![record("a", "2", 5)], 6));
    for late in [page(vec![record("a", "1", 90)], 100), page(Vec::new(), 100)] {
        assert_eq!(table.apply(&late), []);
        assert_eq!(table.apply_full(&late), []);
    }
    assert_eq!(
        table.end(),
        LogPosition {
            epoch: 2,
            offset: 6
        }
    );
}

#[test]
fn positions_of_different_epochs_are_ordered_by_epoch_alone() {
    let at = |epoch, offset| LogPosition { epoch, offset };
    assert!(at(1, 90).is_behind(at(2, 3)));
    assert!(!at(2, 3).is_behind(at(1, 90)));
    assert!(at(2, 3).is_behind(at(2, 4)));
    assert!(!at(2, 3).is_behind(at(2, 3)));
}

/// A log in memory that is restored from copies, and as a client sees it.
#[derive(Clone, Debug, Default)]
struct RestoredLog {
    epoch: u64,
    records: Vec<(String, String)>,
}

impl RestoredLog {
    fn newest(&self) -> KeyedPage {
        let mut newest = std::collections::BTreeMap::new();
        for (offset, (key, value)) in self.records.iter().enumerate() {
            newest.insert(key.clone(), record(key, value, offset as u64));
        }
        let end = self.records.len() as u64;
        page_of_epoch(self.epoch, newest.into_values().collect(), end)
    }

    fn read(&self, from: u64) -> Option<KeyedPage> {
        let rest = self.records.get(from as usize..)?;
        let records = rest.iter().enumerate();
        let records = records
            .map(|(i, (key, value))| record(key, value, from + i as u64))
            .collect();
        Some(page_of_epoch(
            self.epoch,
            records,
            self.records.len() as u64,
        ))
    }
}

#[derive(Clone, Copy, Debug)]
enum LogStep {
    Append(u8, u8),
    /// Loses this many of the last records.
    Restore(usize),
    Read,
}

fn log_step() -> impl Strategy<Value = LogStep> {
    prop_oneof![
        4 => (0_u8..4, 1_u8..9).prop_map(|(key, value)| LogStep::Append(key, value)),
        1 => (0_usize..6).prop_map(LogStep::Restore),
        3 => Just(LogStep::Read),
    ]
}

/// Reads as a follower does: records of the same epoch, or else a listing.
fn follow_once(table: &mut KeyedTable, log: &RestoredLog) -> Vec<KeyedChange> {
    let page = log.read(table.end().offset);
    match page.filter(|page| page.epoch == table.end().epoch) {
        Some(page) => table.apply(&page),
        None => table.apply_full(&log.newest()),
    }
}

proptest! {
    /// Whatever was lost and written again, the changes of a table lead to what the
    /// log holds.
    #[test]
    fn changes_lead_to_the_state_of_a_log_that_is_restored(
        steps in proptest::collection::vec(log_step(), 1..60),
    ) {
        let mut log = RestoredLog::default();
        let mut table = KeyedTable::default();
        let mut state = std::collections::BTreeMap::new();
        let steps = steps.into_iter().chain([LogStep::Read]);
        for step in steps {
            match step {
                LogStep::Append(key, value) => {
                    log.records.push((format!("k{key}"), format!("v{value}")));
                }
                LogStep::Restore(lost) => {
                    let kept = log.records.len().saturating_sub(lost);
                    log.records.truncate(kept);
                    log.epoch += 1;
                }
                LogStep::Read => {
                    for change in follow_once(&mut table, &log) {
                        match change {
                            KeyedChange::Put { key, value, .. } => {
                                state.insert(key, value);
                            }
                            KeyedChange::Removed { key } => {
                                state.remove(&key);
                            }
                        }
                    }
                }
            }
        }
        let newest = log.newest().records.into_iter();
        let newest = newest.filter_map(|r| Some((r.key, r.value?))).collect();
        prop_assert_eq!(state, newest);
    }

    /// The newest record of a key wins, whatever the order of the pages.
    #[test]
    fn newest_record_wins(offsets in proptest::collection::vec(0_u64..50, 1..40)) {
        let mut table = KeyedTable::default();
        let mut newest = None;
        for offset in &offsets {
            let value = offset.to_string();
            let changes =
                table.apply(&page(vec![record("k", &value, *offset)], offset + 1));
            if let Some(KeyedChange::Put { position, .. }) = changes.into_iter().next() {
                newest = Some(position.offset);
            }
        }
        prop_assert_eq!(newest, offsets.iter().max().copied());
    }
}

/// A log that answers only the second read; all others block forever.
struct StallingLog<'a> {
    reads: &'a RefCell<u32>,
}

impl KeyedLog for StallingLog<'_> {
    async fn read(
        &mut self,
        _topic: &str,
        _from: u64,
        _wait_ms: u64,
    ) -> Result<KeyedPage, StoreError> {
        *self.reads.borrow_mut() += 1;
        if *self.reads.borrow() != 2 {
            pending::<()>().await;
        }
        Ok(page(vec![record("k", "2", 7)], 8))
    }

    async fn newest(&mut self, _topic: &str) -> Result<KeyedPage, StoreError> {
        Ok(page(vec![record("k", "1", 3)], 4))
    }

    async fn append(
        &mut self,
        _topic: &str,
        _key: &str,
        _value: &[u8],
        _expected_end: LogPosition,
    ) -> Result<LogPosition, StoreError> {
        Err(StoreError::Timeout(0))
    }
}

#[tokio::test]
async fn stalled_read_is_restarted_on_notification() {
    let reads = RefCell::new(0);
    let restart = Notify::new();
    let options = FollowOptions {
        topic: "t",
        pacing: &ReadPacing::new(1_000),
        batch_delay_ms: 0,
        restart_read: &restart,
    };
    let clock = SystemClock::default();
    let (sender, mut receiver) = tokio::sync::mpsc::unbounded_channel();
    let log = StallingLog { reads: &reads };
    let follower = follow_keyed(log, options, &clock, |update| {
        let _ = sender.send(update);
    });
    let listener = async {
        receiver.recv().await;
        restart.notify_one();
        receiver.recv().await
    };
    tokio::select! {
        () = follower => panic!("the follower returned"),
        update = listener => {
            let Some(KeyedEvent::Changed { end, .. }) = update else {
                panic!("{update:?}");
            };
            assert_eq!(end.offset, 8);
        }
    }
}
