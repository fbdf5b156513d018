//! Tables built from a topic that keeps the newest record of each key.

use std::{cell::RefCell, future::pending};

use bytes::Bytes;
use clock::SystemClock;
use proptest::prelude::*;
use store::{
    FollowOptions, KeyedChange, KeyedLog, KeyedPage, KeyedRecord, KeyedTable,
    StoreError, follow_keyed,
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
    assert_eq!(table.end(), 5);
}

#[test]
fn stale_full_list_is_ignored() {
    let mut table = KeyedTable::default();
    table.apply(&page(vec![record("a", "2", 8), record("b", "1", 9)], 10));
    let changes = table.apply_full(&page(vec![record("a", "1", 3)], 6));
    assert_eq!(changes, []);
    assert_eq!(table.end(), 10);
}

proptest! {
    /// The newest record of a key wins, whatever the order of the pages.
    #[test]
    fn newest_record_wins(offsets in proptest::collection::vec(0_u64..50, 1..40)) {
        let mut table = KeyedTable::default();
        let mut newest = None;
        for offset in &offsets {
            let value = offset.to_string();
            let changes =
                table.apply(&page(vec![record("k", &value, *offset)], offset + 1));
            if let Some(KeyedChange::Put { offset, .. }) = changes.into_iter().next() {
                newest = Some(offset);
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
        _at: u64,
    ) -> Result<u64, StoreError> {
        Err(StoreError::Timeout(0))
    }
}

#[tokio::test]
async fn stalled_read_is_restarted_on_notification() {
    let reads = RefCell::new(0);
    let restart = Notify::new();
    let options = FollowOptions {
        topic: "t",
        wait_ms: 1_000,
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
            let update = format!("{update:?}");
            assert!(update.contains("end: 8"), "{update}");
        }
    }
}
