//! The agent: a process that runs next to one endpoint.
//!
//! It makes the last admission check before a model engine or a plain service,
//! owns the connections to it, and holds a copy of each bill until an entry
//! settles it.  The RPC objects between processes are single-threaded, so the
//! whole agent runs on one thread.  See `docs/design/shape.md`.

mod attempt;
mod engine;
mod handler;
mod orders;
mod service;
mod state;

use std::{rc::Rc, sync::Arc, time::Duration};

use ingress::{Connections, INTERNAL_BUFFER_BYTES, InstanceShares};
use log::{info, warn};
use node::{HeartbeatResult, Node, NodeKind};
use settings::Settings;
use store::ConfigHealth;
use telemetry::Event;
use tokio::net::TcpListener;

pub use state::Agent;

/// Interval at which running attempts are polled during a graceful shutdown, ms.
const DRAIN_POLL_INTERVAL_MS: u64 = 20;

/// Maximum time to append the remaining bills to the log during a graceful
/// shutdown, ms.
const FLUSH_TIMEOUT_MS: u64 = 10_000;

/// Interval between maintenance runs, ms.
const MAINTENANCE_INTERVAL_MS: u64 = 1_000;

/// Runs an agent until `shutdown` completes, then drains it.
///
/// Returns when no attempt is running or the drain timeout has passed, and the
/// bills were flushed.  Must be called within a `tokio::task::LocalSet`.
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
    node.run(|_result: HeartbeatResult| {});
    let process = &node.settings.process;
    let shares = InstanceShares::read(process.memory_mb, process.descriptors_max);
    let connections = Connections::new(
        shares.connections(INTERNAL_BUFFER_BYTES),
        node.clock.clone(),
    );
    let serving = wire::serve_agent(listener, agent.clone(), connections);
    tokio::task::spawn_local(serving);
    tokio::task::spawn_local(engine::poll_load(agent.clone()));
    tokio::task::spawn_local(orders::reconcile_placement(agent.clone()));
    tokio::task::spawn_local(run_maintenance(agent.clone()));
    shutdown.await;
    drain(&agent, &node, drain_timeout_ms).await;
}

/// Evicts ended attempts from the gate and warns while the agent is cut off
/// from the log.
async fn run_maintenance(agent: Rc<Agent>) {
    loop {
        tokio::time::sleep(Duration::from_millis(MAINTENANCE_INTERVAL_MS)).await;
        agent.gate.borrow_mut().evict_ended(agent.node.now());
        if agent.node.health() == ConfigHealth::CutOff {
            warn!(
                "event=cut_off remedy=\"restore the network path to the log or to peers in other failure domains\""
            );
        }
    }
}

/// Refuses new attempts, announces this to all peers, waits for running attempts
/// up to the timeout, and flushes the held bills.
async fn drain(agent: &Rc<Agent>, node: &Arc<Node>, drain_timeout_ms: u64) {
    agent.gate.borrow_mut().start_draining();
    node.start_draining();
    node.announce(agent.own_hello()).await;
    let deadline = node.now().plus(drain_timeout_ms);
    info!("event=leaving running={}", agent.gate.borrow().running());
    while agent.gate.borrow().running() > 0 && node.now() < deadline {
        tokio::time::sleep(Duration::from_millis(DRAIN_POLL_INTERVAL_MS)).await;
    }
    let bills_left = node.flush_bills(FLUSH_TIMEOUT_MS).await;
    let running = agent.gate.borrow().running();
    info!("event=agent_stop running={running} bills_left={bills_left}");
}
