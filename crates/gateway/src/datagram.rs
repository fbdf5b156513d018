//! The datagrams between gateways, and the bounds within which they are
//! accepted.
//!
//! A [`PeerStatus`] carries its sender's full state, so that the next one
//! makes up for a lost one. A [`PeerUpdate`] is sent at once besides, since
//! between two statuses all gateways would place their requests at the same
//! idle endpoint.
//!
//! Nothing in a datagram is trusted beyond its bounds. It changes predictions,
//! tells which version a session is on, halts a roll-out, or makes this
//! gateway fetch a newer configuration; it never changes what a request may
//! do.

use std::net::SocketAddr;

use route::{DispatchNotice, Evidence};
use serde::{Deserialize, Serialize};

/// Most endpoints in one status.
pub(crate) const ENDPOINTS_MAX: usize = 48;

/// Most peers in one status.
pub(crate) const ADVERTISED_PEERS_MAX: usize = 16;

/// Most roll-outs in one status.
pub(crate) const ROLLOUTS_MAX: usize = 2;

/// Most routes in the evidence on one roll-out.
pub(crate) const ROUTES_MAX: usize = 8;

/// Most sent requests, and most sessions, in one update.
pub(crate) const DISPATCHES_MAX: usize = 32;

/// Largest count of evidence that is accepted from one peer, so that a stray
/// datagram cannot outweigh all other evidence.
pub(crate) const COUNT_MAX: u64 = 100_000;

/// Largest token count that is accepted for one sent request: a prompt of half
/// a million tokens at the largest model's pace.
pub(crate) const TOKENS_MAX: u32 = 1_500_000;

/// A gateway's report on one roll-out.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutReport {
    /// Offset of the order, which identifies the roll-out.
    pub offset: u64,
    /// Time since the order, ms; `None` if the start is unknown.
    pub elapsed_ms: Option<u64>,
    /// The sender's own evidence, by the digest of the route.
    pub evidence: Vec<(u64, Evidence)>,
    /// Whether the sender found the version bad.
    pub halted: bool,
    /// Whether the sender routes all requests to the new version.
    pub traffic_shifted: bool,
    /// The sender's requests in progress on other versions.
    pub old_running: u32,
}

/// A datagram between gateways, encoded by postcard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Datagram {
    /// The sender's full state.
    Status(PeerStatus),
    /// What the sender has sent since its last status.
    Update(PeerUpdate),
}

/// Requests and sessions that the peers have to know of at once.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerUpdate {
    /// Start time of the sender, ms since 1970.
    pub incarnation_ms: u64,
    /// Requests sent since the last update.
    pub dispatches: Vec<DispatchNotice>,
    /// Digests of sessions and of their versions.
    pub sessions: Vec<(u64, u64)>,
}

/// Offsets up to which a gateway has read the topics that all follow.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogOffsets {
    /// End offset of the operators' topic.
    pub operator: u64,
    /// End offset of the endpoints' topic.
    pub endpoints: u64,
}

/// A gateway's full state, sent periodically.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerStatus {
    /// Start time of the sender, ms since 1970; distinguishes its
    /// incarnations.
    pub incarnation_ms: u64,
    /// Number of the status within the incarnation, from 1.
    pub sequence: u64,
    /// Version of the sender's configuration; zero for none.
    pub catalog_version: u64,
    /// Whether the sender can read the log, and so append records.
    pub can_read_log: bool,
    /// Offsets up to which the sender has read the log.
    pub log_offsets: LogOffsets,
    /// Digests of endpoints, the sender's requests there, and the tokens of
    /// these that are not yet processed.
    pub endpoint_load: Vec<(u64, u32, u32)>,
    /// Reports on active roll-outs.
    pub rollouts: Vec<RolloutReport>,
    /// Peers that the sender hears.
    pub peers: Vec<SocketAddr>,
}

impl PeerStatus {
    /// Adds a request to the load of `endpoint`, until the next status
    /// replaces it.
    pub(crate) fn add_load(&mut self, endpoint: u64, tokens: u32) {
        let rows = self.endpoint_load.len();
        let mut known = self.endpoint_load.iter_mut();
        match known.find(|(id, _, _)| *id == endpoint) {
            Some((_, count, sum)) => {
                *count = count.saturating_add(1);
                *sum = sum.saturating_add(tokens);
            }
            None if rows < ENDPOINTS_MAX => {
                self.endpoint_load.push((endpoint, 1, tokens));
            }
            None => {}
        }
    }

    fn is_within_bounds(&self) -> bool {
        self.endpoint_load.len() <= ENDPOINTS_MAX
            && self.rollouts.len() <= ROLLOUTS_MAX
            && self.peers.len() <= ADVERTISED_PEERS_MAX
            && self.rollouts.iter().all(is_within_bounds)
    }
}

/// Decodes a datagram; returns `None` if it is malformed or out of bounds.
pub fn decode_datagram(bytes: &[u8]) -> Option<Datagram> {
    let datagram: Datagram = postcard::from_bytes(bytes).ok()?;
    let sane = match &datagram {
        Datagram::Status(status) => status.is_within_bounds(),
        Datagram::Update(update) => {
            let mut tokens = update.dispatches.iter().map(|sent| sent.tokens);
            update.dispatches.len() <= DISPATCHES_MAX
                && update.sessions.len() <= DISPATCHES_MAX
                && tokens.all(|tokens| tokens <= TOKENS_MAX)
        }
    };
    sane.then_some(datagram)
}

fn is_within_bounds(report: &RolloutReport) -> bool {
    let counts = |e: &Evidence| [e.new_good, e.new_bad, e.old_good, e.old_bad];
    let mut evidence = report.evidence.iter().flat_map(|(_, e)| counts(e));
    report.evidence.len() <= ROUTES_MAX && evidence.all(|count| count <= COUNT_MAX)
}
