//! Requests that an endpoint takes from all gateways together.
//!
//! An endpoint in need names a number of requests a second. Gateways that each kept to
//! it would send it a multiple, so one gateway grants the requests of all. Several may
//! believe to be that one while gateways join, leave or are cut off; a budget therefore
//! starts empty, and is scaled by the part of the fleet that its gateway hears. See
//! `docs/design/deployment.md`.

use std::collections::HashMap;

use clock::Millis;

/// Fraction of a limit that is used, since requests arrive less evenly than they are
/// sent.
const USED_FRACTION: f64 = 0.9;

/// Minimum number of requests that may follow each other at once.
const BURST_MIN: f64 = 2.0;

/// Time whose requests may follow each other at once, s.
const BURST_S: f64 = 0.05;

/// Time for which a new budget grants nothing, s: the gateway that granted before may
/// not know yet that it has been replaced.
const START_S: f64 = 1.0;

/// Maximum number of budgets, since questions are not authenticated.
const BUDGETS_MAX: usize = 4_096;

/// Time after which an unused budget is dropped, ms.
const BUDGET_EXPIRY_MS: u64 = 20_000;

/// Lowest limit that is kept, requests a second; a lower one counts as this.
pub const LIMIT_MIN_PER_S: f64 = 0.01;

/// Rate at which requests to an endpoint are granted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantRate {
    per_s: f64,
    /// Time whose requests may follow each other at once, s.
    burst_s: f64,
    /// Time for which a new budget grants nothing, s.
    start_s: f64,
}

impl GrantRate {
    /// The rate for an endpoint that named `per_s`.
    pub fn limit(per_s: f64) -> Self {
        GrantRate {
            per_s: per_s.max(LIMIT_MIN_PER_S) * USED_FRACTION,
            burst_s: BURST_S,
            start_s: START_S,
        }
    }

    /// The rate for an endpoint that tolerates `per_s` while it is cold: all of it, with
    /// the smallest burst. `hearing_ms` is the time in which all gateways hear of a new
    /// one that grants; until then, others ask the one before.
    pub fn warmup(per_s: f64, hearing_ms: u64) -> Self {
        GrantRate {
            per_s: per_s.max(LIMIT_MIN_PER_S),
            burst_s: 0.0,
            start_s: (hearing_ms as f64 / 1_000.0).max(START_S),
        }
    }

    /// The lower one of two rates and bursts, with the longer start.
    pub fn lower(self, other: Self) -> Self {
        GrantRate {
            per_s: self.per_s.min(other.per_s),
            burst_s: self.burst_s.min(other.burst_s),
            start_s: self.start_s.max(other.start_s),
        }
    }
}

/// Answer to a question for one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permit {
    /// The request may be sent.
    Granted,
    /// The next one may be granted after this time, ms.
    DeniedFor(u64),
}

#[derive(Clone, Copy, Debug)]
struct Budget {
    /// Number of requests that may be sent now; negative while it starts.
    available: f64,
    updated: Millis,
}

/// Budgets of the endpoints for which this gateway grants requests, by the digest of
/// the endpoint's id.
#[derive(Clone, Debug, Default)]
pub struct RequestBudgets {
    budgets: HashMap<u64, Budget>,
}

impl RequestBudgets {
    /// Grants a request to an endpoint that named `per_s`, or says when to ask again.
    ///
    /// `part` is the fraction of the fleet, 0 to 1, that this gateway grants for.
    pub fn take(
        &mut self,
        endpoint: u64,
        per_s: f64,
        part: f64,
        now: Millis,
    ) -> Permit {
        self.take_at(endpoint, GrantRate::limit(per_s), part, now)
    }

    /// Like [`RequestBudgets::take`], at any rate. The budget of an endpoint is the same
    /// for all its rates.
    pub fn take_at(
        &mut self,
        endpoint: u64,
        rate: GrantRate,
        part: f64,
        now: Millis,
    ) -> Permit {
        let GrantRate {
            burst_s, start_s, ..
        } = rate;
        let rate = rate.per_s * part.clamp(0.01, 1.0);
        if !self.has_room(endpoint, now) {
            return Permit::DeniedFor(BUDGET_EXPIRY_MS);
        }
        let budget = self.budgets.entry(endpoint).or_insert(Budget {
            available: -rate * start_s,
            updated: now,
        });
        let elapsed_s = now.since(budget.updated) as f64 / 1_000.0;
        let most = (rate * burst_s).max(BURST_MIN);
        budget.available = (budget.available + elapsed_s * rate).min(most);
        budget.updated = now;
        if budget.available >= 1.0 {
            budget.available -= 1.0;
            return Permit::Granted;
        }
        let wait_s = (1.0 - budget.available) / rate;
        Permit::DeniedFor((wait_s * 1_000.0).ceil() as u64)
    }

    /// Whether `endpoint` has a budget or can get one.
    fn has_room(&mut self, endpoint: u64, now: Millis) -> bool {
        if self.budgets.len() >= BUDGETS_MAX {
            self.budgets
                .retain(|_, budget| now.since(budget.updated) < BUDGET_EXPIRY_MS);
        }
        self.budgets.contains_key(&endpoint) || self.budgets.len() < BUDGETS_MAX
    }
}
