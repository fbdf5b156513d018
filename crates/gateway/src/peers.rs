//! The other gateways: who is known, who is heard, and what each said last.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use clock::Millis;
use route::{Hearing, Sent};

use crate::datagram::{
    ADVERTISED_PEERS_MAX, LogOffsets, PeerStatus, PeerUpdate, SENT_MAX,
};

/// Time between words to the peers, ms.
pub(crate) const STATUS_INTERVAL_MS: u64 = 200;

/// Least age up to which a peer's word counts, ms.
const FRESH_MIN_MS: u64 = 1_000;

/// Words that a peer may miss before it does not count any more.
const MISSED_STATUSES_MAX: u64 = 2;

/// Silence after which a peer is forgotten unless the settings name it, ms.
const PEER_EXPIRY_MS: u64 = 20_000;

/// Peers that get each word; with more, they get it in turn.
const FANOUT_MAX: usize = 8;

/// Peers that are remembered.
const PEERS_MAX: usize = 64;

/// Words after which a peer is asked for its configuration.
const TRUSTED_STATUSES_MIN: u64 = 5;

/// Tokens to read from which a sent request is told at once.
const UPDATE_MIN_TOKENS: u32 = 500;

#[derive(Debug)]
struct Peer {
    configured: bool,
    /// When it was heard last.
    last_heard: Option<Millis>,
    /// When it became known, by its own word or another peer's.
    discovered: Millis,
    status: PeerStatus,
}

/// Every peer that is known, in address order.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    own: Option<SocketAddr>,
    peers: BTreeMap<SocketAddr, Peer>,
    /// Words sent.
    round: usize,
    /// What some peers are to hear at once.
    pending_sent: Vec<Sent>,
    /// Sessions that all peers are to hear of at once.
    pending_sessions: Vec<(u64, u64)>,
}

impl Peers {
    /// The peers that the settings name; of these only the addresses count.
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

