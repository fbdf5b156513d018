//! What a gateway that was told to stop still takes.
//!
//! The load pattern is all gateways that are stopped one after the other, or at once: while
//! streams last, every gateway is stopping and none takes new callers, who find no
//! listener. A gateway therefore takes connections until another one does. Late requests
//! that could be cut off when the process is killed are refused instead, which tells their
//! callers when to return.

/// Time after the stop signal in which everything is taken, ms: a load balancer notices a
/// failed readiness check only after its second one.
const TAKE_ALL_MS: u64 = 2_500;

/// Time before the kill in which nothing is taken any more, ms.
const KILL_RESERVE_MS: u64 = 1_000;

/// A gateway that was told to stop, and what it knows of the others.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoppingGateway {
    /// Time since the stop signal, ms.
    pub stopping_ms: u64,
    /// Time from the signal until the process is killed, ms.
    pub grace_ms: u64,
    /// Whether another gateway is known to take new callers.
    pub others_take_callers: bool,
}

impl StoppingGateway {
    /// Returns whether new connections are taken.
    pub fn takes_connections(&self) -> bool {
        let is_alone = !self.others_take_callers;
        self.stopping_ms < TAKE_ALL_MS
            || (is_alone && self.stopping_ms < self.last_take_ms())
    }

    /// Returns whether a request is taken whose caller waits `left_ms` for its answer. Later
    /// than [`TAKE_ALL_MS`] it must be over before the process is killed.
    pub fn takes_request(&self, left_ms: u64) -> bool {
        let ended_ms = self.stopping_ms.saturating_add(left_ms);
        self.stopping_ms < TAKE_ALL_MS || ended_ms < self.last_take_ms()
    }

    fn last_take_ms(&self) -> u64 {
        self.grace_ms.saturating_sub(KILL_RESERVE_MS)
    }
}
