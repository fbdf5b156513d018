//! Passive health of one endpoint, from the outcomes of its requests.
//!
//! The load pattern it answers: an endpoint that is dark, or fails part of
//! what it gets while its own health check is good.  Each attempt there costs
//! a caller its objective, and the least busy endpoint is the one that answers
//! nothing, so that it draws ever more requests until it is taken out.

use clock::Millis;

/// First time out, ms; it doubles with each further one.
const EJECT_BASE_MS: u64 = 500;

/// Longest time out, ms.
const EJECT_MAX_MS: u64 = 4_000;

/// Part of the failure rate that one outcome replaces.
const SAMPLE_WEIGHT: f64 = 0.15;

/// Failure rate at which an endpoint is taken out.
const EJECT_RATE: f64 = 0.35;

/// What a failure rate of one weighs in a comparison, ms.
const FAILURE_PENALTY_MS: f64 = 400.0;

/// Time over which a failure rate halves without outcomes, ms.
const HALF_LIFE_MS: f64 = 4_000.0;

/// How an attempt went, as far as its endpoint is to blame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthSample {
    /// It answered.
    Success,
    /// It failed, answered with bytes that are no answer, or too slowly.
    Failure,
    /// It could not be reached at all.
    Unreachable,
    /// It is full, which says nothing against it but that it takes no more.
    Full,
}

/// What is believed of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failure_rate: f64,
    updated_at: Millis,
    ejected_until: Millis,
    ejections: u32,
}

impl Health {
    /// Takes an outcome; returns for how long the endpoint is out, if it is
    /// taken out by it, ms.
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
        // Back on trial: one more failure takes it out again at once.
        self.failure_rate = EJECT_RATE * 0.9;
        Some(eject_ms)
    }

    /// Whether it takes requests.
    pub fn is_available(&self, now: Millis) -> bool {
        now >= self.ejected_until
    }

    /// What its failures weigh against a shorter wait elsewhere, ms.
    pub fn penalty_ms(&self, now: Millis) -> f64 {
        self.rate(now) * FAILURE_PENALTY_MS
    }

    fn rate(&self, now: Millis) -> f64 {
        let idle_ms = now.since(self.updated_at) as f64;
        self.failure_rate * (-idle_ms / HALF_LIFE_MS).exp2()
    }
}
