//! Active rollouts: how requests are assigned to versions, and the evidence on
//! the target.

use catalog::{RolloutOrder, RolloutState, RolloutStatus};
use clock::Millis;
use log::{info, warn};
use route::{
    Aspect, ExposureLimit, RouteEvidence, Sampling, ServiceRollout, Side,
    VersionFilter, digest_text, is_sampled,
};
use store::LogPosition;

use crate::{
    caller_request::CallerRequest,
    datagram::{PeerStatus, ROUTES_MAX, RolloutEnd, RolloutReport},
    peers::TRUSTED_STATUSES_MIN,
    state::Gateway,
};

/// Time for which the last evidence of a silent peer is used, ms.
const EVIDENCE_EXPIRY_MS: u64 = 20_000;

/// Maximum number of replaced orders that are remembered for a service.
const REPLACED_MAX: usize = 16;

/// Difference between two gateways' values for the age of an order that is
/// ignored, ms.
const AGE_TOLERANCE_MS: u64 = 300;

/// A rollout and the order that started it.
#[derive(Clone, Debug)]
pub(crate) struct Rollout {
    pub order: RolloutOrder,
    /// Position of the order in the operators' topic.
    position: LogPosition,
    /// Orders for the same service that this one replaced, with their positions.
    replaced: Vec<(LogPosition, RolloutOrder)>,
    pub progress: ServiceRollout,
    /// Fraction of the requests that the target gets, as of the last
    /// evaluation.
    pub share: f64,
}

impl Rollout {
    /// Whether `order` is one that was replaced in an earlier epoch of the log, and
    /// is the newest one again in the copy that the log was restored from.
    fn has_replaced(&self, order: &RolloutOrder, position: LogPosition) -> bool {
        let mut replaced = self.replaced.iter();
        replaced.any(|(at, known)| {
            known == order && at.offset == position.offset && at.epoch < position.epoch
        })
    }

    /// Identifies the rollout among gateways. The same order may stand at several
    /// positions, since operators write it again after the log was restored.
    pub fn digest(&self) -> u64 {
        digest_text(&format!("{} {}", self.order.service, self.order.target))
    }
}

/// Assignment of a request by the rollout of its service.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct RolloutAssignment {
    /// The version that is rolled out, if any.
    pub target: Option<String>,
    /// Whether the request goes to the new or the old version.
    pub side: Option<Side>,
    /// Fraction of the new version's endpoints that may serve the request.
    endpoint_fraction: f64,
}

impl RolloutAssignment {
    /// Returns the versions that may serve the request.
    pub fn versions(&self) -> VersionFilter<'_> {
        match (&self.target, self.side) {
            (Some(target), Some(Side::New)) if self.endpoint_fraction < 1.0 => {
                VersionFilter::Trial(target, self.endpoint_fraction)
            }
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
    /// Successful, but far slower than usual.
    Slow,
    /// Failed or truncated.
    Failed,
}

impl Gateway {
    /// Accepts an order unless it or a newer one is known. `fresh` is true if it was
    /// appended while this process ran, so that its age is known.
    ///
    /// The current order may appear again at another position after the log was
    /// restored from an older copy; its rollout then continues.
    pub fn accept_order(
        &self,
        order: RolloutOrder,
        position: LogPosition,
        fresh: bool,
    ) {
        let mut rollouts = self.rollouts.borrow_mut();
        let mut replaced = Vec::new();
        if let Some(current) = rollouts.get_mut(&order.service) {
            if current.has_replaced(&order, position) {
                info!(
                    "event=rollout_order_outdated service={} target={} at={position}",
                    order.service, order.target
                );
                return;
            }
            if !current.position.is_behind(position) {
                return;
            }
            if current.order == order && current.position.epoch < position.epoch {
                current.position = position;
                return;
            }
            replaced = std::mem::take(&mut current.replaced);
            replaced.push((current.position, current.order.clone()));
            let surplus = replaced.len().saturating_sub(REPLACED_MAX);
            replaced.drain(..surplus);
        }
        info!(
            "event=rollout_ordered service={} target={} within_ms={} at={position} fresh={fresh}",
            order.service, order.target, order.within_ms
        );
        let started = fresh.then(|| self.now());
        let rollout = Rollout {
            progress: ServiceRollout::new(started, order.within_ms),
            share: 0.0,
            order,
            position,
            replaced,
        };
        rollouts.insert(rollout.order.service.clone(), rollout);
    }

