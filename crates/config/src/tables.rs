//! Objects of the configuration and their state.

use serde::{Deserialize, Serialize};

use crate::{RolloutSpec, VersionSpec};

/// An object with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object<T> {
    /// Offset of the last change plus one, so that 0 means that no object exists.
    pub revision: u64,
    /// The object.
    pub value: T,
}

/// Which requests a version accepts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionState {
    /// All requests.
    #[default]
    Serving,
    /// Only requests of sessions that already started on it.
    Retiring,
    /// None.
    Withdrawn,
}

/// A version and its state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// The operator's specification.
    pub spec: VersionSpec,
    /// Which requests it accepts.
    pub state: VersionState,
}

/// State of a rollout.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// The step's share of new sessions gets the new version.
    #[default]
    Running,
    /// The share does not change until an operator resumes the rollout.
    Paused,
    /// Halted by the gate or a withdrawal; new sessions get the serving version.
    Halted,
    /// Completed; the new version is the serving one.
    Done,
    /// Aborted by an operator.
    Aborted,
}

/// A rollout, open or ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// The operator's specification.
    pub spec: RolloutSpec,
    /// Index of the current step in [`RolloutSpec::percents`].
    pub step: usize,
    /// Wall-clock time of the last step or action, ms since the Unix epoch.
    pub step_at_ms: u64,
    /// Current state.
    pub state: RolloutState,
    /// Reason given for the last action.
    pub reason: String,
}

impl Rollout {
    /// Share of new sessions that get the new version, in percent: 0 while halted or
    /// aborted, 100 once completed.
    pub fn percent(&self) -> u32 {
        match self.state {
            RolloutState::Running | RolloutState::Paused => {
                self.spec.percents.get(self.step).copied().unwrap_or(0)
            }
            RolloutState::Done => 100,
            RolloutState::Halted | RolloutState::Aborted => 0,
        }
    }

    /// Returns whether the rollout has neither completed nor been aborted.
    pub fn is_open(&self) -> bool {
        matches!(
            self.state,
            RolloutState::Running | RolloutState::Paused | RolloutState::Halted
        )
    }
}
