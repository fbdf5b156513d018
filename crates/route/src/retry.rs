//! Bounds retries to a share of first attempts.

use clock::Millis;

/// Retries that are always allowed, so that a quiet entry can retry at all.
const FLOOR: f64 = 3.0;

/// Time over which first attempts are counted, ms.
const WINDOW_MS: f64 = 10_000.0;

/// A budget that first attempts fill and retries empty.
///
/// The share holds over the whole traffic of an entry, so that an outage
/// cannot multiply the load.  Both counts fade over the window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    first: f64,
    retries: f64,
    at: Millis,
}

impl RetryBudget {
    /// A budget of so many retries for each first attempt.
    pub fn new(share: f64) -> Self {
        RetryBudget {
            share,
            first: 0.0,
            retries: 0.0,
            at: Millis::default(),
        }
    }

    /// Counts a first attempt.
    pub fn first_attempt(&mut self, now: Millis) {
        self.fade(now);
        self.first += 1.0;
    }

    /// Takes a retry from the budget, or tells that there is none.
    pub fn try_retry(&mut self, now: Millis) -> bool {
        self.fade(now);
        let allowed = if self.share > 0.0 {
            FLOOR + self.first * self.share
        } else {
            0.0
        };
        if self.retries + 1.0 > allowed {
            return false;
        }
        self.retries += 1.0;
        true
    }

    fn fade(&mut self, now: Millis) {
        let keep = (-(now.since(self.at) as f64) / WINDOW_MS).exp();
        self.first *= keep;
        self.retries *= keep;
        self.at = self.at.max(now);
    }
}
