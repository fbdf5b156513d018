//! Heartbeats to the processes that the platform lists or the settings name.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use log::debug;
use store::Instance;
use wire::Hello;

use crate::{
    Node, NodeKind,
    subset::{entries_for_agent, heartbeat_targets},
};

/// Heartbeats between two reads of the live list.
const LIST_EVERY: u64 = 2;

/// Peers silent for so many silence bounds are forgotten.
const FORGET_SILENCES: u64 = 30;

/// An agent greets entries more rarely, since they greet it.
const AGENT_FACTOR: u64 = 4;

/// Entries that an agent greets by itself; the others greet it.
const AGENT_PEERS: usize = 3;

/// What came of one heartbeat.
#[derive(Clone, Debug)]
pub enum HeartbeatResult {
    /// The process answered.
    Reply(SocketAddr, Box<Hello>),
    /// The platform no longer lists it, and it is silent.
    Removed(SocketAddr),
}

/// Which addresses are greeted, and which the platform lists now.
#[derive(Debug, Default)]
struct Known {
    listed: BTreeSet<SocketAddr>,
    targets: BTreeSet<SocketAddr>,
    greeted: BTreeSet<SocketAddr>,
}

impl Known {
    /// Whether a process is listed, but greeted by others now.
    fn is_others(&self, address: SocketAddr) -> bool {
        self.listed.contains(&address) && !self.targets.contains(&address)
    }
}

/// Reads the live list for ever and greets each process on it in a task of
/// its own, so that a silent one holds up no other's heartbeat.
pub(crate) async fn run<H>(node: Arc<Node>, heard: H)
where
    H: Fn(HeartbeatResult) + Send + Sync + 'static,
{
    let heard = Arc::new(heard);
    let known: Arc<Mutex<Known>> = Arc::default();
    let interval_ms = interval_ms(&node);
    loop {
        let mut fresh: Vec<SocketAddr> = node.settings.process.peers.clone();
        if let Ok(list) = node.store.instances().await {
            let targets = targets(&node, &list.instances);
            fresh.extend(targets.iter().copied());
            let listed = list.instances.iter().map(|instance| instance.address);
            let mut known = lock(&known);
            known.listed = listed.collect();
            known.targets = targets.into_iter().collect();
        }
        for address in fresh {
            let is_new =
                address != node.address && lock(&known).greeted.insert(address);
            if is_new {
                tokio::spawn(greet(
                    node.clone(),
                    known.clone(),
                    heard.clone(),
                    address,
                ));
            }
        }
        let forget_ms = node.settings.entry.silence_ms * FORGET_SILENCES;
        node.peers().expire(node.now(), forget_ms);
        tokio::time::sleep(Duration::from_millis(interval_ms * LIST_EVERY)).await;
    }
}

fn lock(known: &Mutex<Known>) -> MutexGuard<'_, Known> {
    known.lock().unwrap_or_else(PoisonError::into_inner)
}

fn interval_ms(node: &Node) -> u64 {
    let interval_ms = node.settings.entry.heartbeat_ms;
    match node.kind {
        NodeKind::Entry => interval_ms,
        NodeKind::Agent => interval_ms * AGENT_FACTOR,
    }
}

/// Greets one process until it is silent and the platform no longer lists it:
/// the list lags in both directions.
async fn greet<H>(
    node: Arc<Node>,
    known: Arc<Mutex<Known>>,
    heard: Arc<H>,
    address: SocketAddr,
) where
    H: Fn(HeartbeatResult) + Send + Sync + 'static,
{
    let pause = Duration::from_millis(interval_ms(&node));
    loop {
        let asked_at = node.now();
        match node.hub.hello(address, node.hello()).await {
            Ok(mut hello) => {
                // The list's address counts, not what the other believes.
                hello.address = address.to_string();
                heard(HeartbeatResult::Reply(address, Box::new(hello.clone())));
                node.handle_hello(&hello, Some(asked_at)).await;
                if lock(&known).is_others(address) {
                    break;
                }
            }
            Err(err) => {
                debug!("event=heartbeat_lost peer={address} why=\"{err}\"");
                let named = node.settings.process.peers.contains(&address);
                if !named && !lock(&known).targets.contains(&address) {
                    break;
                }
            }
        }
        tokio::time::sleep(pause).await;
    }
    lock(&known).greeted.remove(&address);
    node.hub.drop_connection(address);
    heard(HeartbeatResult::Removed(address));
}

fn targets(node: &Node, instances: &[Instance]) -> Vec<SocketAddr> {
    match node.kind {
        NodeKind::Entry => heartbeat_targets(
            instances,
            node.address,
            node.settings.entry.heartbeat_agents_max,
        ),
        NodeKind::Agent => entries_for_agent(instances, node.address, AGENT_PEERS),
    }
}

impl Node {
    /// Tells all peers at once what this process says of itself now, so that
    /// a leaving one gets no more work long before the live list shows it.
    pub async fn announce(self: &Arc<Self>, hello: Hello) {
        let addresses: Vec<SocketAddr> =
            self.peers().iter().map(|(address, _)| *address).collect();
        let mut greetings = tokio::task::JoinSet::new();
        for address in addresses {
            let (node, hello) = (self.clone(), hello.clone());
            greetings.spawn(async move { node.hub.hello(address, hello).await });
        }
        while greetings.join_next().await.is_some() {}
    }
}
