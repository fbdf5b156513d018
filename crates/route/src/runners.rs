//! Runners known to an entry, and load balancing among them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use clock::Millis;
use displaydoc::Display;
use rand::{Rng, RngExt};

/// Consecutive failures after which a runner is ejected.
const EJECT_FAILURES: u32 = 3;

/// Duration of the first ejection, ms; it doubles with each further one.
const EJECT_BASE_MS: u64 = 1_000;

/// Maximum duration of an ejection, ms.
const EJECT_MAX_MS: u64 = 30_000;

/// Percentage of healthy candidates below which ejections are ignored: if most
/// runners fail, the cause lies elsewhere.
const PANIC_PERCENT: usize = 50;

/// Time during which a new runner gets a cost penalty, ms, so that it is not
/// overloaded before its first report.
const SLOW_START_MS: u64 = 3_000;

/// Assumed service time of an attempt before the first measurement, ms.
const DEFAULT_SERVICE_MS: f64 = 500.0;

/// Weight of the newest sample in the moving average of service times.
const EWMA_WEIGHT: f64 = 0.1;

/// Added latency to another failure domain of the same region, ms.
const CROSS_DOMAIN_MS: f64 = 2.0;

/// Added latency to another region, ms.
const CROSS_REGION_MS: f64 = 25.0;

/// A runner is identified by the address of its agent.
pub type RunnerKey = SocketAddr;

/// Location of a process.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Locality {
    /// Failure domain.
    pub failure_domain: String,
    /// Region.
    pub region: String,
}

/// Contents of an agent's heartbeat.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Instance id of the agent.
    pub instance: String,
    /// Location of the agent.
    pub locality: Locality,
    /// Whether the agent is shutting down and accepts no new work.
    pub draining: bool,
    /// Name of the plain service behind the agent; empty for an engine.
    pub service: String,
    /// Loaded versions, as `model@version`.
    pub versions: BTreeSet<String>,
    /// Attempts in progress, of all entries.
    pub running: u32,
    /// Attempts in the queue, of all entries.
    pub queued: u32,
    /// Maximum number of concurrent attempts.
    pub slots: u32,
}

/// Result of an attempt on a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunnerOutcome {
    /// The runner returned a complete answer.
    Success {
        /// Time from dispatch to the end of the answer, ms.
        took_ms: u64,
    },
    /// The attempt failed or timed out.
    Failure,
    /// The attempt ended for a reason that is not the runner's fault.
    Neutral,
}

/// State of a runner, as seen by this entry.
#[derive(Clone, Debug)]
pub struct Runner {
    /// The last report.
    pub report: Report,
    /// Time of the last report or other response.
    pub last_seen_at: Millis,
    /// Time of the first report.
    pub first_seen_at: Millis,
    /// Attempts of this entry in progress.
    pub inflight: u32,
    /// Attempts of this entry that started minus those that ended since the
    /// last report.
    delta_since_report: i64,
    service_ms: f64,
    failures: u32,
    ejections: u32,
    ejected_until: Millis,
}

/// Requirement that a runner has to meet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Target<'a> {
    /// An engine that has loaded this `model@version`.
    Version(&'a str),
    /// The plain service of this name.
    Service(&'a str),
}

/// Load-balancing policy.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum BalancePolicy {
    /// The better of two random choices by predicted time to the first token.
    #[default]
    Predicted,
    /// The better of two random choices by reported load.
    TwoChoice,
    /// Each runner in turn.
    RoundRobin,
}

impl BalancePolicy {
    /// Parses a settings value; unknown values select
    /// [`BalancePolicy::Predicted`].
    pub fn from_setting(text: &str) -> Self {
        match text {
            "two_choice" => BalancePolicy::TwoChoice,
            "round_robin" => BalancePolicy::RoundRobin,
            _ => BalancePolicy::Predicted,
        }
    }
}

/// Settings of the load balancing.
#[derive(Clone, Debug, Default)]
pub struct PickSettings {
    /// Load-balancing policy.
    pub balance: BalancePolicy,
    /// Location of this entry.
    pub locality: Locality,
    /// Time without a report or response after which a runner is not selected,
    /// ms.
    pub silence_ms: u64,
    /// Number of live entries, including this one, by which this entry's load
    /// is extrapolated to all entries; 0 is treated as 1.
    pub entries: u32,
}

/// Reason why no runner can take the work now.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum PickError {
    /// no endpoint has this version loaded; ask an operator to load it, or retry later
    NotLoaded,
    /// all endpoints with this version are shutting down or not responding; retry shortly
    Unreachable,
}

impl std::error::Error for PickError {}

/// All runners known to an entry.
#[derive(Clone, Debug, Default)]
pub struct Runners {
    by_address: BTreeMap<RunnerKey, Runner>,
    cursor: usize,
}

