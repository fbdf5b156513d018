//! Reads streams of the log continuously.

use std::{sync::Arc, time::Duration};

use clock::Clock;
use config::Loader;
use log::{info, warn};

use crate::{ConfigView, Record, Store, StoreError};

/// Stream of operators' configuration changes.
pub const CONFIG_STREAM: &str = "config";

/// Maximum number of records per read.
const PAGE_RECORDS: usize = 1_000;

/// Delay after a failed read, ms.
const RETRY_MS: u64 = 200;

/// Name of the stream of a claims partition.
pub fn claim_stream(partition: u32) -> String {
    format!("claims-{partition}")
}

/// Reads a stream from offset `from` indefinitely and passes each record to
/// `on_record`.
///
/// `on_end` is called after each read that reached the end of the stream.
/// Records that the log no longer holds are skipped.  A read that finds no new
/// record waits up to `wait_ms`.
pub async fn follow<T, H>(
    store: Store,
    stream: String,
    from: u64,
    wait_ms: u64,
    mut on_record: T,
    mut on_end: H,
) where
    T: FnMut(&Record),
    H: FnMut(),
{
    let mut next = from;
    // Do not wait for new records until the end was reached, so that a new process
    // becomes ready sooner.
    let mut at_end = false;
    loop {
        let read_wait_ms = if at_end { wait_ms } else { 0 };
        match store.read(&stream, next, PAGE_RECORDS, read_wait_ms).await {
            Ok(page) => {
                for record in &page.records {
                    on_record(record);
                    next = record.offset + 1;
                }
                at_end = next >= page.end;
                if at_end {
                    on_end();
                }
            }
            Err(StoreError::Trimmed { first }) => next = first,
            Err(_) => retry_delay().await,
        }
    }
}

/// Keeps `view` up to date with the configuration stream, indefinitely.
///
/// Reading starts at offset 0, or after the configuration that `view` already
/// has, for instance from a peer.  If the log no longer holds the next record,
/// reading restarts at the log's first record and needs a snapshot.
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
        // A peer's configuration may have overtaken the loader.
        let superseded = loader
            .as_ref()
            .is_some_and(|(_, next)| view.offset() >= *next);
        if superseded {
            loader = None;
        }
        let next = loader
            .as_ref()
            .map_or_else(|| view.offset(), |(_, next)| *next);
        let read_at = clock.now();
        let read_wait_ms = if at_end { wait_ms } else { 0 };
        match store
            .read(CONFIG_STREAM, next, PAGE_RECORDS, read_wait_ms)
            .await
        {
            Ok(page) => {
                at_end = page.records.is_empty();
                apply_records(&view, &mut loader, &page.records);
                // The configuration is fresh only if every record up to the end was
                // applied.
                if view.offset() >= page.end && loader.is_none() {
                    view.mark_fresh(read_at);
                }
                // A record from a newer build cannot be applied and is read again each
                // time; wait to avoid a busy loop.
                let blocked = loader.is_none() && view.offset() == next;
                if blocked && !page.records.is_empty() {
                    retry_delay().await;
                }
            }
            Err(StoreError::Trimmed { first }) => {
                warn!("event=config_trimmed needed={next} first={first}");
                loader = Some((Loader::new(first), first));
            }
            Err(_) => retry_delay().await,
        }
    }
}

async fn retry_delay() {
    tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
}

fn apply_records(
    view: &ConfigView,
    loader: &mut Option<(Loader, u64)>,
    records: &[Record],
) {
    for record in records {
        match loader {
            None => view.apply(record.offset, &record.body),
            Some((loader, next)) => {
                loader.apply(record.offset, &record.body);
                *next = record.offset + 1;
            }
        }
    }
    let loaded = loader
        .as_ref()
        .and_then(|(loader, _)| loader.config().cloned());
    if let Some(config) = loaded {
        let offset = config.offset;
        // Not installed if a peer provided a newer configuration in the meantime.
        if view.install(config) {
            info!("event=config_loaded offset={offset}");
        }
        *loader = None;
    }
}
