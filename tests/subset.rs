//! Assignment of agents to entries for heartbeats in large deployments.

use std::{collections::BTreeMap, net::SocketAddr};

use node::{entries_for_agent, heartbeat_targets};
use store::{Instance, InstanceState, Role};

fn instance(role: Role, index: usize) -> Instance {
    let net = if role == Role::Entry { 1 } else { 2 };
    Instance {
        name: format!("{role:?}-{index}"),
        role,
        failure_domain: format!("room-{}", index % 6),
        address: SocketAddr::from((
            [10, net, (index / 250) as u8, (index % 250) as u8],
            1,
        )),
        state: InstanceState::Live,
    }
}

fn instances(entries: usize, agents: usize) -> Vec<Instance> {
    let entries = (0..entries).map(|i| instance(Role::Entry, i));
    let agents = (0..agents).map(|i| instance(Role::Agent, i));
    entries.chain(agents).collect()
}

/// Returns the number of entries that send heartbeats to each agent, and of
/// agents that each entry sends heartbeats to.
fn heartbeat_counts(
    instances: &[Instance],
    agents_max: usize,
) -> (BTreeMap<SocketAddr, usize>, Vec<usize>) {
    let mut entries_per_agent = BTreeMap::new();
    let mut agents_per_entry = Vec::new();
    let agents: Vec<SocketAddr> = instances
        .iter()
        .filter(|i| i.role == Role::Agent)
        .map(|i| i.address)
        .collect();
    for agent in &agents {
        entries_per_agent.insert(*agent, 0);
    }
    for entry in instances.iter().filter(|i| i.role == Role::Entry) {
        let targets = heartbeat_targets(instances, entry.address, agents_max);
        let agents: Vec<&SocketAddr> = targets
            .iter()
            .filter(|a| entries_per_agent.contains_key(*a))
            .collect();
        agents_per_entry.push(agents.len());
        for agent in agents {
            *entries_per_agent
                .get_mut(agent)
                .expect("the agent is listed") += 1;
        }
    }
    (entries_per_agent, agents_per_entry)
}

#[test]
fn every_entry_targets_all_agents_if_there_are_few() {
    let (entries_per_agent, agents_per_entry) = heartbeat_counts(&instances(3, 15), 64);
    assert!(entries_per_agent.values().all(|count| *count == 3));
    assert!(agents_per_entry.iter().all(|count| *count == 15));
}

#[test]
fn many_agents_get_two_entries_each_and_entry_load_is_bounded() {
    let (entries_per_agent, agents_per_entry) =
        heartbeat_counts(&instances(55, 450), 20);
    assert!(entries_per_agent.values().all(|count| *count == 2));
    assert!(
        agents_per_entry.iter().all(|count| *count <= 40),
        "{agents_per_entry:?}"
    );
}

#[test]
fn agents_spread_their_heartbeats_over_entries() {
    let instances = instances(55, 450);
    let mut agents_per_entry: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for agent in instances
        .iter()
        .filter(|instance| instance.role == Role::Agent)
    {
        for entry in entries_for_agent(&instances, agent.address, 3) {
            *agents_per_entry.entry(entry).or_default() += 1;
        }
    }
    // 450 agents send heartbeats to 3 of 55 entries each: 25 agents per entry on
    // average.
    assert!(
        agents_per_entry.values().all(|count| *count <= 60),
        "{agents_per_entry:?}"
    );
    assert!(agents_per_entry.len() >= 50);
}

#[test]
fn removed_entry_changes_only_its_own_share() {
    let before = instances(55, 450);
    let after: Vec<Instance> = before
        .iter()
        .filter(|i| i.name != "Entry-7")
        .cloned()
        .collect();
    let own = before[0].address;
    let (old, new) = (
        heartbeat_targets(&before, own, 20),
        heartbeat_targets(&after, own, 20),
    );
    let removed = old.iter().filter(|a| !new.contains(a)).count();
    assert!(
        removed <= 1,
        "only the removed entry may be missing: {removed} targets are"
    );
}
