//! Baselines of the time to an answer's head, by which slow answers are told.

use std::{cell::RefCell, collections::HashMap};

use crate::rollouts::Quality;

/// Weight of one answer in the moving average.
const WEIGHT: f64 = 0.05;

/// An answer is slow if it takes this many times the baseline ...
const SLOW_FACTOR: f64 = 5.0;

/// ... and this much longer than the baseline, ms.
const SLOW_MARGIN_MS: f64 = 150.0;

/// Most pairs of route and model that are tracked.
const SERIES_MAX: usize = 1_000;

/// Moving averages of the time to an answer's head, by route and model.
#[derive(Debug, Default)]
pub(crate) struct LatencyBaselines {
    baselines: RefCell<HashMap<(String, String), f64>>,
}

impl LatencyBaselines {
    /// Judges `head_ms` by the baseline, and adds it to the baseline.
    pub fn observe(&self, route: &str, model: &str, head_ms: u64) -> Quality {
        let mut baselines = self.baselines.borrow_mut();
        let head_ms = head_ms as f64;
        let key = (route.to_owned(), model.to_owned());
        if baselines.len() >= SERIES_MAX && !baselines.contains_key(&key) {
            return Quality::Good;
        }
        let baseline = baselines.entry(key).or_insert(head_ms);
        let slow =
            head_ms > *baseline * SLOW_FACTOR && head_ms > *baseline + SLOW_MARGIN_MS;
        // The average is geometric, so that a few slow answers hardly raise
        // it.
        let ratio = (head_ms.max(1.0) / baseline.max(1.0)).ln();
        *baseline = baseline.max(1.0) * (ratio * WEIGHT).exp();
        if slow { Quality::Bad } else { Quality::Good }
    }
}
