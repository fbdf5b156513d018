//! Heartbeats to the processes that the platform lists or the settings name.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use log::debug;
use store::{Instance, Role};
use wire::Hello;

use crate::{Kind, Node};

/// Heartbeats between two reads of the live list.
const LIST_EVERY: u64 = 2;

/// Peers silent for so many silence bounds are forgotten.
const FORGET_SILENCES: u64 = 30;

/// An agent greets entries more rarely, since they greet it.
const AGENT_FACTOR: u64 = 4;

/// What came of one heartbeat.
#[derive(Clone, Debug)]
pub enum Heard {
    /// The process answered.
    Reply(SocketAddr, Box<Hello>),
    /// It did not answer within the silence bound.
    Silent(SocketAddr),
    /// The platform no longer lists it, and it is silent.
    Gone(SocketAddr),
}

/// Sends heartbeats for ever.
///
/// A process that the list no longer holds is greeted on until it falls
/// silent, since the list lags in both directions.
pub(crate) async fn run<H>(node: Arc<Node>, heard: H)
where
    H: Fn(Heard) + Send + Sync + 'static,
{
    let heard = Arc::new(heard);
    let mut listed: Vec<SocketAddr> = Vec::new();
    let mut known: BTreeSet<SocketAddr> = BTreeSet::new();
    let mut beat: u64 = 0;
    let mut interval_ms = node.settings.entry.heartbeat_ms;
    if node.kind == Kind::Agent {
        interval_ms *= AGENT_FACTOR;
    }
    loop {
        if beat.is_multiple_of(LIST_EVERY)
            && let Ok(list) = node.store.instances().await
        {
            listed = targets(node.kind, &list.instances);
        }
        beat += 1;
        known.extend(listed.iter().copied());
        known.extend(node.settings.process.peers.iter().copied());
        known.remove(&node.address);
        let silent = greet_all(&node, &known, &heard).await;
        for address in silent {
            if !listed.contains(&address)
                && !node.settings.process.peers.contains(&address)
            {
                known.remove(&address);
                node.hub.drop_connection(address);
                heard(Heard::Gone(address));
            }
        }
        let forget_ms = node.settings.entry.silence_ms * FORGET_SILENCES;
        node.peers().expire(node.now(), forget_ms);
        tokio::time::sleep(Duration::from_millis(interval_ms)).await;
    }
}

fn targets(kind: Kind, instances: &[Instance]) -> Vec<SocketAddr> {
    let wanted = instances.iter().filter(|instance| match kind {
        Kind::Entry => true,
        Kind::Agent => instance.role == Role::Entry,
    });
    wanted.map(|instance| instance.address).collect()
}

/// Greets all at once and returns those that did not answer.  A silent one
/// must not hold up the others' next heartbeat for longer than one bound.
async fn greet_all<H>(
    node: &Arc<Node>,
    known: &BTreeSet<SocketAddr>,
    heard: &Arc<H>,
) -> Vec<SocketAddr>
where
    H: Fn(Heard) + Send + Sync + 'static,
{
    let mut greetings = tokio::task::JoinSet::new();
    for address in known.iter().copied() {
        let (node, heard) = (node.clone(), heard.clone());
        greetings.spawn(async move {
            match node.hub.hello(address, node.hello()).await {
                Ok(mut hello) => {
                    // The list's address counts, not what the other believes.
                    hello.address = address.to_string();
                    heard(Heard::Reply(address, Box::new(hello.clone())));
                    node.take_hello(&hello).await;
                    None
                }
                Err(err) => {
                    debug!("event=heartbeat_lost peer={address} why=\"{err}\"");
                    heard(Heard::Silent(address));
                    Some(address)
                }
            }
        });
    }
    let mut silent = Vec::new();
    while let Some(result) = greetings.join_next().await {
        silent.extend(result.ok().flatten());
    }
    silent
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
