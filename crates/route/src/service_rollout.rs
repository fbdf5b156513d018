//! Share of a service's traffic that a new version gets during a rollout.
//!
//! A new version may fail half of its requests: at once, after a while, only
//! under load, or only on one route, while each gateway sees a small part of
//! the answers. The evidence of all gateways is therefore added up, so that a
//! bad version is stopped after a few answers. A good version gets all traffic
//! well before the deadline, which leaves requests on the old version time to
//! finish. See `docs/design/deployment.md`.

use std::collections::BTreeMap;

use clock::Millis;
use serde::{Deserialize, Serialize};

/// Fraction of the rollout time during which the new version gets no traffic,
/// while its endpoints start and gateways learn of the sessions in progress.
const WARM_UP_UNTIL: f64 = 0.04;

/// Fraction of the rollout time after which sessions may move to the new
/// version.
const MIGRATE_FROM: f64 = 0.5;

/// Fraction of [`ExposureLimit::share`] that is used for the trial of a version.
/// Some sessions send more requests than others, and the rest is needed for the
/// requests between the shift of all traffic and the deadline.
const TRIAL_FRACTION: f64 = 0.45;

/// Fraction of the exposure limit that is planned for, since counts of other
/// gateways are some hundred milliseconds old and traffic may rise.
const PLANNED_FRACTION: f64 = 0.88;

/// Time between the trials of requests without a session, ms.
const BURST_INTERVAL_MS: u64 = 3_000;

/// Fraction of a version's endpoints that take a burst of requests without a
/// session; each then has more load than all traffic would give it.
const BURST_ENDPOINTS: f64 = 0.33;

/// Time after the deadline in which traffic moves to a version that could not be
/// accepted earlier, ms. Its engines have not read the shared prompts yet.
const RAMP_MS: u64 = 10_000;

/// Time before the deadline at which a completion is recorded, ms; it leaves time
/// to try again. A completion cannot be undone, so it is not recorded earlier.
const COMPLETION_LEAD_MS: u64 = 800;

/// Time after the deadline for which a version that missed it is watched before its
/// completion is recorded, ms.
const WATCH_MS: u64 = 15_000;

/// Minimum number of answers before the new version can be accepted.
const ACCEPT_MIN_ANSWERS: u64 = 12;

/// Amount by which an accepted version's rate of bad answers may exceed the old
/// version's.
const ACCEPT_MARGIN: f64 = 0.03;

/// Number of standard errors by which an accepted version's rate of bad answers
/// may exceed the old version's, if that is more than [`ACCEPT_MARGIN`]: a good
/// version can look worse by chance while it has few answers.
const ACCEPT_STD_ERRORS: f64 = 2.0;

/// Minimum number of answers before a route is evaluated on its own.
const ROUTE_MIN_ANSWERS: u64 = 6;

/// Amount by which the rate of bad answers on a single route may exceed the old
/// version's.
const ROUTE_MARGIN: f64 = 0.15;

/// Minimum number of bad answers before a version can be rejected.
const REJECT_MIN_BAD: u64 = 4;

/// Amount by which a rejected version's rate of bad answers must exceed the old
/// version's.
const REJECT_MARGIN: f64 = 0.06;

/// Number of standard errors by which a rejected version's rate of bad answers
/// must exceed the old version's. The evidence is tested repeatedly, and each
/// test can raise a false alarm.
const REJECT_STD_ERRORS: f64 = 2.6;

/// What a bad version is assumed to be, when its answers are compared with chance.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    /// Amount by which its rate of bad answers exceeds the old version's.
    excess: f64,
    /// Lowest rate of bad answers that the old version is assumed to have.
    old_rate_min: f64,
    /// Logarithm of how much likelier its answers must be if it is bad than if it is
    /// like the old version, for it to be rejected.
    reject_log_likelihood: f64,
}

/// A version that fails or delays many requests.
const OFTEN_BAD: Suspicion = Suspicion {
    excess: 0.08,
    old_rate_min: 0.005,
    reject_log_likelihood: 5.0,
};

