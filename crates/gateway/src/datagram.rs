//! What gateways tell each other, by datagrams, and the bounds within which
//! these are taken.
//!
//! A [`PeerStatus`] holds all that its sender has to say, so that a lost one is made
//! up for by the next.  [`PeerUpdate`] go out at once besides, since in the time
//! between two words all gateways would place their requests at the same idle
//! endpoint.  Nothing in a datagram is trusted beyond its bounds: it changes
//! predictions, tells which version a session is on, halts a roll-out, or makes
//! this gateway ask for a newer configuration, and never what a request may do.

use std::net::SocketAddr;

use route::{Evidence, Sent};
use serde::{Deserialize, Serialize};

/// Endpoints that one word tells of.
pub(crate) const RUNNING_MAX: usize = 48;

/// Peers that one word tells of.
pub(crate) const ADVERTISED_PEERS_MAX: usize = 16;

/// Roll-outs that one word tells of.
pub(crate) const ROLLOUTS_MAX: usize = 2;

/// Routes that one roll-out's evidence is told of.
pub(crate) const ROUTES_MAX: usize = 8;

/// Sent requests that one datagram tells of.
pub(crate) const SENT_MAX: usize = 32;

/// Most that one peer may claim of a count, so that a stray datagram cannot
/// drown what others say.
pub(crate) const COUNT_MAX: u64 = 100_000;

/// Most tokens that one sent request is believed to read: a prompt of half a
/// million at the largest model's pace.
pub(crate) const TOKENS_MAX: u32 = 1_500_000;

/// What a gateway says of a roll-out.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutReport {
    /// Offset of the order, which names it.
    pub offset: u64,
    /// Time since the order, ms.
    pub elapsed_ms: Option<u64>,
    /// What it has seen itself, by the digest of the route.
    pub evidence: Vec<(u64, Evidence)>,
    /// Whether it found the version bad.
    pub halted: bool,
    /// Whether it sends everything to the new version.
    pub traffic_shifted: bool,
    /// Its requests under way on other versions.
    pub old_running: u32,
}

/// One datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Datagram {
    /// All that the sender has to say.
    Status(PeerStatus),
    /// What it has sent since its last word.
    Update(PeerUpdate),
}

/// Requests sent just now.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerUpdate {
    /// Start of the sender, ms since 1970.
    pub incarnation_ms: u64,
    /// The requests.
    pub sent: Vec<Sent>,
    /// Digests of sessions, and of the versions that these are on.
    pub sessions: Vec<(u64, u64)>,
}

/// Offsets up to which a gateway knows the topics that all follow.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogOffsets {
    /// Of the operators' topic.
    pub operator: u64,
    /// Of the endpoints.
    pub endpoints: u64,
}

/// What a gateway knows and does.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerStatus {
    /// Start of the sender, ms since 1970: tells incarnations apart.
    pub incarnation_ms: u64,
    /// Counts the sender's words.
    pub sequence: u64,
    /// Version of its configuration; zero for none.
    pub catalog_version: u64,
    /// Whether it can read the log, and so record.
    pub can_read_log: bool,
    /// How far it has read.
    pub log_offsets: LogOffsets,
    /// Digests of endpoints, its requests there, and the tokens that these
    /// still have to read.
    pub running: Vec<(u64, u32, u32)>,
    /// Roll-outs under way.
    pub rollouts: Vec<RolloutReport>,
    /// Peers that it hears.
    pub peers: Vec<SocketAddr>,
}

impl PeerStatus {
    /// Adds a request, until the next word tells all.
    pub(crate) fn add_running(&mut self, endpoint: u64, tokens: u32) {
        let rows = self.running.len();
        let mut known = self.running.iter_mut();
        match known.find(|(id, _, _)| *id == endpoint) {
            Some((_, count, sum)) => {
                *count = count.saturating_add(1);
                *sum = sum.saturating_add(tokens);
            }
            None if rows < RUNNING_MAX => {
                self.running.push((endpoint, 1, tokens));
            }
            None => {}
        }
    }

    fn is_within_bounds(&self) -> bool {
        self.running.len() <= RUNNING_MAX
            && self.rollouts.len() <= ROLLOUTS_MAX
            && self.peers.len() <= ADVERTISED_PEERS_MAX
            && self.rollouts.iter().all(is_within_bounds)
    }
}

/// Decodes a datagram; what is out of bounds is none.
pub fn decode_datagram(bytes: &[u8]) -> Option<Datagram> {
    let datagram: Datagram = postcard::from_bytes(bytes).ok()?;
    let sane = match &datagram {
        Datagram::Status(status) => status.is_within_bounds(),
        Datagram::Update(update) => {
            let mut tokens = update.sent.iter().map(|sent| sent.tokens);
            update.sent.len() <= SENT_MAX
                && update.sessions.len() <= SENT_MAX
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