impl Runners {
    /// Records a heartbeat. A new instance at the same address starts without
    /// history.
    pub fn record_report(&mut self, key: RunnerKey, report: Report, now: Millis) {
        let same = self
            .by_address
            .get(&key)
            .is_some_and(|runner| runner.report.instance == report.instance);
        if !same {
            self.by_address.insert(key, Runner::new(report, now));
            return;
        }
        if let Some(runner) = self.by_address.get_mut(&key) {
            runner.report = report;
            runner.last_seen_at = now;
            runner.delta_since_report = 0;
        }
    }

    /// Records a response other than a heartbeat.
    pub fn record_activity(&mut self, key: RunnerKey, now: Millis) {
        if let Some(runner) = self.by_address.get_mut(&key) {
            runner.last_seen_at = runner.last_seen_at.max(now);
        }
    }

    /// Returns the address of an agent's instance.
    pub fn address_of(&self, instance: &str) -> Option<RunnerKey> {
        let mut all = self.by_address.iter();
        all.find(|(_, runner)| runner.report.instance == instance)
            .map(|(key, _)| *key)
    }

    /// Returns the instance at an address, or an empty string if it is unknown.
    pub fn instance_of(&self, key: RunnerKey) -> String {
        self.by_address
            .get(&key)
            .map_or(String::new(), |runner| runner.report.instance.clone())
    }

    /// Returns whether an instance accepts new work and was seen within
    /// `silence_ms`.
    pub fn takes_work(&self, instance: &str, now: Millis, silence_ms: u64) -> bool {
        let mut all = self.by_address.values();
        all.any(|r| r.report.instance == instance && r.takes_work(now, silence_ms))
    }

    /// Records that a runner announced its shutdown, before its next heartbeat.
    pub fn mark_draining(&mut self, key: RunnerKey) {
        if let Some(runner) = self.by_address.get_mut(&key) {
            runner.report.draining = true;
        }
    }

    /// Records that an instance announced its shutdown, wherever it runs.
    pub fn mark_instance_draining(&mut self, instance: &str) {
        for runner in self.by_address.values_mut() {
            if runner.report.instance == instance {
                runner.report.draining = true;
            }
        }
    }

    /// Removes a runner that the platform no longer lists.
    pub fn remove(&mut self, key: RunnerKey) {
        self.by_address.remove(&key);
    }

    /// Returns the state of a runner.
    pub fn get(&self, key: RunnerKey) -> Option<&Runner> {
        self.by_address.get(&key)
    }

    /// Returns the slots of the runners that match `target` and accept work,
    /// and the number of attempts running or queued on them.
    pub fn capacity(
        &self,
        target: Target<'_>,
        now: Millis,
        silence_ms: u64,
    ) -> (u32, u32) {
        let matching = self.by_address.values().filter(|runner| {
            runner.matches(target) && runner.takes_work(now, silence_ms)
        });
        matching.fold((0, 0), |(slots, used), runner| {
            (slots + runner.report.slots, used + runner.load() as u32)
        })
    }

    /// Selects a runner, preferring those not in `tried`, and skipping ejected
    /// ones unless most candidates are ejected.
    ///
    /// # Errors
    ///
    /// [`PickError::NotLoaded`] if no runner matches `target`, and
    /// [`PickError::Unreachable`] if none of those accepts work.
    pub fn pick<R>(
        &mut self,
        target: Target<'_>,
        tried: &[RunnerKey],
        settings: &PickSettings,
        now: Millis,
        rng: &mut R,
    ) -> Result<RunnerKey, PickError>
    where
        R: Rng,
    {
        let matching: Vec<RunnerKey> = self
            .by_address
            .iter()
            .filter(|(_, runner)| runner.matches(target))
            .map(|(key, _)| *key)
            .collect();
        if matching.is_empty() {
            return Err(PickError::NotLoaded);
        }
        let reachable: Vec<RunnerKey> = matching
            .into_iter()
            .filter(|key| self.by_address[key].takes_work(now, settings.silence_ms))
            .collect();
        let untried: Vec<RunnerKey> = reachable
            .iter()
            .filter(|key| !tried.contains(key))
            .copied()
            .collect();
        let candidates = if untried.is_empty() {
            reachable
        } else {
            untried
        };
        let candidates = self.without_ejected(candidates, now);
        match candidates.len() {
            0 => Err(PickError::Unreachable),
            1 => Ok(candidates[0]),
            len => Ok(self.choose(&candidates, len, settings, now, rng)),
        }
    }

    fn without_ejected(
        &self,
        candidates: Vec<RunnerKey>,
        now: Millis,
    ) -> Vec<RunnerKey> {
        let healthy: Vec<RunnerKey> = candidates
            .iter()
            .filter(|key| self.by_address[key].ejected_until <= now)
            .copied()
            .collect();
        let enough = healthy.len() * 100 >= candidates.len() * PANIC_PERCENT;
        if enough && !healthy.is_empty() {
            healthy
        } else {
            candidates
        }
    }

