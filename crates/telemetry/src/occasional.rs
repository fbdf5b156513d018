//! Limits how often a line is written that clients can cause at will.

use std::cell::Cell;

use clock::Millis;

/// Minimum time between two lines, ms.
const INTERVAL_MS: u64 = 1_000;

/// Counts the occurrences of an event, of which at most one a second is logged.
#[derive(Debug, Default)]
pub struct Occasional {
    logged_at: Cell<Option<Millis>>,
    count: Cell<u64>,
}

impl Occasional {
    /// Counts an occurrence; returns how many there were since the last line if it is
    /// time for one.
    pub fn due(&self, now: Millis) -> Option<u64> {
        let count = self.count.get() + 1;
        let is_early = self
            .logged_at
            .get()
            .is_some_and(|at| now.since(at) < INTERVAL_MS);
        if is_early {
            self.count.set(count);
            return None;
        }
        self.count.set(0);
        self.logged_at.set(Some(now));
        Some(count)
    }
}
