//! Finds what endpoints crash on, from the requests that were cut off with them.
//!
//! A crash cuts off every request in progress at the endpoint, and from each gateway
//! the one that caused it looks like the others. What tells them apart is repetition:
//! a component that causes crashes is in progress in each of them and in no answer that
//! went well, while all others are there by chance. See `docs/design/deployment.md`.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};

use clock::Millis;

/// Minimum number of crashes for which a component is held responsible.
const CRASHES_MIN: usize = 3;

/// Number of further crashes that are awaited while several components that no request
/// has in common were in progress in the same ones.
const UNDECIDED_CRASHES: usize = 2;

/// Accepted probability that a component that requests share was in progress in that many
/// crashes, and in no answer that went well, by chance.
const SHARED_CHANCE_MAX: f64 = 1e-6;

/// The same for a whole request, which holds nothing else back.
const WHOLE_CHANCE_MAX: f64 = 1e-3;

/// Time for which a crash is remembered, ms.
const CRASH_TTL_MS: u64 = 600_000;

/// Time in which the requests that are cut off at one incarnation count as cut off by
/// one crash, ms.
const CRASH_SPAN_MS: u64 = 3_000;

/// Time for which a component is beyond suspicion after an answer that went well, ms.
const SOUND_MS: u64 = 30_000;

/// Minimum time between crashes that count separately, ms: endpoints that fall together
/// do so for one reason, whatever each had in progress.
const MOMENT_MS: u64 = 25;

/// Time over which the share of the requests that are cut off by chance is measured, ms.
pub const CUT_RATE_WINDOW_MS: u64 = 30_000;

/// Maximum number of crashes that are remembered.
const CRASHES_MAX: usize = 48;

/// Maximum number of requests that are remembered of one crash.
const REQUESTS_MAX: usize = 24;

/// Maximum number of components and of reporters that are remembered otherwise.
const ENTRIES_MAX: usize = 1_024;

/// Components of a request, sorted; their digests are the same at every gateway.
pub type ComponentSet = BTreeSet<u64>;

/// A request that its endpoint cut off, or that was given up just before.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CutRequest {
    /// Digest of the endpoint's version.
    pub version: u64,
    /// Digest of the endpoint's id.
    pub endpoint: u64,
    /// Start time of the endpoint's incarnation, ms since the Unix epoch.
    pub born_ms: u64,
    /// Digests of the whole request, without those of recent answers of the reporter.
    pub wholes: ComponentSet,
    /// Tells the request from others, also if they are alike as a whole.
    pub identity: u64,
    /// Components that other requests share, without those of recent answers of the
    /// reporter.
    pub shared: ComponentSet,
}

/// What a request that was cut off held.
#[derive(Clone, Debug)]
struct Content {
    wholes: ComponentSet,
    identity: u64,
    shared: ComponentSet,
}

/// The requests that one crash cut off.
#[derive(Clone, Debug)]
struct Crash {
    version: u64,
    endpoint: u64,
    born_ms: u64,
    first_cut: Millis,
    last_cut: Millis,
    requests: Vec<Content>,
}

impl Crash {
    fn incarnation(&self) -> (u64, u64) {
        (self.endpoint, self.born_ms)
    }

    /// Whether any of the requests has all of the shared `components`.
    fn involves(&self, components: &ComponentSet) -> bool {
        let mut requests = self.requests.iter();
        requests.any(|request| components.is_subset(&request.shared))
    }

    /// Returns all components of the requests, each once.
    fn components(&self) -> BTreeSet<u64> {
        let shared = self.requests.iter().flat_map(|request| &request.shared);
        let wholes = self.requests.iter().flat_map(|request| &request.wholes);
        shared.chain(wholes).copied().collect()
    }
}

/// Crashes of one service's endpoints, as all gateways report them.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    crashes: VecDeque<Crash>,
    /// Components of the requests that were cut off.
    involved: HashSet<u64>,
    /// When a component was last in an answer that went well.
    sound: HashMap<u64, Millis>,
    /// Answers that each reporter had within [`CUT_RATE_WINDOW_MS`], and when it said
    /// so.
    answered: HashMap<u64, (u32, Millis)>,
}

