//! Which components of requests are held responsible for crashes, in simulated time.

use clock::Millis;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use route::{ComponentSet, CrashLedger, CutRequest, Grounds, Quarantines};

/// Component that all requests of a route have.
const SHARED: u64 = 1;

/// Component that crashes endpoints.
const BAD: u64 = 666;

/// Time between crashes that count separately, ms.
const STEP_MS: u64 = 200;

/// Good answers of the reporter within the last half minute.
const ANSWERED: u32 = 200;

fn set(components: &[u64]) -> ComponentSet {
    components.iter().copied().collect()
}

/// A crash at a new incarnation, which cut off requests with these shared components; no
/// two requests are alike as a whole.
fn crash(ledger: &mut CrashLedger, endpoint: u64, requests: &[&[u64]], now: Millis) {
    for (n, shared) in requests.iter().enumerate() {
        let cut = CutRequest {
            endpoint,
            wholes: set(&[1_000_000 + 100 * endpoint + n as u64]),
            identity: 1_000_000 + 100 * endpoint + n as u64,
            shared: set(shared),
            ..CutRequest::default()
        };
        ledger.record_cut(7, ANSWERED, cut, now);
    }
}

/// A crash that cut off a request that comes again as a whole, and a sound one.
fn crash_on_whole(ledger: &mut CrashLedger, endpoint: u64, answered: u32, at: Millis) {
    for whole in [BAD, 2_000_000 + endpoint] {
        let cut = CutRequest {
            endpoint,
            wholes: set(&[whole]),
            identity: whole,
            ..CutRequest::default()
        };
        ledger.record_cut(7, answered, cut, at);
    }
}

fn suspects(ledger: &CrashLedger, now: Millis) -> Vec<ComponentSet> {
    ledger.suspects(&[], now)
}

#[test]
fn component_in_each_crash_is_held_responsible() {
    let mut ledger = CrashLedger::default();
    let mut now = Millis(1_000);
    ledger.record_sound(SHARED, now);
    for endpoint in 0..3 {
        assert!(
            suspects(&ledger, now).is_empty(),
            "after {endpoint} crashes"
        );
        now = now.plus(STEP_MS);
        let bystander = 10 + endpoint;
        crash(&mut ledger, endpoint, &[&[SHARED, bystander], &[BAD]], now);
        ledger.record_sound(SHARED, now);
    }
    assert_eq!(suspects(&ledger, now), [set(&[BAD])]);
}

/// One endpoint that breaks off answers is no crash of several.
#[test]
fn cuts_at_one_incarnation_count_once() {
    let mut ledger = CrashLedger::default();
    let mut now = Millis(1_000);
    for _ in 0..20 {
        now = now.plus(3_000);
        crash(&mut ledger, 1, &[&[BAD]], now);
    }
    assert!(suspects(&ledger, now).is_empty());
}

/// A rack that fails, or connections that are reset, hold nothing back.
#[test]
fn endpoints_that_fall_together_count_once() {
    let mut ledger = CrashLedger::default();
    for endpoint in 0..40 {
        let now = Millis(1_000 + endpoint);
        crash(&mut ledger, endpoint, &[&[SHARED, 10 + endpoint % 3]], now);
    }
    assert!(suspects(&ledger, Millis(1_050)).is_empty());
}

#[test]
fn nothing_is_held_responsible_before_any_answer() {
    let mut ledger = CrashLedger::default();
    for endpoint in 0..30 {
        let cut = CutRequest {
            endpoint,
            wholes: set(&[1_000 + endpoint]),
            identity: 1_000 + endpoint,
            shared: set(&[BAD]),
            ..CutRequest::default()
        };
        ledger.record_cut(7, 0, cut, Millis(1_000 + endpoint * STEP_MS));
    }
    assert!(suspects(&ledger, Millis(8_000)).is_empty());
}

#[test]
fn components_that_nothing_tells_apart_are_held_back_together_until_a_crash_does() {
    let mut ledger = CrashLedger::default();
    let mut now = Millis(1_000);
    for endpoint in 0..4 {
        now = now.plus(STEP_MS);
        crash(&mut ledger, endpoint, &[&[SHARED, BAD], &[SHARED]], now);
    }
    let both = set(&[SHARED, BAD]);
    assert_eq!(suspects(&ledger, now), std::slice::from_ref(&both));
    assert!(ledger.suspects(&[&both], now).is_empty());
    now = now.plus(STEP_MS);
    crash(&mut ledger, 9, &[&[2, BAD]], now);
    assert_eq!(ledger.suspects(&[&both], now), [set(&[BAD])]);
}

#[test]
fn components_that_nothing_tells_apart_are_held_back_together_until_an_answer_does() {
    let mut ledger = CrashLedger::default();
    let mut now = Millis(1_000);
    for endpoint in 0..4 {
        now = now.plus(STEP_MS);
        crash(&mut ledger, endpoint, &[&[SHARED, BAD]], now);
    }
    let both = set(&[SHARED, BAD]);
    assert_eq!(suspects(&ledger, now), std::slice::from_ref(&both));
    ledger.record_sound(SHARED, now);
    assert_eq!(ledger.suspects(&[], now), [set(&[BAD])]);
}

