//! Permits to run an attempt, typed by the attempt's state.

use clock::Millis;
use wire::{AttemptId, Dispatch};

/// The parameters of an attempt that admission depends on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Work {
    /// Id of the attempt.
    pub id: AttemptId,
    /// The caller's team.
    pub team: String,
    /// Model; empty for a plain service.
    pub model: String,
    /// Version; empty for a plain service.
    pub version: String,
    /// Plain service; empty for a model.
    pub service: String,
    /// Whether the call can safely be repeated.
    pub idempotent: bool,
    /// Idempotency key; used only for non-idempotent work.
    pub key: String,
    /// Whether the attempt continues a session that is bound to this version.
    pub continues: bool,
    /// Deadline of the caller, on this process's monotonic clock.
    pub deadline: Millis,
}

impl Work {
    /// The work of a dispatch received at `now`.
    pub fn new(dispatch: &Dispatch, now: Millis) -> Self {
        Work {
            id: dispatch.id.clone(),
            team: dispatch.team.clone(),
            model: dispatch.model.clone(),
            version: dispatch.version.clone(),
            service: dispatch.service.clone(),
            idempotent: dispatch.idempotent,
            key: dispatch.key.clone(),
            continues: dispatch.continues,
            deadline: now.plus(u64::from(dispatch.deadline_ms)),
        }
    }
}

/// State of an attempt that passed the admission checks.
#[derive(Debug)]
pub struct Admitted {
    pub(crate) _private: (),
}

/// State of an attempt whose claim was read back as the first for its key.
#[derive(Debug)]
pub struct Claimed {
    pub(crate) requested_at: Millis,
}

/// State of an attempt that may call the endpoint now.
#[derive(Debug)]
pub struct Started {
    pub(crate) _private: (),
}

/// Permission to run an attempt that is in state `S`.
///
/// A permit is not `Clone`, so an attempt cannot start twice.
#[derive(Debug)]
pub struct Permit<S> {
    pub(crate) work: Work,
    pub(crate) state: S,
}

impl<S> Permit<S> {
    /// The parameters of the attempt.
    pub fn work(&self) -> &Work {
        &self.work
    }
}

impl Permit<Admitted> {
    /// Moves the permit to the claimed state.
    ///
    /// Call this only after the claim was read back from the log as the winner.
    /// `requested_at` is the time at which the claim was sent, so that the age
    /// of the claim includes the whole round trip to the log.
    pub fn claimed(self, requested_at: Millis) -> Permit<Claimed> {
        Permit {
            work: self.work,
            state: Claimed { requested_at },
        }
    }
}
