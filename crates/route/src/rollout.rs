//! When a roll-out goes on, waits or halts.
//!
//! A sequential test compares the new version's outcomes with the serving
//! version's.  It may be looked at after every outcome: the log-likelihood
//! ratio of "worse by the margin" against "no worse" is a test martingale, so
//! looking often does not raise the chance of a false halt above the bound.

use clock::Millis;
use config::{Gate, Rollout, RolloutState};

/// Losses that are tested for, in margins.  A test for a small loss is slow to
/// see a large one, and a very bad version is the one to stop first.
const MARGIN_FACTORS: [f64; 2] = [1.0, 4.0];

/// What the gate halts and passes at.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateSettings {
    /// Loss in the share of good outcomes that counts as worse.
    pub margin: f64,
    /// Chance of halting a version that is no worse.
    pub false_halt: f64,
    /// Outcomes on the new version before a step is passed.
    pub min_outcomes: u32,
    /// Silence of the rater after which a step is not passed, ms.
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

/// One rated or failed answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateSample {
    /// Whether the new version gave it.
    pub on_new: bool,
    /// Whether it was good: rated at or above the bar, and no error.
    pub good: bool,
    /// When it was known.
    pub at: Millis,
}

/// What to do with the roll-out now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateDecision {
    /// Stay at the step.
    Wait,
    /// Go to the next step.
    Advance,
    /// Send new sessions back to the serving version.
    Halt,
}

/// Evidence on one roll-out's new version.
#[derive(Clone, Debug, Default)]
pub struct RolloutGate {
    old_good: f64,
    old_bad: f64,
    new_outcomes: u32,
    /// Logs of the likelihood ratios of "worse" against "no worse", one for
    /// each of [`MARGIN_FACTORS`].
    log_ratios: [f64; MARGIN_FACTORS.len()],
    last_outcome_at: Option<Millis>,
}

impl RolloutGate {
    /// Counts an outcome.
    pub fn record(&mut self, input: GateSample, settings: &GateSettings) {
        self.last_outcome_at = Some(input.at);
        if !input.on_new {
            if input.good {
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
            let ratio = if input.good {
                alternative_rate / null_rate
            } else {
                (1.0 - alternative_rate) / (1.0 - null_rate)
            };
            // Below zero, evidence that it is fine would hide that it turned
            // bad.
            *log_ratio = (*log_ratio + ratio.ln()).max(0.0);
        }
    }

    /// Share of good outcomes on the serving version, from a prior of nine in
    /// ten, kept off 0 and 1.
    fn baseline_rate(&self) -> f64 {
        let rate = (self.old_good + 9.0) / (self.old_good + self.old_bad + 10.0);
        rate.clamp(0.05, 0.98)
    }

    /// Outcomes seen on the new version.
    pub fn new_outcomes(&self) -> u32 {
        self.new_outcomes
    }

    /// Decides.  `wall` is compared with the step's start, which stands on
    /// the log in wall-clock time, so that another process can go on.
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
        // The chance of a false halt is shared by the tests.
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
