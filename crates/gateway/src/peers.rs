//! What gateways tell each other, by datagrams.
//!
//! A [`Word`] holds all that its sender has to say, so that a lost one is made
//! up for by the next.  What was sent since goes out at once besides, since in
//! the time between two words all gateways would place their requests at the
//! same idle endpoint.  Nothing in a datagram is trusted beyond its bounds: it
//! changes predictions, halts a roll-out, or makes this gateway ask for a newer
//! configuration, and never what a request may do.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use clock::Millis;
use log::{info, warn};
use route::{Evidence, Hearing, Sent};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::state::Gateway;

/// Time between words to the peers, ms.
const WORD_EVERY_MS: u64 = 200;

/// Least age up to which a peer's word counts, ms.
const FRESH_MS: u64 = 1_000;

/// Words that a peer may miss before it does not count any more.
const MISSED_WORDS: u64 = 2;

/// Silence after which a peer is forgotten unless the settings name it, ms.
const FORGET_MS: u64 = 20_000;

/// Peers that get each word; with more, they get it in turn.
const FANOUT_MAX: usize = 8;

/// Peers that are remembered.
const PEERS_MAX: usize = 64;

/// Words after which a peer is asked for its configuration.
const TRUSTED_WORDS: u64 = 5;

/// Largest datagram, bytes: one Ethernet frame.
const WORD_MAX_BYTES: usize = 1_400;

/// Endpoints that one word tells of.
const RUNNING_MAX: usize = 48;

/// Peers that one word tells of.
const TOLD_PEERS_MAX: usize = 16;

/// Roll-outs that one word tells of.
const UPGRADES_MAX: usize = 2;

/// Routes that one roll-out's evidence is told of.
pub(crate) const ROUTES_MAX: usize = 8;

/// Sent requests that one datagram tells of.
const SENT_MAX: usize = 32;

/// Tokens to read from which a sent request is told at once.
const SENT_MIN_TOKENS: u32 = 500;

/// Most that one peer may claim of a count, so that a stray datagram cannot
/// drown what others say.
const COUNT_MAX: u64 = 100_000;

/// Most tokens that one sent request is believed to read: a prompt of half a
/// million at the largest model's pace.
const TOKENS_MAX: u32 = 1_500_000;

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
    /// Endpoint, parts and tokens of each, as in [`Sent`].
    pub sent: Vec<(u64, u64, u32)>,
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

#[derive(Debug)]
struct Peer {
    named: bool,
    /// When it was heard last.
    heard: Option<Millis>,
    /// When it became known, by its own word or another peer's.
    known: Millis,
    word: Word,
}

/// Every peer that is known, in address order.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    own: Option<SocketAddr>,
    rows: BTreeMap<SocketAddr, Peer>,
    /// Words sent.
    turn: usize,
    /// What some peers are to hear at once.
    news: Vec<Sent>,
    /// Sessions that all peers are to hear of at once.
    sessions: Vec<(u64, u64)>,
}

impl Peers {
    /// The peers that the settings name; of these only the addresses count.
    pub fn new(own: SocketAddr, named: &[SocketAddr]) -> Self {
        let mut peers = Peers {
            own: Some(own),
            ..Peers::default()
        };
        for address in named {
            peers.add(*address, true, Millis::default());
        }
        peers
    }

    fn add(&mut self, address: SocketAddr, named: bool, now: Millis) {
        let is_own = self.own == Some(address);
        let fits = named || self.rows.len() < PEERS_MAX;
        if is_own || !fits || self.rows.contains_key(&address) {
            return;
        }
        let peer = Peer {
            named,
            heard: None,
            known: now,
            word: Word::default(),
        };
        self.rows.insert(address, peer);
    }

    /// Takes a word; returns whether its sender was not heard before or for
    /// long.
    pub fn take(&mut self, from: SocketAddr, word: Word, now: Millis) -> bool {
        self.add(from, false, now);
        for address in word.peers.iter().take(TOLD_PEERS_MAX) {
            // All gateways listen on the same port.
            if address.port() == from.port() {
                self.add(*address, false, now);
            }
        }
        let fresh_ms = self.fresh_ms();
        let Some(peer) = self.rows.get_mut(&from) else {
            return false;
        };
        let held = (peer.word.born_ms, peer.word.count);
        if (word.born_ms, word.count) <= held {
            return false;
        }
        let was_fresh = peer.heard.is_some_and(|at| now.since(at) <= fresh_ms);
        peer.word = word;
        peer.heard = Some(now);
        !was_fresh
    }

    /// Takes that a request was sent, to be told to the peers.
    pub fn note_sent(&mut self, sent: Sent) {
        if sent.tokens >= SENT_MIN_TOKENS && self.news.len() < SENT_MAX {
            self.news.push(sent);
        }
    }

