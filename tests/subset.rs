//! Which agents an entry greets where there are many.

use std::{collections::BTreeMap, net::SocketAddr};

use node::{entries_for_agent, heartbeat_targets};
use store::{Instance, InstanceState, Role};

fn instance(role: Role, at: usize) -> Instance {
    let net = if role == Role::Entry { 1 } else { 2 };
    Instance {
        name: format!("{role:?}-{at}"),
        role,
        failure_domain: format!("room-{}", at % 6),
        address: SocketAddr::from(([10, net, (at / 250) as u8, (at % 250) as u8], 1)),
        state: InstanceState::Live,
    }
}

fn list(entries: usize, agents: usize) -> Vec<Instance> {
    let entries = (0..entries).map(|at| instance(Role::Entry, at));
    let agents = (0..agents).map(|at| instance(Role::Agent, at));
    entries.chain(agents).collect()
}

/// Entries that greet each agent, and agents that each entry greets.
fn spread(
    list: &[Instance],
    greet_max: usize,
) -> (BTreeMap<SocketAddr, usize>, Vec<usize>) {
    let mut greeters = BTreeMap::new();
    let mut greeted = Vec::new();
    let agents: Vec<SocketAddr> = list
        .iter()
        .filter(|i| i.role == Role::Agent)
        .map(|i| i.address)
        .collect();
    for agent in &agents {
        greeters.insert(*agent, 0);
    }
    for entry in list.iter().filter(|i| i.role == Role::Entry) {
        let mine = heartbeat_targets(list, entry.address, greet_max);
        let mine: Vec<&SocketAddr> =
            mine.iter().filter(|a| greeters.contains_key(*a)).collect();
        greeted.push(mine.len());
        for agent in mine {
            *greeters.get_mut(agent).expect("listed") += 1;
        }
    }
    (greeters, greeted)
}

#[test]
fn few_agents_are_all_greeted() {
    let (greeters, greeted) = spread(&list(3, 15), 64);
    assert!(greeters.values().all(|count| *count == 3));
    assert!(greeted.iter().all(|count| *count == 15));
}

#[test]
fn many_agents_have_two_entries_or_more_and_no_entry_has_too_many() {
    let (greeters, greeted) = spread(&list(55, 450), 20);
    assert!(greeters.values().all(|count| *count == 2));
    assert!(greeted.iter().all(|count| *count <= 40), "{greeted:?}");
}

#[test]
fn agents_spread_their_own_greetings() {
    let list = list(55, 450);
    let mut greeted: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for agent in list.iter().filter(|instance| instance.role == Role::Agent) {
        for entry in entries_for_agent(&list, agent.address, 3) {
            *greeted.entry(entry).or_default() += 1;
        }
    }
    // 450 agents, three entries each, over 55 entries: 25 on average.
    assert!(greeted.values().all(|count| *count <= 60), "{greeted:?}");
    assert!(greeted.len() >= 50);
}

#[test]
fn replaced_entry_moves_only_its_own_share() {
    let before = list(55, 450);
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
    let dropped = old.iter().filter(|a| !new.contains(a)).count();
    assert!(dropped <= 1, "only the lost entry itself may go: {dropped}");
}
