//! The current configuration, shared within a process, and its freshness.

use std::{
    collections::VecDeque,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use clock::Millis;
use config::Config;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Freshness of the configuration, which decides whether requests are admitted.
///
/// See `docs/design/outage.md` for the table of cases.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigHealth {
    /// No configuration has been loaded, so no request can be admitted.
    Empty,
    /// The log was read recently enough, by this process or by a peer whose
    /// configuration is no newer.
    Fresh,
    /// A majority of failure domains is reachable and none can read the log: it is
    /// down, and no change can have been accepted in the meantime.
    StoreDown,
    /// Changes may have been missed: this process can read neither the log nor
    /// enough peers, or cannot apply the log's records.
    CutOff,
}

impl ConfigHealth {
    /// Name in log lines and status; part of the external interface.
    pub fn as_str(self) -> &'static str {
        match self {
            ConfigHealth::Empty => "empty",
            ConfigHealth::Fresh => "fresh",
            ConfigHealth::StoreDown => "store_down",
            ConfigHealth::CutOff => "cut_off",
        }
    }
}

/// Number of recent records kept for peers that are slightly behind.
const RECENT_RECORDS: usize = 512;

/// Configuration update for a peer that is behind.
///
/// Records are preferred while they are still kept, because a full configuration
/// is thousands of times larger.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigUpdate {
    /// The missing records, each with its offset.
    Records(Vec<(u64, String)>),
    /// The full configuration.
    #[serde(rename = "whole")]
    Full(Box<Config>),
}

/// The configuration in use by a process, with its most recent records.
#[derive(Debug)]
pub struct ConfigView {
    current: Mutex<Arc<Config>>,
    recent: Mutex<VecDeque<(u64, String)>>,
    offset: watch::Sender<u64>,
    /// Time as of which the configuration was last known to be current, ms; 0 if
    /// never.
    fresh_at_ms: AtomicU64,
}

impl Default for ConfigView {
    fn default() -> Self {
        ConfigView {
            current: Mutex::new(Arc::new(Config::default())),
            recent: Mutex::default(),
            offset: watch::Sender::new(0),
            fresh_at_ms: AtomicU64::new(0),
        }
    }
}

impl ConfigView {
    fn lock_current(&self) -> MutexGuard<'_, Arc<Config>> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current configuration.
    pub fn current(&self) -> Arc<Config> {
        self.lock_current().clone()
    }

    /// Offset of the next record to apply.
    pub fn offset(&self) -> u64 {
        *self.offset.borrow()
    }

    /// Applies one record to the current configuration.
    pub fn apply(&self, offset: u64, body: &str) {
        let mut current = self.lock_current();
        let before = current.offset;
        Arc::make_mut(&mut current).apply(offset, body);
        let next = current.offset;
        drop(current);
        if next > before {
            let mut recent = self.lock_recent();
            recent.push_back((offset, body.to_owned()));
            if recent.len() > RECENT_RECORDS {
                recent.pop_front();
            }
        }
        self.offset.send_replace(next);
    }

    fn lock_recent(&self) -> MutexGuard<'_, VecDeque<(u64, String)>> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what a peer whose next offset is `have` is missing; `None` if it is
    /// up to date.
    pub fn update_since(&self, have: u64) -> Option<ConfigUpdate> {
        let config = self.current();
        if config.offset <= have {
            return None;
        }
        let recent = self.lock_recent();
        let missing = recent.iter().filter(|(offset, _)| *offset >= have);
        let records: Vec<(u64, String)> = missing.cloned().collect();
        let is_complete = records.len() as u64 == config.offset - have;
        if is_complete {
            return Some(ConfigUpdate::Records(records));
        }
        Some(ConfigUpdate::Full(Box::new((*config).clone())))
    }

    /// Applies an update from a peer; an outdated one has no effect.
    pub fn apply_update(&self, update: ConfigUpdate) {
        match update {
            ConfigUpdate::Records(records) => {
                for (offset, body) in records {
                    // Skip records after a gap, which would hide a change; they will be
                    // read from the log.
                    if offset == self.offset() {
                        self.apply(offset, &body);
                    }
                }
            }
            ConfigUpdate::Full(config) => {
                self.install(*config);
            }
        }
    }

    /// Replaces the configuration if the given one is newer, and returns whether it
    /// did.  The configuration never goes back to an earlier offset.
    pub fn install(&self, config: Config) -> bool {
        let mut current = self.lock_current();
        if config.offset <= current.offset {
            return false;
        }
        let next = config.offset;
        *current = Arc::new(config);
        drop(current);
        self.lock_recent().clear();
        self.offset.send_replace(next);
        true
    }

    /// Records that the configuration was current at `at`, as confirmed by the log
    /// or by a peer.
    pub fn mark_fresh(&self, at: Millis) {
        self.fresh_at_ms.fetch_max(at.0.max(1), Ordering::Relaxed);
    }

    /// Time since the configuration was last known to be current, ms; `u64::MAX` if
    /// it never was.
    pub fn log_age_ms(&self, now: Millis) -> u64 {
        match self.fresh_at_ms.load(Ordering::Relaxed) {
            0 => u64::MAX,
            fresh_at => now.since(Millis(fresh_at)),
        }
    }

    /// Returns a receiver that is notified of new offsets.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.offset.subscribe()
    }
}
