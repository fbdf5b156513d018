//! Picks runners for attempts within the retry budget.

use route::{FleetView, PickError, RunnerKey, Target};

use crate::Entry;

/// Result of picking a runner.
pub(crate) enum PickOutcome {
    /// Send the attempt to this runner.
    Runner(RunnerKey),
    /// The retry budget allows no further attempt.
    RetryBudgetExhausted,
    /// No runner is available.
    NoRunner(PickError),
}

impl Entry {
    /// Picks the runner for the next attempt and adds it to `tried`. Only
    /// attempts after the first use the retry budget.
    pub(crate) fn pick(
        &self,
        target: Target<'_>,
        tried: &mut Vec<RunnerKey>,
    ) -> PickOutcome {
        let now = self.node.now();
        let settings = self.current_pick_settings();
        let fleet = FleetView {
            processes: settings.entries as usize,
            uptime_ms: now.since(self.started),
        };
        if tried.is_empty() {
            self.retry_budget().record_first_attempt(now);
        } else if self.retry_budget().try_retry(&fleet, now) {
            self.node.metrics.count("retried");
        } else {
            return PickOutcome::RetryBudgetExhausted;
        }
        let mut rng = self.rng();
        match self
            .runners()
            .pick(target, tried, &settings, now, &mut *rng)
        {
            Ok(runner) => {
                tried.push(runner);
                PickOutcome::Runner(runner)
            }
            Err(err) => PickOutcome::NoRunner(err),
        }
    }
}
