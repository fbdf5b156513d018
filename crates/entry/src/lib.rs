//! The front that callers and operators reach.
//!
//! Stateless but for what can be lost: any entry can serve any request, and a
//! caller finds its session and its outcomes at each of them.  See
//! `docs/design/shape.md`.

mod admin;
mod answer;
mod attempt;
mod cascade;
mod chat;
mod error;
mod http;
mod outcomes;
mod peer;
mod pick;
mod rate;
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

pub use error::{RequestError, Stage};
pub use state::Entry;

/// Time between two looks at the work in progress while stopping, ms.
const DRAIN_POLL_MS: u64 = 20;

/// Longest wait for the log at a planned stop, ms.
const FLUSH_MS: u64 = 10_000;

/// The sockets that an entry listens on.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub callers: TcpListener,
    /// For operators.
    pub operators: TcpListener,
    /// For other processes of the system.
    pub peers: TcpListener,
}

impl Listeners {
    /// Binds the addresses of the settings.
    pub async fn bind(settings: &Settings) -> std::io::Result<Listeners> {
        Ok(Listeners {
            callers: TcpListener::bind(settings.entry.listen).await?,
            operators: TcpListener::bind(settings.entry.admin_listen).await?,
            peers: TcpListener::bind(settings.entry.peer_listen).await?,
        })
    }
}

/// Runs an entry until it is told to stop and all its work has ended.
pub async fn run(settings: Settings, listeners: Listeners) {
    let address = listeners
        .peers
        .local_addr()
        .unwrap_or(settings.entry.peer_listen);
    let node = Node::new(NodeKind::Entry, address, settings);
    let entry = Arc::new(Entry::new(node.clone()));
    let callers = listeners.callers.local_addr();
    let start = Event::new("entry_start")
        .with(
            "callers",
            callers.map_or("?".into(), |address| address.to_string()),
        )
        .with("peers", address)
        .with("room", &node.settings.process.failure_domain);
    info!("{start}");
    let heard = entry.clone();
    node.run(move |news| heard.take_heard(news));
    peer::spawn(entry.clone(), listeners.peers);
    tokio::spawn(rollout::run(entry.clone()));
    tokio::spawn(snapshot::run(entry.clone()));
    admin::spawn(entry.clone(), listeners.operators);
    let drained = entry.clone();
    let mut server = Server::new(http::router(entry.clone()));
    server
        .http1_config()
        .set_max_headers(entry.node.settings.entry.headers_max);
    // The library closes what is open some time after a signal; the hook
    // runs before that and holds it until no request is in progress.
    let server = server.register_shutdown_hook(move || Box::pin(drain(drained)));
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
        tokio::time::sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
    }
    let left = node.flush_bills(FLUSH_MS).await;
    info!(
        "event=entry_stop running={} bills_left={left}",
        entry.in_progress()
    );
}
