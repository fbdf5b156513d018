//! The fold of a topic that keeps the newest record of each key.

use bytes::Bytes;
use proptest::prelude::*;
use store::{KeyedChange, KeyedPage, KeyedRecord, KeyedTable};

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
    KeyedChange::Dropped {
        key: key.to_owned(),
    }
}

#[test]
fn whole_list_drops_what_it_lacks() {
    let mut table = KeyedTable::default();
    table.take(&page(vec![record("a", "1", 0), record("b", "1", 1)], 2));
    let changes = table.take_all(&page(vec![record("a", "1", 0)], 5));
    assert_eq!(changes, [dropped("b")]);
    assert_eq!(table.end(), 5);
}

#[test]
fn stale_list_changes_nothing() {
    let mut table = KeyedTable::default();
    table.take(&page(vec![record("a", "2", 8), record("b", "1", 9)], 10));
    let changes = table.take_all(&page(vec![record("a", "1", 3)], 6));
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
            let changes = table.take(&page(vec![record("k", &value, *offset)], offset + 1));
            if let Some(KeyedChange::Put { offset, .. }) = changes.into_iter().next() {
                held = Some(offset);
            }
        }
        prop_assert_eq!(held, offsets.iter().max().copied());
    }
}
