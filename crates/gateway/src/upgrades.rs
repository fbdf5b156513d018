//! Roll-outs under way: what this gateway does, sees and records of them.

use std::{rc::Rc, time::Duration};

use catalog::{RolloutOrder, RolloutState, RolloutStatus};
use clock::Millis;
use log::{info, warn};
use platform::{LogClient, STATUS_TOPIC};
use route::{RouteEvidence, Side, Upgrade, VersionFilter, digest_text, is_sampled};
use store::{KeyedLog, StoreError};

use crate::{
    job::Job,
    state::Gateway,
    words::{ROUTES_MAX, UpgradeWord, Word},
};

/// Time between looks at the roll-outs, ms.
const LOOK_MS: u64 = 250;

/// Part of the allowed exposure that an unproved version gets: its sessions
/// are drawn, and some send more than others.
const EXPOSE_MARGIN: f64 = 0.67;

/// Pause after a status could not be recorded, ms.
const RECORD_RETRY_MS: u64 = 750;

/// Time for which what a silent peer last said of its evidence counts, ms.
const EVIDENCE_MS: u64 = 20_000;

/// Time for which a silent peer may still have work on an old version, ms.
const SILENT_WORK_MS: u64 = 6_000;

/// Difference of two gateways' ages of an order that is no news, ms.
const AGE_SLACK_MS: u64 = 300;

/// A roll-out and its order.
#[derive(Clone, Debug)]
pub(crate) struct Rollout {
    pub order: RolloutOrder,
    pub upgrade: Upgrade,
    /// Share of the requests that the target gets, as of the last look.
    share: f64,
}

/// Where a request goes by the roll-out of its service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Track {
    /// Version that is rolled out, if one is.
    pub target: Option<String>,
    /// Side of it that the request is on.
    pub side: Option<Side>,
}

impl Track {
    /// Versions that may serve.
    pub fn versions(&self) -> VersionFilter<'_> {
        match (&self.target, self.side) {
            (Some(target), Some(Side::New)) => VersionFilter::Only(target),
            (Some(target), Some(Side::Old)) => VersionFilter::Not(target),
            _ => VersionFilter::Any,
        }
    }
}

/// How an answer of some version was.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Quality {
    /// As it should be.
    Good,
    /// Failed, broken off or far slower than usual.
    Bad,
}

impl Gateway {
    /// Takes an order; `fresh` is whether it was given while this process ran.
    pub fn take_order(&self, order: RolloutOrder, fresh: bool) {
        let mut rollouts = self.rollouts.borrow_mut();
        let held = rollouts.get(&order.service).map(|held| held.order.offset);
        if held.is_some_and(|held| held >= order.offset) {
            return;
        }
        info!(
            "event=rollout_ordered service={} target={} within_ms={} offset={} fresh={fresh}",
            order.service, order.target, order.within_ms, order.offset
        );
        let started = fresh.then(|| self.now());
        let rollout = Rollout {
            upgrade: Upgrade::new(started, order.within_ms),
            share: 0.0,
            order,
        };
        rollouts.insert(rollout.order.service.clone(), rollout);
    }

    /// Recorded state of the roll-out in `rollout`, if any.
    fn recorded(&self, rollout: &Rollout) -> Option<RolloutState> {
        let statuses = self.statuses.borrow();
        let status = statuses.get(&rollout.order.service)?;
        (status.target == rollout.order.target).then_some(status.state)
    }

    /// Where a request of `session` goes; `draw` stands in for a session.
    pub fn track(&self, service: &str, session: Option<u64>, draw: u64) -> Track {
        let rollouts = self.rollouts.borrow();
        let Some(rollout) = rollouts.get(service) else {
            return Track::default();
        };
        let target = &rollout.order.target;
        let side = match self.recorded(rollout) {
            Some(RolloutState::Completed) => Side::New,
            Some(RolloutState::RolledBack) => Side::Old,
            Some(RolloutState::Running) | None => {
                let now = self.now();
                let last = session.and_then(|session| self.last_version(session, now));
                let last = last.map(|version| {
                    if version == digest_text(target) {
                        Side::New
                    } else {
                        Side::Old
                    }
                });
                rollout.upgrade.assign(last, draw, rollout.share, now)
            }
        };
        Track {
            target: Some(target.clone()),
            side: Some(side),
        }
    }

