//! The audit trail: who changed what, when, from what to what.

use serde::{Deserialize, Serialize};

/// One entry of the audit trail.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Offset of the record on the log.
    pub offset: u64,
    /// Wall-clock time at which an instance received the change, ms since the
    /// Unix epoch.
    pub at_ms: u64,
    /// Operator who requested the change.
    pub who: String,
    /// Id of the change.
    pub change_id: String,
    /// Object, as `kind/name`.
    pub object: String,
    /// `accepted`, or the text of the [`ChangeError`](crate::ChangeError).
    pub verdict: String,
    /// JSON of the object before the change; empty if it did not exist.
    pub before: String,
    /// JSON of the object after the change; empty if it does not exist.
    pub after: String,
}

/// Selects audit entries.
#[derive(Clone, Debug, Default)]
pub struct AuditFilter<'a> {
    /// Name of the operator; empty for all.
    pub who: &'a str,
    /// Prefix of the object's `kind/name`.
    pub object: &'a str,
    /// Earliest wall-clock time, ms since the Unix epoch.
    pub since_ms: u64,
    /// Maximum number of entries, the newest ones; 0 for no limit.
    pub limit: usize,
}

impl AuditFilter<'_> {
    /// Returns the matching entries, oldest first.
    pub fn select<'e>(&self, entries: &'e [AuditEntry]) -> Vec<&'e AuditEntry> {
        let matching = entries.iter().filter(|entry| self.matches(entry));
        let mut selected: Vec<&AuditEntry> = matching.collect();
        if self.limit > 0 && selected.len() > self.limit {
            selected.drain(..selected.len() - self.limit);
        }
        selected
    }

    fn matches(&self, entry: &AuditEntry) -> bool {
        (self.who.is_empty() || entry.who == self.who)
            && entry.object.starts_with(self.object)
            && entry.at_ms >= self.since_ms
    }
}
