//! Components of requests that were answered recently.

use std::collections::HashSet;

use clock::Millis;

/// Time after which the older generation is dropped, ms; an answer is remembered for one
/// to two of these.
const GENERATION_MS: u64 = 30_000;

/// Maximum number of components in one generation.
const GENERATION_MAX: usize = 4_096;

/// Components that answers of the last half minute or longer had. Two generations bound
/// memory without the time of a last use for each component.
#[derive(Clone, Debug, Default)]
pub struct SoundComponents {
    newer: HashSet<u64>,
    older: HashSet<u64>,
    rotated_at: Millis,
}

impl SoundComponents {
    /// Records components of a request whose answer went well.
    pub fn record<'a, I>(&mut self, components: I, now: Millis)
    where
        I: IntoIterator<Item = &'a u64>,
    {
        self.rotate(now);
        self.newer.extend(components);
    }

    /// Returns whether a recent answer had `component`.
    pub fn contains(&self, component: &u64, now: Millis) -> bool {
        let age_ms = now.since(self.rotated_at);
        let in_newer = age_ms < 2 * GENERATION_MS && self.newer.contains(component);
        in_newer || (age_ms < GENERATION_MS && self.older.contains(component))
    }

    fn rotate(&mut self, now: Millis) {
        let age_ms = now.since(self.rotated_at);
        if age_ms >= 2 * GENERATION_MS {
            self.newer.clear();
        }
        if age_ms >= GENERATION_MS || self.newer.len() >= GENERATION_MAX {
            self.older = std::mem::take(&mut self.newer);
            self.rotated_at = now;
        }
    }
}
