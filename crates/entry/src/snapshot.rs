//! Appends snapshots of the configuration to the log before the records that
//! they replace expire.

use std::{sync::Arc, time::Duration};

use clock::Millis;
use log::{info, warn};
use rand::RngExt;
use store::{CONFIG_STREAM, ConfigHealth};

use crate::Entry;

/// Minimum interval between checks, ms. Random jitter of up to the same length
/// keeps entries from appending at the same time.
const CHECK_INTERVAL_MS: u64 = 2_000;

/// A snapshot is due if the configuration has changed and the last snapshot is
/// older than the retention time divided by this.
const RETENTION_DIVISOR: u64 = 4;

/// Appends a snapshot whenever one is due; never returns.
///
/// Two entries may each append one; the second has no effect.
pub(crate) async fn run(entry: Arc<Entry>) {
    let mut taken_offset = 0;
    let mut taken_at = Millis::default();
    loop {
        let jitter_ms = entry.rng().random_range(0..CHECK_INTERVAL_MS);
        tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS + jitter_ms)).await;
        if entry.node.health() != ConfigHealth::Fresh {
            continue;
        }
        let settings = &entry.node.settings.store;
        let config = entry.config();
        let records = config.offset.saturating_sub(taken_offset);
        let age_ms = entry.node.now().since(taken_at);
        let enough_records = records >= settings.snapshot_records;
        let old_enough =
            records > 0 && age_ms >= settings.retention_ms / RETENTION_DIVISOR;
        if config.offset == 0
            || !(enough_records || (old_enough && taken_at != Millis::default()))
        {
            if taken_at == Millis::default() {
                taken_at = entry.node.now();
            }
            continue;
        }
        let mut complete = true;
        for record in config.snapshot_records() {
            if let Err(err) = entry.node.store.append(CONFIG_STREAM, &record).await {
                warn!("event=snapshot_torn why=\"{err}\"");
                complete = false;
                break;
            }
        }
        if complete {
            info!("event=snapshot offset={}", config.offset);
            taken_offset = config.offset;
            taken_at = entry.node.now();
        }
    }
}
