//! Ids of recent changes, so that a repeated change has no effect.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::ChangeError;

/// Number of change ids kept: two days' worth at 4,900 changes a day.
const CHANGE_IDS_MAX: usize = 10_000;

/// Result of a change that was processed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ProcessedChange {
    pub change_id: String,
    /// Why the change was rejected; `None` if it was accepted.
    #[serde(rename = "refused")]
    pub error: Option<ChangeError>,
    /// Revision that the change gave, or would have given, the object.
    pub revision: u64,
}

/// The most recent changes in order, indexed by id.
///
/// Thousands of changes arrive a day, so a linear search would be too slow.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(from = "VecDeque<ProcessedChange>", into = "VecDeque<ProcessedChange>")]
pub(crate) struct RecentChanges {
    changes: VecDeque<ProcessedChange>,
    /// Serial number of a change, by id.
    serials: HashMap<String, u64>,
    /// Serial number of the oldest entry in `changes`.
    first_serial: u64,
}

impl RecentChanges {
    /// Adds a change and evicts the oldest one beyond the limit.
    pub fn push(&mut self, change: ProcessedChange) {
        let serial = self.first_serial + self.changes.len() as u64;
        self.serials.insert(change.change_id.clone(), serial);
        self.changes.push_back(change);
        if self.changes.len() > CHANGE_IDS_MAX
            && let Some(oldest) = self.changes.pop_front()
        {
            self.serials.remove(&oldest.change_id);
            self.first_serial += 1;
        }
    }

    /// Looks up a change by id; `None` if it is unknown or was evicted.
    pub fn get(&self, change_id: &str) -> Option<&ProcessedChange> {
        let serial = self.serials.get(change_id)?;
        self.changes.get((serial - self.first_serial) as usize)
    }
}

impl From<VecDeque<ProcessedChange>> for RecentChanges {
    fn from(changes: VecDeque<ProcessedChange>) -> Self {
        let serials = changes.iter().enumerate();
        let serials = serials
            .map(|(serial, change)| (change.change_id.clone(), serial as u64))
            .collect();
        RecentChanges {
            changes,
            serials,
            first_serial: 0,
        }
    }
}

impl From<RecentChanges> for VecDeque<ProcessedChange> {
    fn from(recent: RecentChanges) -> Self {
        recent.changes
    }
}
