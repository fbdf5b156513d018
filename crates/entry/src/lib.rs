//! Front-end server for callers and operators.
//!
//! An entry keeps only state that may be lost: any entry can serve any request,
//! and sessions and the outcomes of keyed calls are available at every entry.
//! See `docs/design/shape.md`.

mod admin;
mod attempt;
mod cascade;
mod channel;
mod chat;
mod error;
mod http;
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

use log::{error, info};
use node::{Node, NodeKind};
use settings::Settings;
use telemetry::Event;
use tokio::net::TcpListener;
use volo::net::incoming::DefaultIncoming;
use volo_http::server::Server;

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
        Ok(Listeners {
            callers: TcpListener::bind(settings.entry.listen).await?,
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
    let draining_entry = entry.clone();
    let mut server = Server::new(http::router(entry.clone()));
    server
        .http1_config()
        .set_max_headers(entry.node.settings.entry.headers_max);
    // The server closes open connections some time after a signal. The hook
    // runs first and delays this until no request is in progress or the drain
    // timeout has passed.
    let server = server.register_shutdown_hook(move || Box::pin(drain(draining_entry)));
    let incoming = DefaultIncoming::from(listeners.callers);
    if let Err(err) = server.run(incoming).await {
        error!("{}", Event::new("server_failed").with("why", err));
    }
}

async fn drain(entry: Arc<Entry>) {
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
