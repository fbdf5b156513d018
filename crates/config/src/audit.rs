//! The audit trail: who changed what, when, from what to what.

use serde::{Deserialize, Serialize};

/// One line of the audit trail.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Offset of the record on the log.
    pub offset: u64,
    /// Wall-clock time the change was taken, ms since 1970.
    pub at_ms: u64,
    /// Operator who asked.
    pub who: String,
    /// The change's id.
    pub change_id: String,
    /// Object, as `kind/name`.
    pub object: String,
    /// `accepted`, or why not.
    pub verdict: String,
    /// The object before, JSON, empty if there was none.
    pub before: String,
    /// The object after, JSON, empty if there is none.
    pub after: String,
}

/// Which lines of the trail to show.
#[derive(Clone, Debug, Default)]
pub struct AuditFilter<'a> {
    /// Only this operator's, if not empty.
    pub who: &'a str,
    /// Only objects whose `kind/name` starts so.
    pub object: &'a str,
    /// Only since this wall-clock time, ms since 1970.
    pub since_ms: u64,
    /// At most so many, the newest; 0 for all.
    pub limit: usize,
}

impl AuditFilter<'_> {
    /// Picks the matching entries, oldest first.
    pub fn select<'e>(&self, entries: &'e [AuditEntry]) -> Vec<&'e AuditEntry> {
        let matching = entries.iter().filter(|entry| self.matches(entry));
        let mut picked: Vec<&AuditEntry> = matching.collect();
        if self.limit > 0 && picked.len() > self.limit {
            picked.drain(..picked.len() - self.limit);
        }
        picked
    }

    fn matches(&self, entry: &AuditEntry) -> bool {
        (self.who.is_empty() || entry.who == self.who)
            && entry.object.starts_with(self.object)
            && entry.at_ms >= self.since_ms
    }
}
