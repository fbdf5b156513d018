//! What gateways tell each other, by datagrams, and the bounds within which
//! these are taken.
//!
//! A [`Word`] holds all that its sender has to say, so that a lost one is made
//! up for by the next.  [`News`] go out at once besides, since in the time
//! between two words all gateways would place their requests at the same idle
//! endpoint.  Nothing in a datagram is trusted beyond its bounds: it changes
//! predictions, tells which version a session is on, halts a roll-out, or makes
//! this gateway ask for a newer configuration, and never what a request may do.

use std::net::SocketAddr;

use route::{DispatchNotice, Evidence};
use serde::{Deserialize, Serialize};

/// Endpoints that one word tells of.
pub(crate) const RUNNING_MAX: usize = 48;

/// Peers that one word tells of.
pub(crate) const TOLD_PEERS_MAX: usize = 16;

/// Roll-outs that one word tells of.
pub(crate) const UPGRADES_MAX: usize = 2;

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
pub struct UpgradeWord {
    /// Offset of the order, which names it.
    pub offset: u64,
    /// Time since the order, ms.
    pub elapsed_ms: Option<u64>,
    /// What it has seen itself, by the digest of the route.
    pub evidence: Vec<(u64, Evidence)>,
    /// Whether it found the version bad.
    pub halted: bool,
    /// Whether it sends everything to the new version.
    pub moved: bool,
    /// Its requests under way on other versions.
    pub old_running: u32,
}

/// One datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Datagram {
    /// All that the sender has to say.
    Word(Word),
    /// What it has sent since its last word.
    News(News),
}

/// Requests sent just now.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct News {
    /// Start of the sender, ms since 1970.
    pub born_ms: u64,
    /// The requests.
    pub sent: Vec<DispatchNotice>,
    /// Digests of sessions, and of the versions that these are on.
    pub sessions: Vec<(u64, u64)>,
}

/// Offsets up to which a gateway knows the topics that all follow.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogEnds {
    /// Of the operators' topic.
    pub operator: u64,
    /// Of the endpoints.
    pub endpoints: u64,
}

/// What a gateway knows and does.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Word {
    /// Start of the sender, ms since 1970: tells incarnations apart.
    pub born_ms: u64,
    /// Counts the sender's words.
    pub count: u64,
    /// Version of its configuration; zero for none.
    pub catalog_version: u64,
    /// Whether it can read the log, and so record.
    pub reads_log: bool,
    /// How far it has read.
    pub ends: LogEnds,
    /// Digests of endpoints, its requests there, and the tokens that these
    /// still have to read.
    pub running: Vec<(u64, u32, u32)>,
    /// Roll-outs under way.
    pub upgrades: Vec<UpgradeWord>,
    /// Peers that it hears.
    pub peers: Vec<SocketAddr>,
}

impl Word {
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

    fn is_sane(&self) -> bool {
        self.running.len() <= RUNNING_MAX
            && self.upgrades.len() <= UPGRADES_MAX
            && self.peers.len() <= TOLD_PEERS_MAX
            && self.upgrades.iter().all(is_sane)
    }
}

/// Decodes a datagram; what is out of bounds is none.
pub fn decode(bytes: &[u8]) -> Option<Datagram> {
    let datagram: Datagram = postcard::from_bytes(bytes).ok()?;
    let sane = match &datagram {
        Datagram::Word(word) => word.is_sane(),
        Datagram::News(news) => {
            let mut tokens = news.sent.iter().map(|sent| sent.tokens);
            news.sent.len() <= SENT_MAX
                && news.sessions.len() <= SENT_MAX
                && tokens.all(|tokens| tokens <= TOKENS_MAX)
        }
    };
    sane.then_some(datagram)
}

fn is_sane(upgrade: &UpgradeWord) -> bool {
    let counts = |e: &Evidence| [e.new_good, e.new_bad, e.old_good, e.old_bad];
    let mut evidence = upgrade.evidence.iter().flat_map(|(_, e)| counts(e));
    upgrade.evidence.len() <= ROUTES_MAX && evidence.all(|count| count <= COUNT_MAX)
}
