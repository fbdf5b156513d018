//! The other gateways: who is known, who is heard, and what each said last.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use clock::Millis;
use route::{DispatchNotice, PeerCoverage};

use crate::words::{LogEnds, News, SENT_MAX, TOLD_PEERS_MAX, Word};

/// Time between words to the peers, ms.
pub(crate) const WORD_EVERY_MS: u64 = 200;

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

/// Tokens to read from which a sent request is told at once.
const SENT_MIN_TOKENS: u32 = 500;

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
    news: Vec<DispatchNotice>,
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

    /// Takes that a request was sent; returns whether the peers are to hear.
    pub fn note_sent(&mut self, sent: DispatchNotice) -> bool {
        let told = sent.tokens >= SENT_MIN_TOKENS && self.news.len() < SENT_MAX;
        if told {
            self.news.push(sent);
        }
        told
    }

    /// Takes that a session is on a version, to be told to the peers.
    pub fn note_session(&mut self, session: u64, version: u64) {
        if self.sessions.len() < SENT_MAX {
            self.sessions.push((session, version));
        }
    }

    /// Takes what a peer sent; returns whether its sender is known.
    pub fn take_news(&mut self, from: SocketAddr, news: &News) -> bool {
        let Some(peer) = self.rows.get_mut(&from) else {
            return false;
        };
        if peer.heard.is_none() || peer.word.born_ms != news.born_ms {
            return false;
        }
        for sent in &news.sent {
            peer.word.add_running(sent.endpoint_digest, sent.tokens);
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
    pub fn hearing(&self) -> PeerCoverage {
        if self.rows.len() <= FANOUT_MAX {
            PeerCoverage::Complete
        } else {
            PeerCoverage::Partial
        }
    }

    /// What the peers are to hear at once, and who of them.
    pub fn take_news_to_tell(&mut self, born_ms: u64) -> (News, Vec<SocketAddr>) {
        let news = News {
            born_ms,
            sent: std::mem::take(&mut self.news),
            sessions: std::mem::take(&mut self.sessions),
        };
        let receivers = if news.sessions.is_empty() {
            self.receivers()
        } else {
            self.rows.keys().copied().collect()
        };
        (news, receivers)
    }

    /// Who gets the word that is due; the next one goes to others.
    pub fn next_receivers(&mut self) -> Vec<SocketAddr> {
        let receivers = self.receivers();
        self.turn += 1;
        receivers
    }

    /// Who gets the next word: all in turn, so that each is heard as often.
    fn receivers(&self) -> Vec<SocketAddr> {
        let all = self.rows.len().max(1);
        let first = self.turn * FANOUT_MAX % all;
        let addresses = self.rows.keys().copied().cycle();
        let next = addresses.skip(first).take(FANOUT_MAX.min(self.rows.len()));
        next.collect()
    }

    /// The peers that a word tells of.
    pub fn told(&self, now: Millis) -> Vec<SocketAddr> {
        let heard = self.fresh(now).map(|(address, _)| address);
        heard.take(TOLD_PEERS_MAX).collect()
    }
}
