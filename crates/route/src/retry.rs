//! Bounds retries to a share of first attempts.

use std::collections::VecDeque;

use clock::Millis;

/// Retries that are always allowed, so that a quiet entry can retry at all.
const MIN_RETRIES: f64 = 3.0;

/// Time over which attempts are counted unless said otherwise, ms.
const WINDOW_MS: u64 = 10_000;

/// Parts of the window that are counted by themselves.
const BUCKETS: u64 = 20;

/// A budget that first attempts fill and retries empty.
///
/// The share holds over the whole traffic of an entry, and in each window that
/// ends now: an outage cannot spend what was saved before it and then as much
/// again, which multiplies the load when it hurts most.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    bucket_ms: u64,
    /// Attempts by the part of time that they were made in, oldest first.
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    number: u64,
    first_attempts: u64,
    retries: u64,
}

impl RetryBudget {
    /// A budget of so many retries for each first attempt.
    pub fn new(share: f64) -> Self {
        RetryBudget {
            share,
            bucket_ms: WINDOW_MS / BUCKETS,
            buckets: VecDeque::new(),
        }
    }

    /// The same, counted over `window_ms`.
    pub fn with_window_ms(self, window_ms: u64) -> Self {
        RetryBudget {
            bucket_ms: (window_ms / BUCKETS).max(1),
            ..self
        }
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self, now: Millis) {
        self.current_bucket(now).first_attempts += 1;
    }

    /// Takes a retry from the budget, or tells that there is none.
    pub fn try_retry(&mut self, now: Millis) -> bool {
        if self.share <= 0.0 {
            return false;
        }
        // Any window that ends now touches one part more than it is long: its
        // retries are counted, while first attempts count only if surely in it.
        let newest = self.current_bucket(now).number;
        let inside = self
            .buckets
            .iter()
            .filter(|bucket| bucket.number + BUCKETS > newest);
        let first_attempts: u64 = inside.map(|bucket| bucket.first_attempts).sum();
        let retries: u64 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let allowed = MIN_RETRIES + first_attempts as f64 * self.share;
        if (retries + 1) as f64 > allowed {
            return false;
        }
        self.current_bucket(now).retries += 1;
        true
    }

    /// The part of time that `now` is in; parts that are over are forgotten.
    fn current_bucket(&mut self, now: Millis) -> &mut Bucket {
        let number = now.0 / self.bucket_ms;
        let oldest = number.saturating_sub(BUCKETS);
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.number < oldest)
        {
            self.buckets.pop_front();
        }
        let newest = self.buckets.back().map(|bucket| bucket.number);
        // A clock that was read a moment earlier counts for the newest part.
        if newest.is_none_or(|newest| newest < number) {
            self.buckets.push_back(Bucket {
                number,
                first_attempts: 0,
                retries: 0,
            });
        }
        self.buckets.back_mut().expect("one was there or was added")
    }
}
