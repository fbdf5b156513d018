//! Change ids that were folded, so that a repeat does nothing.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::ChangeError;

/// Change ids that the fold remembers; at 4,900 changes a day, two days' worth.
const CHANGE_IDS_KEPT: usize = 10_000;

/// Verdict of a change id that was folded before.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Known {
    pub change_id: String,
    pub refused: Option<ChangeError>,
    pub revision: u64,
}

/// The newest change ids, findable without a walk: a day brings thousands.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(from = "VecDeque<Known>", into = "VecDeque<Known>")]
pub(crate) struct KnownChanges {
    order: VecDeque<Known>,
    /// Serial of an id's entry; the first entry in `order` has `first`.
    serials: HashMap<String, u64>,
    first: u64,
}

impl KnownChanges {
    /// Remembers a change, and forgets the oldest beyond the bound.
    pub fn push(&mut self, known: Known) {
        let serial = self.first + self.order.len() as u64;
        self.serials.insert(known.change_id.clone(), serial);
        self.order.push_back(known);
        if self.order.len() > CHANGE_IDS_KEPT
            && let Some(oldest) = self.order.pop_front()
        {
            self.serials.remove(&oldest.change_id);
            self.first += 1;
        }
    }

    /// A change that is still remembered.
    pub fn get(&self, change_id: &str) -> Option<&Known> {
        let serial = self.serials.get(change_id)?;
        self.order.get((serial - self.first) as usize)
    }
}

impl From<VecDeque<Known>> for KnownChanges {
    fn from(order: VecDeque<Known>) -> Self {
        let serials = order.iter().enumerate();
        let serials = serials
            .map(|(at, known)| (known.change_id.clone(), at as u64))
            .collect();
        KnownChanges {
            order,
            serials,
            first: 0,
        }
    }
}

impl From<KnownChanges> for VecDeque<Known> {
    fn from(known: KnownChanges) -> Self {
        known.order
    }
}
