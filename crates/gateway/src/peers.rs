//! The other gateways: their addresses, when they were last heard, and their
//! last status.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use clock::Millis;
use route::{
    DispatchNotice, DrainNotice, PeerCoverage, digest_text, rendezvous_weight,
};
use store::LogPosition;

use crate::datagram::{
    ADVERTISED_PEERS_MAX, DISPATCHES_MAX, LogPositions, PeerStatus, PeerUpdate,
};

/// Time between statuses sent to the peers, ms.
pub(crate) const STATUS_INTERVAL_MS: u64 = 200;

/// Minimum age up to which a peer's status is used, ms.
const FRESH_MIN_MS: u64 = 1_000;

/// Number of consecutive statuses that may be lost before a peer counts as silent.
const MISSED_STATUSES_MAX: u64 = 2;

/// Quarters of the peers that must be heard for the load of endpoints to count as known.
const HEARD_QUARTERS_MIN: usize = 3;

/// Silence after which a peer is removed unless it is in the settings, ms.
const PEER_EXPIRY_MS: u64 = 20_000;

/// Number of peers that each status is sent to; more peers receive it in rotation.
const FANOUT_MAX: usize = 8;

/// Maximum number of tracked peers; those in the settings are always tracked.
const PEERS_MAX: usize = 1_000;

/// Minimum sequence number of a peer's status for fetching its configuration, or for
/// believing that a rollout has ended, so that one stray datagram is not enough. The number is the sender's own.
pub(crate) const TRUSTED_STATUSES_MIN: u64 = 5;

/// Minimum number of tokens to process for which a request is announced to the peers
/// before the next status.
const UPDATE_MIN_TOKENS: u32 = 500;

/// Returns the weight of a gateway as the tracker of an endpoint.
fn weight(gateway: SocketAddr, endpoint_digest: u64) -> u64 {
    rendezvous_weight(digest_text(&gateway.to_string()), endpoint_digest)
}

#[derive(Debug)]
struct Peer {
    configured: bool,
    /// Time at which its last status arrived.
    last_heard: Option<Millis>,
    /// Time at which its address was learned, from its own or another peer's status.
    discovered: Millis,
    status: PeerStatus,
}

/// All known peers, in address order.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    own: Option<SocketAddr>,
    peers: BTreeMap<SocketAddr, Peer>,
    /// Number of statuses sent; selects the next receivers.
    round: usize,
    /// Whether any peer has been heard since the start, also one removed since.
    ever_heard: bool,
    /// Requests sent since the last update.
    pending_dispatches: Vec<DispatchNotice>,
    /// Sessions' versions to announce to all peers.
    pending_sessions: Vec<(u64, u64)>,
    /// Draining endpoints to announce to all peers.
    pending_draining: Vec<DrainNotice>,
}

impl Peers {
    /// Creates a table of the peers in the settings, without their statuses.
    pub fn new(own: SocketAddr, configured: &[SocketAddr]) -> Self {
        let mut peers = Peers {
            own: Some(own),
            ..Peers::default()
        };
        for address in configured {
            peers.add(*address, true, Millis::default());
        }
        peers
    }

    fn add(&mut self, address: SocketAddr, configured: bool, now: Millis) {
        let is_own = self.own == Some(address);
        let fits = configured || self.peers.len() < PEERS_MAX;
        if is_own || !fits || self.peers.contains_key(&address) {
            return;
        }
        let peer = Peer {
            configured,
            last_heard: None,
            discovered: now,
            status: PeerStatus::default(),
        };
        self.peers.insert(address, peer);
    }

    /// Records a status; returns whether its sender was silent or unknown
    /// before.
    pub fn record_status(
        &mut self,
        from: SocketAddr,
        status: PeerStatus,
        now: Millis,
    ) -> bool {
        self.add(from, false, now);
        for address in status.peers.iter().take(ADVERTISED_PEERS_MAX) {
            // All gateways listen on the same port, so other ports are ignored.
            if address.port() == from.port() {
                self.add(*address, false, now);
            }
        }
        let fresh_ms = self.fresh_ms();
        let Some(peer) = self.peers.get_mut(&from) else {
            return false;
        };
        let held = (peer.status.incarnation_ms, peer.status.sequence);
        if (status.incarnation_ms, status.sequence) <= held {
            return false;
        }
        let was_fresh = peer.last_heard.is_some_and(|at| now.since(at) <= fresh_ms);
        peer.status = status;
        peer.last_heard = Some(now);
        self.ever_heard = true;
        !was_fresh
    }

    /// Queues a request for the next update if it has at least [`UPDATE_MIN_TOKENS`]
    /// and the update is not full; returns whether it was queued.
    pub fn queue_dispatch(&mut self, sent: DispatchNotice) -> bool {
        // In a large fleet the endpoint's tracker is told instead.
        let queued = self.coverage() == PeerCoverage::Complete
            && sent.tokens >= UPDATE_MIN_TOKENS
            && self.pending_dispatches.len() < DISPATCHES_MAX;
        if queued {
            self.pending_dispatches.push(sent);
        }
        queued
    }