    /// Takes that a session is on a version, to be told to the peers.
    pub fn note_session(&mut self, session: u64, version: u64) {
        if self.sessions.len() < SENT_MAX {
            self.sessions.push((session, version));
        }
    }

    /// Takes what a peer sent; returns whether its sender is known.
    fn take_news(&mut self, from: SocketAddr, news: &News) -> bool {
        let Some(peer) = self.rows.get_mut(&from) else {
            return false;
        };
        if peer.heard.is_none() || peer.word.born_ms != news.born_ms {
            return false;
        }
        for (endpoint, _, tokens) in &news.sent {
            peer.word.add_running(*endpoint, *tokens);
        }
        true
    }

    /// Forgets who is silent for long; returns who has just become silent.
    pub fn expire(&mut self, now: Millis) -> Vec<SocketAddr> {
        // One that was only told of has to get a word before it can answer.
        self.rows.retain(|_, peer| {
            let last = peer.heard.unwrap_or(peer.known);
            peer.named || now.since(last) < FORGET_MS
        });
        let fresh_ms = self.fresh_ms();
        let silent = self.rows.iter().filter(|(_, peer)| {
            peer.heard.is_some_and(|at| {
                let age_ms = now.since(at);
                age_ms > fresh_ms && age_ms <= fresh_ms + WORD_EVERY_MS
            })
        });
        silent.map(|(address, _)| *address).collect()
    }

    /// Age up to which a peer's word counts, ms: with many peers, each speaks to
    /// this one less often.
    fn fresh_ms(&self) -> u64 {
        let rounds = self.rows.len().div_ceil(FANOUT_MAX) as u64;
        let missed_ms = WORD_EVERY_MS * rounds * (MISSED_WORDS + 1);
        missed_ms.max(FRESH_MS)
    }

    /// Words that count, with who said them.
    pub fn fresh(&self, now: Millis) -> impl Iterator<Item = (SocketAddr, &Word)> {
        let fresh_ms = self.fresh_ms();
        self.rows.iter().filter_map(move |(address, peer)| {
            let heard = peer.heard?;
            (now.since(heard) <= fresh_ms).then_some((*address, &peer.word))
        })
    }

    /// The last words of all peers that were heard within `age_ms`.
    pub fn heard_within(
        &self,
        age_ms: u64,
        now: Millis,
    ) -> impl Iterator<Item = &Word> {
        self.rows.values().filter_map(move |peer| {
            let heard = peer.heard?;
            (now.since(heard) <= age_ms).then_some(&peer.word)
        })
    }

    /// The peer with the newest configuration, if it is newer than `version`
    /// and it has been heard for some time: one datagram is not enough.
    pub fn newer_catalog(&self, version: u64, now: Millis) -> Option<SocketAddr> {
        let newest = self
            .fresh(now)
            .max_by_key(|(_, word)| word.catalog_version)?;
        let (address, word) = newest;
        let known = word.count >= TRUSTED_WORDS;
        (known && word.catalog_version > version).then_some(address)
    }

    /// The furthest that any peer has read.
    pub fn ends(&self, now: Millis) -> LogEnds {
        self.fresh(now)
            .fold(LogEnds::default(), |ends, (_, word)| LogEnds {
                operator: ends.operator.max(word.ends.operator),
                endpoints: ends.endpoints.max(word.ends.endpoints),
            })
    }

    /// Whether any peer was ever heard.
    pub fn any_heard(&self) -> bool {
        self.rows.values().any(|peer| peer.heard.is_some())
    }

    /// Whether this gateway acts for all, given that it can read the log: it
    /// has the lowest address of those that are heard and can read it too.
    pub fn is_first(&self, now: Millis) -> bool {
        let able = self.fresh(now).filter(|(_, word)| word.reads_log);
        let lowest = able.map(|(address, _)| address).min();
        self.own
            .is_some_and(|own| lowest.is_none_or(|lowest| own < lowest))
    }

    /// Requests of the peers at each endpoint, by the endpoint's digest.
    pub fn running(&self, now: Millis) -> HashMap<u64, (u32, u32)> {
        let mut sums: HashMap<u64, (u32, u32)> = HashMap::new();
        for (_, word) in self.fresh(now) {
            for (endpoint, running, tokens) in &word.running {
                let sum = sums.entry(*endpoint).or_default();
                sum.0 = sum.0.saturating_add(*running);
                sum.1 = sum.1.saturating_add(*tokens);
            }
        }
        sums
    }

    /// Whether every peer's requests are heard of.
    pub fn hearing(&self) -> Hearing {
        if self.rows.len() <= FANOUT_MAX {
            Hearing::All
        } else {
            Hearing::Some
        }
    }

    /// Who gets the next word: all in turn, so that each is heard as often.
    fn receivers(&self) -> Vec<SocketAddr> {
        let all = self.rows.len().max(1);
        let first = self.turn * FANOUT_MAX % all;
        let addresses = self.rows.keys().copied().cycle();
        let next = addresses.skip(first).take(FANOUT_MAX.min(self.rows.len()));
        next.collect()
    }

