//! Decides which bodies may be held, out of a fixed number of bytes.
//!
//! The load pattern is many clients that send as much as each of them may, or stop
//! short and stay. What they hold together must stay bounded, and they must not keep
//! others out: a part of the bytes is only for short bodies, and room is made at the cost
//! of bodies that are not going to arrive.

use std::{cmp::Reverse, collections::BTreeMap};

use clock::Millis;
use displaydoc::Display;

/// Length up to which a body counts as short, bytes.
const SHORT_BODY_BYTES: u64 = 128 * 1024;

/// Part of the bytes that only short bodies may use.
const SHORT_PART: u64 = 4;

/// Silence after which a body gives way to a short one, ms.
const SILENT_FOR_SHORT_MS: u64 = 100;

/// Silence after which a body gives way to a long one, ms.
const SILENT_FOR_LONG_MS: u64 = 1_000;

/// Time after which the rate of a body is taken into account, ms.
const RATE_KNOWN_MS: u64 = 500;

/// Identifies a body in an account.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct BodyId(u64);

/// there is no room for the body; send the request again later
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub struct NoRoom;

impl std::error::Error for NoRoom {}

/// What is known of a body before it is read.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BodyStart {
    /// Time at which its request arrived.
    pub started: Millis,
    /// Time after which its request cannot be served.
    pub deadline: Millis,
    /// Declared length, bytes.
    pub declared_bytes: Option<u64>,
    /// Length of the longest body that is allowed, bytes.
    pub max_bytes: u64,
}

#[derive(Clone, Copy, Debug)]
struct AccountedBody {
    start: BodyStart,
    reserved_bytes: u64,
    received_bytes: u64,
    last_received: Millis,
    is_complete: bool,
}

impl AccountedBody {
    fn is_long(&self) -> bool {
        self.reserved_bytes > SHORT_BODY_BYTES
    }

    /// Whether the body will not have arrived by its deadline at the rate so far.
    fn is_too_slow(&self, now: Millis) -> bool {
        let Some(declared) = self.start.declared_bytes else {
            return false;
        };
        let elapsed_ms = now.since(self.start.started);
        let needed_ms =
            elapsed_ms.saturating_mul(declared) / self.received_bytes.max(1);
        elapsed_ms >= RATE_KNOWN_MS
            && self.start.started.plus(needed_ms) > self.start.deadline
    }

    /// Whether the body gives way to another one.
    fn gives_way(&self, silent_ms: u64, now: Millis) -> bool {
        !self.is_complete
            && (now.since(self.last_received) >= silent_ms || self.is_too_slow(now))
    }
}

/// What is missing for a body to be held.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Shortage {
    /// Of all bytes.
    total_bytes: u64,
    /// Of the bytes that long bodies may hold.
    long_bytes: u64,
}

impl Shortage {
    fn is_none(&self) -> bool {
        *self == Shortage::default()
    }

    /// Takes off what `body` gives back.
    fn reduce(&mut self, body: &AccountedBody) {
        let freed = body.reserved_bytes;
        self.total_bytes = self.total_bytes.saturating_sub(freed);
        if body.is_long() {
            self.long_bytes = self.long_bytes.saturating_sub(freed);
        }
    }
}

/// The bodies that a process holds, from their first byte until their requests end.
///
/// It counts the capacity of buffers, not their content.
#[derive(Debug)]
pub struct BodyAccount {
    bound_bytes: u64,
    bodies: BTreeMap<BodyId, AccountedBody>,
    next_id: u64,
}

