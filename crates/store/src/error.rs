//! What can go wrong with the platform's services.

use displaydoc::Display;

/// Why a call to the platform failed.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum StoreError {
    /// the platform did not answer within {0} ms; the call may have taken effect, so repeat it only with the same id
    Timeout(u64),
    /// the connection to the platform failed ({0}); the call may have taken effect, so repeat it only with the same id
    Connection(String),
    /// the platform is unavailable and refused the call; try again later
    Unavailable,
    /// the platform answered {0}, which is not expected here; check `store.address`
    Unexpected(String),
    /// the topic does not end where the append expected but at {end}; read on and decide again
    Conflict {
        /// Offset at which it ends.
        end: u64,
    },
    /// records before {first} are gone; start from a snapshot
    Trimmed {
        /// First record that the log still holds.
        first: u64,
    },
}

impl std::error::Error for StoreError {}

impl StoreError {
    /// Whether the call may have taken effect all the same.
    pub fn outcome_unknown(&self) -> bool {
        matches!(self, StoreError::Timeout(_) | StoreError::Connection(_))
    }
}