    /// Queues a session's version for the next update.
    pub fn queue_session(&mut self, session: u64, version: u64) {
        if self.pending_sessions.len() < DISPATCHES_MAX {
            self.pending_sessions.push((session, version));
        }
    }

    /// Queues the notice that an endpoint is draining for the next update.
    pub fn queue_draining(&mut self, notice: DrainNotice) {
        if self.pending_draining.len() < DISPATCHES_MAX {
            self.pending_draining.push(notice);
        }
    }

    /// Records a peer's update; returns whether the sender is known.
    pub fn record_update(&mut self, from: SocketAddr, update: &PeerUpdate) -> bool {
        let Some(peer) = self.peers.get_mut(&from) else {
            return false;
        };
        if peer.last_heard.is_none()
            || peer.status.incarnation_ms != update.incarnation_ms
        {
            return false;
        }
        for sent in &update.dispatches {
            peer.status.add_load(sent.endpoint_digest, sent.tokens);
        }
        true
    }

    /// Removes peers that have been silent for long; returns those that have
    /// just become silent.
    pub fn expire(&mut self, now: Millis) -> Vec<SocketAddr> {
        // A peer learned from another one sends statuses only after it has received
        // one, so its time counts from the discovery.
        self.peers.retain(|_, peer| {
            let last = peer.last_heard.unwrap_or(peer.discovered);
            peer.configured || now.since(last) < PEER_EXPIRY_MS
        });
        let fresh_ms = self.fresh_ms();
        let silent = self.peers.iter().filter(|(_, peer)| {
            peer.last_heard.is_some_and(|at| {
                let age_ms = now.since(at);
                age_ms > fresh_ms && age_ms <= fresh_ms + STATUS_INTERVAL_MS
            })
        });
        silent.map(|(address, _)| *address).collect()
    }

    /// Returns the age up to which a peer's status is used, ms. It rises with the
    /// number of peers, since each then sends to this gateway less often.
    fn fresh_ms(&self) -> u64 {
        let rounds = self.peers.len().div_ceil(FANOUT_MAX) as u64;
        let missed_ms = STATUS_INTERVAL_MS * rounds * (MISSED_STATUSES_MAX + 1);
        missed_ms.max(FRESH_MIN_MS)
    }

    /// Returns the statuses that are not too old to be used, with their senders.
    pub fn fresh_statuses(
        &self,
        now: Millis,
    ) -> impl Iterator<Item = (SocketAddr, &PeerStatus)> {
        let fresh_ms = self.fresh_ms();
        self.peers.iter().filter_map(move |(address, peer)| {
            let heard = peer.last_heard?;
            (now.since(heard) <= fresh_ms).then_some((*address, &peer.status))
        })
    }

    /// Returns the last statuses of all peers that were heard within `age_ms`.
    pub fn heard_within(
        &self,
        age_ms: u64,
        now: Millis,
    ) -> impl Iterator<Item = &PeerStatus> {
        self.peers.values().filter_map(move |peer| {
            let heard = peer.last_heard?;
            (now.since(heard) <= age_ms).then_some(&peer.status)
        })
    }

    /// Returns the peer with the newest configuration, if that is newer than
    /// `version` and its status has a sequence number of at least
    /// [`TRUSTED_STATUSES_MIN`], which a gateway reaches about a second after its start.
    pub fn newer_catalog(&self, version: u64, now: Millis) -> Option<SocketAddr> {
        let newest = self
            .fresh_statuses(now)
            .max_by_key(|(_, status)| status.catalog_version)?;
        let (address, status) = newest;
        let known = status.sequence >= TRUSTED_STATUSES_MIN;
        (known && status.catalog_version > version).then_some(address)
    }

    /// Returns the furthest log positions that any peer has read up to.
    pub fn furthest_log_positions(&self, now: Millis) -> LogPositions {
        let further =
            |a: LogPosition, b: LogPosition| if a.is_behind(b) { b } else { a };
        let positions = self.fresh_statuses(now).map(|(_, s)| s.log_positions);
        positions.fold(LogPositions::default(), |a, b| LogPositions {
            operator: further(a.operator, b.operator),
            endpoints: further(a.endpoints, b.endpoints),
        })
    }

    /// Whether any peer has ever been heard.
    pub fn any_heard(&self) -> bool {
        self.peers.values().any(|peer| peer.last_heard.is_some())
    }

    /// Whether this gateway records the status of rollouts for all gateways. Given
    /// that it can read the log itself, this is the case if no peer with a fresh status
    /// and a lower address can read it too.
    pub fn is_leader(&self, now: Millis) -> bool {
        let readers = self
            .fresh_statuses(now)
            .filter(|(_, status)| status.can_read_log);
        let lowest = readers.map(|(address, _)| address).min();
        self.own
            .is_some_and(|own| lowest.is_none_or(|lowest| own < lowest))
    }

