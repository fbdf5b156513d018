//! The table of attempts, and the checks at each step of their lives.

use std::collections::{BTreeSet, HashMap};

use clock::Millis;
use config::{Config, VersionState};
use store::ConfigHealth;
use wire::{AttemptId, AttemptState};

use crate::{Admitted, Claimed, Permit, Reason, Started, Work};

/// Bounds of a gate.
#[derive(Clone, Copy, Debug)]
pub struct GateLimits {
    /// Attempts in progress at once.
    pub attempts_max: usize,
    /// How long ended attempts and tombstones are remembered, ms.
    pub remember_ms: u64,
    /// Age of a claim beyond which its call is not started, ms.
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

/// What the gate judges by, at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// Configuration in force here.
    pub config: &'a Config,
    /// How fresh it is.
    pub health: ConfigHealth,
    /// What the engine has loaded, as `model@version`.
    pub loaded: &'a BTreeSet<String>,
    /// Plain service behind the endpoint, or empty.
    pub service: &'a str,
    /// Now.
    pub now: Millis,
}

/// What the gate says of an arriving attempt.
#[derive(Debug)]
pub enum Decision {
    /// It may go on.
    Admit(Permit<Admitted>),
    /// It never runs here.
    Refuse(Reason),
    /// The entry knows a newer configuration: catch up, then ask again.
    CatchUp(Work),
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    Running,
    Ended(AttemptState),
}

#[derive(Clone, Debug)]
struct Attempt {
    /// `model@version`, or the plain service.
    target: String,
    phase: Phase,
    touched: Millis,
    cancelled: bool,
}

/// The last check before an endpoint.
#[derive(Debug)]
pub struct Gate {
    limits: GateLimits,
    attempts: HashMap<AttemptId, Attempt>,
    running: usize,
    leaving: bool,
}

impl Gate {
    /// A gate with no attempts.
    pub fn new(limits: GateLimits) -> Self {
        Gate {
            limits,
            attempts: HashMap::new(),
            running: 0,
            leaving: false,
        }
    }

    /// Refuses all new work from now on; what is admitted goes on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether it refuses all new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Attempts in progress.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Attempts in progress on a `model@version`.
    pub fn running_on(&self, target: &str) -> usize {
        let running = self.attempts.values().filter(|attempt| {
            attempt.phase == Phase::Running && attempt.target == target
        });
        running.count()
    }

    /// Judges an arriving attempt.
    pub fn admit(
        &mut self,
        work: Work,
        entry_offset: u64,
        cx: Context<'_>,
    ) -> Decision {
        if let Some(known) = self.attempts.get(&work.id) {
            let tombstoned = known.phase == Phase::Ended(AttemptState::Tombstoned);
            let reason = if tombstoned {
                Reason::Tombstoned
            } else {
                Reason::Duplicate
            };
            return Decision::Refuse(reason);
        }
        if self.leaving {
            return Decision::Refuse(Reason::Leaving);
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
            touched: cx.now,
            cancelled: false,
        };
        self.attempts.insert(work.id.clone(), attempt);
        Decision::Admit(Permit {
            work,
            state: Admitted { _private: () },
        })
    }

    /// Checks that hold at arrival and again before the call.
    fn check(&self, work: &Work, cx: Context<'_>) -> Result<(), Reason> {
        match cx.health {
            ConfigHealth::Empty => return Err(Reason::NoConfig),
            ConfigHealth::CutOff => return Err(Reason::CutOff),
            ConfigHealth::Fresh | ConfigHealth::StoreDown => {}
        }
        if cx.now >= work.deadline {
            return Err(Reason::TooLate);
        }
        if work.service.is_empty() {
            check_version(work, cx)
        } else {
            check_service(work, cx)
        }
    }

    /// Lets repeatable work start.  The checks are made again, since the
    /// configuration may have changed while the attempt waited.
    pub fn start(
        &mut self,
        permit: Permit<Admitted>,
        cx: Context<'_>,
    ) -> Result<Permit<Started>, Reason> {
        if !permit.work.idempotent {
            return Err(self.refuse(&permit.work.id, Reason::NoClaim, cx.now));
        }
        self.pass(permit.work, cx)
    }

    /// Lets claimed work start, unless its holder was paused meanwhile.
    pub fn start_claimed(
        &mut self,
        permit: Permit<Claimed>,
        cx: Context<'_>,
    ) -> Result<Permit<Started>, Reason> {
        if cx.now.since(permit.state.won_at) > self.limits.start_within_ms {
            return Err(self.refuse(&permit.work.id, Reason::Paused, cx.now));
        }
        self.pass(permit.work, cx)
    }

    fn pass(&mut self, work: Work, cx: Context<'_>) -> Result<Permit<Started>, Reason> {
        let cancelled = self
            .attempts
            .get(&work.id)
            .is_none_or(|known| known.cancelled);
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

    /// Ends an admitted attempt that did not start.
    pub fn refuse(&mut self, id: &AttemptId, reason: Reason, now: Millis) -> Reason {
        self.end(id, AttemptState::Tombstoned, now);
        reason
    }

    /// Notes how an attempt ended.
    pub fn end(&mut self, id: &AttemptId, state: AttemptState, now: Millis) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        if attempt.phase == Phase::Running {
            self.running -= 1;
            attempt.phase = Phase::Ended(state);
            attempt.touched = now;
        }
    }

    /// Marks an attempt as no longer wanted; the daemon stops its call.
    pub fn cancel(&mut self, id: &AttemptId) -> AttemptState {
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.cancelled = true;
        }
        self.state(id)
    }

    /// An attempt's state.
    pub fn state(&self, id: &AttemptId) -> AttemptState {
        match self.attempts.get(id).map(|attempt| &attempt.phase) {
            None => AttemptState::Unseen,
            Some(Phase::Running) => AttemptState::Running,
            Some(Phase::Ended(state)) => state.clone(),
        }
    }

    /// Refuses an attempt for good that never came, so that its dispatch is
    /// turned away if it still comes.  Tells the state.
    pub fn tombstone(&mut self, id: &AttemptId, now: Millis) -> AttemptState {
        let phase = Phase::Ended(AttemptState::Tombstoned);
        let attempt = Attempt {
            target: String::new(),
            phase,
            touched: now,
            cancelled: true,
        };
        self.attempts.entry(id.clone()).or_insert(attempt);
        self.state(id)
    }

    /// Forgets what ended long ago.  A dispatch is older than its deadline by
    /// then, which must be shorter than the time that attempts are remembered.
    pub fn tick(&mut self, now: Millis) {
        let remember_ms = self.limits.remember_ms;
        self.attempts.retain(|_, attempt| {
            attempt.phase == Phase::Running || now.since(attempt.touched) < remember_ms
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
