//! Bounds retries to a share of first attempts.

use std::collections::VecDeque;

use clock::Millis;

/// Retries that are always allowed, so that a quiet entry can retry at all.
const FLOOR: f64 = 3.0;

/// Time over which attempts are counted unless said otherwise, ms.
const WINDOW_MS: u64 = 10_000;

/// Parts of the window that are counted by themselves.
const PARTS: u64 = 20;

/// A budget that first attempts fill and retries empty.
///
/// The share holds over the whole traffic of an entry, and in each window that
/// ends now: an outage cannot spend what was saved before it and then as much
/// again, which multiplies the load when it hurts most.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    part_ms: u64,
    /// Attempts by the part of time that they were made in, oldest first.
    parts: VecDeque<Part>,
}

#[derive(Clone, Copy, Debug)]
struct Part {
    number: u64,
    first: u64,
    retries: u64,
}

impl RetryBudget {
    /// A budget of so many retries for each first attempt.
    pub fn new(share: f64) -> Self {
        RetryBudget {
            share,
            part_ms: WINDOW_MS / PARTS,
            parts: VecDeque::new(),
        }
    }

    /// The same, counted over `window_ms`.
    pub fn with_window_ms(self, window_ms: u64) -> Self {
        RetryBudget {
            part_ms: (window_ms / PARTS).max(1),
            ..self
        }
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self, now: Millis) {
        self.part(now).first += 1;
    }

    /// Takes a retry from the budget, or tells that there is none.
    pub fn try_retry(&mut self, now: Millis) -> bool {
        if self.share <= 0.0 {
            return false;
        }
        // Any window that ends now touches one part more than it is long: its
        // retries are counted, while first attempts count only if surely in it.
        let newest = self.part(now).number;
        let inside = self.parts.iter().filter(|p| p.number + PARTS > newest);
        let first: u64 = inside.map(|part| part.first).sum();
        let retries: u64 = self.parts.iter().map(|part| part.retries).sum();
        let allowed = FLOOR + first as f64 * self.share;
        if (retries + 1) as f64 > allowed {
            return false;
        }
        self.part(now).retries += 1;
        true
    }

    /// The part of time that `now` is in; parts that are over are forgotten.
    fn part(&mut self, now: Millis) -> &mut Part {
        let number = now.0 / self.part_ms;
        let oldest = number.saturating_sub(PARTS);
        while self.parts.front().is_some_and(|part| part.number < oldest) {
            self.parts.pop_front();
        }
        let newest = self.parts.back().map(|part| part.number);
        // A clock that was read a moment earlier counts for the newest part.
        if newest.is_none_or(|newest| newest < number) {
            self.parts.push_back(Part {
                number,
                first: 0,
                retries: 0,
            });
        }
        self.parts.back_mut().expect("one was there or was added")
    }
}
