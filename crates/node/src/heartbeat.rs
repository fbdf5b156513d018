//! Sends heartbeats to the processes in the platform's live list and in
//! `peers.addresses`.

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

/// Number of heartbeat intervals between two reads of the live list.
const LIST_INTERVAL_HEARTBEATS: u64 = 2;

/// Time after which a silent peer is removed, as a multiple of
/// `entry.silence_ms`.
const PEER_EXPIRY_FACTOR: u64 = 30;

/// Heartbeat interval of an agent as a multiple of an entry's: agents need
/// fewer, since entries send heartbeats to them.
const AGENT_INTERVAL_FACTOR: u64 = 4;

/// Number of entries that an agent sends heartbeats to.
const AGENT_TARGETS: usize = 3;

/// Result of sending heartbeats to a process.
#[derive(Clone, Debug)]
pub enum HeartbeatResult {
    /// The process replied.
    Reply(SocketAddr, Box<Hello>),
    /// Heartbeats to the process ended: it is silent and no longer listed, or
    /// another instance sends them now.
    Removed(SocketAddr),
}

/// Addresses that heartbeats are sent to.
#[derive(Debug, Default)]
struct Targets {
    /// All instances that the platform lists.
    listed: BTreeSet<SocketAddr>,
    /// Listed instances that this process sends heartbeats to.
    assigned: BTreeSet<SocketAddr>,
    /// Addresses with a running heartbeat task.
    active: BTreeSet<SocketAddr>,
}

impl Targets {
    /// Whether a process is listed but assigned to other instances.
    fn is_reassigned(&self, address: SocketAddr) -> bool {
        self.listed.contains(&address) && !self.assigned.contains(&address)
    }
}

/// Reads the live list periodically and spawns a heartbeat task for each new
/// target, so that a silent process does not delay the heartbeats of others.
pub(crate) async fn run<H>(node: Arc<Node>, on_result: H)
where
    H: Fn(HeartbeatResult) + Send + Sync + 'static,
{
    let on_result = Arc::new(on_result);
    let targets: Arc<Mutex<Targets>> = Arc::default();
    let interval_ms = interval_ms(&node);
    loop {
        let mut candidates: Vec<SocketAddr> = node.settings.process.peers.clone();
        if let Ok(list) = node.store.instances().await {
            let assigned = assigned_targets(&node, &list.instances);
            candidates.extend(assigned.iter().copied());
            let listed = list.instances.iter().map(|instance| instance.address);
            let mut targets = lock(&targets);
            targets.listed = listed.collect();
            targets.assigned = assigned.into_iter().collect();
        }
        for address in candidates {
            let is_new =
                address != node.address && lock(&targets).active.insert(address);
            if is_new {
                tokio::spawn(send_heartbeats(
                    node.clone(),
                    targets.clone(),
                    on_result.clone(),
                    address,
                ));
            }
        }
        let expiry_ms = node.settings.entry.silence_ms * PEER_EXPIRY_FACTOR;
        node.peers().expire(node.now(), expiry_ms);
        tokio::time::sleep(Duration::from_millis(
            interval_ms * LIST_INTERVAL_HEARTBEATS,
        ))
        .await;
    }
}

fn lock(targets: &Mutex<Targets>) -> MutexGuard<'_, Targets> {
    targets.lock().unwrap_or_else(PoisonError::into_inner)
}

fn interval_ms(node: &Node) -> u64 {
    let interval_ms = node.settings.entry.heartbeat_ms;
    match node.kind {
        NodeKind::Entry => interval_ms,
        NodeKind::Agent => interval_ms * AGENT_INTERVAL_FACTOR,
    }
}

/// Sends heartbeats to one process until it is assigned to other instances, or
/// is silent and no longer a target.
///
/// Both conditions are needed in the latter case, because the list may lag
/// behind the start as well as the end of a process.
async fn send_heartbeats<H>(
    node: Arc<Node>,
    targets: Arc<Mutex<Targets>>,
    on_result: Arc<H>,
    address: SocketAddr,
) where
    H: Fn(HeartbeatResult) + Send + Sync + 'static,
{
    let interval = Duration::from_millis(interval_ms(&node));
    loop {
        let sent_at = node.now();
        match node.hub.hello(address, node.hello()).await {
            Ok(mut hello) => {
                // The listed address takes precedence over the address that the
                // process reports for itself.
                hello.address = address.to_string();
                on_result(HeartbeatResult::Reply(address, Box::new(hello.clone())));
                node.handle_hello(&hello, Some(sent_at)).await;
                if lock(&targets).is_reassigned(address) {
                    break;
                }
            }
            Err(err) => {
                debug!("event=heartbeat_lost peer={address} why=\"{err}\"");
                let configured = node.settings.process.peers.contains(&address);
                if !configured && !lock(&targets).assigned.contains(&address) {
                    break;
                }
            }
        }
        tokio::time::sleep(interval).await;
    }
    lock(&targets).active.remove(&address);
    node.hub.drop_connection(address);
    on_result(HeartbeatResult::Removed(address));
}

/// Listed instances that this process sends heartbeats to.
fn assigned_targets(node: &Node, instances: &[Instance]) -> Vec<SocketAddr> {
    match node.kind {
        NodeKind::Entry => heartbeat_targets(
            instances,
            node.address,
            node.settings.entry.heartbeat_agents_max,
        ),
        NodeKind::Agent => entries_for_agent(instances, node.address, AGENT_TARGETS),
    }
}

impl Node {
    /// Sends `hello` to all known peers and waits for their replies.
    ///
    /// A draining process announces itself this way so that it gets no more
    /// work; the live list would show the change much later.
    pub async fn announce(self: &Arc<Self>, hello: Hello) {
        let addresses: Vec<SocketAddr> =
            self.peers().iter().map(|(address, _)| *address).collect();
        let mut calls = tokio::task::JoinSet::new();
        for address in addresses {
            let (node, hello) = (self.clone(), hello.clone());
            calls.spawn(async move { node.hub.hello(address, hello).await });
        }
        while calls.join_next().await.is_some() {}
    }
}
