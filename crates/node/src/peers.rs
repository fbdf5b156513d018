//! The processes that this one heard lately.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
};

use clock::Millis;
use wire::Hello;

use crate::PeerNews;

/// A process that was heard.
#[derive(Clone, Debug)]
pub struct Peer {
    /// What it last said.
    pub hello: Hello,
    /// When it said so.
    pub heard_at: Millis,
}

/// All processes that were heard, by address.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    table: BTreeMap<SocketAddr, Peer>,
    holders: HashMap<String, Vec<SocketAddr>>,
}

impl Peers {
    /// Takes what a process said.
    pub fn heard(&mut self, address: SocketAddr, hello: Hello, now: Millis) {
        self.table.insert(
            address,
            Peer {
                hello,
                heard_at: now,
            },
        );
    }

    /// Forgets processes that were silent for `silence_ms`.
    pub fn expire(&mut self, now: Millis, silence_ms: u64) {
        self.table
            .retain(|_, peer| now.since(peer.heard_at) <= silence_ms);
    }

    /// All peers.
    pub fn iter(&self) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
        self.table.iter()
    }

    /// What the peers heard within `silence_ms` said about the log; its age
    /// has grown since.
    pub fn news(&self, now: Millis, silence_ms: u64) -> Vec<PeerNews> {
        let recent = self
            .table
            .values()
            .filter(|peer| now.since(peer.heard_at) <= silence_ms);
        let news = recent.map(|peer| PeerNews {
            room: peer.hello.failure_domain.clone(),
            log_age_ms: peer
                .hello
                .log_age_ms
                .saturating_add(now.since(peer.heard_at)),
        });
        news.collect()
    }

    /// Entries heard within `silence_ms` that are not leaving.
    pub fn live_entries(&self, now: Millis, silence_ms: u64) -> u32 {
        let live = self.table.values().filter(|peer| {
            peer.hello.endpoint.is_empty()
                && !peer.hello.leaving
                && now.since(peer.heard_at) <= silence_ms
        });
        live.count() as u32
    }

    /// Instance ids heard within `silence_ms`.
    pub fn instances(&self, now: Millis, silence_ms: u64) -> HashSet<String> {
        let live = self
            .table
            .values()
            .filter(|p| now.since(p.heard_at) <= silence_ms);
        live.map(|peer| peer.hello.instance.clone()).collect()
    }

    /// Address of an instance, if it was heard.
    pub fn address_of(&self, instance: &str) -> Option<SocketAddr> {
        let mut all = self.table.iter();
        all.find(|(_, peer)| peer.hello.instance == instance)
            .map(|(address, _)| *address)
    }

    /// Who else holds the bills of which requests.
    pub(crate) fn holders_mut(&mut self) -> &mut HashMap<String, Vec<SocketAddr>> {
        &mut self.holders
    }

    /// A process in another room that can hold a bill; spread by `seed`.
    pub fn holder_outside(
        &self,
        room: &str,
        now: Millis,
        silence_ms: u64,
        seed: u64,
    ) -> Option<SocketAddr> {
        let fit: Vec<SocketAddr> = self
            .table
            .iter()
            .filter(|(_, peer)| {
                peer.hello.failure_domain != room
                    && !peer.hello.leaving
                    && now.since(peer.heard_at) <= silence_ms
            })
            .map(|(address, _)| *address)
            .collect();
        let at = seed.checked_rem(fit.len() as u64)?;
        fit.get(at as usize).copied()
    }
}
