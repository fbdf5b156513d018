//! The fold of a topic that keeps the newest record of each key.

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

fn dropped(key: &str) -> KeyedChange {
    KeyedChange::Removed {
        key: key.to_owned(),
    }
}

#[test]
fn whole_list_drops_what_it_lacks() {
    let mut table = KeyedTable::default();
    table.apply(&page(vec![record("a", "1", 0), record("b", "1", 1)], 2));
    let changes = table.apply_full(&page(vec![record("a", "1", 0)], 5));
    assert_eq!(changes, [dropped("b")]);
    assert_eq!(table.end(), 5);
}

#[test]
fn stale_list_changes_nothing() {
    let mut table = KeyedTable::default();
    table.apply(&page(vec![record("a", "2", 8), record("b", "1", 9)], 10));
    let changes = table.apply_full(&page(vec![record("a", "1", 3)], 6));
    assert_eq!(changes, []);
    assert_eq!(table.end(), 10);
}

proptest! {
    /// Whatever order pages come in, a key ends with its newest record.
    #[test]
    fn newest_record_wins(offsets in proptest::collection::vec(0_u64..50, 1..40)) {
        let mut table = KeyedTable::default();
        let mut held = None;
        for offset in &offsets {
            let value = offset.to_string();
            let changes = table.apply(&page(vec![record("k", &value, *offset)], offset + 1));
            if let Some(KeyedChange::Put { offset, .. }) = changes.into_iter().next() {
                held = Some(offset);
            }
        }
        prop_assert_eq!(held, offsets.iter().max().copied());
    }
}

/// A log of whose reads only the second is answered.
struct SilentOnce<'a> {
    reads: &'a RefCell<u32>,
}

impl KeyedLog for SilentOnce<'_> {
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
async fn silent_read_is_made_anew_once_others_know_more() {
    let reads = RefCell::new(0);
    let stale = Notify::new();
    let follow = FollowOptions {
        topic: "t",
        wait_ms: 1_000,
        batch_delay_ms: 0,
        restart_read: &stale,
    };
    let clock = SystemClock::default();
    let (tell, mut told) = tokio::sync::mpsc::unbounded_channel();
    let log = SilentOnce { reads: &reads };
    let follower = follow_keyed(log, follow, &clock, |news| {
        let _ = tell.send(news);
    });
    let listener = async {
        told.recv().await;
        stale.notify_one();
        told.recv().await
    };
    tokio::select! {
        () = follower => panic!("a follower never ends"),
        news = listener => {
            let news = format!("{news:?}");
            assert!(news.contains("end: 8"), "{news}");
        }
    }
}