    fn all_evidence(&self, rollout: &Rollout, now: Millis) -> RouteEvidence {
        let mut all = rollout.upgrade.local_evidence.clone();
        for word in self.peers.borrow().heard_within(EVIDENCE_MS, now) {
            let told = word.upgrades.iter();
            for upgrade in told.filter(|u| u.offset == rollout.order.offset) {
                for (route, evidence) in &upgrade.evidence {
                    all.merge(*route, evidence);
                }
            }
        }
        all
    }

    /// Share of the sessions that an unproved version gets.
    fn expose(&self) -> f64 {
        self.settings.gateway.expose_share * EXPOSE_MARGIN
    }

    /// Whether the peers have to know which version the session is on: those
    /// that would send it to another one otherwise.
    ///
    /// That holds also while nothing is rolled out: a session under way when
    /// an order comes is not to be moved.
    pub fn is_told(&self, service: &str, session: u64) -> bool {
        let rollouts = self.rollouts.borrow();
        let passed = rollouts
            .get(service)
            .is_some_and(|rollout| rollout.upgrade.passed && rollout.share < 1.0);
        passed || is_sampled(session, self.expose())
    }

    /// Counts an answer of `version` as evidence.
    pub fn see_answer(&self, job: &Job, version: &str, quality: Quality) {
        let mut rollouts = self.rollouts.borrow_mut();
        let Some(rollout) = rollouts.get_mut(&job.service) else {
            return;
        };
        let route = digest_text(&job.route().name);
        let own = rollout.upgrade.local_evidence.route_mut(route);
        let count = match (version == rollout.order.target, quality) {
            (true, Quality::Good) => &mut own.new_good,
            (true, Quality::Bad) => &mut own.new_bad,
            (false, Quality::Good) => &mut own.old_good,
            (false, Quality::Bad) => &mut own.old_bad,
        };
        *count += 1;
    }

    /// Takes what a peer says of roll-outs.
    pub fn take_upgrades(&self, word: &Word) {
        let now = self.now();
        let mut rollouts = self.rollouts.borrow_mut();
        for told in &word.upgrades {
            let known = rollouts.values_mut();
            let mut same = known.filter(|r| r.order.offset == told.offset);
            let Some(rollout) = same.next() else {
                continue;
            };
            let upgrade = &mut rollout.upgrade;
            if let Some(elapsed_ms) = told.elapsed_ms {
                let own_ms = upgrade.elapsed_ms(now);
                if own_ms.is_none_or(|own_ms| own_ms + AGE_SLACK_MS < elapsed_ms) {
                    upgrade.started = Some(now.minus(elapsed_ms));
                }
            }
            if told.halted && !upgrade.halted {
                upgrade.halted = true;
                warn!(
                    "event=rollout_halted service={} target={} by=peer",
                    rollout.order.service, rollout.order.target
                );
            }
        }
    }

    /// What this gateway says of roll-outs that are not over.
    pub fn upgrade_words(&self, most: usize) -> Vec<UpgradeWord> {
        let now = self.now();
        let rollouts = self.rollouts.borrow();
        let open = rollouts.values().filter(|rollout| self.is_open(rollout));
        let words = open.map(|rollout| UpgradeWord {
            offset: rollout.order.offset,
            elapsed_ms: rollout.upgrade.elapsed_ms(now),
            evidence: rollout.upgrade.local_evidence.top_routes(ROUTES_MAX),
            halted: rollout.upgrade.halted,
            moved: rollout.share >= 1.0,
            old_running: self.old_running(rollout),
        });
        words.take(most).collect()
    }