impl CrashLedger {
    /// Records a request that was cut off or given up at `at`. `reporter` identifies the
    /// gateway that sent it, which had `answered` answers of this service in the last
    /// [`CUT_RATE_WINDOW_MS`].
    pub fn record_cut(
        &mut self,
        reporter: u64,
        answered: u32,
        cut: CutRequest,
        at: Millis,
    ) {
        let known = self.answered.contains_key(&reporter);
        if known || self.answered.len() < ENTRIES_MAX {
            self.answered.insert(reporter, (answered, at));
        }
        self.involved.extend(cut.wholes.iter().chain(&cut.shared));
        let content = Content {
            wholes: cut.wholes,
            identity: cut.identity,
            shared: cut.shared,
        };
        let incarnation = (cut.endpoint, cut.born_ms);
        let same = |crash: &&mut Crash| {
            crash.incarnation() == incarnation
                && at.since(crash.last_cut) <= CRASH_SPAN_MS
                && crash.first_cut.since(at) <= CRASH_SPAN_MS
        };
        if let Some(crash) = self.crashes.iter_mut().rev().find(same) {
            crash.first_cut = crash.first_cut.min(at);
            crash.last_cut = crash.last_cut.max(at);
            if crash.requests.len() < REQUESTS_MAX {
                crash.requests.push(content);
            }
            return;
        }
        if self.crashes.len() >= CRASHES_MAX {
            self.crashes.pop_front();
            self.forget_uninvolved();
        }
        self.crashes.push_back(Crash {
            version: cut.version,
            endpoint: cut.endpoint,
            born_ms: cut.born_ms,
            first_cut: at,
            last_cut: at,
            requests: vec![content],
        });
    }

    /// Forgets the components that are in no crash any more.
    fn forget_uninvolved(&mut self) {
        self.involved = self.crashes.iter().flat_map(Crash::components).collect();
    }

    /// Whether a request with `component` was cut off.
    pub fn is_involved(&self, component: u64) -> bool {
        self.involved.contains(&component)
    }

    /// Records that an answer to a request with `component` went well.
    pub fn record_sound(&mut self, component: u64, now: Millis) {
        if self.sound.len() >= ENTRIES_MAX {
            self.sound.retain(|_, at| now.since(*at) < SOUND_MS);
        }
        if self.sound.len() < ENTRIES_MAX || self.sound.contains_key(&component) {
            self.sound.insert(component, now);
        }
    }

    /// Returns the digest of the version that crashed last.
    pub fn last_version(&self) -> Option<u64> {
        self.crashes.back().map(|crash| crash.version)
    }

    /// Forgets crashes that are too old; returns whether any is left.
    pub fn expire(&mut self, now: Millis) -> bool {
        let before = self.crashes.len();
        self.crashes
            .retain(|crash| now.since(crash.last_cut) < CRASH_TTL_MS);
        if self.crashes.len() < before {
            self.forget_uninvolved();
        }
        !self.crashes.is_empty()
    }

    /// Returns the sets of components to hold back, beyond those in `held`: a request
    /// that has all components of one of them is assumed to crash its endpoint.
    pub fn suspects(&self, held: &[&ComponentSet], now: Millis) -> Vec<ComponentSet> {
        // A set of several is not known to be the cause as a whole.
        let settled: Vec<_> = held.iter().filter(|set| set.len() == 1).collect();
        let mut open: Vec<&Crash> = self
            .crashes
            .iter()
            .filter(|crash| !settled.iter().any(|set| crash.involves(set)))
            .collect();
        open.sort_by_key(|crash| crash.first_cut);
        let counts = self.crash_counts(&open, now);
        let mut suspects = self.suspected_wholes(&open, &counts, now);
        suspects.extend(self.suspected_shared(&open, &counts, now));
        let is_new = |set: &ComponentSet| !held.iter().any(|held| held.is_subset(set));
        suspects.retain(is_new);
        suspects
    }

    /// Returns the requests that came again as a whole.
    fn suspected_wholes(
        &self,
        open: &[&Crash],
        counts: &HashMap<u64, usize>,
        now: Millis,
    ) -> Vec<ComponentSet> {
        let requests = open.iter().flat_map(|crash| &crash.requests);
        let wholes: BTreeSet<u64> = requests.flat_map(|r| &r.wholes).copied().collect();
        let suspected = wholes.into_iter().filter(|whole| {
            let count = counts.get(whole).copied().unwrap_or(0);
            let is_in = |request: &Content| request.wholes.contains(whole);
            let chance = self.cut_rate(open, is_in, now).powi(count as i32);
            count >= CRASHES_MIN && chance <= WHOLE_CHANCE_MAX
        });
        suspected.map(|whole| ComponentSet::from([whole])).collect()
    }

