//! Rollouts of a new version of a service.

use derive_more::Display;

/// An operator's order to roll out a version of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutOrder {
    /// Name of the service.
    pub service: String,
    /// Version to roll out.
    pub target: String,
    /// Time in which the rollout must complete, ms.
    pub within_ms: u64,
}

/// State of a rollout.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RolloutState {
    /// The old and the target version may both serve requests.
    #[display("running")]
    Running,
    /// Only the target version serves requests; endpoints of other versions
    /// stop immediately.
    #[display("completed")]
    Completed,
    /// The target version is withdrawn, and its endpoints drain.
    #[display("rolled_back")]
    RolledBack,
}

impl RolloutState {
    /// Whether the state is final.
    pub fn is_terminal(self) -> bool {
        match self {
            RolloutState::Running => false,
            RolloutState::Completed | RolloutState::RolledBack => true,
        }
    }
}

/// The recorded status of a rollout.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutStatus {
    /// State of the rollout.
    pub state: RolloutState,
    /// Version that is rolled out.
    pub target: String,
}