    fn told(&self, now: Millis) -> Vec<SocketAddr> {
        let heard = self.fresh(now).map(|(address, _)| address);
        heard.take(TOLD_PEERS_MAX).collect()
    }
}

impl Word {
    /// Adds a request, until the next word tells all.
    fn add_running(&mut self, endpoint: u64, tokens: u32) {
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
            let mut tokens = news.sent.iter().map(|(_, _, tokens)| *tokens);
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

/// Sends and takes words for good.
pub(crate) async fn talk(gateway: Rc<Gateway>, socket: UdpSocket) {
    let born_ms = gateway.born_ms();
    let mut count = 0;
    let mut buffer = [0; WORD_MAX_BYTES];
    let mut tick = tokio::time::interval(Duration::from_millis(WORD_EVERY_MS));
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = tick.tick() => {
                count += 1;
                speak(&gateway, &socket, born_ms, count).await;
            }
            () = gateway.news.notified() => tell_news(&gateway, &socket, born_ms).await,
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => hear(&gateway, &buffer[..length], from),
                // A peer's port without a listener shows here as an error.
                Err(_) => gateway.stats.count("peer_words", "receive_failed"),
            },
        }
    }
}

fn hear(gateway: &Gateway, bytes: &[u8], from: SocketAddr) {
    let now = gateway.now();
    match decode(bytes) {
        Some(Datagram::Word(word)) => {
            gateway.stats.count("peer_words", "taken");
            gateway.take_upgrades(&word);
            if gateway.peers.borrow_mut().take(from, word, now) {
                info!("event=peer_heard peer={from}");
            }
        }
        Some(Datagram::News(news)) => {
            gateway.stats.count("peer_words", "news");
            if !gateway.peers.borrow_mut().take_news(from, &news) {
                return;
            }
            for (session, version) in news.sessions {
                gateway.hold_session(session, version);
            }
            let mut pool = gateway.pool.borrow_mut();
            for (endpoint, parts, tokens) in news.sent {
                let sent = Sent {
                    endpoint,
                    parts,
                    tokens,
                };
                pool.sent_elsewhere(&sent, now);
            }
        }
        None => gateway.stats.count("peer_words", "malformed"),
    }
}

/// Tells what was sent since the last time.
async fn tell_news(gateway: &Gateway, socket: &UdpSocket, born_ms: u64) {
    let (sent, sessions, receivers) = {
        let mut peers = gateway.peers.borrow_mut();
        let sent = std::mem::take(&mut peers.news);
        let sessions = std::mem::take(&mut peers.sessions);
        let receivers = match sessions.is_empty() {
            true => peers.receivers(),
            false => peers.rows.keys().copied().collect(),
        };
        (sent, sessions, receivers)
    };
    if sent.is_empty() && sessions.is_empty() {
        return;
    }
    let sent = sent.iter().map(|s| (s.endpoint, s.parts, s.tokens));
    let news = News {
        born_ms,
        sent: sent.collect(),
        sessions,
    };
    send(gateway, socket, &Datagram::News(news), receivers).await;
}

async fn speak(gateway: &Gateway, socket: &UdpSocket, born_ms: u64, count: u64) {
    let now = gateway.now();
    for peer in gateway.peers.borrow_mut().expire(now) {
        warn!("event=peer_silent peer={peer}");
    }
    let (word, receivers) = {
        let mut peers = gateway.peers.borrow_mut();
        let mut running = gateway.pool.borrow().running();
        running.truncate(RUNNING_MAX);
        let word = Word {
            born_ms,
            count,
            catalog_version: gateway.catalog().map_or(0, |catalog| catalog.version),
            reads_log: !gateway.log_lost.get(),
            ends: gateway.ends.get(),
            running,
            upgrades: gateway.upgrade_words(UPGRADES_MAX),
            peers: peers.told(now),
        };
        let receivers = peers.receivers();
        peers.turn += 1;
        (word, receivers)
    };
    gateway.take_elsewhere(now);
    send(gateway, socket, &Datagram::Word(word), receivers).await;
}

async fn send(
    gateway: &Gateway,
    socket: &UdpSocket,
    datagram: &Datagram,
    receivers: Vec<SocketAddr>,
) {
    let bytes = match postcard::to_stdvec(datagram) {
        Ok(bytes) if bytes.len() <= WORD_MAX_BYTES => bytes,
        Ok(_) | Err(_) => {
            gateway.stats.count("peer_words", "too_long");
            return;
        }
    };
    for receiver in receivers {
        // The next word makes up for a lost one.
        if socket.send_to(&bytes, receiver).await.is_err() {
            gateway.stats.count("peer_words", "send_failed");
        }
    }
}
