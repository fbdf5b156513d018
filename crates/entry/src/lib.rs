//! Front-end server for callers and operators.
//!
//! An entry keeps only state that may be lost: any entry can serve any request,
//! and sessions and the outcomes of keyed calls are available at every entry.
//! See `docs/design/shape.md`.

mod admin;
mod attempt;
mod bounded_message;
mod caller_server;
mod cascade;
mod channel;
mod chat;
mod error;
mod http;
mod operator_listener;
mod outcomes;
mod peer;
mod pick;
mod rater;
mod rollout;
mod service;
mod session;
mod snapshot;
mod state;

use std::{sync::Arc, time::Duration};

use ingress::RECEIVE_BUFFER_BYTES;
use log::info;
use node::{Node, NodeKind};
use settings::Settings;
use telemetry::Event;
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
};

pub use error::{ErrorKind, RequestError};
pub use state::Entry;

/// Interval at which requests in progress are polled during a graceful
/// shutdown, ms.
const DRAIN_POLL_INTERVAL_MS: u64 = 20;

/// Maximum time to append the remaining bills to the log during a graceful
/// shutdown, ms.
const FLUSH_TIMEOUT_MS: u64 = 10_000;

/// Listening sockets of an entry.
#[derive(Debug)]
pub struct Listeners {
    /// HTTP interface for callers.
    pub callers: TcpListener,
    /// gRPC interface for operators.
    pub operators: TcpListener,
    /// RPC interface for other entries and agents.
    pub peers: TcpListener,
}

impl Listeners {
    /// Binds the addresses given in the settings.
    ///
    /// # Errors
    ///
    /// Returns the first error of binding an address.
    pub async fn bind(settings: &Settings) -> std::io::Result<Listeners> {
        let callers = TcpListener::bind(settings.entry.listen).await?;
        link::limit_receive_buffer(&callers, RECEIVE_BUFFER_BYTES)?;
        Ok(Listeners {
            callers,
            operators: TcpListener::bind(settings.entry.admin_listen).await?,
            peers: TcpListener::bind(settings.entry.peer_listen).await?,
        })
    }
}

/// Runs an entry until a shutdown signal arrives and its requests in progress
/// have ended or the drain timeout has passed.
pub async fn run(settings: Settings, listeners: Listeners) {
    let address = listeners
        .peers
        .local_addr()
        .unwrap_or(settings.entry.peer_listen);
    let node = Node::new(NodeKind::Entry, address, settings);
    let entry = Arc::new(Entry::new(node.clone()));
    let callers = listeners.callers.local_addr();
    let event = Event::new("entry_start")
        .with(
            "callers",
            callers.map_or("?".into(), |address| address.to_string()),
        )
        .with("peers", address)
        .with("room", &node.settings.process.failure_domain);
    info!("{event}");
    let heartbeat_entry = entry.clone();
    node.run(move |result| heartbeat_entry.handle_heartbeat(result));
    peer::spawn(entry.clone(), listeners.peers);
    tokio::spawn(rollout::run(entry.clone()));
    tokio::spawn(snapshot::run(entry.clone()));
    admin::spawn(entry.clone(), listeners.operators);
    let router = http::router(entry.clone());
    let drained = async {
        shutdown_signal().await;
        drain(&entry).await;
    };
    caller_server::run(&entry, router, listeners.callers, drained).await;
}

/// Completes when the process is told to stop.
async fn shutdown_signal() {
    let receive = |kind| signal(kind).expect("installing a signal handler failed");
    let mut interrupt = receive(SignalKind::interrupt());
    let mut hangup = receive(SignalKind::hangup());
    let mut terminate = receive(SignalKind::terminate());
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = hangup.recv() => {}
        _ = terminate.recv() => {}
    }
}

async fn drain(entry: &Entry) {
    let node = &entry.node;
    node.start_draining();
    node.announce(node.hello()).await;
    let until = node.now().plus(node.settings.process.drain_timeout_ms);
    info!("event=leaving running={}", entry.in_progress());
    while entry.in_progress() > 0 && node.now() < until {
        tokio::time::sleep(Duration::from_millis(DRAIN_POLL_INTERVAL_MS)).await;
    }
    let left = node.flush_bills(FLUSH_TIMEOUT_MS).await;
    info!(
        "event=entry_stop running={} bills_left={left}",
        entry.in_progress()
    );
}