/// A version that fails seldom, which only many answers tell from chance.
const SELDOM_BAD: Suspicion = Suspicion {
    excess: 0.015,
    old_rate_min: 0.002,
    reject_log_likelihood: 10.0,
};

/// Logarithm of that likelihood, for [`OFTEN_BAD`], above which a version is neither
/// accepted nor completed.
const SUSPECT_LOG_LIKELIHOOD: f64 = 1.5;

/// Limit on the requests that a version may get before the deadline of its rollout.
///
/// It holds whatever the evidence says: a version may be bad in a way that no answer
/// shows before all traffic has moved. See `docs/incidents/`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimit {
    /// Fraction of all requests to the service between the order and the deadline.
    pub share: f64,
    /// Number of requests on top of the share.
    pub slack: f64,
}

impl ExposureLimit {
    /// Returns the fraction of sessions that an unproven version gets.
    pub fn trial_share(&self) -> f64 {
        self.share * TRIAL_FRACTION
    }
}

/// Answer counts of both versions, from one gateway or summed over all.
///
/// Gateways exchange it encoded with postcard, so the order of the fields is
/// part of the format.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evidence {
    /// Good answers of the new version.
    pub new_good: u64,
    /// Failed or slow answers of the new version.
    pub new_bad: u64,
    /// Good answers of the old version.
    pub old_good: u64,
    /// Failed or slow answers of the old version.
    pub old_bad: u64,
}

impl Evidence {
    /// Counts an answer of the new or the old version.
    pub fn count(&mut self, is_new: bool, is_bad: bool) {
        let count = match (is_new, is_bad) {
            (true, false) => &mut self.new_good,
            (true, true) => &mut self.new_bad,
            (false, false) => &mut self.old_good,
            (false, true) => &mut self.old_bad,
        };
        *count += 1;
    }

    /// Adds the counts of `other`.
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

    /// Returns the difference of the versions' rates of bad answers, new minus
    /// old, and its standard error.
    fn rate_difference(&self) -> (f64, f64) {
        let (new, new_n) = (bad_rate(self.new_bad, self.new_good), self.new_answers());
        let (old, old_n) = (bad_rate(self.old_bad, self.old_good), self.old_answers());
        // Rates of 0 and 1 would have a standard error of zero.
        let variance = |rate: f64, n: u64| {
            let rate = rate.clamp(0.02, 0.98);
            rate * (1.0 - rate) / n.max(1) as f64
        };
        let error = (variance(new, new_n) + variance(old, old_n)).sqrt();
        (new - old, error)
    }

    /// Returns how much likelier the new version's answers are if it is bad in this way
    /// than if it is like the old version, as a logarithm.
    fn log_likelihood(&self, suspicion: Suspicion) -> f64 {
        if self.old_answers() == 0 {
            return 0.0;
        }
        let old = (self.old_bad as f64 + 0.5) / (self.old_answers() as f64 + 1.0);
        let old = old.clamp(suspicion.old_rate_min, 0.9);
        let worse = (old + suspicion.excess).min(0.95);
        self.new_bad as f64 * (worse / old).ln()
            + self.new_good as f64 * ((1.0 - worse) / (1.0 - old)).ln()
    }

    /// Returns whether the new version is significantly worse than the old one.
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

/// What a bad answer is in the counts of a route.
///
/// Failures and slow answers are counted apart: where many answers are slow at either
/// version, a few failures of the new one would not show in a sum.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Aspect {
    /// The answer failed; every answer is counted.
    Failure,
    /// The answer was slow; only successful ones are counted.
    Slowness,
}

impl Aspect {
    /// Returns the key under which counts of a route, given by its digest, are kept and
    /// exchanged: the lowest bit tells the aspect.
    pub fn key(self, route: u64) -> u64 {
        match self {
            Aspect::Failure => route & !1,
            Aspect::Slowness => route | 1,
        }
    }

    fn of_key(key: u64) -> Self {
        match key & 1 {
            0 => Aspect::Failure,
            _ => Aspect::Slowness,
        }
    }
}

/// Evidence by route and aspect, since a version may be bad on one route only.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RouteEvidence {
    routes: BTreeMap<u64, Evidence>,
}

