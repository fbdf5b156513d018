//! The table of attempts and the checks at each state transition.

use std::collections::{BTreeSet, HashMap};

use clock::Millis;
use config::{Config, VersionState};
use store::ConfigHealth;
use wire::{AttemptId, AttemptState};

use crate::{Admitted, Claimed, Permit, Reason, Started, Work};

/// Limits of a [`Gate`].
#[derive(Clone, Copy, Debug)]
pub struct GateLimits {
    /// Maximum number of concurrent attempts.
    pub attempts_max: usize,
    /// Retention time of ended attempts and tombstones, ms.
    pub remember_ms: u64,
    /// Maximum age of a claim when its call starts, ms.
    pub start_within_ms: u64,
}

impl Default for GateLimits {
    fn default() -> Self {
        GateLimits {
            attempts_max: 512,
            remember_ms: 300_000,
            start_within_ms: 2_000,
        }
    }
}

/// The inputs of one admission decision.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// This agent's current configuration.
    pub config: &'a Config,
    /// Whether the configuration is current enough to admit attempts.
    pub health: ConfigHealth,
    /// Versions that the engine has loaded, as `model@version`.
    pub loaded: &'a BTreeSet<String>,
    /// The endpoint's plain service; empty for a model endpoint.
    pub service: &'a str,
    /// Current time on this process's monotonic clock.
    pub now: Millis,
}

/// Result of [`Gate::admit`].
#[derive(Debug)]
pub enum Decision {
    /// The attempt is admitted.
    Admit(Permit<Admitted>),
    /// The attempt is refused; unless it is a [`Reason::Duplicate`], it does not
    /// run.
    Refuse(Reason),
    /// The entry has a newer configuration; call [`Gate::admit`] again after
    /// the agent has caught up with it.
    CatchUp(Work),
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    Running,
    Ended(AttemptState),
}

#[derive(Clone, Debug)]
struct Attempt {
    /// `model@version`, or the name of the plain service.
    target: String,
    phase: Phase,
    updated_at: Millis,
    cancelled: bool,
}

/// Admission control in front of an endpoint.
#[derive(Debug)]
pub struct Gate {
    limits: GateLimits,
    attempts: HashMap<AttemptId, Attempt>,
    running: usize,
    draining: bool,
}

impl Gate {
    /// Creates a gate without attempts.
    pub fn new(limits: GateLimits) -> Self {
        Gate {
            limits,
            attempts: HashMap::new(),
            running: 0,
            draining: false,
        }
    }

    /// Refuses all new attempts from now on, since the agent is shutting down;
    /// admitted attempts continue.
    pub fn start_draining(&mut self) {
        self.draining = true;
    }

    /// Whether the gate refuses all new attempts.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Number of attempts that are admitted and have not ended, including those
    /// that wait for their claim.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Like [`Gate::running`], for the attempts of `target`: a `model@version`,
    /// or the name of a plain service.
    pub fn running_on(&self, target: &str) -> usize {
        let running = self.attempts.values().filter(|attempt| {
            attempt.phase == Phase::Running && attempt.target == target
        });
        running.count()
    }

    /// Admits or refuses a new attempt.
    ///
    /// `entry_offset` is the configuration offset of the entry that sent it.
    pub fn admit(
        &mut self,
        work: Work,
        entry_offset: u64,
        cx: Context<'_>,
    ) -> Decision {
        if let Some(attempt) = self.attempts.get(&work.id) {
            let tombstoned = attempt.phase == Phase::Ended(AttemptState::Tombstoned);
            let reason = if tombstoned {
                Reason::Tombstoned
            } else {
                Reason::Duplicate
            };
            return Decision::Refuse(reason);
        }
        if self.draining {
            return Decision::Refuse(Reason::Draining);
        }
        if cx.health != ConfigHealth::Empty && cx.config.offset < entry_offset {
            return Decision::CatchUp(work);
        }
        if let Err(reason) = self.check(&work, cx) {
            return Decision::Refuse(reason);
        }
        if self.running >= self.limits.attempts_max {
            return Decision::Refuse(Reason::Full);
        }
        self.running += 1;
        let attempt = Attempt {
            target: target_of(&work),
            phase: Phase::Running,
            updated_at: cx.now,
            cancelled: false,
        };
        self.attempts.insert(work.id.clone(), attempt);
        Decision::Admit(Permit {
            work,
            state: Admitted { _private: () },
        })
    }

    /// The checks that run at admission and again before the call.
    fn check(&self, work: &Work, cx: Context<'_>) -> Result<(), Reason> {
        match cx.health {
            ConfigHealth::Empty => return Err(Reason::NoConfig),
            ConfigHealth::CutOff => return Err(Reason::CutOff),
            ConfigHealth::Fresh | ConfigHealth::StoreDown => {}
        }
        if cx.now >= work.deadline {
            return Err(Reason::DeadlineExceeded);
        }
        if work.service.is_empty() {
            check_version(work, cx)
        } else {
            check_service(work, cx)
        }
    }

