//! The configuration in force, shared within a process, and its freshness.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use clock::Millis;
use config::Config;
use tokio::sync::watch;

/// What is known of how fresh the configuration is.
///
/// See `docs/design/outage.md` for the table of cases.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
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

impl Health {
    /// Stable name for logs and status.
    pub fn as_str(self) -> &'static str {
        match self {
            Health::Empty => "empty",
            Health::Fresh => "fresh",
            Health::StoreDown => "store_down",
            Health::CutOff => "cut_off",
        }
    }
}

/// The configuration that a process works by.
#[derive(Debug)]
pub struct ConfigView {
    current: Mutex<Arc<Config>>,
    offset: watch::Sender<u64>,
    /// When the log, or a peer that lately read it, was last heard; 0 never.
    heard_ms: AtomicU64,
}

impl Default for ConfigView {
    fn default() -> Self {
        ConfigView {
            current: Mutex::new(Arc::new(Config::default())),
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
        Arc::make_mut(&mut current).apply(offset, body);
        let next = current.offset;
        drop(current);
        self.offset.send_replace(next);
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
        self.offset.send_replace(next);
        true
    }

    /// Notes that the log, or a peer that heard it at that time, was heard.
    pub fn heard(&self, at: Millis) {
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