impl RouteEvidence {
    /// Returns the counts of a route, given by the key of an [`Aspect`].
    pub fn route_mut(&mut self, route: u64) -> &mut Evidence {
        self.routes.entry(route).or_default()
    }

    /// Adds counts of a route, given by the key of an [`Aspect`].
    pub fn merge(&mut self, route: u64, evidence: &Evidence) {
        self.route_mut(route).merge(evidence);
    }

    /// Returns up to `limit` counts, those with the most answers of the new version and
    /// failures first.
    pub fn top_routes(&self, limit: usize) -> Vec<(u64, Evidence)> {
        let mut routes: Vec<_> = self.routes.iter().map(|(r, e)| (*r, *e)).collect();
        routes.sort_by_key(|(key, evidence)| {
            (key & 1, std::cmp::Reverse(evidence.new_answers()))
        });
        routes.truncate(limit);
        routes
    }

    /// Returns the counts summed over all routes; an answer is bad if it failed.
    pub fn total(&self) -> Evidence {
        let mut total = Evidence::default();
        for evidence in self.aspect(Aspect::Failure) {
            total.merge(evidence);
        }
        total
    }

    fn aspect(&self, aspect: Aspect) -> impl Iterator<Item = &Evidence> {
        let routes = self.routes.iter();
        routes
            .filter(move |(key, _)| Aspect::of_key(**key) == aspect)
            .map(|(_, evidence)| evidence)
    }

    /// Returns the counts summed over all routes, with the old version's answers
    /// distributed over the routes like the new version's.
    ///
    /// A route that fails often on either version would otherwise hide a difference
    /// on the others, or feign one.
    fn comparable_total(&self, aspect: Aspect) -> Evidence {
        let compared = || self.aspect(aspect).filter(|e| e.old_answers() > 0);
        let old_answers: u64 = compared().map(Evidence::old_answers).sum();
        let mut total = Evidence::default();
        let mut old_bad = 0.0;
        for evidence in compared() {
            total.new_good += evidence.new_good;
            total.new_bad += evidence.new_bad;
            old_bad += bad_rate(evidence.old_bad, evidence.old_good)
                * evidence.new_answers() as f64;
        }
        let old_rate = old_bad / total.new_answers().max(1) as f64;
        total.old_bad = (old_rate * old_answers as f64).round() as u64;
        total.old_good = old_answers - total.old_bad.min(old_answers);
        total
    }

    /// Returns whether the new version is significantly worse, overall or on
    /// any route.
    pub fn is_worse(&self) -> bool {
        let aspects = [Aspect::Failure, Aspect::Slowness];
        aspects.into_iter().any(|aspect| {
            let total = self.comparable_total(aspect);
            let likely = total.new_bad >= REJECT_MIN_BAD - 1
                && self.is_rejected(aspect, OFTEN_BAD);
            likely || total.is_worse()
        }) || self.is_rejected(Aspect::Failure, SELDOM_BAD)
            || self.routes.values().any(Evidence::is_worse)
    }

    fn is_rejected(&self, aspect: Aspect, suspicion: Suspicion) -> bool {
        self.log_likelihood(aspect, suspicion) > suspicion.reject_log_likelihood
    }

    fn log_likelihood(&self, aspect: Aspect, suspicion: Suspicion) -> f64 {
        self.aspect(aspect)
            .map(|evidence| evidence.log_likelihood(suspicion))
            .sum()
    }

    /// Returns whether the new version may be worse, though not significantly.
    pub fn is_suspect(&self) -> bool {
        let aspects = [Aspect::Failure, Aspect::Slowness];
        aspects.into_iter().any(|aspect| {
            self.log_likelihood(aspect, OFTEN_BAD) > SUSPECT_LOG_LIKELIHOOD
        })
    }