    fn is_open(&self, rollout: &Rollout) -> bool {
        !self
            .recorded(rollout)
            .is_some_and(RolloutState::is_terminal)
    }

    fn old_running(&self, rollout: &Rollout) -> u32 {
        let pool = self.pool.borrow();
        pool.running_on_other_versions(&rollout.order.service, &rollout.order.target)
    }

    /// Passes or halts what the evidence of all gateways says.
    fn weigh_rollouts(&self, now: Millis) {
        let in_touch = {
            let peers = self.peers.borrow();
            !peers.any_heard() || peers.fresh(now).next().is_some()
        };
        let expose = self.expose();
        let mut rollouts = self.rollouts.borrow_mut();
        for (service, rollout) in rollouts.iter_mut() {
            if !self.is_open(rollout) {
                continue;
            }
            let all = self.all_evidence(rollout, now);
            let upgrade = &mut rollout.upgrade;
            let before = (upgrade.halted, upgrade.passed);
            upgrade.evaluate(&all, in_touch, now);
            rollout.share = upgrade.share(expose, &all, now);
            if before == (upgrade.halted, upgrade.passed) {
                continue;
            }
            let verdict = if upgrade.halted { "halted" } else { "passed" };
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

    /// What is to be recorded of a roll-out now, if anything.
    fn due(&self, rollout: &Rollout, now: Millis) -> Option<RolloutState> {
        let recorded = self.recorded(rollout);
        if recorded.is_some_and(RolloutState::is_terminal) {
            return None;
        }
        if rollout.upgrade.halted {
            return Some(RolloutState::RolledBack);
        }
        if self.is_moved_everywhere(rollout, now) {
            return Some(RolloutState::Completed);
        }
        let known = rollout.upgrade.started.is_some();
        (known && recorded.is_none()).then_some(RolloutState::Running)
    }

    /// Whether nothing runs on the old version, nor can come to.
    ///
    /// Its endpoints stop the moment that the completion is recorded.
    fn is_moved_everywhere(&self, rollout: &Rollout, now: Millis) -> bool {
        let moved = rollout.share >= 1.0;
        if !moved || self.old_running(rollout) > 0 {
            return false;
        }
        let peers = self.peers.borrow();
        let fresh = peers.fresh(now).count();
        let recent = peers.heard_within(SILENT_WORK_MS, now).count();
        let done = peers.fresh(now).all(|(_, word)| {
            let mut told = word.upgrades.iter();
            told.any(|u| {
                u.offset == rollout.order.offset && u.moved && u.old_running == 0
            })
        });
        fresh == recent && done
    }
}

/// Looks after the roll-outs for good.
///
/// Every gateway halts by itself; the first of those that hear each other
/// records.  Two that take themselves for the first do no harm: a record is
/// appended only where the log still ends as its writer knows it.
pub(crate) async fn look_after(gateway: Rc<Gateway>) {
    let settings = &gateway.settings.store;
    let mut log = LogClient::new(settings.address, settings.timeout_ms);
    loop {
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        let now = gateway.now();
        gateway.weigh_rollouts(now);
        gateway.forget_sessions(now);
        // One that the log turns away leaves the records to the next.
        if gateway.log_lost.get() || !gateway.peers.borrow().is_first(now) {
            continue;
        }
        for (service, status) in due_records(&gateway, now) {
            if !record(&gateway, &mut log, &service, status).await {
                tokio::time::sleep(Duration::from_millis(RECORD_RETRY_MS)).await;
            }
        }
    }
}

fn due_records(gateway: &Gateway, now: Millis) -> Vec<(String, RolloutStatus)> {
    let rollouts = gateway.rollouts.borrow();
    let due = rollouts.iter().filter_map(|(service, rollout)| {
        let state = gateway.due(rollout, now)?;
        let target = rollout.order.target.clone();
        Some((service.clone(), RolloutStatus { state, target }))
    });
    due.collect()
}

/// Appends a status; false if it is not known to be on the log.
async fn record(
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
            // Read back by the follower as well; this only saves a second call.
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
