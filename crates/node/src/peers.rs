//! Table of the processes that this one exchanges heartbeats with.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
};

use clock::Millis;
use wire::Hello;

use crate::PeerLogAge;

/// A process that sent a heartbeat or replied to one.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its last reported state.
    pub hello: Hello,
    /// Time at which the report arrived.
    pub last_seen_at: Millis,
}

/// Known peers by address, and the holders of copies of bills.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    table: BTreeMap<SocketAddr, Peer>,
    /// Processes that hold a copy of a bill, by request id.
    bill_holders: HashMap<String, Vec<SocketAddr>>,
}

impl Peers {
    /// Stores the report of a process.
    pub fn record(&mut self, address: SocketAddr, hello: Hello, now: Millis) {
        self.table.insert(
            address,
            Peer {
                hello,
                last_seen_at: now,
            },
        );
    }

    /// Removes peers that have been silent for more than `silence_ms`.
    pub fn expire(&mut self, now: Millis, silence_ms: u64) {
        self.table
            .retain(|_, peer| now.since(peer.last_seen_at) <= silence_ms);
    }

    /// All peers.
    pub fn iter(&self) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
        self.table.iter()
    }

    /// Log ages of the peers heard from within `silence_ms`.
    ///
    /// The time since each report arrived is added to the reported age.
    pub fn log_ages(&self, now: Millis, silence_ms: u64) -> Vec<PeerLogAge> {
        let recent = self
            .table
            .values()
            .filter(|peer| now.since(peer.last_seen_at) <= silence_ms);
        let log_ages = recent.map(|peer| PeerLogAge {
            failure_domain: peer.hello.failure_domain.clone(),
            log_age_ms: peer
                .hello
                .log_age_ms
                .saturating_add(now.since(peer.last_seen_at)),
        });
        log_ages.collect()
    }

    /// Number of entries heard from within `silence_ms` that are not draining.
    pub fn live_entries(&self, now: Millis, silence_ms: u64) -> u32 {
        let live = self.table.values().filter(|peer| {
            peer.hello.endpoint.is_empty()
                && !peer.hello.draining
                && now.since(peer.last_seen_at) <= silence_ms
        });
        live.count() as u32
    }

    /// Ids of the instances heard from within `silence_ms`.
    pub fn live_instances(&self, now: Millis, silence_ms: u64) -> HashSet<String> {
        let live = self
            .table
            .values()
            .filter(|p| now.since(p.last_seen_at) <= silence_ms);
        live.map(|peer| peer.hello.instance.clone()).collect()
    }

    /// Address of an instance, if it is a known peer.
    pub fn address_of(&self, instance: &str) -> Option<SocketAddr> {
        let mut all = self.table.iter();
        all.find(|(_, peer)| peer.hello.instance == instance)
            .map(|(address, _)| *address)
    }

    /// Processes that hold a copy of a bill, by request id.
    pub(crate) fn bill_holders_mut(&mut self) -> &mut HashMap<String, Vec<SocketAddr>> {
        &mut self.bill_holders
    }

    /// Picks a live process outside `failure_domain` that can hold a copy of a
    /// bill; `seed` spreads the load over the candidates.
    pub fn pick_bill_holder(
        &self,
        failure_domain: &str,
        now: Millis,
        silence_ms: u64,
        seed: u64,
    ) -> Option<SocketAddr> {
        let candidates: Vec<SocketAddr> = self
            .table
            .iter()
            .filter(|(_, peer)| {
                peer.hello.failure_domain != failure_domain
                    && !peer.hello.draining
                    && now.since(peer.last_seen_at) <= silence_ms
            })
            .map(|(address, _)| *address)
            .collect();
        let index = seed.checked_rem(candidates.len() as u64)?;
        candidates.get(index as usize).copied()
    }
}
