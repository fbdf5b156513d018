//! What the user weighs most, as numbers for the decisions.

use crate::GateSettings;

/// Weights that an objective stands for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// What a ms of delay weighs, millionths of a euro.
    pub micros_per_ms: f64,
    /// What a roll-out is halted and passed at.
    pub gate: GateSettings,
}

impl Weights {
    /// Few answers of a bad version go before short waits.
    pub fn exposure() -> Self {
        Weights {
            micros_per_ms: 0.02,
            gate: GateSettings::default(),
        }
    }

    /// Short waits go first; a roll-out needs fewer outcomes for a step.
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