impl BodyAccount {
    /// Creates an account of `bound_bytes` for all bodies together. One body of the
    /// longest length that is allowed always fits.
    pub fn new(bound_bytes: u64) -> Self {
        BodyAccount {
            bound_bytes,
            bodies: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Returns the bytes that all bodies may hold together.
    pub fn bound_bytes(&self) -> u64 {
        self.bound_bytes
    }

    /// Returns the bytes that all bodies hold.
    pub fn held_bytes(&self) -> u64 {
        self.bodies.values().map(|body| body.reserved_bytes).sum()
    }

    /// Adds a body that holds nothing yet.
    pub fn open(&mut self, start: BodyStart) -> BodyId {
        let id = BodyId(self.next_id);
        self.next_id += 1;
        let body = AccountedBody {
            start,
            reserved_bytes: 0,
            received_bytes: 0,
            last_received: start.started,
            is_complete: false,
        };
        self.bodies.insert(id, body);
        id
    }

    /// Raises what a body holds to `bytes`; returns the bodies that had to give way, which
    /// are no longer in the account.
    ///
    /// # Errors
    ///
    /// [`NoRoom`] if the other bodies leave too little; none of them gives way then.
    pub fn reserve(
        &mut self,
        id: BodyId,
        bytes: u64,
        now: Millis,
    ) -> Result<Vec<BodyId>, NoRoom> {
        let body = *self.bodies.get(&id).ok_or(NoRoom)?;
        let shortage = self.shortage(id, body.start.max_bytes, bytes);
        let evicted = self.victims(id, bytes, shortage, now).ok_or(NoRoom)?;
        for victim in &evicted {
            self.bodies.remove(victim);
        }
        if let Some(body) = self.bodies.get_mut(&id) {
            body.reserved_bytes = bytes;
        }
        Ok(evicted)
    }

    /// Returns what is missing for the body `id` to hold `bytes`.
    fn shortage(&self, id: BodyId, max_bytes: u64, bytes: u64) -> Shortage {
        let short_only = self.bound_bytes / SHORT_PART;
        let long_max = (self.bound_bytes - short_only).max(max_bytes);
        let (mut long, mut total) = (0, bytes);
        for (_, body) in self.bodies.iter().filter(|(other, _)| **other != id) {
            total += body.reserved_bytes;
            if body.is_long() {
                long += body.reserved_bytes;
            }
        }
        let long_missing = match bytes > SHORT_BODY_BYTES {
            true => (long + bytes).saturating_sub(long_max),
            false => 0,
        };
        Shortage {
            total_bytes: total.saturating_sub(long_max + short_only),
            long_bytes: long_missing,
        }
    }

    /// Chooses the bodies that give way to one that reserves `bytes`, the largest first;
    /// `None` if they hold less than what is missing.
    fn victims(
        &self,
        id: BodyId,
        bytes: u64,
        mut shortage: Shortage,
        now: Millis,
    ) -> Option<Vec<BodyId>> {
        if shortage.is_none() {
            return Some(Vec::new());
        }
        let silent_ms = match bytes > SHORT_BODY_BYTES {
            true => SILENT_FOR_LONG_MS,
            false => SILENT_FOR_SHORT_MS,
        };
        let others = self.bodies.iter().filter(|(other, _)| **other != id);
        let mut candidates: Vec<_> = others
            .filter(|(_, body)| body.gives_way(silent_ms, now))
            .collect();
        candidates.sort_by_key(|(_, body)| {
            (Reverse(body.reserved_bytes), body.last_received)
        });
        let mut victims = Vec::new();
        for (victim, body) in candidates {
            if shortage.is_none() {
                break;
            }
            shortage.reduce(body);
            victims.push(*victim);
        }
        shortage.is_none().then_some(victims)
    }

    /// Records that a part of a body arrived.
    pub fn received(&mut self, id: BodyId, bytes: u64, now: Millis) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.received_bytes += bytes;
            body.last_received = now;
        }
    }

    /// Records that a body arrived as a whole; it is held until it is closed. Returns
    /// whether it is still in the account.
    pub fn complete(&mut self, id: BodyId) -> bool {
        let body = self.bodies.get_mut(&id);
        body.is_some_and(|body| {
            body.is_complete = true;
            true
        })
    }

    /// Gives back what a body holds, if it is still in the account.
    pub fn close(&mut self, id: BodyId) {
        self.bodies.remove(&id);
    }
}
