//! The other gateways: their addresses, when they were last heard, and their
//! last status.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use clock::Millis;
use owner::Member;
use route::{DispatchNotice, DrainNotice, PeerCoverage};
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

/// Time for which a peer counts as part of the fleet after it was heard, ms.
const FLEET_MEMBER_MS: u64 = 20_000;

#[derive(Debug)]
struct Peer {
    member: Member,
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
    own: Option<Member>,
    peers: BTreeMap<SocketAddr, Peer>,
    /// Number of statuses sent; selects the next receivers.
    round: usize,
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
            own: Some(Member::new(own)),
            ..Peers::default()
        };
        for address in configured {
            peers.add(*address, true, Millis::default());
        }
        peers
    }

    fn add(&mut self, address: SocketAddr, configured: bool, now: Millis) {
        let is_own = self.own_address() == Some(address);
        let fits = configured || self.peers.len() < PEERS_MAX;
        if is_own || !fits || self.peers.contains_key(&address) {
            return;
        }
        let peer = Peer {
            member: Member::new(address),
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
        let missed_ms = self.round_ms() * (MISSED_STATUSES_MAX + 1);
        missed_ms.max(FRESH_MIN_MS)
    }

    /// Returns the peers whose status is not too old to be used.
    fn fresh_peers(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        let fresh_ms = self.fresh_ms();
        self.peers.values().filter(move |peer| {
            peer.last_heard
                .is_some_and(|heard| now.since(heard) <= fresh_ms)
        })
    }

    /// Returns the time in which each peer is sent a status, ms.
    fn round_ms(&self) -> u64 {
        STATUS_INTERVAL_MS * self.peers.len().div_ceil(FANOUT_MAX) as u64
    }

    /// Returns the time in which all peers hear of this gateway, ms, also if one status
    /// to each is lost.
    pub fn hearing_ms(&self) -> u64 {
        self.round_ms() * 2
    }

    /// Returns the statuses that are not too old to be used, with their senders.
    pub fn fresh_statuses(
        &self,
        now: Millis,
    ) -> impl Iterator<Item = (SocketAddr, &PeerStatus)> {
        self.fresh_peers(now)
            .map(|peer| (peer.member.address(), &peer.status))
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

    /// Whether a peer with a fresh status takes new callers.
    pub fn any_takes_callers(&self, now: Millis) -> bool {
        self.fresh_statuses(now)
            .any(|(_, status)| status.takes_callers)
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
        self.own_address()
            .is_some_and(|own| lowest.is_none_or(|lowest| own < lowest))
    }

    /// Returns the gateway that tracks an endpoint, given by the digest of its id;
    /// `None` if it is this one. Gateways that hear the same peers agree on it.
    pub fn tracker(&self, endpoint_digest: u64, now: Millis) -> Option<SocketAddr> {
        let tracker = owner::owner(self.members(now), endpoint_digest);
        tracker.filter(|tracker| self.own_address() != Some(*tracker))
    }

    /// Returns the first `count` gateways in the order in which they would track `key`,
    /// fewer if not as many are heard; `None` stands for this one.
    pub fn trackers(
        &self,
        key: u64,
        count: usize,
        now: Millis,
    ) -> Vec<Option<SocketAddr>> {
        let trackers = owner::owners(self.members(now), key, count).into_iter();
        let peer_of =
            |tracker| (self.own_address() != Some(tracker)).then_some(tracker);
        trackers.map(peer_of).collect()
    }

    /// Returns the fraction of the fleet, 0 to 1, that this gateway hears. A gateway that
    /// grants for others grants this part of the whole, since gateways that it does not
    /// hear may ask another one.
    pub fn heard_fraction(&self, now: Millis) -> f64 {
        let heard = self.fresh_peers(now).count() + 1;
        let fleet = self.heard_within(FLEET_MEMBER_MS, now).count() + 1;
        owner::heard_fraction(heard, fleet)
    }

    /// Returns the number of gateways of the fleet, as far as they are known, with this
    /// one. One that is silent counts until it is removed.
    pub fn known_gateways(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns this gateway and all that were heard recently, which may own keys.
    fn members(&self, now: Millis) -> impl Iterator<Item = Member> {
        let peers = self.fresh_peers(now).map(|peer| peer.member);
        self.own.into_iter().chain(peers)
    }

    fn own_address(&self) -> Option<SocketAddr> {
        self.own.map(|own| own.address())
    }

    /// Returns the addresses of all known peers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.keys().copied().collect()
    }

    /// Whether `from` has been heard recently.
    pub fn is_fresh(&self, from: SocketAddr, now: Millis) -> bool {
        self.fresh_statuses(now).any(|(address, _)| address == from)
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