/// What a crash on a held-back component cut off besides is not blamed on it again.
#[test]
fn crashes_that_are_explained_hold_nothing_else_back() {
    let mut ledger = CrashLedger::default();
    let mut now = Millis(1_000);
    for endpoint in 0..12 {
        now = now.plus(STEP_MS);
        crash(&mut ledger, endpoint, &[&[BAD], &[5]], now);
    }
    let held = set(&[BAD]);
    assert!(ledger.suspects(&[&held], now).is_empty());
}

/// Regression test: a small service crashed three times within 0.3 s, before much was
/// known of it.
#[test]
fn request_that_comes_again_is_held_responsible_after_three_crashes() {
    let mut ledger = CrashLedger::default();
    let mut now = Millis(5_371);
    for endpoint in 0..3 {
        assert!(suspects(&ledger, now).is_empty(), "after {endpoint}");
        now = now.plus(115);
        crash_on_whole(&mut ledger, endpoint, 10, now);
    }
    assert_eq!(suspects(&ledger, now), [set(&[BAD])]);
}

/// Reports on requests that were given up arrive when the crash is noticed, in any order.
#[test]
fn late_reports_count_at_the_time_of_their_request() {
    let mut ledger = CrashLedger::default();
    for endpoint in [2, 0, 1] {
        let at = Millis(5_000 + 200 * endpoint);
        crash_on_whole(&mut ledger, endpoint, 10, at);
    }
    assert_eq!(suspects(&ledger, Millis(7_000)), [set(&[BAD])]);
}

#[test]
fn request_that_was_answered_since_is_not_held_responsible() {
    let mut ledger = CrashLedger::default();
    let mut now = Millis(1_000);
    for endpoint in 0..6 {
        now = now.plus(60_000);
        crash_on_whole(&mut ledger, endpoint, 100, now);
        now = now.plus(60_000);
        ledger.record_sound(BAD, now);
        assert!(suspects(&ledger, now).is_empty(), "after {endpoint}");
    }
}

/// One request that is resumed at several endpoints says nothing about its parts.
#[test]
fn parts_of_a_single_request_are_not_held_responsible() {
    let mut ledger = CrashLedger::default();
    let mut now = Millis(1_000);
    for endpoint in 0..8 {
        now = now.plus(STEP_MS);
        let cut = CutRequest {
            endpoint,
            wholes: set(&[BAD]),
            identity: BAD,
            shared: set(&[SHARED, 5]),
            ..CutRequest::default()
        };
        ledger.record_cut(7, ANSWERED, cut, now);
    }
    assert_eq!(suspects(&ledger, now), [set(&[BAD])]);
}

/// Two of them, at the same time.
#[test]
fn second_component_is_found_while_the_first_is_held_back() {
    let mut ledger = CrashLedger::default();
    let mut now = Millis(1_000);
    for endpoint in 0..8 {
        now = now.plus(STEP_MS);
        let bad = BAD + endpoint % 2;
        crash(&mut ledger, endpoint, &[&[bad], &[20 + endpoint]], now);
    }
    let mut held: Vec<ComponentSet> = Vec::new();
    for _ in 0..3 {
        let known: Vec<&ComponentSet> = held.iter().collect();
        held.extend(ledger.suspects(&known, now));
    }
    held.sort();
    assert_eq!(held, [set(&[BAD]), set(&[BAD + 1])]);
}

#[test]
fn memory_is_bounded_whatever_is_reported() {
    let mut ledger = CrashLedger::default();
    for n in 0..100_000_u64 {
        let now = Millis(1_000 + n);
        crash(&mut ledger, n, &[&[n, n + 1, n + 2]], now);
        ledger.record_sound(n, now);
    }
    let text = format!("{ledger:?}");
    assert!(text.len() < 200_000, "{} bytes", text.len());
}

/// Requests of `kinds` kinds at endpoints that crash: on [`BAD`], and on any request
/// with the probability `chance`.
struct Play {
    rng: StdRng,
    kinds: u64,
    chance: f64,
    ledger: CrashLedger,
    answered: u32,
    held: Vec<ComponentSet>,
    incarnations: u64,
    /// Requests in progress: endpoint, components, end.
    running: Vec<(u64, ComponentSet, u64)>,
    /// Crashes on [`BAD`] before it was held back.
    bad_crashes: usize,
}

impl Play {
    fn new(seed: u64, kinds: u64, chance: f64) -> Play {
        Play {
            rng: StdRng::seed_from_u64(seed),
            kinds,
            chance,
            ledger: CrashLedger::default(),
            answered: 0,
            held: Vec::new(),
            incarnations: 16,
            running: Vec::new(),
            bad_crashes: 0,
        }
    }

