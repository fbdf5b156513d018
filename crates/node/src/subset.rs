//! Assigns agents to entries for heartbeats.
//!
//! With too many agents for every entry to send heartbeats to all of them, each
//! agent is assigned to the few entries with the highest score for it, a hash of
//! both names (rendezvous hashing).  Replacing an instance therefore moves only
//! its own share, and the processes need to agree only on the platform's live
//! list.  See `docs/CAPACITY.md`.

use std::net::SocketAddr;

use store::{Instance, Role};

/// Minimum number of entries per agent, so that the loss of one leaves another.
const ENTRIES_PER_AGENT_MIN: usize = 2;

/// Addresses that the entry at `own` sends heartbeats to.
///
/// With up to `agents_max` agents these are all entries and agents.  With more,
/// they are a few entries and this entry's share of the agents: about
/// `agents_max`, but more where the minimum number of entries per agent requires
/// it.
pub fn heartbeat_targets(
    instances: &[Instance],
    own: SocketAddr,
    agents_max: usize,
) -> Vec<SocketAddr> {
    let (entries, agents): (Vec<&Instance>, Vec<&Instance>) = instances
        .iter()
        .partition(|instance| instance.role == Role::Entry);
    let all_entries = entries.iter().map(|entry| entry.address);
    if agents.len() <= agents_max {
        return all_entries
            .chain(agents.iter().map(|agent| agent.address))
            .collect();
    }
    let hashes: Vec<u64> = entries.iter().map(|entry| hash(&entry.name)).collect();
    let own_hash = entries
        .iter()
        .find(|entry| entry.address == own)
        .map(|e| hash(&e.name));
    let entries_per_agent =
        (agents_max * entries.len().max(1) / agents.len()).max(ENTRIES_PER_AGENT_MIN);
    let assigned = agents.iter().filter(|agent| {
        // An entry that is not listed yet is scored by its address instead of its
        // name.
        let own_hash = own_hash.unwrap_or_else(|| hash(&own.to_string()));
        is_assigned(hash(&agent.name), own_hash, &hashes, entries_per_agent)
    });
    // A few entries suffice to spread the configuration and the log age.
    let peers = entries.iter().filter(|entry| entry.address != own);
    let mut peers: Vec<&&Instance> = peers.collect();
    peers.sort_by_key(|peer| score(hash(&peer.name), own_hash.unwrap_or(0)));
    let peers = peers
        .into_iter()
        .take(ENTRY_TARGETS)
        .map(|peer| peer.address);
    peers.chain(assigned.map(|agent| agent.address)).collect()
}

/// Number of other entries that an entry sends heartbeats to while agents are
/// divided among the entries.
const ENTRY_TARGETS: usize = 4;

/// The `count` entries that the agent at `own` sends heartbeats to.
///
/// They differ by agent, so that no entry gets the heartbeats of all agents.
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

/// Whether fewer than `entries_per_agent` entries score higher for the agent.
fn is_assigned(
    agent: u64,
    own: u64,
    entries: &[u64],
    entries_per_agent: usize,
) -> bool {
    let own_score = score(agent, own);
    let higher = entries
        .iter()
        .filter(|entry| score(agent, **entry) > own_score);
    higher.take(entries_per_agent).count() < entries_per_agent
}

/// FNV-1a hash; unlike the hasher of `std`, stable across builds.
fn hash(text: &str) -> u64 {
    let offset_basis: u64 = 0xcbf2_9ce4_8422_2325;
    text.bytes().fold(offset_basis, |sum, byte| {
        (sum ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    })
}

/// Mixes two hashes with the finalizer of SplitMix64.
fn score(agent: u64, entry: u64) -> u64 {
    let mut mixed = agent.wrapping_add(entry.rotate_left(32));
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
