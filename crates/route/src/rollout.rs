//! Decides whether a rollout advances, waits or halts.
//!
//! A sequential test compares the outcomes of the new version with those of the
//! serving version. The log-likelihood ratio of "worse by the margin" against
//! "no worse" is a test martingale, so evaluating it after every outcome keeps
//! the probability of a false halt within the bound.

use clock::Millis;
use config::{Gate, Rollout, RolloutState};

/// Losses to test for, as multiples of the margin. A test for a small loss is
/// slow to detect a large one, and a very bad version has to be stopped first.
const MARGIN_FACTORS: [f64; 2] = [1.0, 4.0];

/// Thresholds of the rollout gate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateSettings {
    /// Absolute decrease of the rate of good outcomes that counts as worse; 0.1
    /// is 10 percentage points.
    pub margin: f64,
    /// Bound on the probability of halting a version that is no worse.
    pub false_halt: f64,
    /// Minimum number of outcomes of the new version before a step advances.
    pub min_outcomes: u32,
    /// Time without a rated answer after which a step does not advance, ms.
    pub rater_silence_ms: u64,
}

impl Default for GateSettings {
    fn default() -> Self {
        GateSettings {
            margin: 0.10,
            false_halt: 0.01,
            min_outcomes: 30,
            rater_silence_ms: 30_000,
        }
    }
}

/// Outcome of one rated answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateSample {
    /// Whether the new version produced the answer.
    pub on_new: bool,
    /// Whether the answer was free of errors and rated at or above the
    /// threshold.
    pub good: bool,
    /// Monotonic time at which the outcome became known.
    pub at: Millis,
}

/// Decision on a rollout in progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateDecision {
    /// Stay at the current step.
    Wait,
    /// Proceed to the next step.
    Advance,
    /// Send new sessions to the serving version.
    Halt,
}

/// Outcome statistics of one rollout.
#[derive(Clone, Debug, Default)]
pub struct RolloutGate {
    old_good: f64,
    old_bad: f64,
    new_outcomes: u32,
    /// Log-likelihood ratios of "worse" against "no worse", one for each of
    /// [`MARGIN_FACTORS`].
    log_ratios: [f64; MARGIN_FACTORS.len()],
    last_outcome_at: Option<Millis>,
}

impl RolloutGate {
    /// Records an outcome.
    pub fn record(&mut self, sample: GateSample, settings: &GateSettings) {
        self.last_outcome_at = Some(sample.at);
        if !sample.on_new {
            if sample.good {
                self.old_good += 1.0;
            } else {
                self.old_bad += 1.0;
            }
            return;
        }
        self.new_outcomes += 1;
        let null_rate = self.baseline_rate();
        for (log_ratio, factor) in self.log_ratios.iter_mut().zip(MARGIN_FACTORS) {
            let alternative_rate = (null_rate - settings.margin * factor).max(0.01);
            let ratio = if sample.good {
                alternative_rate / null_rate
            } else {
                (1.0 - alternative_rate) / (1.0 - null_rate)
            };
            // Negative values would let earlier good outcomes hide that the
            // version turned bad.
            *log_ratio = (*log_ratio + ratio.ln()).max(0.0);
        }
    }

    /// Returns the rate of good outcomes of the serving version, with a prior
    /// of 9 good outcomes in 10, clamped away from 0 and 1.
    fn baseline_rate(&self) -> f64 {
        let rate = (self.old_good + 9.0) / (self.old_good + self.old_bad + 10.0);
        rate.clamp(0.05, 0.98)
    }

    /// Returns the number of outcomes of the new version.
    pub fn new_outcomes(&self) -> u32 {
        self.new_outcomes
    }

    /// Decides how the rollout proceeds.
    ///
    /// `wall` is compared with the start of the step, which the log stores in
    /// wall-clock time so that another process can continue the rollout. `now`
    /// is compared with the monotonic times of the outcomes.
    pub fn decide(
        &self,
        rollout: &Rollout,
        wall: Millis,
        now: Millis,
        settings: &GateSettings,
    ) -> GateDecision {
        if rollout.state != RolloutState::Running {
            return GateDecision::Wait;
        }
        let due = wall.since(Millis(rollout.step_at_ms)) >= rollout.spec.step_ms;
        if rollout.spec.gate == Gate::Fixed {
            return if due {
                GateDecision::Advance
            } else {
                GateDecision::Wait
            };
        }
        // The tests share the bound on the probability of a false halt.
        let bound = (MARGIN_FACTORS.len() as f64 / settings.false_halt).ln();
        if self.log_ratios.iter().any(|log_ratio| *log_ratio >= bound) {
            return GateDecision::Halt;
        }
        let rater_active = self
            .last_outcome_at
            .is_some_and(|at| now.since(at) < settings.rater_silence_ms);
        if due && rater_active && self.new_outcomes >= settings.min_outcomes {
            GateDecision::Advance
        } else {
            GateDecision::Wait
        }
    }
}
