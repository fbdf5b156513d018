//! Sets of components whose requests are held back, since endpoints crash on them.

use clock::Millis;

use crate::crash_ledger::ComponentSet;

/// Time after which a set is first tried again, ms.
const REVIEW_MIN_MS: u64 = 30_000;

/// Factor by which the time to the next trial grows with each one, so that a cause that
/// stays costs fewer and fewer crashes.
const REVIEW_FACTOR: u64 = 4;

/// Time for which a set is held back on a peer's word alone, ms.
const UNCONFIRMED_MS: u64 = 30_000;

/// Maximum number of sets; notices are not authenticated, and each set costs time for
/// each request.
const SETS_MAX: usize = 64;

/// Why a gateway believes that a set is to be held back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Grounds {
    /// The gateway decided it from reports, so that it also records it in the log.
    Decided,
    /// The log says so.
    Logged,
    /// A peer says so; believed until the time.
    Peer(Millis),
}

/// A set of components that is held back.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Quarantine {
    /// Digest of the service.
    pub service: u64,
    /// A request is held back if it has all of these.
    pub components: ComponentSet,
    /// Digest of the version on which endpoints crashed last.
    pub version: u64,
    /// Why it is held back.
    pub grounds: Grounds,
    /// Whether the log holds a record of it.
    pub is_logged: bool,
    since: Millis,
    review_at: Millis,
}

impl Quarantine {
    /// Returns for how long it has been held back, ms.
    pub fn age_ms(&self, now: Millis) -> u64 {
        now.since(self.since)
    }

    /// Returns when a request is next let through to see whether the cause is gone.
    pub fn review_at(&self) -> Millis {
        self.review_at
    }

    /// Moves the next trial beyond `now`.
    fn schedule_review(&mut self, now: Millis) {
        let mut after_ms = REVIEW_MIN_MS;
        while self.since.plus(after_ms) <= now {
            after_ms *= REVIEW_FACTOR;
        }
        self.review_at = self.since.plus(after_ms);
    }
}

/// All sets that are held back.
#[derive(Clone, Debug, Default)]
pub struct Quarantines {
    sets: Vec<Quarantine>,
}

impl Quarantines {
    /// Holds back the requests that have all of `components`. `age_ms` is the time for
    /// which other gateways have done so.
    ///
    /// Returns whether this is news, which it is not if requests with fewer of them are
    /// held back already, or there are too many sets.
    pub fn hold(
        &mut self,
        service: u64,
        components: ComponentSet,
        version: u64,
        grounds: Grounds,
        age_ms: u64,
        now: Millis,
    ) -> bool {
        if components.is_empty() {
            return false;
        }
        let mut known = self.sets.iter_mut();
        if let Some(held) = known.find(|held| held.components == components) {
            held.confirm(grounds);
            return false;
        }
        let covers = |held: &Quarantine| held.components.is_subset(&components);
        if self.sets.len() >= SETS_MAX || self.sets.iter().any(covers) {
            return false;
        }
        let mut quarantine = Quarantine {
            service,
            components,
            version,
            grounds,
            is_logged: grounds == Grounds::Logged,
            since: now.minus(age_ms),
            review_at: now,
        };
        quarantine.schedule_review(now);
        self.sets.push(quarantine);
        true
    }

    /// Ends the quarantine of a set; returns whether it was held back.
    pub fn lift(&mut self, components: &ComponentSet) -> bool {
        let before = self.sets.len();
        self.sets.retain(|held| held.components != *components);
        self.sets.len() < before
    }

    /// Returns the set for which a request with these components is held back.
    pub fn find<F>(&self, has: F) -> Option<&Quarantine>
    where
        F: Fn(&u64) -> bool,
    {
        self.sets
            .iter()
            .find(|held| held.components.iter().all(&has))
    }

    /// Returns all sets.
    pub fn iter(&self) -> impl Iterator<Item = &Quarantine> {
        self.sets.iter()
    }

    /// Returns whether nothing is held back.
    pub fn is_empty(&self) -> bool {
        self.sets.is_empty()
    }

    /// Records that a request of a set was let through, or that it is another gateway's
    /// turn to do so: the next trial comes later.
    pub fn record_review(&mut self, components: &ComponentSet, now: Millis) {
        if let Some(held) = self.get_mut(components) {
            held.schedule_review(now);
        }
    }

    /// Records the version of an endpoint that crashed on a set.
    pub fn record_crash(&mut self, components: &ComponentSet, version: u64) {
        if let Some(held) = self.get_mut(components) {
            held.version = version;
        }
    }

    /// Records whether the log holds a set.
    pub fn set_logged(&mut self, components: &ComponentSet, is_logged: bool) {
        if let Some(held) = self.get_mut(components) {
            held.is_logged = is_logged;
        }
    }

    /// Ends what only a peer said too long ago; returns the sets that ended.
    pub fn expire(&mut self, now: Millis) -> Vec<Quarantine> {
        let expired = |held: &mut Quarantine| matches!(held.grounds, Grounds::Peer(until) if until <= now);
        self.sets.extract_if(.., expired).collect()
    }

    fn get_mut(&mut self, components: &ComponentSet) -> Option<&mut Quarantine> {
        let mut sets = self.sets.iter_mut();
        sets.find(|held| held.components == *components)
    }
}

impl Quarantine {
    fn confirm(&mut self, grounds: Grounds) {
        self.is_logged |= grounds == Grounds::Logged;
        match (self.grounds, grounds) {
            (Grounds::Peer(_), _) => self.grounds = grounds,
            (Grounds::Logged, Grounds::Decided) => self.grounds = grounds,
            _ => {}
        }
    }
}

impl Grounds {
    /// Returns the grounds of a peer's notice that arrived at `now`.
    pub fn peer(now: Millis) -> Self {
        Grounds::Peer(now.plus(UNCONFIRMED_MS))
    }
}
