//! Numeric weights that the `objective` setting selects.

use crate::GateSettings;

/// Weights for one value of the `objective` setting. It is unrelated to the
/// latency objective of a route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Cost of 1 ms of delay, millionths of a euro.
    pub micros_per_ms: f64,
    /// Thresholds of the rollout gate.
    pub gate: GateSettings,
}

impl Weights {
    /// Returns the weights that minimize the answers served by a bad version, at
    /// the cost of longer waits.
    pub fn exposure() -> Self {
        Weights {
            micros_per_ms: 0.02,
            gate: GateSettings::default(),
        }
    }

    /// Returns the weights that minimize waits. A rollout step advances after
    /// fewer outcomes.
    pub fn latency() -> Self {
        Weights {
            micros_per_ms: 0.2,
            gate: GateSettings {
                margin: 0.20,
                min_outcomes: 15,
                ..GateSettings::default()
            },
        }
    }
}