    /// Records the status that the log holds for `service`; `None` if it holds none.
    pub fn record_logged_status(&self, service: &str, status: Option<RolloutStatus>) {
        let rollouts = self.rollouts.borrow();
        let order = rollouts.get(service).map(|rollout| &rollout.order);
        let mut statuses = self.statuses.borrow_mut();
        statuses.record_logged(service, status, order);
    }

    /// Returns the recorded state of `rollout`, if any.
    pub fn recorded_state(&self, rollout: &Rollout) -> Option<RolloutState> {
        self.statuses.borrow().state(&rollout.order)
    }

    /// Assigns a request to a version.
    pub fn assign_rollout(
        &self,
        service: &str,
        sampling: Sampling,
    ) -> RolloutAssignment {
        let rollouts = self.rollouts.borrow();
        let Some(rollout) = rollouts.get(service) else {
            return RolloutAssignment::default();
        };
        let (side, endpoint_fraction) = match self.recorded_state(rollout) {
            Some(RolloutState::Completed) => (Side::New, 1.0),
            Some(RolloutState::RolledBack) => (Side::Old, 1.0),
            Some(RolloutState::Running) | None => self.assign_open(rollout, sampling),
        };
        RolloutAssignment {
            target: Some(rollout.order.target.clone()),
            side: Some(side),
            endpoint_fraction,
        }
    }

    /// Assigns a request to a version of a rollout that is not over, and to a fraction
    /// of the new version's endpoints.
    fn assign_open(&self, rollout: &Rollout, sampling: Sampling) -> (Side, f64) {
        let now = self.now();
        let target = digest_text(&rollout.order.target);
        let last = match sampling {
            Sampling::Session(session) => self.session_version(session, now),
            Sampling::Arrival | Sampling::Retry => None,
        };
        let last = last.map(|version| match version == target {
            true => Side::New,
            false => Side::Old,
        });
        let (progress, share) = (&rollout.progress, rollout.share);
        let side = progress.assign(last, sampling, share, now);
        (side, progress.endpoint_fraction(sampling))
    }

    fn merged_evidence(&self, rollout: &Rollout, now: Millis) -> RouteEvidence {
        let mut all = rollout.progress.local_evidence.clone();
        for peer_status in self.peers.borrow().heard_within(EVIDENCE_EXPIRY_MS, now) {
            let reports = peer_status.rollouts.iter();
            let digest = rollout.digest();
            for report in reports.filter(|report| report.rollout_digest == digest) {
                for (route, evidence) in &report.evidence {
                    all.merge(*route, evidence);
                }
            }
        }
        all
    }

    /// Returns the limit on the requests that a version gets before its deadline.
    fn exposure_limit(&self) -> ExposureLimit {
        ExposureLimit {
            share: self.settings.gateway.expose_share,
            slack: self.settings.gateway.expose_slack,
        }
    }

    /// Whether the peers need to know the version of the session, because they
    /// would send it to another one otherwise.
    ///
    /// This applies also while no rollout is active: a session in progress
    /// when an order arrives must not change its version.
    pub fn is_shared_session(&self, service: &str, session: u64) -> bool {
        let rollouts = self.rollouts.borrow();
        let moving = rollouts.get(service).is_some_and(|rollout| {
            rollout.progress.accepted_in_time && self.is_open(rollout)
        });
        moving || is_sampled(session, self.exposure_limit().trial_share())
    }

    /// Counts an answer of `version` as evidence.
    pub fn record_outcome(&self, req: &CallerRequest, version: &str, quality: Quality) {
        let mut rollouts = self.rollouts.borrow_mut();
        let Some(rollout) = rollouts.get_mut(&req.service) else {
            return;
        };
        let route = digest_text(&req.route().name);
        let is_new = version == rollout.order.target;
        let evidence = &mut rollout.progress.local_evidence;
        let failed = quality == Quality::Failed;
        let failures = evidence.route_mut(Aspect::Failure.key(route));
        failures.count(is_new, failed);
        if !failed {
            let slowness = evidence.route_mut(Aspect::Slowness.key(route));
            slowness.count(is_new, quality == Quality::Slow);
        }
    }

