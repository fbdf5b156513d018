//! Keeps records in the log of what is held back, for gateways that start.

use std::{rc::Rc, time::Duration};

use clock::{Clock, Millis};
use log::{info, warn};
use platform::{LogClient, QuarantineRecord};
use route::{ComponentSet, Grounds, Quarantine, digest_pair};

use crate::{rollout_recorder::append_to_status, state::Gateway};

/// Delay after a record could not be appended, ms.
const RECORD_RETRY_MS: u64 = 750;

impl Gateway {
    /// Applies the record that the log holds under `key`.
    pub fn apply_quarantine_record(&self, key: &str, bytes: &[u8]) {
        let record = match QuarantineRecord::decode(bytes) {
            Ok(record) => record,
            Err(err) => {
                warn!("event=quarantine_skipped key=\"{key}\" reason=\"{err}\"");
                return;
            }
        };
        let components: ComponentSet = record.components.iter().copied().collect();
        if record.is_lifted {
            self.lift_components(&components, "log");
            return;
        }
        let age_ms = self.clock.wall().since(Millis(record.since_ms));
        self.hold_told(
            record.service,
            components,
            record.version,
            Grounds::Logged,
            age_ms,
        );
    }

    /// Records that the log no longer holds a record under `key`.
    pub fn lose_quarantine_record(&self, key: &str) {
        let mut sets = self.quarantine.sets.borrow_mut();
        let lost: Vec<ComponentSet> = sets
            .iter()
            .filter(|set| key_of(set) == key)
            .map(|set| set.components.clone())
            .collect();
        for components in lost {
            info!("event=quarantine_record_lost key=\"{key}\"");
            sets.set_logged(&components, false);
            self.quarantine.record_pending.notify_one();
        }
    }

    /// Returns the records that this gateway is to append to the log.
    pub fn pending_quarantine_records(&self) -> Vec<QuarantineRecord> {
        let now = self.now();
        let sets = self.quarantine.sets.borrow();
        let due = sets.iter().filter(|set| match set.grounds {
            Grounds::Decided => !set.is_logged,
            Grounds::Logged => !set.is_logged && self.is_counter(set.service, now),
            Grounds::Peer(_) => false,
        });
        let held = due.map(|set| self.record_of(set, false));
        let lifted = self.quarantine.lifted.borrow();
        held.chain(lifted.iter().cloned()).collect()
    }

    /// Drops a record that a set is served again, since another one replaces it.
    pub(super) fn forget_pending_lift(&self, components: &ComponentSet) {
        let mut lifted = self.quarantine.lifted.borrow_mut();
        lifted.retain(|record| !record.components.iter().eq(components));
    }

    /// Records that a record is in the log.
    pub fn quarantine_recorded(&self, record: &QuarantineRecord) {
        if record.is_lifted {
            let mut lifted = self.quarantine.lifted.borrow_mut();
            lifted.retain(|pending| pending != record);
            return;
        }
        let components = record.components.iter().copied().collect();
        let mut sets = self.quarantine.sets.borrow_mut();
        sets.set_logged(&components, true);
    }

    pub(super) fn record_of(
        &self,
        set: &Quarantine,
        is_lifted: bool,
    ) -> QuarantineRecord {
        let since = self.clock.wall().minus(set.age_ms(self.now()));
        QuarantineRecord {
            service: set.service,
            components: set.components.iter().copied().collect(),
            version: set.version,
            since_ms: since.0,
            is_lifted,
        }
    }
}

/// Returns the key of a set's record in the log.
fn key_of(set: &Quarantine) -> String {
    let record = QuarantineRecord {
        service: set.service,
        ..QuarantineRecord::default()
    };
    record.key(set_digest(&set.components))
}

/// Returns a digest of all components of a set.
fn set_digest<'a, I>(components: I) -> u64
where
    I: IntoIterator<Item = &'a u64>,
{
    components
        .into_iter()
        .fold(0, |all, c| digest_pair(all, *c))
}

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
