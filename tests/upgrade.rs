//! Share of traffic that a new version gets during a rollout, with simulated
//! time.

use clock::Millis;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use route::{
    Aspect, Evidence, ExposureLimit, RouteEvidence, Sampling, ServiceRollout, Side,
    is_slow,
};

const WITHIN_MS: u64 = 24_000;
const LIMIT: ExposureLimit = ExposureLimit {
    share: 0.15,
    slack: 30.0,
};

/// Time between two simulated requests, ms.
const STEP_MS: u64 = 25;

/// Number of simulated requests between the order and the deadline.
const REQUESTS: f64 = (WITHIN_MS / STEP_MS) as f64;

/// Number of requests that a version may get between the order and the deadline.
const ALLOWED: f64 = LIMIT.share * REQUESTS + LIMIT.slack;

/// Time by which a good version must get all traffic, so that the short requests of
/// a plain service end on the old version before the deadline.
const FULL_BY_MS: u64 = WITHIN_MS - 1_000;

/// Key of the failures on a route.
fn failures(route: u64) -> u64 {
    Aspect::Failure.key(route << 1)
}

/// Key of the slow answers on a route.
fn slowness(route: u64) -> u64 {
    Aspect::Slowness.key(route << 1)
}

/// Result of a simulated rollout.
struct Simulation {
    /// Fraction of all requests that the new version got.
    new_fraction: f64,
    /// Whether the new version was halted.
    halted: bool,
    /// Time when the new version first got all traffic.
    full_ms: Option<u64>,
}

/// Simulates a rollout of a version that fails `new_rate` of its requests from
/// `bad_from_ms` on; all other requests fail at `old_rate`.
fn simulate(seed: u64, new_rate: f64, bad_from_ms: u64, old_rate: f64) -> Simulation {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut upgrade = ServiceRollout::new(Some(Millis(0)), WITHIN_MS);
    let (mut new, mut all) = (0.0, 0.0);
    let mut full_ms = None;
    for step in 0..WITHIN_MS / STEP_MS {
        let now = Millis(step * STEP_MS);
        let evidence = upgrade.local_evidence.clone();
        upgrade.evaluate(&evidence, LIMIT, true, now);
        let share = upgrade.share(LIMIT, &evidence, now);
        if share >= 1.0 {
            full_ms.get_or_insert(now.0);
        }
        let side = upgrade.assign(None, Sampling::Session(rng.random()), share, now);
        all += 1.0;
        let fails = match side {
            Side::New if now.0 >= bad_from_ms => new_rate,
            _ => old_rate,
        };
        let bad = rng.random_bool(fails);
        let route = upgrade
            .local_evidence
            .route_mut(failures(rng.random_range(0..3)));
        match (side, bad) {
            (Side::New, true) => route.new_bad += 1,
            (Side::New, false) => route.new_good += 1,
            (Side::Old, true) => route.old_bad += 1,
            (Side::Old, false) => route.old_good += 1,
        }
        new += f64::from(side == Side::New);
    }
    Simulation {
        new_fraction: new / all,
        halted: upgrade.halted,
        full_ms,
    }
}

/// Regression test: in the workloads trouble-1 and trouble-3 of the Vam
/// deployment, a bad version kept its share while endpoints of the old version
/// failed as well.
#[test]
fn bad_version_is_halted_below_15_percent_of_requests() {
    for seed in 0..200 {
        for old_rate in [0.0, 0.05, 0.15] {
            let Simulation {
                new_fraction,
                halted,
                ..
            } = simulate(seed, old_rate + 0.4, 0, old_rate);
            assert!(halted, "seed {seed}, old_rate {old_rate}");
            assert!(
                new_fraction < 0.15,
                "seed {seed}, old_rate {old_rate}: {new_fraction}"
            );
        }
    }
}

