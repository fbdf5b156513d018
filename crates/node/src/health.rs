//! Whether a process may admit work: the table of cases.
//!
//! A process that hears the log, or a peer that lately did, is fresh.  One
//! that does not must tell two cases apart: the store is down for all, so
//! that nothing can have been accepted, or this process is cut off, so that a
//! withdrawal may have passed it by.  It asks the rooms: only if most of them
//! are heard and none heard the log is the store held to be down.

use std::collections::BTreeSet;

use settings::StoreSettings;
use store::Health;

/// What a peer last said about the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerLogAge {
    /// Room of the peer.
    pub failure_domain: String,
    /// Age of the log's last answer to it, ms.
    pub log_age_ms: u64,
}

/// What the configuration's fold can be used for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigState {
    /// Nothing was folded yet.
    Empty,
    /// It stopped before a record from a newer build.
    Blocked,
    /// It is as new as what was heard.
    Ready,
}

/// Judges by this process's own news and its peers'.
///
/// `peers` holds only those heard within the silence bound; a peer's fresh
/// news has lowered `log_age_ms` already.
pub fn assess(
    room: &str,
    fold: ConfigState,
    log_age_ms: u64,
    peers: &[PeerLogAge],
    settings: &StoreSettings,
) -> Health {
    if log_age_ms <= settings.stale_after_ms {
        return Health::Fresh;
    }
    match fold {
        ConfigState::Empty => return Health::Empty,
        // The log answers, but holds a record that this build cannot read.
        ConfigState::Blocked => return Health::CutOff,
        ConfigState::Ready => {}
    }
    let mut rooms: BTreeSet<&str> = BTreeSet::from([room]);
    for peer in peers {
        // A peer that hears the log while we cannot catch up to it proves
        // that the store is up.
        if peer.log_age_ms <= settings.stale_after_ms {
            return Health::CutOff;
        }
        rooms.insert(&peer.failure_domain);
    }
    if rooms.len() * 2 > settings.failure_domains {
        Health::StoreDown
    } else {
        Health::CutOff
    }
}
