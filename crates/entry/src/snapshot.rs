//! Appends snapshots of the configuration before the log drops what they
//! stand for.

use std::{sync::Arc, time::Duration};

use clock::Millis;
use log::{info, warn};
use rand::RngExt;
use store::{CONFIG_STREAM, ConfigHealth};

use crate::Entry;

/// Time between two looks, ms; spread so that entries seldom meet.
const LOOK_MS: u64 = 2_000;

/// A snapshot is due after this part of the retention time.
const RETENTION_PARTS: u64 = 4;

/// Looks for ever whether a snapshot is due.
///
/// Two entries may append one each; the second does no harm.
pub(crate) async fn run(entry: Arc<Entry>) {
    let mut taken_offset = 0;
    let mut taken_at = Millis::default();
    loop {
        let spread_ms = entry.rng().random_range(0..LOOK_MS);
        tokio::time::sleep(Duration::from_millis(LOOK_MS + spread_ms)).await;
        if entry.node.health() != ConfigHealth::Fresh {
            continue;
        }
        let settings = &entry.node.settings.store;
        let config = entry.config();
        let records = config.offset.saturating_sub(taken_offset);
        let age_ms = entry.node.now().since(taken_at);
        let many = records >= settings.snapshot_records;
        let old = records > 0 && age_ms >= settings.retention_ms / RETENTION_PARTS;
        if config.offset == 0 || !(many || (old && taken_at != Millis::default())) {
            if taken_at == Millis::default() {
                taken_at = entry.node.now();
            }
            continue;
        }
        let mut whole = true;
        for record in config.snapshot_records() {
            if let Err(err) = entry.node.store.append(CONFIG_STREAM, &record).await {
                warn!("event=snapshot_torn why=\"{err}\"");
                whole = false;
                break;
            }
        }
        if whole {
            info!("event=snapshot offset={}", config.offset);
            taken_offset = config.offset;
            taken_at = entry.node.now();
        }
    }
}
