//! Follows streams of the log.

use std::{sync::Arc, time::Duration};

use clock::Clock;
use config::Loader;
use log::{info, warn};

use crate::{ConfigView, Record, Store, StoreError};

/// Stream that operators' changes stand on.
pub const CONFIG_STREAM: &str = "config";

/// Records that one read may return.
const PAGE_RECORDS: usize = 1_000;

/// Wait after a failed read, ms.
const RETRY_MS: u64 = 200;

/// Stream of a partition of claims.
pub fn claim_stream(partition: u32) -> String {
    format!("claims-{partition}")
}

/// Reads a stream from `from` on for ever, and hands each record to `take`.
///
/// `heard` is called after each read that reached the end.  Where
/// records are gone, reading goes on at the first that is left.
pub async fn follow<T, H>(
    store: Store,
    stream: String,
    from: u64,
    wait_ms: u64,
    mut take: T,
    mut heard: H,
) where
    T: FnMut(&Record),
    H: FnMut(),
{
    let mut next = from;
    // The first reads do not wait, so that a fresh process is soon ready.
    let mut at_end = false;
    loop {
        let patience_ms = if at_end { wait_ms } else { 0 };
        match store.read(&stream, next, PAGE_RECORDS, patience_ms).await {
            Ok(page) => {
                for record in &page.records {
                    take(record);
                    next = record.offset + 1;
                }
                at_end = next >= page.next;
                if at_end {
                    heard();
                }
            }
            Err(StoreError::Trimmed { first }) => next = first,
            Err(_) => pause().await,
        }
    }
}

/// Keeps `view` at the end of the configuration stream.
///
/// A fresh process reads from the log's first record and needs a snapshot if
/// the beginning is gone; one that has a configuration, from a peer or from
/// before, goes on from it, and starts over only if records that it needs
/// expired meanwhile.
pub async fn follow_config<C>(
    store: Store,
    view: Arc<ConfigView>,
    wait_ms: u64,
    clock: Arc<C>,
) where
    C: Clock + 'static,
{
    let mut loader: Option<(Loader, u64)> = None;
    let mut at_end = false;
    loop {
        let brought = loader
            .as_ref()
            .is_some_and(|(_, next)| view.offset() >= *next);
        if brought {
            loader = None;
        }
        let next = loader
            .as_ref()
            .map_or_else(|| view.offset(), |(_, next)| *next);
        let asked_at = clock.now();
        let patience_ms = if at_end { wait_ms } else { 0 };
        match store
            .read(CONFIG_STREAM, next, PAGE_RECORDS, patience_ms)
            .await
        {
            Ok(page) => {
                at_end = page.records.is_empty();
                take_page(&view, &mut loader, &page.records);
                // Only a reader at the end knows all that was accepted.
                if view.offset() >= page.next && loader.is_none() {
                    view.mark_fresh(asked_at);
                }
                // A record from a newer build stops the fold; do not spin.
                let stuck = loader.is_none() && view.offset() == next;
                if stuck && !page.records.is_empty() {
                    pause().await;
                }
            }
            Err(StoreError::Trimmed { first }) => {
                warn!("event=config_trimmed needed={next} first={first}");
                loader = Some((Loader::new(first), first));
            }
            Err(_) => pause().await,
        }
    }
}

async fn pause() {
    tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
}

fn take_page(
    view: &ConfigView,
    loader: &mut Option<(Loader, u64)>,
    records: &[Record],
) {
    for record in records {
        match loader {
            None => view.apply(record.offset, &record.body),
            Some((loading, next)) => {
                loading.apply(record.offset, &record.body);
                *next = record.offset + 1;
            }
        }
    }
    let loaded = loader
        .as_ref()
        .and_then(|(loading, _)| loading.config().cloned());
    if let Some(config) = loaded {
        let offset = config.offset;
        // A peer may have brought a newer one meanwhile; then that holds.
        if view.install(config) {
            info!("event=config_loaded offset={offset}");
        }
        *loader = None;
    }
}
