//! An attempt's right to run, by the states of its life.

use clock::Millis;
use wire::{AttemptId, Dispatch};

/// What an attempt is to do, as far as the gate needs it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Work {
    /// The attempt.
    pub id: AttemptId,
    /// Team of the caller.
    pub team: String,
    /// Model, empty for a plain service.
    pub model: String,
    /// Version, empty for a plain service.
    pub version: String,
    /// Plain service, or empty.
    pub service: String,
    /// Whether it may be repeated.
    pub idempotent: bool,
    /// Idempotency key of non-idempotent work.
    pub key: String,
    /// Whether the session started on this version before.
    pub continues: bool,
    /// When the caller stops waiting, on this process's clock.
    pub deadline: Millis,
}

impl Work {
    /// The work of a dispatch that came at `now`.
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

/// Passed the checks at arrival.
#[derive(Debug)]
pub struct Admitted {
    pub(crate) _private: (),
}

/// Its claim was read back as the first for its key.
#[derive(Debug)]
pub struct Claimed {
    pub(crate) won_at: Millis,
}

/// The endpoint may be called, now.
#[derive(Debug)]
pub struct Started {
    pub(crate) _private: (),
}

/// An attempt's right to run, in the state `S` of its life.
///
/// A permit cannot be cloned, so that no attempt starts twice.
#[derive(Debug)]
pub struct Permit<S> {
    pub(crate) work: Work,
    pub(crate) state: S,
}

impl<S> Permit<S> {
    /// What the attempt is to do.
    pub fn work(&self) -> &Work {
        &self.work
    }
}

impl Permit<Admitted> {
    /// Goes on to the claimed state; call it only when the log's fold shows
    /// this holder's claim as the winner.  `asked_at` is when the claim was
    /// sent, so that all waiting since counts.
    pub fn claimed(self, asked_at: Millis) -> Permit<Claimed> {
        Permit {
            work: self.work,
            state: Claimed { won_at: asked_at },
        }
    }
}