#[test]
fn version_that_turns_bad_is_halted_below_15_percent_of_requests() {
    for seed in 0..200 {
        let Simulation {
            new_fraction,
            halted,
            ..
        } = simulate(seed, 0.5, 3_000, 0.05);
        assert!(halted && new_fraction < 0.15, "seed {seed}: {new_fraction}");
    }
}

/// A good version that misses its deadline costs little, but a bad version that
/// gets all traffic costs the whole day. Therefore up to one good version in
/// twenty may be held back.
#[test]
fn good_version_gets_all_traffic_in_time() {
    let is_late = |simulation: &Simulation| {
        let full = simulation.full_ms.is_some_and(|ms| ms <= FULL_BY_MS);
        simulation.halted || !full
    };
    let simulations = (0..200).map(|seed| simulate(seed, 0.05, 0, 0.05));
    let late = simulations.filter(is_late).count();
    assert!(late <= 10, "{late} of 200 good versions were held back");
}

#[test]
fn version_bad_on_one_route_only_is_detected() {
    let mut evidence = RouteEvidence::default();
    *evidence.route_mut(failures(1)) = Evidence {
        new_good: 60,
        new_bad: 0,
        old_good: 600,
        old_bad: 5,
    };
    *evidence.route_mut(failures(2)) = Evidence {
        new_good: 4,
        new_bad: 5,
        old_good: 90,
        old_bad: 1,
    };
    assert!(evidence.is_worse());
    assert!(!evidence.is_acceptable());
}

#[test]
fn session_moves_to_new_version_only_late_and_back_only_on_halt() {
    let upgrade = ServiceRollout::new(Some(Millis(0)), WITHIN_MS);
    let early = Millis(WITHIN_MS / 4);
    let late = Millis(WITHIN_MS * 3 / 4);
    for draw in 0..100 {
        let sampling = Sampling::Session(draw);
        let side = |last, share, now| upgrade.assign(last, sampling, share, now);
        assert_eq!(side(Some(Side::Old), 1.0, early), Side::Old);
        assert_eq!(side(Some(Side::New), 0.0, early), Side::New);
        assert_eq!(side(Some(Side::New), 0.0, late), Side::New);
        assert_eq!(side(Some(Side::Old), 1.0, late), Side::New);
    }
    let halted = ServiceRollout {
        halted: true,
        ..upgrade
    };
    let side = halted.assign(Some(Side::New), Sampling::Session(0), 1.0, late);
    assert_eq!(side, Side::Old);
}

#[test]
fn share_stays_limited_for_order_of_unknown_age_or_without_peers() {
    let mut evidence = RouteEvidence::default();
    evidence.route_mut(failures(1)).new_good = 500;
    evidence.route_mut(failures(1)).old_good = 5_000;
    let now = Millis(23_500);
    let share = |started, peers_reachable| {
        let mut upgrade = ServiceRollout::new(started, WITHIN_MS);
        upgrade.evaluate(&evidence, LIMIT, peers_reachable, now);
        upgrade.share(LIMIT, &evidence, now)
    };
    assert_eq!(share(None, true), 0.0);
    assert_eq!(share(Some(Millis(0)), true), 1.0);
    assert!(share(Some(Millis(0)), false) <= LIMIT.share);
}

/// Regression test: in the workload quiet-1 of the Sicilia deployment,
/// seed 1005, the share fell again after the version got twice as much traffic
/// as before, which moved sessions back to the old version.
#[test]
fn share_of_a_good_version_never_falls() {
    for seed in 0..100 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut upgrade = ServiceRollout::new(Some(Millis(0)), WITHIN_MS);
        let mut last = 0.0;
        for step in 0..WITHIN_MS / STEP_MS {
            let now = Millis(step * STEP_MS);
            let evidence = upgrade.local_evidence.clone();
            // The other gateways are unreachable from time to time.
            upgrade.evaluate(&evidence, LIMIT, rng.random_bool(0.9), now);
            if upgrade.halted {
                break;
            }
            let share = upgrade.share(LIMIT, &evidence, now);
            assert!(
                share >= last,
                "seed {seed} at {now}: share fell from {last} to {share}"
            );
            last = share;
            let sampling = Sampling::Session(rng.random());
            let side = upgrade.assign(None, sampling, share, now);
            let own = upgrade.local_evidence.route_mut(failures(0));
            let count = match (side, rng.random_bool(0.05)) {
                (Side::New, true) => &mut own.new_bad,
                (Side::New, false) => &mut own.new_good,
                (Side::Old, true) => &mut own.old_bad,
                (Side::Old, false) => &mut own.old_good,
            };
            *count += 1;
        }
    }
}

