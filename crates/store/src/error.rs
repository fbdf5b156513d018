//! Errors of calls to the platform's services.

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
    /// the append was rejected because the topic ends at offset {end}, not at the expected one; read the topic again and retry
    Conflict {
        /// Current end of the topic.
        end: u64,
    },
    /// the log no longer holds records before offset {first}; start from a snapshot
    Trimmed {
        /// Offset of the first record that the log still holds.
        first: u64,
    },
    /// the log was restored from an older copy and is now in epoch {epoch}; list the topic again, and repeat an append only after that
    EpochChanged {
        /// Current epoch of the log.
        epoch: u64,
    },
}

impl std::error::Error for StoreError {}

impl StoreError {
    /// Returns whether the failed call may have taken effect.
    pub fn outcome_unknown(&self) -> bool {
        matches!(
            self,
            StoreError::Timeout(_)
                | StoreError::Connection(_)
                | StoreError::EpochChanged { .. }
        )
    }
}
