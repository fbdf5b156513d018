//! The runner of an attempt, within the budget of retries.

use route::{PickError, RunnerKey, Target};

use crate::Entry;

/// What came of looking for a runner.
pub(crate) enum Picked {
    /// Send the attempt there.
    Runner(RunnerKey),
    /// The budget allows no further attempt.
    OverBudget,
    /// There is none.
    Nowhere(PickError),
}

impl Entry {
    /// Chooses the runner of the next attempt and notes it as tried; only
    /// attempts after the first count against the budget.
    pub(crate) fn pick(
        &self,
        target: Target<'_>,
        tried: &mut Vec<RunnerKey>,
    ) -> Picked {
        let now = self.node.now();
        if tried.is_empty() {
            self.retries().record_first_attempt(now);
        } else if self.retries().try_retry(now) {
            self.node.metrics.count("retried");
        } else {
            return Picked::OverBudget;
        }
        let settings = self.pick_settings();
        let mut rng = self.rng();
        match self
            .runners()
            .pick(target, tried, &settings, now, &mut *rng)
        {
            Ok(runner) => {
                tried.push(runner);
                Picked::Runner(runner)
            }
            Err(err) => Picked::Nowhere(err),
        }
    }
}