    /// Sends a request every 40 ms; every fourth is a bad one if `with_bad`.
    fn run(&mut self, requests: u64, with_bad: bool) {
        let mut endpoints: Vec<u64> = (0..16).collect();
        for n in 0..requests {
            let now = Millis(1_000 + n * 40);
            self.end_answered(now);
            let is_bad = with_bad && n % 4 == 0;
            let kind = 10 + self.rng.random_range(0..self.kinds);
            let components = match is_bad {
                true => set(&[SHARED, BAD]),
                false => set(&[SHARED, kind]),
            };
            if self.held.iter().any(|held| held.is_subset(&components)) {
                continue;
            }
            let slot = self.rng.random_range(0..endpoints.len());
            let endpoint = endpoints[slot];
            let until = now.0 + self.rng.random_range(50..1_500);
            self.running.push((endpoint, components, until));
            if is_bad || self.rng.random_bool(self.chance) {
                self.bad_crashes += usize::from(is_bad);
                self.crash(endpoint, now);
                endpoints[slot] = self.incarnations;
                self.incarnations += 1;
            }
        }
    }

    fn end_answered(&mut self, now: Millis) {
        let running = std::mem::take(&mut self.running);
        for (endpoint, components, until) in running {
            if until > now.0 {
                self.running.push((endpoint, components, until));
                continue;
            }
            self.answered += 1;
            for component in &components {
                self.ledger.record_sound(*component, now);
            }
        }
    }

    fn crash(&mut self, endpoint: u64, now: Millis) {
        let running = std::mem::take(&mut self.running);
        for run in running {
            if run.0 != endpoint {
                self.running.push(run);
                continue;
            }
            let cut = CutRequest {
                endpoint,
                wholes: set(&[run.2 << 8 | endpoint & 0xff]),
                identity: run.2 << 8 | endpoint & 0xff,
                shared: run.1,
                ..CutRequest::default()
            };
            self.ledger.record_cut(7, self.answered, cut, now);
        }
        let known: Vec<&ComponentSet> = self.held.iter().collect();
        let found = self.ledger.suspects(&known, now);
        self.held.extend(found);
    }
}

#[test]
fn only_the_bad_part_is_held_back_whatever_else_is_in_progress() {
    for seed in 0..200 {
        let mut play = Play::new(seed, 6, 0.0);
        play.run(50, false);
        play.run(200, true);
        assert_eq!(play.held, [set(&[BAD])], "seed {seed}");
        assert!(play.bad_crashes <= 8, "seed {seed}: {}", play.bad_crashes);
    }
}

#[test]
fn bad_part_is_found_among_other_crashes() {
    for seed in 0..100 {
        let mut play = Play::new(seed, 6, 0.02);
        play.run(50, false);
        play.run(400, true);
        assert_eq!(play.held, [set(&[BAD])], "seed {seed}");
    }
}

#[test]
fn crashes_at_random_hold_nothing_back() {
    for seed in 0..200 {
        for kinds in [1, 5, 20] {
            let mut play = Play::new(seed, kinds, 0.25);
            play.run(400, false);
            assert!(play.held.is_empty(), "seed {seed}: {:?}", play.held);
        }
    }
}

proptest! {
    #[test]
    fn held_set_covers_requests_with_all_its_components(
        components in proptest::collection::btree_set(0..20_u64, 1..4),
        request in proptest::collection::btree_set(0..20_u64, 0..8),
    ) {
        let mut sets = Quarantines::default();
        sets.hold(1, components.clone(), 0, Grounds::Decided, 0, Millis(1));
        let is_held = sets.find(|component| request.contains(component)).is_some();
        prop_assert_eq!(is_held, components.is_subset(&request));
    }
}

/// A stray notice ends by itself; what the log confirms does not.
#[test]
fn set_that_only_a_peer_names_ends() {
    let mut sets = Quarantines::default();
    let now = Millis(1_000);
    sets.hold(1, set(&[1]), 0, Grounds::peer(now), 0, now);
    sets.hold(1, set(&[2]), 0, Grounds::peer(now), 0, now);
    sets.hold(1, set(&[2]), 0, Grounds::Logged, 0, now);
    sets.expire(now.plus(60_000));
    let left: Vec<&ComponentSet> = sets.iter().map(|held| &held.components).collect();
    assert_eq!(left, [&set(&[2])]);
}

/// Trials of a set that is held back become rarer.
#[test]
fn held_set_is_tried_again_at_growing_intervals() {
    let mut sets = Quarantines::default();
    let start = Millis(1_000);
    sets.hold(1, set(&[1]), 0, Grounds::Decided, 0, start);
    let mut trials = Vec::new();
    for second in 0..1_000 {
        let now = start.plus(second * 1_000);
        let is_due = sets.iter().any(|held| held.review_at() <= now);
        if is_due {
            trials.push(second);
            sets.record_review(&set(&[1]), now);
        }
    }
    assert_eq!(trials, [30, 120, 480]);
}