    fn choose<R>(
        &mut self,
        candidates: &[RunnerKey],
        len: usize,
        settings: &PickSettings,
        now: Millis,
        rng: &mut R,
    ) -> RunnerKey
    where
        R: Rng,
    {
        if settings.balance == BalancePolicy::RoundRobin {
            self.cursor = self.cursor.wrapping_add(1);
            return candidates[self.cursor % len];
        }
        let first = rng.random_range(0..len);
        let second = (first + rng.random_range(1..len)) % len;
        let cost = |key: &RunnerKey| self.by_address[key].cost(settings, now);
        if cost(&candidates[second]) < cost(&candidates[first]) {
            candidates[second]
        } else {
            candidates[first]
        }
    }

    /// Records an attempt sent to a runner.
    pub fn record_dispatch(&mut self, key: RunnerKey) {
        if let Some(runner) = self.by_address.get_mut(&key) {
            runner.inflight += 1;
            runner.delta_since_report += 1;
        }
    }

    /// Records the end of an attempt. Consecutive failures eject the runner.
    pub fn record_end(&mut self, key: RunnerKey, outcome: RunnerOutcome, now: Millis) {
        let Some(runner) = self.by_address.get_mut(&key) else {
            return;
        };
        runner.inflight = runner.inflight.saturating_sub(1);
        runner.delta_since_report -= 1;
        match outcome {
            RunnerOutcome::Success { took_ms } => {
                runner.failures = 0;
                runner.ejections = 0;
                let sample = took_ms as f64;
                runner.service_ms += EWMA_WEIGHT * (sample - runner.service_ms);
            }
            RunnerOutcome::Failure => runner.record_failure(now),
            RunnerOutcome::Neutral => {}
        }
    }
}

impl Runner {
    fn new(report: Report, now: Millis) -> Self {
        Runner {
            report,
            last_seen_at: now,
            first_seen_at: now,
            inflight: 0,
            delta_since_report: 0,
            service_ms: DEFAULT_SERVICE_MS,
            failures: 0,
            ejections: 0,
            ejected_until: Millis::default(),
        }
    }

    fn matches(&self, target: Target<'_>) -> bool {
        match target {
            Target::Version(name) => self.report.versions.contains(name),
            Target::Service(name) => self.report.service == name,
        }
    }

    fn takes_work(&self, now: Millis, silence_ms: u64) -> bool {
        !self.report.draining && now.since(self.last_seen_at) <= silence_ms
    }

    /// Returns the reported attempts, corrected by those that this entry
    /// started and ended since, but at least this entry's own.
    fn load(&self) -> f64 {
        let reported = i64::from(self.report.running) + i64::from(self.report.queued);
        let corrected =
            (reported + self.delta_since_report).max(i64::from(self.inflight));
        corrected.max(0) as f64
    }

    /// Returns the mean of the reported load, which lags, and this entry's own
    /// load extrapolated to all entries.
    fn expected_load(&self, entries: u32) -> f64 {
        let own = f64::from(self.inflight) * f64::from(entries.max(1));
        (self.load() + own) / 2.0
    }

    fn cost(&self, settings: &PickSettings, now: Millis) -> f64 {
        let slots = f64::from(self.report.slots.max(1));
        if settings.balance == BalancePolicy::TwoChoice {
            let reported = f64::from(self.report.running + self.report.queued);
            return reported / slots;
        }
        let load = self.expected_load(settings.entries);
        let waiting = (load + 1.0 - slots).max(0.0);
        let wait_ms = waiting / slots * self.service_ms;
        // Below saturation an emptier engine still generates slightly faster.
        let batching_ms = load / slots * self.service_ms * 0.1;
        wait_ms
            + batching_ms
            + self.locality_penalty_ms(settings)
            + self.slow_start_penalty_ms(now)
    }

    fn locality_penalty_ms(&self, settings: &PickSettings) -> f64 {
        if self.report.locality.region != settings.locality.region {
            CROSS_REGION_MS
        } else if self.report.locality.failure_domain
            != settings.locality.failure_domain
        {
            CROSS_DOMAIN_MS
        } else {
            0.0
        }
    }

    fn slow_start_penalty_ms(&self, now: Millis) -> f64 {
        let known_ms = now.since(self.first_seen_at);
        if known_ms >= SLOW_START_MS {
            return 0.0;
        }
        let remaining = (SLOW_START_MS - known_ms) as f64 / SLOW_START_MS as f64;
        remaining * self.load() * self.service_ms
    }

    fn record_failure(&mut self, now: Millis) {
        self.failures += 1;
        if self.failures < EJECT_FAILURES {
            return;
        }
        let span_ms = EJECT_BASE_MS << self.ejections.min(5);
        self.ejected_until = now.plus(span_ms.min(EJECT_MAX_MS));
        self.ejections += 1;
        self.failures = 0;
    }
}
