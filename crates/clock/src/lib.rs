//! A small clock type in milliseconds.
//!
//! Decisions never read the wall clock: they take a [`Millis`] as an argument,
//! so that tests can script time.  Daemons read it from a [`Clock`].
//!
//! ```
//! use clock::{Clock, ManualClock, Millis};
//!
//! let clock = ManualClock::new(Millis(10));
//! clock.advance(5);
//! assert_eq!(clock.now(), Millis(15));
//! ```

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// A point in time or a span of it, in milliseconds.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    Eq,
    From,
    Hash,
    Into,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[display("{_0}ms")]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Time from `earlier` to `self`, zero if `earlier` lies ahead.
    pub fn since(self, earlier: Millis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// The point `span_ms` after this one.
    pub fn plus(self, span_ms: u64) -> Millis {
        Millis(self.0.saturating_add(span_ms))
    }

    /// The point `span_ms` before this one, or zero.
    pub fn minus(self, span_ms: u64) -> Millis {
        Millis(self.0.saturating_sub(span_ms))
    }

    /// The span as a standard duration.
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

/// What the monotonic clock shows at a process's start, ms.
///
/// It lies well above zero, so that a peer's older observation still has a
/// place on this process's clock.
const START_MS: u64 = 1_000_000_000;

/// Where a daemon reads the time.
pub trait Clock: Send + Sync {
    /// Monotonic time since some fixed point of this process.
    fn now(&self) -> Millis;
    /// Wall-clock time since 1970, for records that people read.
    fn wall(&self) -> Millis;
}

/// The machine's clocks.
#[derive(Clone, Debug)]
pub struct SystemClock {
    start: Instant,
}

impl Default for SystemClock {
    fn default() -> Self {
        SystemClock {
            start: Instant::now(),
        }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Millis {
        Millis(START_MS + self.start.elapsed().as_millis() as u64)
    }

    fn wall(&self) -> Millis {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Millis(since_epoch.unwrap_or_default().as_millis() as u64)
    }
}

/// A clock that moves only when told, for tests and experiments.
#[derive(Clone, Debug, Default)]
pub struct ManualClock {
    now_ms: Arc<AtomicU64>,
}

impl ManualClock {
    /// A clock that stands at `now`.
    pub fn new(now: Millis) -> Self {
        ManualClock {
            now_ms: Arc::new(AtomicU64::new(now.0)),
        }
    }

    /// Moves the clock forward.
    pub fn advance(&self, span_ms: u64) {
        self.now_ms.fetch_add(span_ms, Ordering::Relaxed);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Millis {
        Millis(self.now_ms.load(Ordering::Relaxed))
    }

    fn wall(&self) -> Millis {
        self.now()
    }
}
