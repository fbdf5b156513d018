//! Reasons for which an agent refuses an attempt.

use displaydoc::Display;
use wire::Refusal;

/// Retry delay sent to the entry if the cause usually clears quickly, ms.
const SHORT_RETRY_MS: u32 = 250;

/// Retry delay sent to the entry if the agent must first regain its
/// configuration or the log, ms.
const LONG_RETRY_MS: u32 = 2_000;

/// Reason for which an agent refuses an attempt.
///
/// A refused attempt does not run on that agent, except for
/// [`Reason::Duplicate`]: there, the attempt was received before.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Reason {
    /// this agent has no configuration yet; try another endpoint
    NoConfig,
    /// this agent is isolated from the log and from most failure domains; try another endpoint
    CutOff,
    /// this agent has an older configuration than the entry; retry after it has caught up
    StaleConfig,
    /// the endpoint is shutting down; try another endpoint
    Draining,
    /// the team is not allowed to use this version; ask an operator for access
    NotAllowed,
    /// the version is withdrawn; start a new session
    Withdrawn,
    /// the version is retiring and accepts only existing sessions; start the session on another version
    Retiring,
    /// the version does not exist; choose one listed by `ctl list version`
    UnknownVersion,
    /// the endpoint has not loaded the version; try another endpoint
    NotLoaded,
    /// the endpoint does not offer the service; try another endpoint
    WrongService,
    /// the endpoint is at its limit of concurrent attempts; retry shortly
    Full,
    /// the deadline passed before the call started; use a longer deadline
    DeadlineExceeded,
    /// the attempt was cancelled before it started; start a new attempt
    Tombstoned,
    /// the attempt was already received; query its state
    Duplicate,
    /// another request with this idempotency key is running or has run; query its outcome
    KeyTaken,
    /// the claim could not be written to the log; retry when the log is available
    NoClaim,
    /// the claim was too old when the call was about to start; start a new attempt
    ClaimExpired,
}

impl Reason {
    /// Stable code for callers and log lines.
    pub fn code(self) -> &'static str {
        match self {
            Reason::NoConfig => "no_config",
            Reason::CutOff => "cut_off",
            Reason::StaleConfig => "behind",
            Reason::Draining => "leaving",
            Reason::NotAllowed => "not_allowed",
            Reason::Withdrawn => "version_withdrawn",
            Reason::Retiring => "version_retiring",
            Reason::UnknownVersion => "unknown_version",
            Reason::NotLoaded => "not_loaded",
            Reason::WrongService => "wrong_service",
            Reason::Full => "full",
            Reason::DeadlineExceeded => "too_late",
            Reason::Tombstoned => "tombstoned",
            Reason::Duplicate => "duplicate_attempt",
            Reason::KeyTaken => "key_taken",
            Reason::NoClaim => "no_claim",
            Reason::ClaimExpired => "paused",
        }
    }

    fn retry_after_ms(self) -> u32 {
        match self {
            Reason::Full | Reason::StaleConfig => SHORT_RETRY_MS,
            Reason::NoConfig | Reason::CutOff | Reason::NoClaim => LONG_RETRY_MS,
            _ => 0,
        }
    }
}

impl From<Reason> for Refusal {
    fn from(reason: Reason) -> Self {
        Refusal {
            reason: reason.code().to_owned(),
            remedy: reason.to_string(),
            retry_after_ms: reason.retry_after_ms(),
        }
    }
}
