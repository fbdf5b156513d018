//! Decisions of the rollout gate.

use clock::Millis;
use config::{Gate, Rollout, RolloutSpec};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use route::{GateDecision, GateSample, GateSettings, RolloutGate};

fn rollout(gate: Gate) -> Rollout {
    let spec = RolloutSpec {
        model: "draft".into(),
        to: "v2".into(),
        percents: vec![10, 50, 100],
        gate,
        step_ms: 1_000,
    };
    Rollout {
        spec,
        ..Rollout::default()
    }
}

fn record_outcomes(
    gate: &mut RolloutGate,
    count: usize,
    good_rate: f64,
    on_new: bool,
    rng: &mut StdRng,
) {
    for _ in 0..count {
        let good = rng.random_range(0.0..1.0) < good_rate;
        let sample = GateSample {
            on_new,
            good,
            at: Millis(5_000),
        };
        gate.record(sample, &GateSettings::default());
    }
}

fn decide(gate: &RolloutGate, rollout: &Rollout, now: Millis) -> GateDecision {
    gate.decide(rollout, now, now, &GateSettings::default())
}

#[test]
fn bad_version_is_halted_within_60_outcomes() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut gate = RolloutGate::default();
    record_outcomes(&mut gate, 200, 0.95, false, &mut rng);
    let mut outcomes = 0;
    while decide(&gate, &rollout(Gate::Sequential), Millis(5_000)) != GateDecision::Halt
    {
        record_outcomes(&mut gate, 1, 0.4, true, &mut rng);
        outcomes += 1;
        assert!(outcomes < 60, "not halted after {outcomes} outcomes");
    }
}

#[test]
fn good_version_is_rarely_halted() {
    let mut halted = 0;
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut gate = RolloutGate::default();
        record_outcomes(&mut gate, 300, 0.95, false, &mut rng);
        record_outcomes(&mut gate, 300, 0.95, true, &mut rng);
        let decision = decide(&gate, &rollout(Gate::Sequential), Millis(5_000));
        halted += usize::from(decision == GateDecision::Halt);
    }
    assert!(halted <= 10, "{halted} of 200 good versions were halted");
}

#[test]
fn silent_rater_delays_sequential_step_but_not_fixed_step() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut gate = RolloutGate::default();
    record_outcomes(&mut gate, 100, 0.95, true, &mut rng);
    let recent = Millis(6_000);
    let silent = Millis(5_000 + 31_000);
    assert_eq!(
        decide(&gate, &rollout(Gate::Sequential), recent),
        GateDecision::Advance
    );
    assert_eq!(
        decide(&gate, &rollout(Gate::Sequential), silent),
        GateDecision::Wait
    );
    assert_eq!(
        decide(&gate, &rollout(Gate::Fixed), silent),
        GateDecision::Advance
    );
}

#[test]
fn step_waits_for_minimum_number_of_outcomes() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut gate = RolloutGate::default();
    record_outcomes(&mut gate, 5, 1.0, true, &mut rng);
    let now = Millis(6_000);
    assert_eq!(
        decide(&gate, &rollout(Gate::Sequential), now),
        GateDecision::Wait
    );
}
