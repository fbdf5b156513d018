//! The client of the platform's log against the stand-in of the log.

use standin::LogService;
use store::{Store, StoreError};

async fn log_and_client() -> (LogService, Store) {
    let log = LogService::start().await;
    let store = Store::new(log.address, log.address, 300);
    (log, store)
}

#[tokio::test]
async fn records_are_read_in_offset_order() {
    let (_log, store) = log_and_client().await;
    for i in 0..3 {
        assert_eq!(store.append("s", &format!("r{i}")).await, Ok(i));
    }
    let page = store.read("s", 1, 10, 0).await.expect("the log is up");
    let bodies: Vec<&str> = page
        .records
        .iter()
        .map(|record| record.body.as_str())
        .collect();
    assert_eq!((page.end, bodies), (3, vec!["r1", "r2"]));
}

#[tokio::test]
async fn lost_ack_is_distinguished_from_a_refusal() {
    let (log, store) = log_and_client().await;
    log.update_faults(|faults| faults.lose_acks = 1);
    let lost = store
        .append("s", "r0")
        .await
        .expect_err("the acknowledgement is lost");
    assert!(lost.outcome_unknown());
    assert_eq!(log.records("s").len(), 1, "the append took effect");
    log.update_faults(|faults| faults.down = true);
    let refused = store.append("s", "r1").await;
    assert_eq!(refused, Err(StoreError::Unavailable));
    assert!(!StoreError::Unavailable.outcome_unknown());
}

#[tokio::test]
async fn reading_trimmed_records_is_an_error() {
    let (log, store) = log_and_client().await;
    for i in 0..5 {
        log.append("s", &format!("r{i}"));
    }
    log.trim("s", 3);
    assert_eq!(
        store.read("s", 1, 10, 0).await,
        Err(StoreError::Trimmed { first: 3 })
    );
}
