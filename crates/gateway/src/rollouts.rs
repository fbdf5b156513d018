//! Active rollouts: how requests are assigned to versions, the evidence on
//! the target, and the status records.

use std::{rc::Rc, time::Duration};

use catalog::{RolloutOrder, RolloutState, RolloutStatus};
use clock::Millis;
use log::{info, warn};
use platform::{LogClient, STATUS_TOPIC};
use route::{
    RouteEvidence, ServiceRollout, Side, VersionFilter, digest_text, is_sampled,
};
use store::{KeyedLog, StoreError};

use crate::{
    caller_request::CallerRequest,
    datagram::{PeerStatus, ROUTES_MAX, RolloutReport},
    state::Gateway,
};

/// Time between evaluations of the rollouts, ms.
const EVALUATION_INTERVAL_MS: u64 = 250;

/// Fraction of the allowed exposure that an unproven version gets. Sessions
/// are sampled and some send more requests than others, so the share of requests
/// may exceed the share of sessions.
const EXPOSURE_MARGIN: f64 = 0.67;

/// Delay after a status could not be recorded, ms.
const RECORD_RETRY_MS: u64 = 750;

/// Time for which the last evidence of a silent peer is used, ms.
const EVIDENCE_EXPIRY_MS: u64 = 20_000;

/// Time for which a silent peer may still have requests on an old version, ms.
const SILENT_PEER_WORK_MS: u64 = 6_000;

/// Difference between two gateways' values for the age of an order that is
/// ignored, ms.
const AGE_TOLERANCE_MS: u64 = 300;

/// A rollout and the order that started it.
#[derive(Clone, Debug)]
pub(crate) struct Rollout {
    pub order: RolloutOrder,
    pub progress: ServiceRollout,
    /// Fraction of the requests that the target gets, as of the last
    /// evaluation.
    share: f64,
}

/// Assignment of a request by the rollout of its service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct RolloutAssignment {
    /// The version that is rolled out, if any.
    pub target: Option<String>,
    /// Whether the request goes to the new or the old version.
    pub side: Option<Side>,
}

impl RolloutAssignment {
    /// Returns the versions that may serve the request.
    pub fn versions(&self) -> VersionFilter<'_> {
        match (&self.target, self.side) {
            (Some(target), Some(Side::New)) => VersionFilter::Only(target),
            (Some(target), Some(Side::Old)) => VersionFilter::Not(target),
            _ => VersionFilter::Any,
        }
    }
}

/// Quality of an answer, as evidence on its version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Quality {
    /// Successful and about as fast as usual.
    Good,
    /// Failed, truncated or far slower than usual.
    Bad,
}

impl Gateway {
    /// Accepts an order unless it or a newer one is known. `fresh` is true if it was
    /// appended while this process ran, so that its age is known.
    pub fn accept_order(&self, order: RolloutOrder, fresh: bool) {
        let mut rollouts = self.rollouts.borrow_mut();
        let current = rollouts
            .get(&order.service)
            .map(|current| current.order.offset);
        if current.is_some_and(|current| current >= order.offset) {
            return;
        }
        info!(
            "event=rollout_ordered service={} target={} within_ms={} offset={} fresh={fresh}",
            order.service, order.target, order.within_ms, order.offset
        );
        let started = fresh.then(|| self.now());
        let rollout = Rollout {
            progress: ServiceRollout::new(started, order.within_ms),
            share: 0.0,
            order,
        };
        rollouts.insert(rollout.order.service.clone(), rollout);
    }

    /// Returns the recorded state of `rollout`, if any.
    fn recorded_state(&self, rollout: &Rollout) -> Option<RolloutState> {
        let statuses = self.statuses.borrow();
        let status = statuses.get(&rollout.order.service)?;
        (status.target == rollout.order.target).then_some(status.state)
    }

    /// Assigns a request to a version. `sampling_key` decides if no recent version
    /// of `session` is known.
    pub fn assign_rollout(
        &self,
        service: &str,
        session: Option<u64>,
        sampling_key: u64,
    ) -> RolloutAssignment {
        let rollouts = self.rollouts.borrow();
        let Some(rollout) = rollouts.get(service) else {
            return RolloutAssignment::default();
        };
        let target = &rollout.order.target;
        let side = match self.recorded_state(rollout) {
            Some(RolloutState::Completed) => Side::New,
            Some(RolloutState::RolledBack) => Side::Old,
            Some(RolloutState::Running) | None => {
                let now = self.now();
                let last =
                    session.and_then(|session| self.session_version(session, now));
                let last = last.map(|version| {
                    if version == digest_text(target) {
                        Side::New
                    } else {
                        Side::Old
                    }
                });
                rollout
                    .progress
                    .assign(last, sampling_key, rollout.share, now)
            }
        };
        RolloutAssignment {
            target: Some(target.clone()),
            side: Some(side),
        }
    }

    fn merged_evidence(&self, rollout: &Rollout, now: Millis) -> RouteEvidence {
        let mut all = rollout.progress.local_evidence.clone();
        for peer_status in self.peers.borrow().heard_within(EVIDENCE_EXPIRY_MS, now) {
            let reports = peer_status.rollouts.iter();
            for report in reports.filter(|report| report.offset == rollout.order.offset)
            {
                for (route, evidence) in &report.evidence {
                    all.merge(*route, evidence);
                }
            }
        }
        all
    }

    /// Returns the fraction of sessions that an unproven version gets.
    fn exposure(&self) -> f64 {
        self.settings.gateway.expose_share * EXPOSURE_MARGIN
    }

