//! How often a process calls the log, by the size of the fleet.
//!
//! A read that waits for new records keeps a process current without polling, but a
//! log or a connection that went silent is noticed only when the wait is over. In a
//! small fleet each process therefore waits for a short time. In a large one that
//! makes most of the log's load, and is not needed: the waits end at different times,
//! the first process that reads something tells the others how far the log goes, and
//! they start their reads again. The fleet as a whole then makes a constant number of
//! calls per second while nothing changes, whatever its size. See
//! `docs/design/deployment.md`.

use std::cell::Cell;

use rand::{Rng, RngExt};

/// Number of processes up to which none waits longer than it would alone.
const SMALL_FLEET: u64 = 5;

/// Time by which each further process lengthens the longest wait, ms. The first of all
/// waits that start at once ends, on average, about this long after the shortest one.
const WAIT_PER_PROCESS_MS: u64 = 600;

/// Maximum wait of a read, ms; the log allows little more.
const WAIT_MAX_MS: u64 = 25_000;

/// Maximum delay between two failed calls, ms: alone, and in a large fleet.
const RETRY_MAX_MS: [u64; 2] = [700, 3_000];

/// Maximum factor by which records are collected longer in a large fleet.
const BATCH_FACTOR_MAX: u64 = 3;

/// The times between the calls of one process of a fleet.
#[derive(Debug)]
pub struct ReadPacing {
    base_wait_ms: u64,
    fleet: Cell<u64>,
}

impl ReadPacing {
    /// Creates the pacing of a process that waits `base_wait_ms` while it hears no
    /// others.
    pub fn new(base_wait_ms: u64) -> Self {
        ReadPacing {
            base_wait_ms,
            fleet: Cell::new(1),
        }
    }

    /// Sets the number of other processes that were heard recently; returns whether
    /// reads that have started wait for too long now.
    pub fn set_peers(&self, peers: usize) -> bool {
        let before_ms = self.longest_wait_ms();
        self.fleet.set(peers as u64 + 1);
        self.longest_wait_ms() < before_ms / 2
    }

    /// Returns the maximum wait of a read, ms.
    pub fn longest_wait_ms(&self) -> u64 {
        let further = self.fleet.get().saturating_sub(SMALL_FLEET);
        let wait_ms = self.base_wait_ms + further * WAIT_PER_PROCESS_MS;
        wait_ms.min(WAIT_MAX_MS).max(self.base_wait_ms)
    }

    /// Draws the wait of the next read, ms, from the whole range: an answer that reaches
    /// all processes at once must not synchronize their next reads, and the first of
    /// them to end tells whether the log is still there.
    pub fn draw_wait_ms<R>(&self, rng: &mut R) -> u64
    where
        R: Rng,
    {
        let longest_ms = self.longest_wait_ms();
        rng.random_range(self.base_wait_ms..=longest_ms)
    }

    /// Returns the maximum delay between two failed calls, ms.
    pub fn retry_max_ms(&self) -> u64 {
        self.scaled_ms(RETRY_MAX_MS[0], RETRY_MAX_MS[1])
    }

    /// Returns for how long records are collected before the next read, ms, given the
    /// time for a process alone.
    pub fn batch_delay_ms(&self, base_ms: u64) -> u64 {
        self.scaled_ms(base_ms, base_ms * BATCH_FACTOR_MAX)
    }

    /// Scales a time by the size of the fleet, up to `max_ms`.
    fn scaled_ms(&self, base_ms: u64, max_ms: u64) -> u64 {
        let scaled_ms = base_ms.saturating_mul(self.fleet.get()) / SMALL_FLEET;
        scaled_ms.min(max_ms).max(base_ms)
    }
}
