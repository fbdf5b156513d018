//! The process beside an endpoint.
//!
//! It is the last check before an engine or a plain service, owns the
//! connection to it, and holds a copy of each bill until an entry settles it.
//! The calls of the system's own protocol live on one thread, so the whole
//! agent does.  See `docs/design/shape.md`.

mod attempt;
mod engine;
mod handler;
mod orders;
mod service;
mod state;

use std::{rc::Rc, sync::Arc, time::Duration};

use log::{info, warn};
use node::{HeartbeatResult, Node, NodeKind};
use settings::Settings;
use store::ConfigHealth;
use telemetry::Event;
use tokio::net::TcpListener;

pub use state::Agent;

/// Time between two looks at the work in progress while stopping, ms.
const DRAIN_POLL_MS: u64 = 20;

/// Longest wait for the log at a planned stop, ms.
const FLUSH_MS: u64 = 10_000;

/// Time between two sweeps of the gate's memory, ms.
const TICK_MS: u64 = 1_000;

/// Runs an agent until `shutdown` is done and all its work has ended.
///
/// Must be called within a `tokio::task::LocalSet`.
pub async fn run<F>(settings: Settings, listener: TcpListener, shutdown: F)
where
    F: Future<Output = ()>,
{
    let address = listener.local_addr().unwrap_or(settings.agent.listen);
    let drain_timeout_ms = settings.process.drain_timeout_ms;
    let node = Node::new(NodeKind::Agent, address, settings);
    let agent = Agent::new(node.clone());
    let start = Event::new("agent_start")
        .with("address", address)
        .with("endpoint", &node.settings.agent.endpoint)
        .with("room", &node.settings.process.failure_domain);
    info!("{start}");
    node.run(|_heard: HeartbeatResult| {});
    tokio::task::spawn_local(wire::serve_agent(listener, agent.clone()));
    tokio::task::spawn_local(engine::poll_load(agent.clone()));
    tokio::task::spawn_local(orders::run(agent.clone()));
    tokio::task::spawn_local(tick(agent.clone()));
    shutdown.await;
    drain(&agent, &node, drain_timeout_ms).await;
}

async fn tick(agent: Rc<Agent>) {
    loop {
        tokio::time::sleep(Duration::from_millis(TICK_MS)).await;
        agent.gate.borrow_mut().evict_ended(agent.node.now());
        if agent.node.health() == ConfigHealth::CutOff {
            warn!(
                "event=cut_off remedy=\"restore the way to the log or to other rooms\""
            );
        }
    }
}

/// Refuses new work, says so to all peers at once, and waits for the rest.
async fn drain(agent: &Rc<Agent>, node: &Arc<Node>, drain_timeout_ms: u64) {
    agent.gate.borrow_mut().leave();
    node.start_draining();
    node.announce(agent.own_hello()).await;
    let until = node.now().plus(drain_timeout_ms);
    info!("event=leaving running={}", agent.gate.borrow().running());
    while agent.gate.borrow().running() > 0 && node.now() < until {
        tokio::time::sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
    }
    let left = node.flush_bills(FLUSH_MS).await;
    let running = agent.gate.borrow().running();
    info!("event=agent_stop running={running} bills_left={left}");
}