    /// Returns the sets of shared components that were in progress most often.
    ///
    /// A set has more than one component as long as no crash and no answer tells them
    /// apart, so that requests with only some of them still show which one it is.
    fn suspected_shared(
        &self,
        open: &[&Crash],
        counts: &HashMap<u64, usize>,
        now: Millis,
    ) -> Vec<ComponentSet> {
        let repeated = shared_by_several(open);
        let count = |component: &u64| match repeated.contains(component) {
            true => counts.get(component).copied().unwrap_or(0),
            false => 0,
        };
        let most = repeated.iter().map(count).max().unwrap_or(0);
        // Without answers that went well, everything may crash the endpoints.
        if most < CRASHES_MIN || self.answered_recently(now) == 0 {
            return Vec::new();
        }
        let sets: BTreeSet<ComponentSet> = open
            .iter()
            .flat_map(|crash| &crash.requests)
            .map(|request| {
                let shared = request.shared.iter().copied();
                shared
                    .filter(|component| count(component) == most)
                    .collect()
            })
            .collect();
        let widest: Vec<ComponentSet> = sets
            .iter()
            .filter(|set| !sets.iter().any(|o| o != *set && set.is_subset(o)))
            .cloned()
            .collect();
        let undecided =
            share_a_crash(&widest, open) && most < CRASHES_MIN + UNDECIDED_CRASHES;
        let is_in = |request: &Content| request.shared.iter().any(|c| count(c) == most);
        let chance = self.cut_rate(open, is_in, now).powi(most as i32);
        if undecided || chance > SHARED_CHANCE_MAX {
            return Vec::new();
        }
        widest
    }

    /// Whether an answer shows that `component` did not cause a crash.
    fn is_cleared(&self, component: u64, crash: &Crash, now: Millis) -> bool {
        let sound = self.sound.get(&component);
        sound.is_some_and(|at| now.since(*at) < SOUND_MS || *at >= crash.last_cut)
    }

    /// Counts the crashes that involved each component that was in no recent answer that
    /// went well: each incarnation once, and those of one moment once.
    fn crash_counts(&self, crashes: &[&Crash], now: Millis) -> HashMap<u64, usize> {
        let mut counted: HashMap<u64, (Millis, HashSet<(u64, u64)>)> = HashMap::new();
        for crash in crashes {
            for component in crash.components() {
                if self.is_cleared(component, crash, now) {
                    continue;
                }
                let (last, seen) = counted.entry(component).or_default();
                let is_separate =
                    seen.is_empty() || crash.first_cut >= last.plus(MOMENT_MS);
                if is_separate && seen.insert(crash.incarnation()) {
                    *last = crash.first_cut;
                }
            }
        }
        let counts = counted.into_iter();
        counts
            .map(|(component, (_, seen))| (component, seen.len()))
            .collect()
    }

    /// Estimates which share of the requests is cut off in crashes in which no request
    /// `is_suspected`. It is high as long as little is known.
    fn cut_rate<F>(&self, open: &[&Crash], is_suspected: F, now: Millis) -> f64
    where
        F: Fn(&Content) -> bool,
    {
        let unexplained = open.iter().filter(|crash| {
            now.since(crash.last_cut) < CUT_RATE_WINDOW_MS
                && !crash.requests.iter().any(&is_suspected)
        });
        let cut: usize = unexplained.map(|crash| crash.requests.len()).sum();
        // With one of each kind assumed before anything is known.
        (cut as f64 + 1.0) / (cut as f64 + self.answered_recently(now) as f64 + 2.0)
    }

    fn answered_recently(&self, now: Millis) -> u64 {
        let recent = |at: Millis| now.since(at) < CUT_RATE_WINDOW_MS;
        let reports = self.answered.values().filter(|(_, at)| recent(*at));
        reports.map(|(count, _)| u64::from(*count)).sum()
    }
}

/// Returns the shared components of more than one request: those of a single one that
/// came again say no more than the request as a whole.
fn shared_by_several(crashes: &[&Crash]) -> BTreeSet<u64> {
    let mut identities: HashMap<u64, HashSet<u64>> = HashMap::new();
    for request in crashes.iter().flat_map(|crash| &crash.requests) {
        for component in &request.shared {
            let seen = identities.entry(*component).or_default();
            seen.insert(request.identity);
        }
    }
    let several = identities.into_iter().filter(|(_, seen)| seen.len() > 1);
    several.map(|(component, _)| component).collect()
}

/// Whether two of the sets were in progress in the same crash, so that one of them may
/// have been there by chance.
fn share_a_crash(sets: &[ComponentSet], crashes: &[&Crash]) -> bool {
    crashes.iter().any(|crash| {
        let involved = sets.iter().filter(|set| crash.involves(set));
        involved.count() > 1
    })
}
