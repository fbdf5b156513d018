//! Baselines of the time to an answer's head, used to detect slow answers.

use std::{cell::RefCell, collections::HashMap};

use catalog::Route;
use route::is_slow;

use crate::rollouts::Quality;

/// Weight of one answer in the moving average.
const WEIGHT: f64 = 0.05;

/// Maximum number of tracked pairs of route and model.
const SERIES_MAX: usize = 1_000;

/// Moving averages of the time to an answer's head, by route and model.
#[derive(Debug, Default)]
pub(crate) struct LatencyBaselines {
    baselines: RefCell<HashMap<(String, String), f64>>,
}

impl LatencyBaselines {
    /// Returns the average time to an answer's head, ms; zero if none was seen.
    pub fn head_ms(&self, route: &str, model: &str) -> u64 {
        let baselines = self.baselines.borrow();
        let baseline = baselines.get(&(route.to_owned(), model.to_owned()));
        baseline.map_or(0, |head_ms| *head_ms as u64)
    }

    /// Compares `head_ms` with the baseline and then updates the baseline.
    ///
    /// A pair of route and model beyond the limit always counts as good.
    pub fn observe(&self, route: &Route, model: &str, head_ms: u64) -> Quality {
        let mut baselines = self.baselines.borrow_mut();
        let head_ms = head_ms as f64;
        let key = (route.name.clone(), model.to_owned());
        if baselines.len() >= SERIES_MAX && !baselines.contains_key(&key) {
            return Quality::Good;
        }
        let baseline = baselines.entry(key).or_insert(head_ms);
        let slow = is_slow(head_ms, *baseline, route.objective_ms);
        // A geometric average, which a few slow answers hardly raise.
        let ratio = (head_ms.max(1.0) / baseline.max(1.0)).ln();
        *baseline = baseline.max(1.0) * (ratio * WEIGHT).exp();
        if slow { Quality::Slow } else { Quality::Good }
    }
}
