//! How long answers usually take, so that far slower ones show.

use std::{cell::RefCell, collections::HashMap};

use crate::rollouts::Quality;

/// Part of the usual time that one answer replaces.
const WEIGHT: f64 = 0.05;

/// An answer is slow that takes this many times as long as usual...
const SLOW_FACTOR: f64 = 5.0;

/// ... and this much longer, ms.
const SLOW_MARGIN_MS: f64 = 150.0;

/// Kinds of requests that are told apart.
const SERIES_MAX: usize = 1_000;

/// Usual times to an answer's head, by route and model.
#[derive(Debug, Default)]
pub(crate) struct LatencyBaselines {
    baselines: RefCell<HashMap<(String, String), f64>>,
}

impl LatencyBaselines {
    /// Whether `head_ms` is far slower than usual; it counts for the usual.
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
        // In logarithms, so that a few slow ones do not become the usual.
        let ratio = (head_ms.max(1.0) / baseline.max(1.0)).ln();
        *baseline = baseline.max(1.0) * (ratio * WEIGHT).exp();
        if slow { Quality::Bad } else { Quality::Good }
    }
}