    /// Takes a word; returns whether its sender was not heard before or for
    /// long.
    pub fn record_status(
        &mut self,
        from: SocketAddr,
        status: PeerStatus,
        now: Millis,
    ) -> bool {
        self.add(from, false, now);
        for address in status.peers.iter().take(ADVERTISED_PEERS_MAX) {
            // All gateways listen on the same port.
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

    /// Takes that a request was sent; returns whether the peers are to hear.
    pub fn queue_sent(&mut self, sent: Sent) -> bool {
        let queued =
            sent.tokens >= UPDATE_MIN_TOKENS && self.pending_sent.len() < SENT_MAX;
        if queued {
            self.pending_sent.push(sent);
        }
        queued
    }

    /// Takes that a session is on a version, to be told to the peers.
    pub fn queue_session(&mut self, session: u64, version: u64) {
        if self.pending_sessions.len() < SENT_MAX {
            self.pending_sessions.push((session, version));
        }
    }

    /// Takes what a peer sent; returns whether its sender is known.
    pub fn record_update(&mut self, from: SocketAddr, update: &PeerUpdate) -> bool {
        let Some(peer) = self.peers.get_mut(&from) else {
            return false;
        };
        if peer.last_heard.is_none()
            || peer.status.incarnation_ms != update.incarnation_ms
        {
            return false;
        }
        for sent in &update.sent {
            peer.status.add_running(sent.endpoint, sent.tokens);
        }
        true
    }

    /// Forgets who is silent for long; returns who has just become silent.
    pub fn expire(&mut self, now: Millis) -> Vec<SocketAddr> {
        // One that was only told of has to get a word before it can answer.
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

    /// Age up to which a peer's word counts, ms: with many peers, each speaks to
    /// this one less often.
    fn fresh_ms(&self) -> u64 {
        let rounds = self.peers.len().div_ceil(FANOUT_MAX) as u64;
        let missed_ms = STATUS_INTERVAL_MS * rounds * (MISSED_STATUSES_MAX + 1);
        missed_ms.max(FRESH_MIN_MS)
    }

    /// Words that count, with who said them.
    pub fn fresh(
        &self,
        now: Millis,
    ) -> impl Iterator<Item = (SocketAddr, &PeerStatus)> {
        let fresh_ms = self.fresh_ms();
        self.peers.iter().filter_map(move |(address, peer)| {
            let heard = peer.last_heard?;
            (now.since(heard) <= fresh_ms).then_some((*address, &peer.status))
        })
    }

    /// The last words of all peers that were heard within `age_ms`.
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

    /// The peer with the newest configuration, if it is newer than `version`
    /// and it has been heard for some time: one datagram is not enough.
    pub fn newer_catalog(&self, version: u64, now: Millis) -> Option<SocketAddr> {
        let newest = self
            .fresh(now)
            .max_by_key(|(_, status)| status.catalog_version)?;
        let (address, status) = newest;
        let known = status.sequence >= TRUSTED_STATUSES_MIN;
        (known && status.catalog_version > version).then_some(address)
    }

    /// The furthest that any peer has read.
    pub fn max_log_offsets(&self, now: Millis) -> LogOffsets {
        self.fresh(now)
            .fold(LogOffsets::default(), |ends, (_, status)| LogOffsets {
                operator: ends.operator.max(status.log_offsets.operator),
                endpoints: ends.endpoints.max(status.log_offsets.endpoints),
            })
    }

    /// Whether any peer was ever heard.
    pub fn any_heard(&self) -> bool {
        self.peers.values().any(|peer| peer.last_heard.is_some())
    }

    /// Whether this gateway acts for all, given that it can read the log: it
    /// has the lowest address of those that are heard and can read it too.
    pub fn is_leader(&self, now: Millis) -> bool {
        let readers = self.fresh(now).filter(|(_, status)| status.can_read_log);
        let lowest = readers.map(|(address, _)| address).min();
        self.own
            .is_some_and(|own| lowest.is_none_or(|lowest| own < lowest))
    }

    /// Requests of the peers at each endpoint, by the endpoint's digest.
    pub fn running(&self, now: Millis) -> HashMap<u64, (u32, u32)> {
        let mut sums: HashMap<u64, (u32, u32)> = HashMap::new();
        for (_, status) in self.fresh(now) {
            for (endpoint, running, tokens) in &status.running {
                let sum = sums.entry(*endpoint).or_default();
                sum.0 = sum.0.saturating_add(*running);
                sum.1 = sum.1.saturating_add(*tokens);
            }
        }
        sums
    }

    /// Whether every peer's requests are heard of.
    pub fn hearing(&self) -> Hearing {
        if self.peers.len() <= FANOUT_MAX {
            Hearing::All
        } else {
            Hearing::Some
        }
    }

    /// What the peers are to hear at once, and who of them.
    pub fn drain_update(
        &mut self,
        incarnation_ms: u64,
    ) -> (PeerUpdate, Vec<SocketAddr>) {
        let update = PeerUpdate {
            incarnation_ms,
            sent: std::mem::take(&mut self.pending_sent),
            sessions: std::mem::take(&mut self.pending_sessions),
        };
        let receivers = if update.sessions.is_empty() {
            self.receivers()
        } else {
            self.peers.keys().copied().collect()
        };
        (update, receivers)
    }

    /// Who gets the word that is due; the next one goes to others.
    pub fn next_receivers(&mut self) -> Vec<SocketAddr> {
        let receivers = self.receivers();
        self.round += 1;
        receivers
    }

    /// Who gets the next word: all in turn, so that each is heard as often.
    fn receivers(&self) -> Vec<SocketAddr> {
        let all = self.peers.len().max(1);
        let first = self.round * FANOUT_MAX % all;
        let addresses = self.peers.keys().copied().cycle();
        let next = addresses.skip(first).take(FANOUT_MAX.min(self.peers.len()));
        next.collect()
    }

    /// The peers that a word tells of.
    pub fn advertised(&self, now: Millis) -> Vec<SocketAddr> {
        let heard = self.fresh(now).map(|(address, _)| address);
        heard.take(ADVERTISED_PEERS_MAX).collect()
    }
}
