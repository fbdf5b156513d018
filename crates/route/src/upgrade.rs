//! How much of a service's traffic a new version gets while it is rolled out.
//!
//! The load pattern it answers: a version that fails half of its requests, at
//! once, after a while, under load or on one route, while every gateway sees
//! only a small part of the answers.  Evidence is summed over the gateways, so
//! that a bad version is stopped after a few answers; a good one serves
//! everything well before its deadline, so that what runs on the old version
//! can end in peace.  See `docs/design/deployment.md`.

use std::collections::BTreeMap;

use clock::Millis;
use serde::{Deserialize, Serialize};

/// Part of the time in which nothing is exposed: endpoints of the new version
/// start, and sessions under way become known.
const WARM_UP_UNTIL: f64 = 0.04;

/// Part of the time after which sessions may move to the new version.
const MIGRATE_FROM: f64 = 0.5;

/// Part of the time after which a proved version gets everything.
const FULL_FROM: f64 = 0.58;

/// Share between [`MOVE_FROM`] and [`ALL_FROM`].
const INTERIM_SHARE: f64 = 0.35;

/// Answers of the new version that prove it, unless too many were bad.
const ACCEPT_MIN_ANSWERS: u64 = 30;

/// Rate by which a proved version may look worse than the old one.
const ACCEPT_MARGIN: f64 = 0.03;

/// Standard errors by which it may look worse: chance alone does that to a
/// good version while few have answered.
const ACCEPT_STD_ERRORS: f64 = 1.4;

/// Answers on one route from which that route counts by itself.
const ROUTE_MIN_ANSWERS: u64 = 6;

/// Rate by which one route of a proved version may look worse.
const ROUTE_MARGIN: f64 = 0.15;

/// Bad answers from which a version can be judged bad.
const REJECT_MIN_BAD: u64 = 4;

/// Rate by which a bad version must look worse than the old one.
const REJECT_MARGIN: f64 = 0.06;

/// Standard errors by which it must look worse: evidence is looked at many
/// times, and each look may raise a false alarm.
const REJECT_STD_ERRORS: f64 = 2.6;

/// Part of all requests that an unproved version may have got, as a multiple
/// of the share of sessions that are drawn for it...
const EXPOSURE_FACTOR: f64 = 1.3;

/// ... and this many more.
const EXPOSURE_SLACK: f64 = 15.0;

/// Answers of both versions, as one gateway or all have seen them.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evidence {
    /// Good answers of the new version.
    pub new_good: u64,
    /// Failed or slow answers of the new version.
    pub new_bad: u64,
    /// Good answers of the old one.
    pub old_good: u64,
    /// Failed or slow answers of the old one.
    pub old_bad: u64,
}

impl Evidence {
    /// Adds what another gateway saw.
    pub fn merge(&mut self, other: &Evidence) {
        self.new_good += other.new_good;
        self.new_bad += other.new_bad;
        self.old_good += other.old_good;
        self.old_bad += other.old_bad;
    }

    fn new_answers(&self) -> u64 {
        self.new_good + self.new_bad
    }

    fn old_answers(&self) -> u64 {
        self.old_good + self.old_bad
    }

    /// By how much the new version's rate of bad answers is higher, and the
    /// standard error of that.
    fn rate_difference(&self) -> (f64, f64) {
        let (new, new_n) = (bad_rate(self.new_bad, self.new_good), self.new_answers());
        let (old, old_n) = (bad_rate(self.old_bad, self.old_good), self.old_answers());
        // Added to both sides, so that rates of zero or one keep an error.
        let variance = |rate: f64, n: u64| {
            let rate = rate.clamp(0.02, 0.98);
            rate * (1.0 - rate) / n.max(1) as f64
        };
        let error = (variance(new, new_n) + variance(old, old_n)).sqrt();
        (new - old, error)
    }

    /// Whether the new version is surely worse than the old one.
    pub fn is_worse(&self) -> bool {
        let (difference, error) = self.rate_difference();
        self.new_bad >= REJECT_MIN_BAD
            && difference > REJECT_MARGIN
            && difference > REJECT_STD_ERRORS * error
    }
}

fn bad_rate(bad: u64, good: u64) -> f64 {
    bad as f64 / (bad + good).max(1) as f64
}

/// Evidence by route, since a version may be bad on one only.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RouteEvidence {
    routes: BTreeMap<u64, Evidence>,
}

impl RouteEvidence {
    /// The counts of a route, by its digest.
    pub fn route_mut(&mut self, route: u64) -> &mut Evidence {
        self.routes.entry(route).or_default()
    }

    /// Adds what another gateway saw.
    pub fn merge(&mut self, route: u64, evidence: &Evidence) {
        self.route_mut(route).merge(evidence);
    }

    /// The routes with the most answers of the new version.
    pub fn top_routes(&self, limit: usize) -> Vec<(u64, Evidence)> {
        let mut routes: Vec<_> = self.routes.iter().map(|(r, e)| (*r, *e)).collect();
        routes.sort_by_key(|(_, evidence)| std::cmp::Reverse(evidence.new_answers()));
        routes.truncate(limit);
        routes
    }

