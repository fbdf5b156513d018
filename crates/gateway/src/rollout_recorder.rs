//! Records the states of rollouts in the log.

use std::{rc::Rc, time::Duration};

use catalog::{RolloutState, RolloutStatus};
use clock::Millis;
use log::{info, warn};
use platform::{LogClient, STATUS_TOPIC};
use store::{KeyedLog, StoreError};

use crate::{rollouts::Rollout, state::Gateway};

/// Time between evaluations of the rollouts, ms.
const EVALUATION_INTERVAL_MS: u64 = 100;

/// Delay after a status could not be recorded, ms.
const RECORD_RETRY_MS: u64 = 750;

/// Time for which a silent peer may still have requests on an old version, ms.
const SILENT_PEER_WORK_MS: u64 = 6_000;

impl Gateway {
    /// Returns the state to record for a rollout now, if any.
    fn state_to_record(&self, rollout: &Rollout, now: Millis) -> Option<RolloutState> {
        let recorded = self.recorded_state(rollout);
        if recorded.is_some_and(RolloutState::is_terminal) {
            return self.statuses.borrow().unlogged_end(&rollout.order);
        }
        if rollout.progress.halted {
            return Some(RolloutState::RolledBack);
        }
        if rollout.progress.may_complete(now) && self.is_fully_shifted(rollout, now) {
            return Some(RolloutState::Completed);
        }
        let known = rollout.progress.started.is_some();
        (known && recorded.is_none()).then_some(RolloutState::Running)
    }

    /// Whether no request runs on the old version at any gateway, and none can
    /// start.
    ///
    /// The endpoints of the old version are stopped as soon as completion is
    /// recorded.
    fn is_fully_shifted(&self, rollout: &Rollout, now: Millis) -> bool {
        let moved = rollout.share >= 1.0;
        if !moved || self.old_running(rollout) > 0 {
            return false;
        }
        let peers = self.peers.borrow();
        let fresh = peers.fresh_statuses(now).count();
        let recent = peers.heard_within(SILENT_PEER_WORK_MS, now).count();
        let done = peers.fresh_statuses(now).all(|(_, peer_status)| {
            let mut reports = peer_status.rollouts.iter();
            reports.any(|report| {
                report.rollout_digest == rollout.digest()
                    && report.traffic_shifted
                    && report.old_running == 0
            })
        });
        fresh == recent && done
    }
}

/// Evaluates the rollouts periodically and records their states.
///
/// Every gateway halts rollouts itself, but only the leader records their states.
/// Two leaders at the same time are harmless: a record is appended only if the log
/// still ends at the offset that its writer expects.
pub(crate) async fn run(gateway: Rc<Gateway>) {
    let settings = &gateway.settings.store;
    let mut log = LogClient::new(settings.address, settings.timeout_ms);
    loop {
        tokio::time::sleep(Duration::from_millis(EVALUATION_INTERVAL_MS)).await;
        let now = gateway.now();
        gateway.evaluate_rollouts(now);
        gateway.expire_sessions(now);
        // A gateway that cannot read the log leaves recording to the next one.
        if gateway.log_lost.get() || !gateway.peers.borrow().is_leader(now) {
            continue;
        }
        for (service, status) in pending_records(&gateway, now) {
            if !append_status(&gateway, &mut log, &service, status).await {
                tokio::time::sleep(Duration::from_millis(RECORD_RETRY_MS)).await;
            }
        }
    }
}

fn pending_records(gateway: &Gateway, now: Millis) -> Vec<(String, RolloutStatus)> {
    let rollouts = gateway.rollouts.borrow();
    let due = rollouts.iter().filter_map(|(service, rollout)| {
        let state = gateway.state_to_record(rollout, now)?;
        let target = rollout.order.target.clone();
        Some((service.clone(), RolloutStatus { state, target }))
    });
    due.collect()
}

/// Appends a record to the status topic, provided that this gateway has read the topic
/// to its end.
pub(crate) async fn append_to_status(
    gateway: &Gateway,
    log: &mut LogClient,
    key: &str,
    value: &[u8],
) -> Result<(), StoreError> {
    let at = gateway.status_end.get();
    let end = log.append(STATUS_TOPIC, key, value, at).await?;
    // The follower reads the record back as well; updating here avoids a second append.
    if gateway.status_end.get().is_behind(end) {
        gateway.status_end.set(end);
    }
    Ok(())
}

/// Appends a status; returns false unless it is known to be in the log.
async fn append_status(
    gateway: &Gateway,
    log: &mut LogClient,
    service: &str,
    status: RolloutStatus,
) -> bool {
    let at = gateway.status_end.get();
    let key = platform::status_key(service);
    let value = platform::encode_status(&status);
    let appended = append_to_status(gateway, log, &key, &value).await;
    let (state, target) = (status.state, &status.target);
    match appended {
        Ok(()) => {
            info!(
                "event=rollout_recorded service={service} state={state} target={target} at={at}"
            );
            gateway.record_logged_status(service, Some(status));
            true
        }
        Err(StoreError::Conflict { end }) => {
            info!(
                "event=rollout_record_conflict service={service} state={state} at={at} end={end}"
            );
            false
        }
        Err(err) => {
            warn!(
                "event=rollout_record_failed service={service} state={state} at={at} reason=\"{err}\""
            );
            false
        }
    }
}