    /// Whether the peers need to know the version of the session, because they
    /// would send it to another one otherwise.
    ///
    /// This applies also while no rollout is active: a session in progress
    /// when an order arrives must not change its version.
    pub fn is_shared_session(&self, service: &str, session: u64) -> bool {
        let rollouts = self.rollouts.borrow();
        let accepted = rollouts
            .get(service)
            .is_some_and(|rollout| rollout.progress.accepted && rollout.share < 1.0);
        accepted || is_sampled(session, self.exposure())
    }

    /// Counts an answer of `version` as evidence.
    pub fn record_outcome(&self, req: &CallerRequest, version: &str, quality: Quality) {
        let mut rollouts = self.rollouts.borrow_mut();
        let Some(rollout) = rollouts.get_mut(&req.service) else {
            return;
        };
        let route = digest_text(&req.route().name);
        let own = rollout.progress.local_evidence.route_mut(route);
        let count = match (version == rollout.order.target, quality) {
            (true, Quality::Good) => &mut own.new_good,
            (true, Quality::Bad) => &mut own.new_bad,
            (false, Quality::Good) => &mut own.old_good,
            (false, Quality::Bad) => &mut own.old_bad,
        };
        *count += 1;
    }

    /// Merges a peer's reports on rollouts: the age of the order, and whether
    /// it is halted.
    pub fn merge_rollout_reports(&self, peer_status: &PeerStatus) {
        let now = self.now();
        let mut rollouts = self.rollouts.borrow_mut();
        for report in &peer_status.rollouts {
            let known = rollouts.values_mut();
            let mut same = known.filter(|r| r.order.offset == report.offset);
            let Some(rollout) = same.next() else {
                continue;
            };
            let progress = &mut rollout.progress;
            if let Some(elapsed_ms) = report.elapsed_ms {
                let own_ms = progress.elapsed_ms(now);
                if own_ms.is_none_or(|own_ms| own_ms + AGE_TOLERANCE_MS < elapsed_ms) {
                    progress.started = Some(now.minus(elapsed_ms));
                }
            }
            if report.halted && !progress.halted {
                progress.halted = true;
                warn!(
                    "event=rollout_halted service={} target={} by=peer",
                    rollout.order.service, rollout.order.target
                );
            }
        }
    }

    /// Returns at most `most` reports on rollouts that are not over.
    pub fn rollout_reports(&self, most: usize) -> Vec<RolloutReport> {
        let now = self.now();
        let rollouts = self.rollouts.borrow();
        let open = rollouts.values().filter(|rollout| self.is_open(rollout));
        let reports = open.map(|rollout| RolloutReport {
            offset: rollout.order.offset,
            elapsed_ms: rollout.progress.elapsed_ms(now),
            evidence: rollout.progress.local_evidence.top_routes(ROUTES_MAX),
            halted: rollout.progress.halted,
            traffic_shifted: rollout.share >= 1.0,
            old_running: self.old_running(rollout),
        });
        reports.take(most).collect()
    }

    fn is_open(&self, rollout: &Rollout) -> bool {
        !self
            .recorded_state(rollout)
            .is_some_and(RolloutState::is_terminal)
    }

    fn old_running(&self, rollout: &Rollout) -> u32 {
        let pool = self.pool.borrow();
        pool.running_on_other_versions(&rollout.order.service, &rollout.order.target)
    }

    /// Accepts or halts the target of each open rollout by the evidence of all
    /// gateways, and updates its share.
    fn evaluate_rollouts(&self, now: Millis) {
        let in_touch = {
            let peers = self.peers.borrow();
            !peers.any_heard() || peers.fresh_statuses(now).next().is_some()
        };
        let exposure = self.exposure();
        let mut rollouts = self.rollouts.borrow_mut();
        for (service, rollout) in rollouts.iter_mut() {
            if !self.is_open(rollout) {
                continue;
            }
            let all = self.merged_evidence(rollout, now);
            let progress = &mut rollout.progress;
            let before = (progress.halted, progress.accepted);
            progress.evaluate(&all, in_touch, now);
            rollout.share = progress.share(exposure, &all, now);
            if before == (progress.halted, progress.accepted) {
                continue;
            }
            let verdict = if progress.halted { "halted" } else { "passed" };
            let total = all.total();
            info!(
                "event=rollout_{verdict} service={service} target={} by=evidence new_good={} new_bad={} old_good={} old_bad={}",
                rollout.order.target,
                total.new_good,
                total.new_bad,
                total.old_good,
                total.old_bad
            );
        }
    }

    /// Returns the state to record for a rollout now, if any.
    fn state_to_record(&self, rollout: &Rollout, now: Millis) -> Option<RolloutState> {
        let recorded = self.recorded_state(rollout);
        if recorded.is_some_and(RolloutState::is_terminal) {
            return None;
        }
        if rollout.progress.halted {
            return Some(RolloutState::RolledBack);
        }
        if self.is_fully_shifted(rollout, now) {
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
                report.offset == rollout.order.offset
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
    let appended = log.append(STATUS_TOPIC, &key, &value, at).await;
    let (state, target) = (status.state, &status.target);
    match appended {
        Ok(end) => {
            info!(
                "event=rollout_recorded service={service} state={state} target={target} at={at}"
            );
            // The follower reads it back as well; updating here avoids a
            // second append.
            gateway.status_end.set(end.max(gateway.status_end.get()));
            gateway
                .statuses
                .borrow_mut()
                .insert(service.to_owned(), status);
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