/// Regression test: a version that fails only under load showed nothing during its
/// trial and got half of all requests before its deadline (EXPOSURE).
#[test]
fn version_without_any_bad_answer_stays_within_the_exposure_limit() {
    for seed in 0..200 {
        let new_fraction = simulate(seed, 0.004, 0, 0.004).new_fraction;
        let new = new_fraction * REQUESTS;
        assert!(new <= ALLOWED, "seed {seed}: {new} of {ALLOWED} allowed");
    }
}

/// Regression test: a route that failed at either version hid that the new one failed
/// on another (EXPOSURE).
#[test]
fn failing_route_does_not_hide_a_bad_version() {
    let mut evidence = RouteEvidence::default();
    let counts = [
        (13, 2, 344, 0),
        (8, 1, 107, 29),
        (2, 1, 68, 0),
        (0, 1, 0, 12),
    ];
    for (route, (new_good, new_bad, old_good, old_bad)) in (0..).zip(counts) {
        *evidence.route_mut(failures(route)) = Evidence {
            new_good,
            new_bad,
            old_good,
            old_bad,
        };
    }
    assert!(evidence.is_worse());
}

/// The same route does not make a good version look bad, which gets more of its
/// requests by chance.
#[test]
fn failing_route_does_not_make_a_good_version_look_bad() {
    let mut evidence = RouteEvidence::default();
    *evidence.route_mut(failures(1)) = Evidence {
        new_good: 30,
        new_bad: 0,
        old_good: 530,
        old_bad: 2,
    };
    *evidence.route_mut(failures(2)) = Evidence {
        new_good: 0,
        new_bad: 8,
        old_good: 0,
        old_bad: 60,
    };
    assert!(!evidence.is_worse());
    assert!(evidence.is_acceptable());
}

/// Requests without a session that arrive together meet at the new version, as all
/// traffic would; a retry stays on the old one.
#[test]
fn requests_without_a_session_reach_a_new_version_in_bursts() {
    let rollout = ServiceRollout::new(Some(Millis(0)), WITHIN_MS);
    let share = LIMIT.trial_share();
    let side = |at_ms, sampling| rollout.assign(None, sampling, share, Millis(at_ms));
    let new: Vec<u64> = (0..WITHIN_MS)
        .filter(|at_ms| side(*at_ms, Sampling::Arrival) == Side::New)
        .collect();
    let fraction = new.len() as f64 / WITHIN_MS as f64;
    assert!((fraction - share).abs() < 0.01, "{fraction}");
    let gaps = new.windows(2).filter(|pair| pair[1] - pair[0] > 1).count();
    assert!(gaps < 10, "{gaps} gaps");
    assert!(
        new.iter()
            .all(|at_ms| side(*at_ms, Sampling::Retry) == Side::Old)
    );
    let few = rollout.endpoint_fraction(Sampling::Arrival);
    assert!(few < 1.0, "{few}");
}

/// A completion cannot be undone, so the evidence of the last seconds counts.
#[test]
fn completion_waits_until_shortly_before_the_deadline() {
    let rollout = ServiceRollout::new(Some(Millis(0)), WITHIN_MS);
    assert!(!rollout.may_complete(Millis(WITHIN_MS / 2)));
    assert!(rollout.may_complete(Millis(WITHIN_MS - 500)));
}