    /// Returns whether the new version may get all traffic.
    pub fn is_acceptable(&self) -> bool {
        let totals =
            [Aspect::Failure, Aspect::Slowness].map(|a| self.comparable_total(a));
        let within = |evidence: &Evidence, margin: f64| {
            let (difference, error) = evidence.rate_difference();
            difference <= margin.max(ACCEPT_STD_ERRORS * error)
        };
        let mut routes = self.routes.values().filter(|evidence| {
            evidence.new_answers() >= ROUTE_MIN_ANSWERS && evidence.new_bad > 1
        });
        self.total().new_answers() >= ACCEPT_MIN_ANSWERS
            && !self.is_suspect()
            && totals.iter().all(|total| within(total, ACCEPT_MARGIN))
            && routes.all(|evidence| within(evidence, ROUTE_MARGIN))
    }

    /// Returns how many requests the new version may still get after `fraction` of
    /// the rollout time, and how many are expected until its end.
    fn room_and_rest(&self, limit: ExposureLimit, fraction: f64) -> (f64, f64) {
        let total = self.total();
        let answers = (total.new_answers() + total.old_answers()) as f64;
        let expected = answers / fraction.clamp(0.05, 1.0);
        let allowed = (limit.share * expected + limit.slack) * PLANNED_FRACTION;
        (allowed - total.new_answers() as f64, expected - answers)
    }
}

/// State of a rollout of a service in progress, as seen by one gateway.
///
/// Rollouts of model versions are decided by [`RolloutGate`](crate::RolloutGate).
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceRollout {
    /// Time of the order on this gateway's clock. `None` if the order is older
    /// than this process and no peer has reported its age.
    pub started: Option<Millis>,
    /// Time in which the rollout has to complete, ms.
    pub within_ms: u64,
    /// Evidence collected by this gateway.
    pub local_evidence: RouteEvidence,
    /// Whether some gateway found the new version bad.
    pub halted: bool,
    /// Whether this gateway accepted the new version for all traffic.
    pub accepted: bool,
    /// Whether it did so before the deadline.
    pub accepted_in_time: bool,
    /// Whether the new version may be worse, though not significantly.
    pub suspect: bool,
}

/// Returns whether a session with this hash belongs to the `share` of sessions
/// that get the new version.
pub fn is_sampled(hash: u64, share: f64) -> bool {
    /// Resolution of the share.
    const BUCKETS: u64 = 10_000;
    ((hash % BUCKETS) as f64) < share * BUCKETS as f64
}

/// How a request is sampled for the new version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sampling {
    /// By this hash of its session, which is the same at every gateway.
    Session(u64),
    /// By the time at which it arrives, since it belongs to no session.
    Arrival,
    /// Not at all while the version is on trial, since the request belongs to no
    /// session and an endpoint has failed it, or none takes it.
    Retry,
}

/// Version that serves a request during a rollout.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// The version that served before.
    Old,
    /// The new version.
    New,
}

impl ServiceRollout {
    /// Creates the state of a rollout; `started` is `None` if the age of the
    /// order is unknown.
    pub fn new(started: Option<Millis>, within_ms: u64) -> Self {
        ServiceRollout {
            started,
            within_ms,
            local_evidence: RouteEvidence::default(),
            halted: false,
            accepted: false,
            accepted_in_time: false,
            suspect: false,
        }
    }

    /// Returns the time since the order, ms, if known.
    pub fn elapsed_ms(&self, now: Millis) -> Option<u64> {
        self.started.map(|started| now.since(started))
    }

    /// Halts or accepts the new version on the evidence of all gateways.
    ///
    /// An accepted version gets all traffic, so it is accepted only when the requests
    /// until the deadline are within `limit`; afterwards there is no limit. A
    /// gateway that cannot reach its peers (`peers_reachable`) has too little
    /// evidence to accept a version. Acceptance lasts unless the version is
    /// halted, since a falling share would move sessions back to the old version.
    pub fn evaluate(
        &mut self,
        all: &RouteEvidence,
        limit: ExposureLimit,
        peers_reachable: bool,
        now: Millis,
    ) {
        let fraction = self.elapsed_fraction(now);
        if all.is_worse() {
            self.halted = true;
        }
        self.suspect = all.is_suspect();
        let (room, rest) = all.room_and_rest(limit, fraction);
        let fits = fraction >= 1.0 || rest <= room;
        let due = fraction >= MIGRATE_FROM && fits;
        if due && peers_reachable && !self.accepted && all.is_acceptable() {
            self.accepted = true;
            self.accepted_in_time = fraction < 1.0;
        }
    }

