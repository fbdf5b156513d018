//! Limits the retries of all processes of a fleet to a share of its requests.
//!
//! Each process counts only its own requests, and asks nobody before a retry. What every
//! process keeps to must therefore add up: across processes, when callers move from one
//! to another, and across restarts, after which a process has forgotten what it used.
//! See `docs/design/deployment.md`.

use clock::Millis;

/// Number of buckets that a window is divided into.
const BUCKETS: u64 = 40;

/// Number of buckets that are kept: a window, the one before it, and the one in progress.
const HISTORY: usize = 2 * BUCKETS as usize + 1;

/// Weight of the first attempts in a window in what it allows.
const CURRENT_WEIGHT: f64 = 0.75;

/// Weight of the first attempts in the window before it.
const PREVIOUS_WEIGHT: f64 = 1.0 - CURRENT_WEIGHT;

/// Part of the fleet's slack that its processes divide among themselves. The rest covers
/// those that are not known yet, and retries that bunch up on their way.
const SLACK_PART: f64 = 0.7;

/// Part of its share of the slack that a process gets by the end of its first window, in
/// which its predecessor may have used the whole.
const FIRST_WINDOW_PART: f64 = 0.3;

/// Maximum part of the slack of one process, since one that hears no other takes itself
/// for the whole fleet.
const SLACK_MAX: f64 = 3.0;

/// Limits on the retries of all processes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries per first attempt; zero allows no retry at all.
    pub share: f64,
    /// Retries in a window that are allowed besides.
    pub slack: f64,
    /// Length of the window, ms.
    pub window_ms: u64,
}

impl Default for RetryLimits {
    fn default() -> Self {
        RetryLimits {
            share: 0.1,
            slack: 50.0,
            window_ms: 10_000,
        }
    }
}

/// What a process knows of the fleet whose limits it keeps to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FleetView {
    /// Number of processes that are known, with this one.
    pub processes: usize,
    /// Time since this process started, ms.
    pub uptime_ms: u64,
}

impl FleetView {
    /// The view of a process that has no peers.
    pub const ALONE: FleetView = FleetView {
        processes: 1,
        uptime_ms: 0,
    };
}

/// One process's part of the budget of retries at one service.
///
/// The fleet may retry a share of its first attempts in the same window or the one
/// before it, whichever has more, and a slack. The larger of two sums is not the sum of
/// what is larger for each process, so all of them use the same weighted mean of the two
/// windows, which is never above the larger one. It holds for each window that ends with
/// the retry or contains it, so that no credit is left over from before.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    /// Added before an allowance is rounded down, 0 to 1. It differs between processes,
    /// so that their parts add up to the whole also where each is below one.
    rounding: f64,
    bucket_ms: u64,
    /// Attempts by time, at the bucket's number modulo [`HISTORY`].
    buckets: [Bucket; HISTORY],
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    first_attempts: u64,
    retries: u64,
}

/// First attempts and retries of one window.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RetryUsage {
    /// First attempts in the window.
    pub first_attempts: u64,
    /// Retries in the window.
    pub retries: u64,
}

impl RetryLimits {
    /// Returns the part of the slack that a process may use in a window.
    ///
    /// A process with peers has little of it at first: others may have ended with its
    /// predecessor, and what they used in this window is not known.
    fn slack_part(&self, fleet: &FleetView) -> f64 {
        let part = self.slack * SLACK_PART / fleet.processes.max(1) as f64;
        let part = part.min(SLACK_MAX);
        if fleet.processes <= 1 || fleet.uptime_ms >= self.window_ms {
            return part;
        }
        let grown = fleet.uptime_ms as f64 / self.window_ms as f64;
        part * grown * FIRST_WINDOW_PART
    }
}

impl RetryBudget {
    /// Creates an empty budget; `rounding` is drawn uniformly from 0 to 1 by each process.
    pub fn new(limits: RetryLimits, rounding: f64) -> Self {
        RetryBudget {
            limits,
            rounding,
            bucket_ms: limits.window_ms.div_ceil(BUCKETS).max(1),
            buckets: [Bucket::default(); HISTORY],
        }
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self, now: Millis) {
        self.bucket_of(now).first_attempts += 1;
    }

    /// Takes a retry from the budget; returns false if it is exhausted.
    pub fn try_retry(&mut self, fleet: &FleetView, now: Millis) -> bool {
        let slack = self.limits.slack_part(fleet);
        if self.limits.share <= 0.0 || !self.allows_another(slack, now) {
            return false;
        }
        self.bucket_of(now).retries += 1;
        true
    }

    /// Gives back a retry that was taken at `taken_at` and not made; one that no window
    /// contains any more changes nothing.
    pub fn return_retry(&mut self, taken_at: Millis) {
        let number = self.number(taken_at);
        let bucket = &mut self.buckets[number as usize % HISTORY];
        if bucket.number == number {
            bucket.retries = bucket.retries.saturating_sub(1);
        }
    }

    /// Returns what the window that ends at `now` has counted.
    pub fn usage(&self, now: Millis) -> RetryUsage {
        let newest = self.number(now);
        let buckets = (newest.saturating_sub(BUCKETS - 1)..=newest).map(|n| self.at(n));
        buckets.fold(RetryUsage::default(), |usage, bucket| RetryUsage {
            first_attempts: usage.first_attempts + bucket.first_attempts,
            retries: usage.retries + bucket.retries,
        })
    }

    /// Whether one more retry now keeps every window that contains it within the limits.
    fn allows_another(&self, slack: f64, now: Millis) -> bool {
        let newest = self.number(now);
        let mut retries = 1;
        let mut current = 0;
        // Of the bucket in which a window begins, all retries count, and the first
        // attempts by the lower weight; of the one in which the window before it
        // begins, none.
        let mut previous: u64 = (newest.saturating_sub(BUCKETS - 1)..=newest)
            .map(|number| self.at(number).first_attempts)
            .sum();
        for start in (newest.saturating_sub(BUCKETS)..=newest).rev() {
            let bucket = self.at(start);
            retries += bucket.retries;
            let first_attempts =
                CURRENT_WEIGHT * current as f64 + PREVIOUS_WEIGHT * previous as f64;
            let allowed = self.limits.share * first_attempts + slack;
            if retries as f64 > (allowed + self.rounding).floor() {
                return false;
            }
            current += bucket.first_attempts;
            previous -= bucket.first_attempts;
            previous += self.at(start.saturating_sub(BUCKETS)).first_attempts;
        }
        true
    }

    fn number(&self, at: Millis) -> u64 {
        at.0 / self.bucket_ms
    }

    /// Returns a bucket; an empty one if it is no longer, or not yet, kept.
    fn at(&self, number: u64) -> Bucket {
        let bucket = self.buckets[number as usize % HISTORY];
        if bucket.number == number {
            bucket
        } else {
            Bucket::default()
        }
    }

    /// Returns the bucket of `at`, in place of an older one.
    fn bucket_of(&mut self, at: Millis) -> &mut Bucket {
        let number = self.number(at);
        let bucket = &mut self.buckets[number as usize % HISTORY];
        if bucket.number != number {
            *bucket = Bucket {
                number,
                ..Bucket::default()
            };
        }
        bucket
    }
}
