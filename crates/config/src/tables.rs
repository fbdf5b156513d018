//! Entities of the folded configuration.

use serde::{Deserialize, Serialize};

use crate::{RolloutSpec, VersionSpec};

/// An object with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object<T> {
    /// One more than the offset of the last change, so that 0 means none.
    pub revision: u64,
    /// The object.
    pub value: T,
}

/// Whether a version takes work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionState {
    /// It takes any work.
    #[default]
    Serving,
    /// It takes work of sessions that started on it before.
    Retiring,
    /// It takes none.
    Withdrawn,
}

/// A version and its state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// What the operator said of it.
    pub spec: VersionSpec,
    /// Whether it takes work.
    pub state: VersionState,
}

/// Where a roll-out stands.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// New sessions go by the step's share.
    #[default]
    Running,
    /// The share stays until an operator resumes it.
    Paused,
    /// The gate, or a withdrawal, sent new sessions back.
    Halted,
    /// The new version is the serving one.
    Done,
    /// An operator ended it.
    Aborted,
}

/// A roll-out under way or ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// The plan.
    pub spec: RolloutSpec,
    /// Index into the plan's shares.
    pub step: usize,
    /// Wall-clock time when the step began, ms since 1970.
    pub step_at_ms: u64,
    /// Where it stands.
    pub state: RolloutState,
    /// Why it was last paused, halted or ended.
    pub reason: String,
}

impl Rollout {
    /// Share of new sessions that go to the new version, percent.
    pub fn percent(&self) -> u32 {
        match self.state {
            RolloutState::Running | RolloutState::Paused => {
                self.spec.percents.get(self.step).copied().unwrap_or(0)
            }
            RolloutState::Done => 100,
            RolloutState::Halted | RolloutState::Aborted => 0,
        }
    }

    /// Whether it can still move.
    pub fn is_open(&self) -> bool {
        matches!(
            self.state,
            RolloutState::Running | RolloutState::Paused | RolloutState::Halted
        )
    }
}