    /// Returns whether the completion may be recorded now.
    pub fn may_complete(&self, now: Millis) -> bool {
        let elapsed_ms = self.elapsed_ms(now).unwrap_or(0);
        let in_time = elapsed_ms + COMPLETION_LEAD_MS >= self.within_ms
            && elapsed_ms <= self.within_ms;
        let watched = elapsed_ms >= self.within_ms + WATCH_MS;
        !self.suspect && (in_time || watched)
    }

    /// Returns the elapsed fraction of the rollout time, or zero if the age of
    /// the order is unknown.
    fn elapsed_fraction(&self, now: Millis) -> f64 {
        let elapsed_ms = self.elapsed_ms(now).unwrap_or(0);
        elapsed_ms as f64 / self.within_ms.max(1) as f64
    }

    /// Returns the share of new sessions that get the new version, 0 to 1.
    ///
    /// The share falls only if the version is halted, or if the trial used up
    /// `limit`.
    pub fn share(&self, limit: ExposureLimit, all: &RouteEvidence, now: Millis) -> f64 {
        let fraction = self.elapsed_fraction(now);
        if self.halted || fraction < WARM_UP_UNTIL {
            return 0.0;
        }
        if self.accepted {
            return self.accepted_share(limit, now);
        }
        let (room, _) = all.room_and_rest(limit, fraction);
        if room > 0.0 { limit.trial_share() } else { 0.0 }
    }

    /// Returns the share of an accepted version: all at once before the deadline, when
    /// there is no time to lose, and rising after it. Gateways that accept it at
    /// different times agree on the share after the deadline.
    fn accepted_share(&self, limit: ExposureLimit, now: Millis) -> f64 {
        if self.accepted_in_time {
            return 1.0;
        }
        let over_ms = self
            .elapsed_ms(now)
            .unwrap_or(0)
            .saturating_sub(self.within_ms);
        let ramp = (over_ms as f64 / RAMP_MS as f64).min(1.0);
        let trial = limit.trial_share();
        trial + (1.0 - trial) * ramp
    }

    /// Returns the fraction of the new version's endpoints that take a request.
    ///
    /// A version may fail only under load, so bursts go to few endpoints, which then
    /// have more load than all traffic would give them. Prompts are spread, since
    /// an engine that has to read them all is slow whatever its version.
    pub fn endpoint_fraction(&self, sampling: Sampling) -> f64 {
        match sampling {
            Sampling::Arrival if !self.accepted => BURST_ENDPOINTS,
            Sampling::Arrival | Sampling::Retry | Sampling::Session(_) => 1.0,
        }
    }

    /// Returns the version for a request, given the version that its session last
    /// used.
    ///
    /// A session keeps its version during the first half of the rollout time,
    /// and never returns to the old version unless the rollout is halted.
    pub fn assign(
        &self,
        last: Option<Side>,
        sampling: Sampling,
        share: f64,
        now: Millis,
    ) -> Side {
        if self.halted {
            return Side::Old;
        }
        let is_sampled = match sampling {
            Sampling::Session(hash) => is_sampled(hash, share),
            Sampling::Arrival => share >= 1.0 || self.is_in_burst(share, now),
            Sampling::Retry => share >= 1.0,
        };
        let sampled = if is_sampled { Side::New } else { Side::Old };
        let first_half = self.elapsed_fraction(now) < MIGRATE_FROM;
        match last {
            Some(Side::New) => Side::New,
            Some(Side::Old) if first_half => Side::Old,
            _ => sampled,
        }
    }

    /// Whether requests without a session go to the new version now: all of them for
    /// `share` of each [`BURST_INTERVAL_MS`], so that they meet there.
    fn is_in_burst(&self, share: f64, now: Millis) -> bool {
        let elapsed_ms = self.elapsed_ms(now).unwrap_or(0);
        let phase_ms = (elapsed_ms + BURST_INTERVAL_MS / 2) % BURST_INTERVAL_MS;
        (phase_ms as f64) < share * BURST_INTERVAL_MS as f64
    }
}
