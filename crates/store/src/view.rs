//! The configuration in force, shared within a process, and its freshness.

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

/// What is known of how fresh the configuration is.
///
/// See `docs/design/outage.md` for the table of cases.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigHealth {
    /// No configuration yet; nothing can be admitted.
    Empty,
    /// Read from the log, or confirmed by a peer that did, within the bound.
    Fresh,
    /// Most rooms agree that the log is down, so that nothing can have been
    /// accepted meanwhile.
    StoreDown,
    /// Neither the log nor enough peers; a change may have been missed.
    CutOff,
}

impl ConfigHealth {
    /// Stable name for logs and status.
    pub fn as_str(self) -> &'static str {
        match self {
            ConfigHealth::Empty => "empty",
            ConfigHealth::Fresh => "fresh",
            ConfigHealth::StoreDown => "store_down",
            ConfigHealth::CutOff => "cut_off",
        }
    }
}

/// Records that are kept for peers that lag a little behind.
const RECENT_RECORDS: usize = 512;

/// What a process gives a peer that knows less.
///
/// The records that it lacks, as long as they are still kept; a whole
/// configuration is thousands of times larger.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigUpdate {
    /// The records that it lacks, with their offsets.
    Records(Vec<(u64, String)>),
    /// All there is.
    #[serde(rename = "whole")]
    Full(Box<Config>),
}

/// The configuration that a process works by.
#[derive(Debug)]
pub struct ConfigView {
    current: Mutex<Arc<Config>>,
    recent: Mutex<VecDeque<(u64, String)>>,
    offset: watch::Sender<u64>,
    /// When the log, or a peer that lately read it, was last heard; 0 never.
    heard_ms: AtomicU64,
}

impl Default for ConfigView {
    fn default() -> Self {
        ConfigView {
            current: Mutex::new(Arc::new(Config::default())),
            recent: Mutex::default(),
            offset: watch::Sender::new(0),
            heard_ms: AtomicU64::new(0),
        }
    }
}

impl ConfigView {
    fn lock(&self) -> MutexGuard<'_, Arc<Config>> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The configuration now.
    pub fn current(&self) -> Arc<Config> {
        self.lock().clone()
    }

    /// Next offset to fold.
    pub fn offset(&self) -> u64 {
        *self.offset.borrow()
    }

    /// Folds one record into the configuration in force.
    pub fn apply(&self, offset: u64, body: &str) {
        let mut current = self.lock();
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

    /// What a peer whose next offset is `have` lacks, if anything.
    pub fn update_since(&self, have: u64) -> Option<ConfigUpdate> {
        let config = self.current();
        if config.offset <= have {
            return None;
        }
        let recent = self.lock_recent();
        let wanted = recent.iter().filter(|(offset, _)| *offset >= have);
        let records: Vec<(u64, String)> = wanted.cloned().collect();
        let unbroken = records.len() as u64 == config.offset - have;
        if unbroken {
            return Some(ConfigUpdate::Records(records));
        }
        Some(ConfigUpdate::Full(Box::new((*config).clone())))
    }

    /// Takes what a peer gave.
    pub fn apply_update(&self, news: ConfigUpdate) {
        match news {
            ConfigUpdate::Records(records) => {
                for (offset, body) in records {
                    // A gap would hide a change; the log will fill it.
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

    /// Takes a whole configuration, unless it is older: what is in force never
    /// reverts.  Tells whether it was taken.
    pub fn install(&self, config: Config) -> bool {
        let mut current = self.lock();
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

    /// Notes that the log, or a peer that heard it at that time, was heard.
    pub fn mark_fresh(&self, at: Millis) {
        self.heard_ms.fetch_max(at.0.max(1), Ordering::Relaxed);
    }

    /// Time since the log was last heard; `u64::MAX` if it never was.
    pub fn log_age_ms(&self, now: Millis) -> u64 {
        match self.heard_ms.load(Ordering::Relaxed) {
            0 => u64::MAX,
            heard => now.since(Millis(heard)),
        }
    }

    /// A receiver that sees every new offset.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.offset.subscribe()
    }
}
