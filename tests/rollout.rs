//! The gate of a roll-out.

use clock::Millis;
use config::{Gate, Rollout, RolloutSpec};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use route::{GateDecision, GateSample, GateSettings, RolloutGate};

fn running(gate: Gate) -> Rollout {
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

fn feed(
    gate: &mut RolloutGate,
    count: usize,
    good: f64,
    on_new: bool,
    rng: &mut StdRng,
) {
    for _ in 0..count {
        let good = rng.random_range(0.0..1.0) < good;
        let input = GateSample {
            on_new,
            good,
            at: Millis(5_000),
        };
        gate.record(input, &GateSettings::default());
    }
}

fn verdict(gate: &RolloutGate, rollout: &Rollout, now: Millis) -> GateDecision {
    gate.decide(rollout, now, now, &GateSettings::default())
}

#[test]
fn bad_version_is_halted_within_few_outcomes() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut gate = RolloutGate::default();
    feed(&mut gate, 200, 0.95, false, &mut rng);
    let mut seen = 0;
    while verdict(&gate, &running(Gate::Sequential), Millis(5_000))
        != GateDecision::Halt
    {
        feed(&mut gate, 1, 0.4, true, &mut rng);
        seen += 1;
        assert!(seen < 60, "not halted after {seen} outcomes");
    }
}

#[test]
fn good_version_is_seldom_halted() {
    let mut halted = 0;
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut gate = RolloutGate::default();
        feed(&mut gate, 300, 0.95, false, &mut rng);
        feed(&mut gate, 300, 0.95, true, &mut rng);
        let found = verdict(&gate, &running(Gate::Sequential), Millis(5_000));
        halted += usize::from(found == GateDecision::Halt);
    }
    assert!(halted <= 10, "{halted} of 200 good versions were halted");
}

#[test]
fn silent_rater_holds_the_step_but_a_fixed_one_goes_on() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut gate = RolloutGate::default();
    feed(&mut gate, 100, 0.95, true, &mut rng);
    let heard = Millis(6_000);
    let silent = Millis(5_000 + 31_000);
    assert_eq!(
        verdict(&gate, &running(Gate::Sequential), heard),
        GateDecision::Advance
    );
    assert_eq!(
        verdict(&gate, &running(Gate::Sequential), silent),
        GateDecision::Wait
    );
    assert_eq!(
        verdict(&gate, &running(Gate::Fixed), silent),
        GateDecision::Advance
    );
}

#[test]
fn too_few_outcomes_hold_the_step() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut gate = RolloutGate::default();
    feed(&mut gate, 5, 1.0, true, &mut rng);
    let now = Millis(6_000);
    assert_eq!(
        verdict(&gate, &running(Gate::Sequential), now),
        GateDecision::Wait
    );
}