    /// Merges a peer's reports on rollouts: the age of the order, and whether
    /// it is halted.
    pub fn merge_rollout_reports(&self, peer_status: &PeerStatus) {
        let now = self.now();
        let mut rollouts = self.rollouts.borrow_mut();
        for report in &peer_status.rollouts {
            let known = rollouts.values_mut();
            let mut same = known.filter(|r| r.digest() == report.rollout_digest);
            let Some(rollout) = same.next() else {
                continue;
            };
            let trusted = peer_status.sequence >= TRUSTED_STATUSES_MIN;
            if let Some(end) = report.ended.filter(|_| trusted) {
                self.learn_rollout_end(&rollout.order, end);
            }
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

    /// Records that a peer knows how a rollout ended.
    fn learn_rollout_end(&self, order: &RolloutOrder, end: RolloutEnd) {
        let state = RolloutState::from(end);
        if self.statuses.borrow_mut().learn(order, state) {
            warn!(
                "event=rollout_end_learned service={} target={} state={state} source=peer",
                order.service, order.target
            );
        }
    }

    /// Returns at most `most` reports on rollouts that are not over, or whose end
    /// the log has lost.
    pub fn rollout_reports(&self, most: usize) -> Vec<RolloutReport> {
        let now = self.now();
        let rollouts = self.rollouts.borrow();
        let statuses = self.statuses.borrow();
        let reported = rollouts.values().filter(|rollout| {
            let unlogged = statuses.unlogged_end(&rollout.order).is_some();
            self.is_open(rollout) || unlogged
        });
        let reports = reported.map(|rollout| RolloutReport {
            rollout_digest: rollout.digest(),
            elapsed_ms: rollout.progress.elapsed_ms(now),
            evidence: rollout.progress.local_evidence.top_routes(ROUTES_MAX),
            halted: rollout.progress.halted,
            traffic_shifted: rollout.share >= 1.0,
            old_running: self.old_running(rollout),
            ended: statuses
                .unlogged_end(&rollout.order)
                .and_then(RolloutEnd::of),
        });
        reports.take(most).collect()
    }

    fn is_open(&self, rollout: &Rollout) -> bool {
        !self
            .recorded_state(rollout)
            .is_some_and(RolloutState::is_terminal)
    }

    pub fn old_running(&self, rollout: &Rollout) -> u32 {
        let pool = self.pool.borrow();
        pool.running_on_other_versions(&rollout.order.service, &rollout.order.target)
    }

    /// Accepts or halts the target of each open rollout by the evidence of all
    /// gateways, and updates its share.
    pub fn evaluate_rollouts(&self, now: Millis) {
        let in_touch = {
            let peers = self.peers.borrow();
            !peers.any_heard() || peers.fresh_statuses(now).next().is_some()
        };
        let limit = self.exposure_limit();
        let mut rollouts = self.rollouts.borrow_mut();
        for (service, rollout) in rollouts.iter_mut() {
            if !self.is_open(rollout) {
                continue;
            }
            let all = self.merged_evidence(rollout, now);
            let progress = &mut rollout.progress;
            let before = (progress.halted, progress.accepted);
            progress.evaluate(&all, limit, in_touch, now);
            rollout.share = progress.share(limit, &all, now);
            if before == (progress.halted, progress.accepted) {
                continue;
            }
            let verdict = if progress.halted { "halted" } else { "passed" };
            let total = all.total();
            for (route, counts) in all.top_routes(ROUTES_MAX) {
                info!(
                    "event=rollout_evidence service={service} target={} route_digest={route:016x} new_good={} new_bad={} old_good={} old_bad={}",
                    rollout.order.target,
                    counts.new_good,
                    counts.new_bad,
                    counts.old_good,
                    counts.old_bad
                );
            }
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
}
