//! Bills that a process holds until they stand on the log.

use std::collections::BTreeMap;

use clock::Millis;
use displaydoc::Display;

use crate::Bill;

/// Why a bill could not be held.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum BufferError {
    /// {0} bills wait for the log, which is the bound; come back when the log answers again
    Full(usize),
}

impl std::error::Error for BufferError {}

/// A bill and why it is held.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldBill {
    /// The bill.
    pub bill: Bill,
    /// When this process appends it if nobody released it before.
    pub append_at: Millis,
    /// Instance that answers for it; empty if that is this process.
    pub owner: String,
}

/// The bills that wait, bounded.
///
/// An owner's bills are due at once; a copy held for another process is due
/// only after the hand-over time, and goes when its owner releases it.
#[derive(Clone, Debug)]
pub struct BillBuffer {
    held: BTreeMap<String, HeldBill>,
    bound: usize,
    reserved: usize,
}

impl BillBuffer {
    /// A buffer of at most `bound` bills.
    pub fn new(bound: usize) -> Self {
        BillBuffer {
            held: BTreeMap::new(),
            bound,
            reserved: 0,
        }
    }

    /// Sets room aside for a request's bill before the request is run, so
    /// that an answered request can always be billed.
    pub fn reserve(&mut self) -> Result<(), BufferError> {
        if self.held.len() + self.reserved >= self.bound {
            return Err(BufferError::Full(self.bound));
        }
        self.reserved += 1;
        Ok(())
    }

    /// Gives back room that was set aside.
    pub fn unreserve(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Holds a bill; one that is held already keeps the earlier due time.
    pub fn hold(&mut self, bill: Bill, append_at: Millis, owner: &str) {
        let entry = self.held.entry(bill.request_id.clone());
        let held = entry.or_insert(HeldBill {
            bill,
            append_at,
            owner: owner.to_owned(),
        });
        held.append_at = held.append_at.min(append_at);
    }

    /// Puts off copies whose owner is still there and will answer for them.
    pub fn postpone<F>(&mut self, now: Millis, span_ms: u64, owner_lives: F)
    where
        F: Fn(&str) -> bool,
    {
        for held in self.held.values_mut() {
            let due = held.append_at <= now && !held.owner.is_empty();
            if due && owner_lives(&held.owner) {
                held.append_at = now.plus(span_ms);
            }
        }
    }

    /// Drops bills that stand on the log.
    pub fn release<'a, I>(&mut self, request_ids: I)
    where
        I: IntoIterator<Item = &'a str>,
    {
        for request_id in request_ids {
            self.held.remove(request_id);
        }
    }

    /// Bills that are due, at most `limit`.
    pub fn due(&self, now: Millis, limit: usize) -> Vec<Bill> {
        let due = self.held.values().filter(|held| held.append_at <= now);
        due.take(limit).map(|held| held.bill.clone()).collect()
    }

    /// Makes every bill due at once, for a planned stop.
    pub fn make_all_due(&mut self, now: Millis) {
        for held in self.held.values_mut() {
            held.append_at = held.append_at.min(now);
        }
    }

    /// All held bills.
    pub fn all(&self) -> Vec<Bill> {
        self.held.values().map(|held| held.bill.clone()).collect()
    }

    /// How many bills wait.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}