    /// All routes together.
    pub fn total(&self) -> Evidence {
        let mut total = Evidence::default();
        for evidence in self.routes.values() {
            total.merge(evidence);
        }
        total
    }

    /// Whether the new version is surely worse, on all routes or on one.
    pub fn is_worse(&self) -> bool {
        self.total().is_worse() || self.routes.values().any(Evidence::is_worse)
    }

    /// Whether the new version may get everything.
    pub fn is_acceptable(&self) -> bool {
        let total = self.total();
        let within = |evidence: &Evidence, margin: f64| {
            let (difference, error) = evidence.rate_difference();
            difference <= margin.max(ACCEPT_STD_ERRORS * error)
        };
        let mut routes = self.routes.values().filter(|evidence| {
            evidence.new_answers() >= ROUTE_MIN_ANSWERS && evidence.new_bad > 1
        });
        total.new_answers() >= ACCEPT_MIN_ANSWERS
            && within(&total, ACCEPT_MARGIN)
            && routes.all(|evidence| within(evidence, ROUTE_MARGIN))
    }

    /// Whether the new version got as much as an unproved one may.
    fn exceeds_exposure(&self, expose: f64, fraction: f64) -> bool {
        let total = self.total();
        let answers = (total.new_answers() + total.old_answers()) as f64;
        let expected = answers / fraction.clamp(0.05, 1.0);
        total.new_answers() as f64
            > expected * expose * EXPOSURE_FACTOR + EXPOSURE_SLACK
    }
}

/// What one gateway knows of a roll-out that is under way.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Upgrade {
    /// When the order was given, on this gateway's clock; `None` for an order
    /// that is older than this process and of which no peer has told.
    pub started: Option<Millis>,
    /// Time within which it is to be complete, ms.
    pub within_ms: u64,
    /// Own evidence.
    pub local_evidence: RouteEvidence,
    /// Whether some gateway has found the version bad.
    pub halted: bool,
    /// Whether some gateway has found it good enough for everything.
    pub passed: bool,
}

/// Whether a session of this draw is among those of the new version, if it
/// gets `share` of them.
pub fn is_sampled(draw: u64, share: f64) -> bool {
    /// Steps of a draw.
    const BUCKETS: u64 = 10_000;
    ((draw % BUCKETS) as f64) < share * BUCKETS as f64
}

/// Where a request goes while a roll-out is under way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// To the version that served before.
    Old,
    /// To the new one.
    New,
}

impl Upgrade {
    /// A roll-out of an order that was just given, or one of unknown age.
    pub fn new(started: Option<Millis>, within_ms: u64) -> Self {
        Upgrade {
            started,
            within_ms,
            local_evidence: RouteEvidence::default(),
            halted: false,
            passed: false,
        }
    }

    /// Time since the order, ms.
    pub fn elapsed_ms(&self, now: Millis) -> Option<u64> {
        self.started.map(|started| now.since(started))
    }

    /// Takes the evidence of all gateways into account.
    ///
    /// `in_touch` is whether others are heard; a gateway alone does not know
    /// enough to pass a version.  Once passed it stays so unless it is halted:
    /// a share that went back would take sessions back with it.
    pub fn evaluate(
        &mut self,
        all: &RouteEvidence,
        peers_reachable: bool,
        now: Millis,
    ) {
        let fraction = self.elapsed_fraction(now);
        if all.is_worse() {
            self.halted = true;
        }
        if fraction >= MIGRATE_FROM && peers_reachable && all.is_acceptable() {
            self.passed = true;
        }
    }

    /// Part of the time that is over; zero where that is not known.
    fn elapsed_fraction(&self, now: Millis) -> f64 {
        let elapsed_ms = self.elapsed_ms(now).unwrap_or(0);
        elapsed_ms as f64 / self.within_ms.max(1) as f64
    }

    /// Share of new sessions that the new version gets.
    ///
    /// It never falls but when the version is halted, or got more than an
    /// unproved one may.
    pub fn share(&self, expose: f64, all: &RouteEvidence, now: Millis) -> f64 {
        let fraction = self.elapsed_fraction(now);
        if self.halted || fraction < WARM_UP_UNTIL {
            return 0.0;
        }
        if self.passed {
            return if fraction < FULL_FROM {
                INTERIM_SHARE
            } else {
                1.0
            };
        }
        if all.exceeds_exposure(expose, fraction) {
            0.0
        } else {
            expose
        }
    }

    /// Where a session goes, by where it was last and a draw that is the same
    /// for it at every gateway.
    ///
    /// A session stays on its version in the first half, and never goes back.
    pub fn assign(
        &self,
        last: Option<Side>,
        draw: u64,
        share: f64,
        now: Millis,
    ) -> Side {
        if self.halted {
            return Side::Old;
        }
        let sampled = if is_sampled(draw, share) {
            Side::New
        } else {
            Side::Old
        };
        let first_half = self.elapsed_fraction(now) < MIGRATE_FROM;
        match last {
            Some(Side::New) => Side::New,
            Some(Side::Old) if first_half => Side::Old,
            _ => sampled,
        }
    }
}
