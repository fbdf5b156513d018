//! Bills that a process holds until they are in the log.

use std::collections::BTreeMap;

use clock::Millis;
use displaydoc::Display;

use crate::Bill;

/// Error of [`BillBuffer::reserve`].
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum BufferError {
    /// the buffer is full with {0} bills not yet in the log; retry when the log is available
    Full(usize),
}

impl std::error::Error for BufferError {}

/// A bill with its due time and its owner.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldBill {
    /// The bill.
    pub bill: Bill,
    /// Due time, at which this process appends the bill unless it was released
    /// before.
    pub append_at: Millis,
    /// Instance responsible for appending the bill; empty if it is this process.
    pub owner: String,
}

/// A buffer of bills that are not yet known to be in the log.
///
/// Bills that this process owns are due immediately. A copy held for another
/// process is due only after the handover time, and is dropped when its owner
/// releases it. The capacity limits reservations only; [`BillBuffer::hold`]
/// never fails.
#[derive(Clone, Debug)]
pub struct BillBuffer {
    held: BTreeMap<String, HeldBill>,
    capacity: usize,
    reserved: usize,
}

impl BillBuffer {
    /// Creates a buffer that grants reservations until bills and reservations
    /// together reach `capacity`.
    pub fn new(capacity: usize) -> Self {
        BillBuffer {
            held: BTreeMap::new(),
            capacity,
            reserved: 0,
        }
    }

    /// Reserves space for the bill of a request before the request runs, so
    /// that every request that is answered can be billed.
    ///
    /// Fails if held bills and reservations have reached the capacity.
    pub fn reserve(&mut self) -> Result<(), BufferError> {
        if self.held.len() + self.reserved >= self.capacity {
            return Err(BufferError::Full(self.capacity));
        }
        self.reserved += 1;
        Ok(())
    }

    /// Cancels one reservation, once its bill is held or none will follow.
    pub fn unreserve(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Adds a bill for `owner`, without using up a reservation. A bill that is
    /// already held keeps its owner, and the earlier of the two due times.
    pub fn hold(&mut self, bill: Bill, append_at: Millis, owner: &str) {
        let entry = self.held.entry(bill.request_id.clone());
        let held = entry.or_insert(HeldBill {
            bill,
            append_at,
            owner: owner.to_owned(),
        });
        held.append_at = held.append_at.min(append_at);
    }

    /// Postpones due copies whose owner is alive by `delay_ms`, since the owner
    /// appends or releases them itself.
    pub fn postpone<F>(&mut self, now: Millis, delay_ms: u64, is_alive: F)
    where
        F: Fn(&str) -> bool,
    {
        for held in self.held.values_mut() {
            let due = held.append_at <= now && !held.owner.is_empty();
            if due && is_alive(&held.owner) {
                held.append_at = now.plus(delay_ms);
            }
        }
    }

    /// Drops the bills of `request_ids`, which are in the log.
    pub fn release<'a, I>(&mut self, request_ids: I)
    where
        I: IntoIterator<Item = &'a str>,
    {
        for request_id in request_ids {
            self.held.remove(request_id);
        }
    }

    /// The bills that are due, at most `limit`, ordered by request id.
    pub fn due(&self, now: Millis, limit: usize) -> Vec<Bill> {
        let due = self.held.values().filter(|held| held.append_at <= now);
        due.take(limit).map(|held| held.bill.clone()).collect()
    }

    /// Makes every bill due immediately, for a planned shutdown.
    pub fn make_all_due(&mut self, now: Millis) {
        for held in self.held.values_mut() {
            held.append_at = held.append_at.min(now);
        }
    }

    /// All held bills.
    pub fn all(&self) -> Vec<Bill> {
        self.held.values().map(|held| held.bill.clone()).collect()
    }

    /// Number of held bills.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no bill is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}
