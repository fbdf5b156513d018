//! Records in the log what is held back, for gateways that start.

use std::{rc::Rc, time::Duration};

use log::{info, warn};
use platform::{LogClient, QuarantineRecord};

use crate::{
    quarantine::set_digest, rollout_recorder::append_to_status, state::Gateway,
};

/// Delay after a record could not be appended, ms.
const RECORD_RETRY_MS: u64 = 750;

/// Appends the records that this gateway is responsible for, whenever there are any.
pub(crate) async fn run(gateway: Rc<Gateway>) {
    let settings = &gateway.settings.store;
    let mut log = LogClient::new(settings.address, settings.timeout_ms);
    loop {
        let pending = gateway.pending_quarantine_records();
        if pending.is_empty() {
            gateway.quarantine.record_pending.notified().await;
            continue;
        }
        // A log that cannot be read takes no record either.
        if gateway.log_lost.get() {
            tokio::time::sleep(Duration::from_millis(RECORD_RETRY_MS)).await;
            continue;
        }
        for record in pending {
            if !append(&gateway, &mut log, &record).await {
                tokio::time::sleep(Duration::from_millis(RECORD_RETRY_MS)).await;
            }
        }
    }
}

/// Appends a record; returns false unless it is known to be in the log.
async fn append(
    gateway: &Gateway,
    log: &mut LogClient,
    record: &QuarantineRecord,
) -> bool {
    let at = gateway.status_end.get();
    let key = record.key(set_digest(&record.components));
    let appended = append_to_status(gateway, log, &key, &record.encode()).await;
    let is_lifted = record.is_lifted;
    match appended {
        Ok(()) => {
            info!("event=quarantine_recorded key=\"{key}\" lifted={is_lifted} at={at}");
            gateway.quarantine_recorded(record);
            true
        }
        Err(err) => {
            warn!(
                "event=quarantine_record_failed key=\"{key}\" lifted={is_lifted} at={at} reason=\"{err}\""
            );
            false
        }
    }
}
