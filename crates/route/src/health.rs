//! Passive health checks: outlier detection from the outcomes of requests.
//!
//! An endpoint may be unreachable, or fail part of its requests while its own
//! health check passes. Each attempt there can cost the caller its objective.
//! The least loaded endpoint is then the one that answers nothing, so without
//! ejection it attracts more and more requests.

use clock::Millis;

/// Duration of the first ejection, ms; it doubles with each further one.
const EJECT_BASE_MS: u64 = 500;

/// Maximum duration of an ejection, ms.
const EJECT_MAX_MS: u64 = 4_000;

/// Weight of one outcome in the moving failure rate.
const SAMPLE_WEIGHT: f64 = 0.15;

/// Failure rate at which an endpoint is ejected.
const EJECT_RATE: f64 = 0.35;

/// Cost of a failure rate of 1 when endpoints are compared, ms.
const FAILURE_PENALTY_MS: f64 = 400.0;

/// Time in which the failure rate halves without outcomes, ms.
const HALF_LIFE_MS: f64 = 4_000.0;

/// Outcome of an attempt, as far as it reflects on the endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthSample {
    /// The endpoint answered.
    Success,
    /// The endpoint failed, answered too slowly, or sent an invalid answer.
    Failure,
    /// No connection could be established; a single such outcome ejects the
    /// endpoint.
    Unreachable,
    /// The endpoint is at capacity, which is not counted as a failure.
    Full,
}

/// Failure statistics and ejection state of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failure_rate: f64,
    updated_at: Millis,
    ejected_until: Millis,
    ejections: u32,
    /// Whether the last outcome that ejected the endpoint was that no connection could
    /// be established.
    is_unreachable: bool,
}

impl Health {
    /// Records an outcome; returns the duration of the ejection, ms, if the
    /// outcome caused one.
    pub fn record(&mut self, sample: HealthSample, now: Millis) -> Option<u64> {
        self.failure_rate = self.rate(now);
        self.updated_at = now;
        let weight = match sample {
            HealthSample::Success => {
                self.failure_rate *= 1.0 - SAMPLE_WEIGHT;
                if now >= self.ejected_until {
                    self.ejections = 0;
                }
                return None;
            }
            HealthSample::Full => return None,
            HealthSample::Failure => SAMPLE_WEIGHT,
            HealthSample::Unreachable => 1.0,
        };
        self.failure_rate += (1.0 - self.failure_rate) * weight;
        if self.failure_rate < EJECT_RATE || now < self.ejected_until {
            return None;
        }
        let eject_ms = (EJECT_BASE_MS << self.ejections.min(8)).min(EJECT_MAX_MS);
        self.ejections += 1;
        self.ejected_until = now.plus(eject_ms);
        self.is_unreachable = sample == HealthSample::Unreachable;
        // Near the threshold, a single failure after the ejection ejects the
        // endpoint again.
        self.failure_rate = EJECT_RATE * 0.9;
        Some(eject_ms)
    }

    /// Returns whether the endpoint is not ejected.
    pub fn is_available(&self, now: Millis) -> bool {
        now >= self.ejected_until
    }

    /// Returns whether the endpoint is not ejected, or only for failures that may also be
    /// the work of requests: a refused connection is evidence of its own.
    pub fn is_reachable(&self, now: Millis) -> bool {
        self.is_available(now) || !self.is_unreachable
    }

    /// Returns the cost of the endpoint's recent failures, ms: its failure rate
    /// expressed as a wait, so that endpoints can be compared.
    pub fn penalty_ms(&self, now: Millis) -> f64 {
        self.rate(now) * FAILURE_PENALTY_MS
    }

    fn rate(&self, now: Millis) -> f64 {
        let idle_ms = now.since(self.updated_at) as f64;
        self.failure_rate * (-idle_ms / HALF_LIFE_MS).exp2()
    }
}
