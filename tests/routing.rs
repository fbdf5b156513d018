//! The choice of a runner, and the budget of retries.

use std::net::SocketAddr;

use clock::Millis;
use proptest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};
use route::{
    BalancePolicy, Locality, PickError, PickSettings, Report, RetryBudget,
    RunnerOutcome, Runners, Target,
};

const TARGET: Target<'static> = Target::Version("draft@v1");

fn key(at: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, at], 1))
}

fn report(room: &str, running: u32) -> Report {
    Report {
        instance: "i".into(),
        locality: Locality {
            failure_domain: room.into(),
            region: "r".into(),
        },
        versions: ["draft@v1".to_owned()].into(),
        slots: 8,
        running,
        ..Report::default()
    }
}

fn settings() -> PickSettings {
    PickSettings {
        balance: BalancePolicy::Predicted,
        locality: Locality {
            failure_domain: "a".into(),
            region: "r".into(),
        },
        silence_ms: 1_000,
        entries: 1,
    }
}

fn picks(runners: &mut Runners, now: Millis, count: usize) -> Vec<SocketAddr> {
    let mut rng = StdRng::seed_from_u64(7);
    let pick = |_| runners.pick(TARGET, &[], &settings(), now, &mut rng).ok();
    (0..count).filter_map(pick).collect()
}

#[test]
fn leaving_silent_and_unfit_runners_get_nothing() {
    let mut runners = Runners::default();
    let now = Millis(10_000);
    runners.record_report(key(1), report("a", 0), now);
    runners.record_report(
        key(2),
        Report {
            leaving: true,
            ..report("a", 0)
        },
        now,
    );
    runners.record_report(key(3), report("a", 0), Millis(8_000));
    runners.record_report(
        key(4),
        Report {
            versions: Default::default(),
            ..report("a", 0)
        },
        now,
    );
    assert!(
        picks(&mut runners, now, 50)
            .iter()
            .all(|picked| *picked == key(1))
    );
    runners.mark_leaving(key(1));
    let mut rng = StdRng::seed_from_u64(7);
    let none = runners.pick(TARGET, &[], &settings(), now, &mut rng);
    assert_eq!(none, Err(PickError::Unreachable));
    let unknown = Target::Version("draft@v9");
    let none = runners.pick(unknown, &[], &settings(), now, &mut rng);
    assert_eq!(none, Err(PickError::NotLoaded));
}

#[test]
fn replaced_instance_on_the_same_address_starts_afresh() {
    let mut runners = Runners::default();
    let now = Millis(10_000);
    runners.record_report(
        key(1),
        Report {
            leaving: true,
            ..report("a", 0)
        },
        now,
    );
    runners.record_report(
        key(1),
        Report {
            instance: "j".into(),
            ..report("a", 0)
        },
        now,
    );
    assert_eq!(picks(&mut runners, now, 1), vec![key(1)]);
}

#[test]
fn failing_runner_is_ejected_but_not_the_last_half() {
    let mut runners = Runners::default();
    let now = Millis(10_000);
    for at in 1..=2 {
        runners.record_report(key(at), report("a", 0), now);
    }
    for _ in 0..3 {
        runners.record_dispatch(key(1));
        runners.record_end(key(1), RunnerOutcome::Failure, now);
    }
    assert!(
        picks(&mut runners, now, 50)
            .iter()
            .all(|picked| *picked == key(2))
    );
    for _ in 0..3 {
        runners.record_dispatch(key(2));
        runners.record_end(key(2), RunnerOutcome::Failure, now);
    }
    // With all of them ejected the fault is elsewhere: they are used again.
    let both: std::collections::BTreeSet<_> =
        picks(&mut runners, now, 50).into_iter().collect();
    assert_eq!(both.len(), 2);
}

#[test]
fn emptier_and_nearer_runner_is_preferred() {
    let mut runners = Runners::default();
    let now = Millis(10_000);
    runners.record_report(key(1), report("a", 8), now);
    runners.record_report(key(2), report("a", 0), now);
    let later = now.plus(500);
    assert!(
        picks(&mut runners, later, 50)
            .iter()
            .all(|picked| *picked == key(2))
    );
    let mut rooms = Runners::default();
    rooms.record_report(key(1), report("b", 0), now);
    rooms.record_report(key(2), report("a", 0), now);
    assert!(
        picks(&mut rooms, later, 50)
            .iter()
            .all(|picked| *picked == key(2))
    );
}

#[test]
fn tried_runners_are_left_out_while_others_remain() {
    let mut runners = Runners::default();
    let now = Millis(10_000);
    for at in 1..=2 {
        runners.record_report(key(at), report("a", 0), now);
    }
    let mut rng = StdRng::seed_from_u64(7);
    for _ in 0..20 {
        let next = runners.pick(TARGET, &[key(1)], &settings(), now, &mut rng);
        assert_eq!(next, Ok(key(2)));
    }
    let all = runners.pick(TARGET, &[key(1), key(2)], &settings(), now, &mut rng);
    assert!(all.is_ok());
}

#[test]
fn retries_stay_a_share_of_first_attempts() {
    let mut budget = RetryBudget::new(0.1);
    let now = Millis(1_000);
    for _ in 0..1_000 {
        budget.record_first_attempt(now);
    }
    let granted = (0..1_000).filter(|_| budget.try_retry(now)).count();
    assert!((100..=103).contains(&granted), "{granted}");
    let mut none = RetryBudget::new(0.0);
    none.record_first_attempt(now);
    assert!(!none.try_retry(now));
}

proptest! {
    /// Whatever the traffic, the repeats that all gateways take in ten seconds
    /// stay within the share of the first attempts of ten seconds that end in
    /// them, and the gateways' floors.
    #[test]
    fn repeats_of_all_gateways_stay_within_the_share(
        bursts in proptest::collection::vec((0_u64..6, 0_u64..9), 80),
        quiet in proptest::collection::vec(any::<bool>(), 80),
    ) {
        const GATEWAYS: usize = 5;
        const SHARE: f64 = 0.8;
        const FLOORS: f64 = 3.0 * GATEWAYS as f64;
        const STEP_MS: u64 = 500;
        const WINDOW: usize = 20;
        let mut budgets = vec![RetryBudget::new(SHARE); GATEWAYS];
        let mut first = Vec::new();
        let mut taken = Vec::new();
        for (at, ((firsts, wanted), quiet)) in bursts.iter().zip(&quiet).enumerate() {
            let now = Millis(1_000 + at as u64 * STEP_MS);
            let firsts = if *quiet { 0 } else { *firsts };
            let (mut sum_first, mut sum_taken) = (0_u64, 0_u64);
            for budget in &mut budgets {
                (0..firsts).for_each(|_| budget.record_first_attempt(now));
                sum_first += firsts;
                sum_taken += (0..*wanted).filter(|_| budget.try_retry(now)).count() as u64;
            }
            first.push(sum_first);
            taken.push(sum_taken);
        }
        let sum = |counts: &[u64], from: usize| -> f64 {
            counts[from..from + WINDOW].iter().sum::<u64>() as f64
        };
        for from in WINDOW..first.len() - WINDOW {
            let starts = from - WINDOW..=from;
            let most = starts.map(|start| sum(&first, start)).fold(0.0, f64::max);
            let repeats = sum(&taken, from);
            prop_assert!(repeats <= SHARE * most + FLOORS, "{repeats} {most}");
        }
    }
}
