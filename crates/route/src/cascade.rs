//! Which steps of a cascade are worth trying.

use std::collections::HashMap;

/// Ratings that the belief before any rating counts for.
const PRIOR_WEIGHT: f64 = 4.0;

/// Factor by which older ratings fade at each new one, so that a shift
/// within the day is followed.
const DECAY: f64 = 0.98;

/// How cheap steps are decided.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CascadePolicy {
    /// Tried where the learned pass rate makes them pay.
    #[default]
    Learned,
    /// Always tried.
    Always,
    /// Never tried; the last step serves.
    Dearest,
}

impl CascadePolicy {
    /// The policy of a settings value.
    pub fn from_setting(text: &str) -> Self {
        match text {
            "always" => CascadePolicy::Always,
            "dearest" => CascadePolicy::Dearest,
            _ => CascadePolicy::Learned,
        }
    }
}

/// What a step and going straight to the next one cost.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StepCosts {
    /// Price of the step's answer, millionths of a euro.
    pub step_micros: f64,
    /// Price of the next step's answer, millionths of a euro.
    pub next_micros: f64,
    /// Time of the step and its rating, ms.
    pub step_ms: f64,
    /// What a ms of delay weighs, millionths of a euro.
    pub micros_per_ms: f64,
    /// Time left until the deadline, ms.
    pub left_ms: f64,
    /// Time that the remaining steps need, ms.
    pub later_steps_ms: f64,
}

#[derive(Clone, Debug, Default)]
struct RatingCounts {
    passed: f64,
    failed: f64,
}

/// Learned pass rates by team and model.
#[derive(Clone, Debug, Default)]
pub struct PassRates {
    counts: HashMap<(String, String), RatingCounts>,
}

impl PassRates {
    /// Counts a rating of a step's answer.
    pub fn record(&mut self, team: &str, model: &str, passed: bool) {
        let counts = self
            .counts
            .entry((team.to_owned(), model.to_owned()))
            .or_default();
        counts.passed *= DECAY;
        counts.failed *= DECAY;
        if passed {
            counts.passed += 1.0;
        } else {
            counts.failed += 1.0;
        }
    }

    /// Chance that a step's answer passes; `prior` stands before any rating.
    pub fn pass_rate(&self, team: &str, model: &str, prior: f64) -> f64 {
        let counts = self.counts.get(&(team.to_owned(), model.to_owned()));
        let (passed, failed) =
            counts.map_or((0.0, 0.0), |counts| (counts.passed, counts.failed));
        (passed + prior * PRIOR_WEIGHT) / (passed + failed + PRIOR_WEIGHT)
    }

    /// Whether a step that is not the last should be tried.  `explore` is a
    /// draw from 0 to 1: a few requests try a step that seems not to pay, or
    /// its rate would never be learned again.
    pub fn should_try(
        &self,
        policy: CascadePolicy,
        pass_rate: f64,
        costs: StepCosts,
        explore: f64,
    ) -> bool {
        if policy == CascadePolicy::Dearest {
            return false;
        }
        if costs.step_ms + costs.later_steps_ms > costs.left_ms {
            return false;
        }
        if policy == CascadePolicy::Always {
            return true;
        }
        let saved = pass_rate * costs.next_micros;
        let failure_rate = 1.0 - pass_rate;
        let spent =
            costs.step_micros + failure_rate * costs.step_ms * costs.micros_per_ms;
        saved > spent || explore < EXPLORE_SHARE
    }
}

/// Share of requests that try a step that seems not to pay.
const EXPLORE_SHARE: f64 = 0.02;
