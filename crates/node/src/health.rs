//! Decides whether a process may admit work.
//!
//! A process is fresh if it, or a peer that it exchanges heartbeats with, read
//! the log recently.  Otherwise there are two cases: the store is down for all
//! processes, so that no change can have been accepted, or this process is
//! cut off from it and may have missed the withdrawal of a version.  The
//! store counts as down only if live processes in a majority of the failure
//! domains, this process's own included, all fail to read the log.

use std::collections::BTreeSet;

use settings::StoreSettings;
use store::ConfigHealth;

/// Age of the log as a peer last reported it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerLogAge {
    /// Failure domain of the peer.
    pub failure_domain: String,
    /// Time since the peer last read the log, ms.
    pub log_age_ms: u64,
}

/// State of the local copy of the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigState {
    /// No record was applied yet.
    Empty,
    /// Applying stopped at a record in a newer format.
    Blocked,
    /// All records that were read are applied.
    Ready,
}

/// Assesses the health of this process from its own and its peers' log ages.
///
/// `peers` holds only the peers that responded within `entry.silence_ms`.
/// `log_age_ms` is the time since this process last knew the state of the log,
/// ms; it accounts for what fresh peers reported.
pub fn assess(
    failure_domain: &str,
    config: ConfigState,
    log_age_ms: u64,
    peers: &[PeerLogAge],
    settings: &StoreSettings,
) -> ConfigHealth {
    if log_age_ms <= settings.stale_after_ms {
        return ConfigHealth::Fresh;
    }
    match config {
        ConfigState::Empty => return ConfigHealth::Empty,
        // The log responds but holds a record that this build cannot read.
        ConfigState::Blocked => return ConfigHealth::CutOff,
        ConfigState::Ready => {}
    }
    let mut failure_domains: BTreeSet<&str> = BTreeSet::from([failure_domain]);
    for peer in peers {
        // A peer that reads the log while this process cannot catch up with it
        // proves that the store is up.
        if peer.log_age_ms <= settings.stale_after_ms {
            return ConfigHealth::CutOff;
        }
        failure_domains.insert(&peer.failure_domain);
    }
    if failure_domains.len() * 2 > settings.failure_domains {
        ConfigHealth::StoreDown
    } else {
        ConfigHealth::CutOff
    }
}
