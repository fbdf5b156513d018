//! Whether a request waits for an endpoint that asked for a pause.
//!
//! At the worst load all endpoints of a small service are full at once and ask for
//! pauses of a fraction of a second. Refusing every request then wastes the slots
//! that become free, since callers come back later than that; keeping requests that
//! cannot be answered in time makes their callers wait for nothing. A request
//! therefore waits only if it can still meet its objective.

use clock::Millis;

/// Times that decide whether a request can wait.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WaitBounds {
    /// When the request arrived.
    pub started: Millis,
    /// Latency objective, ms.
    pub objective_ms: u64,
    /// Predicted time from the dispatch to the answer, ms.
    pub service_ms: u64,
    /// When the caller stops waiting.
    pub deadline: Millis,
}

/// Returns whether a request that can be dispatched at `pause_end` is answered
/// within its objective and its deadline.
pub fn is_worth_waiting(bounds: &WaitBounds, pause_end: Millis) -> bool {
    let answered = pause_end.plus(bounds.service_ms);
    let objective = bounds.started.plus(bounds.objective_ms);
    answered <= objective.min(bounds.deadline)
}
