//! How long a request waits at a gateway that has no configuration yet.
//!
//! The load pattern is all gateways that start at once while the log is away, so that no
//! peer has a configuration either. Every request of that time is at stake, and nobody can
//! tell when the log is back. Most callers come back once after a refusal, so one that is
//! told to return too soon is refused for good, while one that is held here cannot try
//! another gateway. A request therefore waits for a part of the time that its caller has,
//! and is then told to return after another such part.

/// Part of a caller's time for which its request waits, and after which it returns.
const TIME_PART: u64 = 10;

/// Maximum of both, ms; a caller with hours left does not wait for minutes.
const PART_MAX_MS: u64 = 5_000;

/// Times for a request that arrives before the first configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartWait {
    /// Maximum time to wait for the configuration, ms.
    pub wait_ms: u64,
    /// Minimum time after a refusal at which the caller is to return, ms.
    pub return_ms: u64,
}

impl StartWait {
    /// Returns the times for a caller that waits `deadline_ms` for its answer, if it says
    /// so. Every request may wait for `usual_ms`, in which the log answers if it is
    /// available.
    pub fn new(deadline_ms: Option<u64>, usual_ms: u64) -> Self {
        let part_ms = (deadline_ms.unwrap_or(0) / TIME_PART).min(PART_MAX_MS);
        StartWait {
            wait_ms: part_ms.max(usual_ms),
            return_ms: part_ms,
        }
    }
}
