//! Roll-outs of a service's version.

use derive_more::Display;

/// An operator's order to move a service to another version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutOrder {
    /// Service to move.
    pub service: String,
    /// Version to move to.
    pub target: String,
    /// Time within which the move is to be complete, ms.
    pub within_ms: u64,
    /// Offset of the order in the log, which tells orders apart.
    pub offset: u64,
}

/// How far a roll-out is.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RolloutState {
    /// Both versions may serve.
    #[display("running")]
    Running,
    /// Only the target serves; endpoints of other versions stop at once.
    #[display("completed")]
    Completed,
    /// The target is withdrawn; its endpoints drain.
    #[display("rolled_back")]
    RolledBack,
}

impl RolloutState {
    /// Whether nothing more is to be decided.
    pub fn is_terminal(self) -> bool {
        match self {
            RolloutState::Running => false,
            RolloutState::Completed | RolloutState::RolledBack => true,
        }
    }
}

/// What the system has recorded of a roll-out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutStatus {
    /// How far it is.
    pub state: RolloutState,
    /// Version that it moves to.
    pub target: String,
}
