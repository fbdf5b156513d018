//! How endpoints enter and leave the pool.
//!
//! The platform's log may be away while registrations expire, and it may be
//! restored from a copy in which an endpoint that left is still listed, and one
//! that came is not. Endpoints announce themselves again after either, so the pool
//! waits for that before it drops one, and orders the announcements of different
//! epochs by the endpoints' own sequence numbers. See `docs/design/outage.md`.

use catalog::{Endpoint, EndpointState};
use clock::Millis;

use super::{Pool, endpoint_stats::EndpointStats, prefix::digest_text};

/// Time after discovery is restored, ms, during which unlisted endpoints stay
/// in the pool. Running endpoints announce themselves again within it.
const REANNOUNCE_GRACE_MS: u64 = 2_000;

/// Time for which the departure of an endpoint is remembered, ms. Copies of the log
/// are seconds old.
const DEPARTED_KEPT_MS: u64 = 300_000;

/// Order of the announcements of one incarnation of an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AnnouncedAt {
    /// Epoch of the log that holds the announcement.
    pub epoch: u64,
    /// The endpoint's own sequence number, which rises within an incarnation.
    pub sequence: u64,
}

impl AnnouncedAt {
    /// Whether a later epoch of the log holds this announcement, and `known` is a
    /// newer one, which the log has lost.
    ///
    /// Within one epoch the order of the log decides, so that a record by another
    /// writer cannot block an endpoint by a large number.
    fn is_copy_before(self, known: AnnouncedAt) -> bool {
        self.epoch > known.epoch && self.sequence < known.sequence
    }

    /// Like [`AnnouncedAt::is_copy_before`], but also if it is `known` itself.
    fn is_copy_of(self, known: AnnouncedAt) -> bool {
        self.epoch > known.epoch && self.sequence <= known.sequence
    }
}

/// An incarnation that left the pool.
#[derive(Clone, Copy, Debug)]
pub(super) struct Departure {
    born_ms: u64,
    announced: AnnouncedAt,
    at: Millis,
}

impl Pool {
    /// Adds or updates an endpoint; returns whether anything changed.
    ///
    /// A delayed announcement of an earlier incarnation is ignored, and so is one
    /// that a restored log holds although the endpoint has announced a later state
    /// or its departure. An endpoint that was found draining stays so. A new
    /// incarnation or address resets all statistics except the number of
    /// running requests.
    pub fn announce(&mut self, endpoint: Endpoint, announced: AnnouncedAt) -> bool {
        if self.has_departed(&endpoint, announced) {
            return false;
        }
        let Some(stats) = self.endpoints.get_mut(&endpoint.id) else {
            let id_digest = digest_text(&endpoint.id);
            self.ids_by_digest.insert(id_digest, endpoint.id.clone());
            self.departed.remove(&endpoint.id);
            self.endpoints
                .insert(endpoint.id.clone(), EndpointStats::new(endpoint, announced));
            return true;
        };
        if endpoint.born_ms < stats.endpoint.born_ms {
            return false;
        }
        let restarted = endpoint.born_ms > stats.endpoint.born_ms;
        let moved = endpoint.address != stats.endpoint.address;
        let outdated = announced.is_copy_before(stats.announced);
        if !restarted && outdated {
            return false;
        }
        if restarted || moved {
            let running = stats.running;
            *stats = EndpointStats::new(endpoint, announced);
            stats.running = running;
            return true;
        }
        stats.unlisted = false;
        stats.announced = announced;
        stats.warmup.announce(endpoint.warmup_left_ms);
        let state = match stats.endpoint.state {
            EndpointState::Draining => EndpointState::Draining,
            EndpointState::Ready => endpoint.state,
        };
        let endpoint = Endpoint { state, ..endpoint };
        let changed = stats.endpoint != endpoint;
        stats.domain_digest = digest_text(&endpoint.failure_domain);
        stats.endpoint = endpoint;
        changed
    }

    /// Returns whether a restored log lists an endpoint again that had left before.
    fn has_departed(&self, endpoint: &Endpoint, announced: AnnouncedAt) -> bool {
        self.departed.get(&endpoint.id).is_some_and(|departure| {
            let same = departure.born_ms == endpoint.born_ms;
            same && announced.is_copy_of(departure.announced)
        })
    }

    /// Removes an endpoint that is no longer listed.
    ///
    /// While discovery is unavailable, and for a grace period afterwards, the
    /// endpoint is only marked, since its registration may have expired
    /// although it still runs. Returns whether it was removed.
    pub fn unlist(&mut self, id: &str, now: Millis) -> bool {
        let in_grace = self.grace_until.is_some_and(|until| now < until);
        match self.endpoints.get_mut(id) {
            Some(stats) if in_grace => {
                stats.unlisted = true;
                false
            }
            _ => {
                self.remove(id, now);
                true
            }
        }
    }

    fn remove(&mut self, id: &str, now: Millis) {
        let Some(stats) = self.endpoints.remove(id) else {
            return;
        };
        self.ids_by_digest.remove(&stats.id_digest);
        self.departed
            .retain(|_, departure| now.since(departure.at) < DEPARTED_KEPT_MS);
        let departure = Departure {
            born_ms: stats.endpoint.born_ms,
            announced: stats.announced,
            at: now,
        };
        self.departed.insert(id.to_owned(), departure);
    }

    /// Records that the endpoint list cannot be read. Registrations may expire
    /// in the meantime.
    pub fn discovery_lost(&mut self) {
        self.grace_until = Some(Millis(u64::MAX));
    }

    /// Records that the endpoint list can be read again, or was restored from an
    /// older copy, which starts the grace period for unlisted endpoints.
    pub fn discovery_restored(&mut self, now: Millis) {
        self.grace_until = Some(now.plus(REANNOUNCE_GRACE_MS));
    }

    /// Removes the endpoints that are still unlisted when the grace period
    /// ends; returns their ids.
    pub fn expire(&mut self, now: Millis) -> Vec<String> {
        let grace_over = self.grace_until.is_some_and(|until| now >= until);
        if !grace_over {
            return Vec::new();
        }
        self.grace_until = None;
        let expired = self.endpoints.iter().filter(|(_, stats)| stats.unlisted);
        let expired: Vec<String> = expired.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.remove(id, now);
        }
        expired
    }
}
