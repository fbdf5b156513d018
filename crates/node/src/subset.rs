//! Which agents an entry greets where there are too many for all.
//!
//! Each agent is greeted by the few entries that score highest for it by a
//! hash of both names (rendezvous hashing), so that a replaced instance moves
//! only its own share, and no two processes need to agree on anything but the
//! platform's list.  See `docs/CAPACITY.md`.

use std::net::SocketAddr;

use store::{Instance, Role};

/// Entries that greet an agent at least, so that one's loss leaves another.
const COPIES_MIN: usize = 2;

/// Addresses that the entry at `own` greets: all entries, and all agents or
/// its share of them, about `greet_max`.
pub fn heartbeat_targets(
    instances: &[Instance],
    own: SocketAddr,
    greet_max: usize,
) -> Vec<SocketAddr> {
    let (entries, agents): (Vec<&Instance>, Vec<&Instance>) = instances
        .iter()
        .partition(|instance| instance.role == Role::Entry);
    let all_entries = entries.iter().map(|entry| entry.address);
    if agents.len() <= greet_max {
        return all_entries
            .chain(agents.iter().map(|agent| agent.address))
            .collect();
    }
    let hashes: Vec<u64> = entries.iter().map(|entry| hash(&entry.name)).collect();
    let own_hash = entries
        .iter()
        .find(|entry| entry.address == own)
        .map(|e| hash(&e.name));
    let copies = (greet_max * entries.len().max(1) / agents.len()).max(COPIES_MIN);
    let mine = agents.iter().filter(|agent| {
        // An entry that is not listed yet takes the share that it would have.
        let own_hash = own_hash.unwrap_or_else(|| hash(&own.to_string()));
        is_mine(hash(&agent.name), own_hash, &hashes, copies)
    });
    // Entries greet entries too, but not all: a few spread the news as well.
    let peers = entries.iter().filter(|entry| entry.address != own);
    let mut peers: Vec<&&Instance> = peers.collect();
    peers.sort_by_key(|peer| score(hash(&peer.name), own_hash.unwrap_or(0)));
    let peers = peers.into_iter().take(ENTRY_PEERS).map(|peer| peer.address);
    peers.chain(mine.map(|agent| agent.address)).collect()
}

/// Entries that an entry greets where agents are shared out.
const ENTRY_PEERS: usize = 4;

/// Entries that the agent at `own` greets by itself: its own few of them, so
/// that no entry is greeted by all.
pub fn entries_for_agent(
    instances: &[Instance],
    own: SocketAddr,
    count: usize,
) -> Vec<SocketAddr> {
    let own_hash = hash(&own.to_string());
    let mut entries: Vec<&Instance> = instances
        .iter()
        .filter(|instance| instance.role == Role::Entry)
        .collect();
    entries.sort_by_key(|entry| score(own_hash, hash(&entry.name)));
    entries
        .into_iter()
        .take(count)
        .map(|entry| entry.address)
        .collect()
}

/// Whether fewer than `copies` entries score higher for the agent.
fn is_mine(agent: u64, own: u64, entries: &[u64], copies: usize) -> bool {
    let own_score = score(agent, own);
    let higher = entries
        .iter()
        .filter(|entry| score(agent, **entry) > own_score);
    higher.take(copies).count() < copies
}

/// FNV-1a, stable over builds.
fn hash(text: &str) -> u64 {
    let start: u64 = 0xcbf2_9ce4_8422_2325;
    text.bytes().fold(start, |sum, byte| {
        (sum ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    })
}

/// Mixes two hashes; the finisher of SplitMix64.
fn score(agent: u64, entry: u64) -> u64 {
    let mut mixed = agent.wrapping_add(entry.rotate_left(32));
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
