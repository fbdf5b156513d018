//! Why an agent refuses an attempt.

use displaydoc::Display;
use wire::Refusal;

/// Wait that an entry is told where a short one helps, ms.
const SHORT_RETRY_MS: u32 = 250;

/// Wait that an entry is told where only a change in the plant helps, ms.
const LONG_RETRY_MS: u32 = 2_000;

/// Why an agent refuses an attempt, which it then never runs.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Reason {
    /// this agent has no configuration yet; try another endpoint
    NoConfig,
    /// this agent is cut off from the log and from most rooms; try another endpoint
    CutOff,
    /// this agent knows an older configuration than the caller; try again once it caught up
    Behind,
    /// the endpoint is leaving; choose another
    Leaving,
    /// the team may not use this version; ask an operator to allow it
    NotAllowed,
    /// the version is withdrawn; start a new session
    Withdrawn,
    /// the version takes sessions under way only; start the session on another
    Retiring,
    /// the version does not exist; choose one that `ctl list version` shows
    UnknownVersion,
    /// the endpoint has not loaded the version; choose another endpoint
    NotLoaded,
    /// the endpoint does not offer the service; choose another endpoint
    WrongService,
    /// the endpoint runs as many attempts as it may; come back shortly
    Full,
    /// the deadline passed before the work could start; allow more time
    TooLate,
    /// the attempt was given up before it came; start a new one
    Tombstoned,
    /// the attempt came already; ask for its state
    Duplicate,
    /// another request with this key runs or ran; ask for its outcome
    KeyTaken,
    /// the log cannot take the claim; come back when it answers again
    NoClaim,
    /// the holder was paused too long after its claim; start a new attempt
    Paused,
}

impl Reason {
    /// Stable code for callers and logs.
    pub fn code(self) -> &'static str {
        match self {
            Reason::NoConfig => "no_config",
            Reason::CutOff => "cut_off",
            Reason::Behind => "behind",
            Reason::Leaving => "leaving",
            Reason::NotAllowed => "not_allowed",
            Reason::Withdrawn => "version_withdrawn",
            Reason::Retiring => "version_retiring",
            Reason::UnknownVersion => "unknown_version",
            Reason::NotLoaded => "not_loaded",
            Reason::WrongService => "wrong_service",
            Reason::Full => "full",
            Reason::TooLate => "too_late",
            Reason::Tombstoned => "tombstoned",
            Reason::Duplicate => "duplicate_attempt",
            Reason::KeyTaken => "key_taken",
            Reason::NoClaim => "no_claim",
            Reason::Paused => "paused",
        }
    }

    fn retry_after_ms(self) -> u32 {
        match self {
            Reason::Full | Reason::Behind => SHORT_RETRY_MS,
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