    /// Returns the gateway that tracks an endpoint, given by the digest of its id;
    /// `None` if it is this one. Gateways that hear the same peers agree on it.
    pub fn tracker(&self, endpoint_digest: u64, now: Millis) -> Option<SocketAddr> {
        let weighted = self.weighted(endpoint_digest, now);
        let chosen = weighted.max_by_key(|(weight, _)| *weight);
        chosen.and_then(|(_, tracker)| tracker)
    }

    /// Returns the first `count` gateways in the order in which they would track `key`,
    /// fewer if not as many are heard; `None` stands for this one.
    pub fn trackers(
        &self,
        key: u64,
        count: usize,
        now: Millis,
    ) -> Vec<Option<SocketAddr>> {
        let mut weighted: Vec<_> = self.weighted(key, now).collect();
        weighted.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        let gateways = weighted.into_iter().map(|(_, gateway)| gateway);
        gateways.take(count).collect()
    }

    /// Returns this gateway, as `None`, and all that were heard recently, with their
    /// weights for `key`.
    fn weighted(
        &self,
        key: u64,
        now: Millis,
    ) -> impl Iterator<Item = (u64, Option<SocketAddr>)> {
        let own = self.own.map(|address| (weight(address, key), None));
        let peers = self.fresh_statuses(now).map(|(address, _)| address);
        let peers = peers.map(move |peer| (weight(peer, key), Some(peer)));
        own.into_iter().chain(peers)
    }

    /// Returns the addresses of all known peers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.keys().copied().collect()
    }

    /// Whether `from` has been heard recently.
    pub fn is_fresh(&self, from: SocketAddr, now: Millis) -> bool {
        self.fresh_statuses(now).any(|(address, _)| address == from)
    }

    /// Whether most of the peers are heard, so that their statuses tell the load of the
    /// endpoints. A gateway that has lost all its peers hears none; one that never had
    /// any is the whole fleet.
    pub fn hears_fleet(&self, now: Millis) -> bool {
        if self.peers.is_empty() {
            return !self.ever_heard;
        }
        self.fresh_statuses(now).count() * 4 >= self.peers.len() * HEARD_QUARTERS_MIN
    }

    /// Sums the peers' requests and their unprocessed tokens by digest of the
    /// endpoint's id.
    pub fn load(&self, now: Millis) -> HashMap<u64, (u32, u32)> {
        let mut sums: HashMap<u64, (u32, u32)> = HashMap::new();
        for (_, status) in self.fresh_statuses(now) {
            for (endpoint, running, tokens) in &status.endpoint_load {
                let sum = sums.entry(*endpoint).or_default();
                sum.0 = sum.0.saturating_add(*running);
                sum.1 = sum.1.saturating_add(*tokens);
            }
        }
        sums
    }

    /// Whether the statuses cover all peers' requests or only a part.
    pub fn coverage(&self) -> PeerCoverage {
        if self.peers.len() <= FANOUT_MAX {
            PeerCoverage::Complete
        } else {
            PeerCoverage::Partial
        }
    }

    /// Takes the queued update, and the peers to send it to.
    pub fn drain_update(
        &mut self,
        incarnation_ms: u64,
    ) -> (PeerUpdate, Vec<SocketAddr>) {
        let update = PeerUpdate {
            incarnation_ms,
            dispatches: std::mem::take(&mut self.pending_dispatches),
            sessions: std::mem::take(&mut self.pending_sessions),
            draining: std::mem::take(&mut self.pending_draining),
        };
        let for_all = !update.sessions.is_empty() || !update.draining.is_empty();
        let receivers = if for_all {
            self.addresses()
        } else {
            self.receivers()
        };
        (update, receivers)
    }

    /// Returns the receivers of the next status and advances the rotation.
    pub fn next_receivers(&mut self) -> Vec<SocketAddr> {
        let receivers = self.receivers();
        self.round += 1;
        receivers
    }

    /// Returns the receivers of the next status, in rotation so that all peers
    /// receive equally many.
    fn receivers(&self) -> Vec<SocketAddr> {
        let peer_count = self.peers.len().max(1);
        let first = self.round * FANOUT_MAX % peer_count;
        let addresses = self.peers.keys().copied().cycle();
        let next = addresses.skip(first).take(FANOUT_MAX.min(self.peers.len()));
        next.collect()
    }

    /// Returns the peers to list in this gateway's status.
    pub fn advertised(&self, now: Millis) -> Vec<SocketAddr> {
        let heard = self.fresh_statuses(now).map(|(address, _)| address);
        heard.take(ADVERTISED_PEERS_MAX).collect()
    }
}