/// Regression test: a version that missed its deadline was completed as soon as the old
/// one was idle, a second before it failed a tenth of its requests (EXPOSURE on the
/// large fleet). With the deadline gone, nothing is lost by watching it for longer.
#[test]
fn version_that_missed_its_deadline_is_watched_before_its_completion() {
    let rollout = ServiceRollout::new(Some(Millis(0)), WITHIN_MS);
    assert!(!rollout.may_complete(Millis(WITHIN_MS + 4_000)));
    assert!(rollout.may_complete(Millis(WITHIN_MS + 16_000)));
}

/// All gateways agree on the rising share, so sessions do not return to the old
/// version at a gateway that accepted the new one later.
#[test]
fn traffic_moves_gradually_to_a_version_that_is_accepted_after_the_deadline() {
    let mut evidence = RouteEvidence::default();
    evidence.route_mut(failures(1)).new_good = 100;
    evidence.route_mut(failures(1)).old_good = 5_000;
    let share = |accepted_ms, at_ms| {
        let mut rollout = ServiceRollout::new(Some(Millis(0)), WITHIN_MS);
        rollout.evaluate(&evidence, LIMIT, true, Millis(accepted_ms));
        rollout.share(LIMIT, &evidence, Millis(at_ms))
    };
    let at = |after_ms| share(WITHIN_MS, WITHIN_MS + after_ms);
    assert!(at(0) < LIMIT.share);
    assert!(at(1_000) > at(500) && at(2_000) > at(1_000));
    assert_eq!(at(10_000), 1.0);
    assert_eq!(share(WITHIN_MS + 1_000, WITHIN_MS + 2_000), at(2_000));
}

/// Regression test: a version of a plain service that answered several times slower, in
/// a tenth of a second, was accepted, since only 150 ms more counted (EXPOSURE).
#[test]
fn answer_several_times_slower_than_usual_is_slow_on_a_fast_route() {
    assert!(is_slow(110.0, 15.0, 100));
    assert!(!is_slow(35.0, 15.0, 100));
    assert!(!is_slow(30.0, 2.0, 400));
    assert!(!is_slow(900.0, 300.0, 2_000));
    assert!(is_slow(1_300.0, 300.0, 2_000));
    assert!(!is_slow(140.0, 15.0, 0));
}

/// Regression test: where a fifth of the old version's answers were slow, a new one that
/// failed a tenth of its requests went unseen (EXPOSURE on the large fleet).
#[test]
fn slow_answers_do_not_hide_failures() {
    let mut evidence = RouteEvidence::default();
    *evidence.route_mut(failures(1)) = Evidence {
        new_good: 55,
        new_bad: 6,
        old_good: 990,
        old_bad: 10,
    };
    *evidence.route_mut(slowness(1)) = Evidence {
        new_good: 55,
        new_bad: 0,
        old_good: 790,
        old_bad: 200,
    };
    assert!(evidence.is_worse());
}

/// A version that may be worse is neither accepted nor completed until its answers tell.
#[test]
fn suspect_version_is_not_accepted() {
    let mut evidence = RouteEvidence::default();
    *evidence.route_mut(failures(1)) = Evidence {
        new_good: 12,
        new_bad: 3,
        old_good: 300,
        old_bad: 15,
    };
    assert!(evidence.is_suspect() && !evidence.is_worse());
    assert!(!evidence.is_acceptable());
}

/// Regression test: a version that failed one or two requests in a hundred under all
/// traffic was not told from one that never failed (EXPOSURE on kcfa-vanshare-grown).
#[test]
fn version_that_fails_seldom_is_halted_after_many_answers() {
    let mut evidence = RouteEvidence::default();
    *evidence.route_mut(failures(1)) = Evidence {
        new_good: 590,
        new_bad: 12,
        old_good: 4_000,
        old_bad: 1,
    };
    assert!(evidence.is_worse());
    let few = evidence.route_mut(failures(1));
    (few.new_good, few.new_bad) = (400, 3);
    assert!(!evidence.is_worse());
}
