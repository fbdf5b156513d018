//! How long answers usually take, so that far slower ones show.

use std::{cell::RefCell, collections::HashMap};

use crate::rollouts::Quality;

/// Part of the usual time that one answer replaces.
const WEIGHT: f64 = 0.05;

/// An answer is slow that takes this many times as long as usual...
const SLOW_FACTOR: f64 = 5.0;

/// ... and this much longer, ms.
const SLOW_MS: f64 = 150.0;

/// Kinds of requests that are told apart.
const KINDS_MAX: usize = 1_000;

/// Usual times to an answer's head, by route and model.
#[derive(Debug, Default)]
pub(crate) struct UsualTimes {
    times: RefCell<HashMap<(String, String), f64>>,
}

impl UsualTimes {
    /// Whether `head_ms` is far slower than usual; it counts for the usual.
    pub fn judge(&self, route: &str, model: &str, head_ms: u64) -> Quality {
        let mut times = self.times.borrow_mut();
        let head_ms = head_ms as f64;
        let key = (route.to_owned(), model.to_owned());
        if times.len() >= KINDS_MAX && !times.contains_key(&key) {
            return Quality::Good;
        }
        let usual = times.entry(key).or_insert(head_ms);
        let slow = head_ms > *usual * SLOW_FACTOR && head_ms > *usual + SLOW_MS;
        // In logarithms, so that a few slow ones do not become the usual.
        let ratio = (head_ms.max(1.0) / usual.max(1.0)).ln();
        *usual = usual.max(1.0) * (ratio * WEIGHT).exp();
        if slow { Quality::Bad } else { Quality::Good }
    }
}
