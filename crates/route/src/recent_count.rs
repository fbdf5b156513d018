//! A count of recent events.

use clock::Millis;

use crate::crash_ledger::CUT_RATE_WINDOW_MS;

/// Half of the window, ms: events of the last one to two halves are counted.
const HALF_WINDOW_MS: u64 = CUT_RATE_WINDOW_MS / 2;

/// Number of events within about [`CUT_RATE_WINDOW_MS`].
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentCount {
    newer: u32,
    older: u32,
    rotated_at: Millis,
}

impl RecentCount {
    /// Counts an event.
    pub fn add(&mut self, now: Millis) {
        let age_ms = now.since(self.rotated_at);
        if age_ms >= HALF_WINDOW_MS {
            let is_recent = age_ms < 2 * HALF_WINDOW_MS;
            self.older = if is_recent { self.newer } else { 0 };
            self.newer = 0;
            self.rotated_at = now;
        }
        self.newer = self.newer.saturating_add(1);
    }

    /// Returns the number of events.
    pub fn total(&self, now: Millis) -> u32 {
        match now.since(self.rotated_at) {
            age_ms if age_ms < HALF_WINDOW_MS => self.newer.saturating_add(self.older),
            age_ms if age_ms < 2 * HALF_WINDOW_MS => self.newer,
            _ => 0,
        }
    }
}