    /// Starts an idempotent attempt.
    ///
    /// The admission checks run again, because the configuration may have
    /// changed while the attempt waited. On an error the attempt is
    /// tombstoned and never runs; non-idempotent work fails with
    /// [`Reason::NoClaim`].
    pub fn start(
        &mut self,
        permit: Permit<Admitted>,
        cx: Context<'_>,
    ) -> Result<Permit<Started>, Reason> {
        if !permit.work.idempotent {
            return Err(self.refuse(&permit.work.id, Reason::NoClaim, cx.now));
        }
        self.recheck(permit.work, cx)
    }

    /// Starts a claimed attempt.
    ///
    /// Fails with [`Reason::ClaimExpired`] if the claim was requested more than
    /// [`GateLimits::start_within_ms`] ago, for example because the holder was
    /// paused. On an error the attempt is tombstoned and never runs.
    pub fn start_claimed(
        &mut self,
        permit: Permit<Claimed>,
        cx: Context<'_>,
    ) -> Result<Permit<Started>, Reason> {
        if cx.now.since(permit.state.requested_at) > self.limits.start_within_ms {
            return Err(self.refuse(&permit.work.id, Reason::ClaimExpired, cx.now));
        }
        self.recheck(permit.work, cx)
    }

    fn recheck(
        &mut self,
        work: Work,
        cx: Context<'_>,
    ) -> Result<Permit<Started>, Reason> {
        let cancelled = self
            .attempts
            .get(&work.id)
            .is_none_or(|attempt| attempt.cancelled);
        if cancelled {
            return Err(self.refuse(&work.id, Reason::Tombstoned, cx.now));
        }
        match self.check(&work, cx) {
            Ok(()) => Ok(Permit {
                work,
                state: Started { _private: () },
            }),
            Err(reason) => Err(self.refuse(&work.id, reason, cx.now)),
        }
    }

    /// Tombstones an admitted attempt that did not start; returns `reason`.
    pub fn refuse(&mut self, id: &AttemptId, reason: Reason, now: Millis) -> Reason {
        self.end(id, AttemptState::Tombstoned, now);
        reason
    }

    /// Records the final state of an admitted attempt; an attempt that is
    /// unknown or has ended is unchanged.
    pub fn end(&mut self, id: &AttemptId, state: AttemptState, now: Millis) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        if attempt.phase == Phase::Running {
            self.running -= 1;
            attempt.phase = Phase::Ended(state);
            attempt.updated_at = now;
        }
    }

    /// Marks an attempt as cancelled, so that it does not start, and returns its
    /// state. If it has started, the daemon aborts its call.
    pub fn cancel(&mut self, id: &AttemptId) -> AttemptState {
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.cancelled = true;
        }
        self.state(id)
    }

    /// The state of an attempt.
    pub fn state(&self, id: &AttemptId) -> AttemptState {
        match self.attempts.get(id).map(|attempt| &attempt.phase) {
            None => AttemptState::Unseen,
            Some(Phase::Running) => AttemptState::Running,
            Some(Phase::Ended(state)) => state.clone(),
        }
    }

    /// Tombstones an attempt that this agent has not seen, so that its dispatch
    /// is refused if it arrives later. Returns the state of the attempt, which
    /// is unchanged if the agent has seen it.
    pub fn tombstone(&mut self, id: &AttemptId, now: Millis) -> AttemptState {
        let phase = Phase::Ended(AttemptState::Tombstoned);
        let attempt = Attempt {
            target: String::new(),
            phase,
            updated_at: now,
            cancelled: true,
        };
        self.attempts.entry(id.clone()).or_insert(attempt);
        self.state(id)
    }

    /// Removes attempts that ended at least [`GateLimits::remember_ms`] ago.
    ///
    /// Deadlines must be shorter than that time, so that a dispatch which
    /// arrives after its attempt was removed is past its deadline.
    pub fn evict_ended(&mut self, now: Millis) {
        let remember_ms = self.limits.remember_ms;
        self.attempts.retain(|_, attempt| {
            attempt.phase == Phase::Running
                || now.since(attempt.updated_at) < remember_ms
        });
    }
}

fn target_of(work: &Work) -> String {
    if work.service.is_empty() {
        format!("{}@{}", work.model, work.version)
    } else {
        work.service.clone()
    }
}

fn check_version(work: &Work, cx: Context<'_>) -> Result<(), Reason> {
    if !cx.config.permits(&work.team, &work.model, &work.version) {
        return Err(Reason::NotAllowed);
    }
    match cx.config.version_state(&work.model, &work.version) {
        None => return Err(Reason::UnknownVersion),
        Some(VersionState::Withdrawn) => return Err(Reason::Withdrawn),
        Some(VersionState::Retiring) if !work.continues => {
            return Err(Reason::Retiring);
        }
        Some(VersionState::Retiring | VersionState::Serving) => {}
    }
    let name = format!("{}@{}", work.model, work.version);
    if cx.loaded.contains(&name) {
        Ok(())
    } else {
        Err(Reason::NotLoaded)
    }
}

fn check_service(work: &Work, cx: Context<'_>) -> Result<(), Reason> {
    if work.service != cx.service {
        return Err(Reason::WrongService);
    }
    if !cx.config.permits_service(&work.team, &work.service) {
        return Err(Reason::NotAllowed);
    }
    Ok(())
}
