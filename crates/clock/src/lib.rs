//! Time in milliseconds, and the clocks that it is read from.
//!
//! Decision logic reads no clock: it takes a [`Millis`] as an argument, so that
//! tests control the time. Daemons read the time from a [`Clock`].
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
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// A point in time or a duration, in milliseconds.
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
    /// The time from `earlier` to `self` in ms; zero if `earlier` is later.
    pub fn since(self, earlier: Millis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// The time `duration_ms` after this one, saturating.
    pub fn plus(self, duration_ms: u64) -> Millis {
        Millis(self.0.saturating_add(duration_ms))
    }

    /// The time `duration_ms` before this one, or zero if that is negative.
    pub fn minus(self, duration_ms: u64) -> Millis {
        Millis(self.0.saturating_sub(duration_ms))
    }

    /// Converts the value to a [`Duration`].
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

/// Value of the monotonic clock at the start of the process, ms.
///
/// It is far above zero, so that an observation which a peer made before this
/// process started can still be expressed on this process's clock.
const PROCESS_START_MS: u64 = 1_000_000_000;

/// A source of monotonic and wall-clock time.
pub trait Clock: Send + Sync {
    /// Monotonic time, in ms since a fixed point that differs between processes.
    fn now(&self) -> Millis;
    /// Wall-clock time, in ms since the Unix epoch, for stored records.
    fn wall(&self) -> Millis;
}

/// The clocks of the operating system.
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

impl SystemClock {
    /// Time since the machine was started, which goes on while it is suspended, ms.
    ///
    /// [`Clock::now`] stands still then, like the timers. This is for limits that others
    /// measure, whose time goes on.
    pub fn since_boot(&self) -> Millis {
        let time = clock_gettime(ClockId::Boottime);
        let duration = Duration::try_from(time).unwrap_or_default();
        Millis(duration.as_millis() as u64)
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Millis {
        Millis(PROCESS_START_MS + self.start.elapsed().as_millis() as u64)
    }

    fn wall(&self) -> Millis {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Millis(since_epoch.unwrap_or_default().as_millis() as u64)
    }
}

/// A clock that only advances when told to, for tests and simulations.
///
/// Its monotonic and wall-clock times are equal, and clones share them.
#[derive(Clone, Debug, Default)]
pub struct ManualClock {
    now_ms: Arc<AtomicU64>,
}

impl ManualClock {
    /// Creates a clock set to `now`.
    pub fn new(now: Millis) -> Self {
        ManualClock {
            now_ms: Arc::new(AtomicU64::new(now.0)),
        }
    }

    /// Advances the clock by `duration_ms`.
    pub fn advance(&self, duration_ms: u64) {
        self.now_ms.fetch_add(duration_ms, Ordering::Relaxed);
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
