//! Forwards callers' HTTP requests to endpoints of the users' platform.
//!
//! A gateway stores nothing durably: the configuration, the endpoints and the
//! rollouts are read from the platform's log. Everything runs on one thread,
//! so the state needs no locks. See `docs/design/deployment.md`.

mod attempt;
mod body;
mod caller_body;
mod caller_connection;
mod caller_request;
mod caller_server;
mod config_fetch;
mod cut;
mod datagram;
mod dispatch;
mod endpoint_state;
mod evacuation;
mod event_framer;
mod follower;
mod gossip;
mod idle_connections;
mod internal_server;
mod latency;
mod load_query;
mod peers;
mod placement;
mod quarantine;
mod refusal;
mod relay;
mod request_limits;
mod request_log;
mod retry_budgets;
mod rollout_recorder;
mod rollouts;
mod send;
mod state;
mod stats;
mod warmup;

use std::{io, net::SocketAddr, path::PathBuf, rc::Rc};

use ingress::RECEIVE_BUFFER_BYTES;
use log::info;
use settings::{Role, Settings};
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::Signal,
};

pub use datagram::{
    CrashNotice, CutReport, Datagram, LimitNotice, LimitQuestion, LoadAnswer,
    LoadQuestion, LoadReport, LogPositions, PeerStatus, PeerUpdate, QuarantineNotice,
    QuarantineState, RolloutEnd, RolloutReport, RunEvent, SoundNotice, WarmupNotice,
    WarmupReason, decode_datagram,
};
pub use event_framer::{EventFramer, OutOfOrder};
pub use idle_connections::idle_max;
use state::Gateway;

/// The bound sockets of a gateway.
#[derive(Debug)]
pub struct Listeners {
    /// Accepts callers' connections.
    pub callers: TcpListener,
    /// Serves the platform's readiness check.
    pub ready: TcpListener,
    /// Serves metrics.
    pub metrics: TcpListener,
    /// Receives other gateways' datagrams.
    pub peer_datagrams: UdpSocket,
    /// Serves the configuration to other gateways, on the same address as the
    /// datagrams.
    pub peer_requests: TcpListener,
}

impl Listeners {
    /// Binds the addresses in the settings.
    ///
    /// Returns an error if any address cannot be bound.
    pub async fn bind(settings: &Settings) -> io::Result<Self> {
        let gateway = &settings.gateway;
        let peers = TcpListener::bind(gateway.peer_listen).await?;
        let peer_address = peers.local_addr()?;
        let callers = TcpListener::bind(gateway.listen).await?;
        link::limit_receive_buffer(&callers, RECEIVE_BUFFER_BYTES)?;
        Ok(Listeners {
            callers,
            ready: TcpListener::bind(gateway.ready_listen).await?,
            metrics: TcpListener::bind(gateway.metrics_listen).await?,
            peer_datagrams: UdpSocket::bind(peer_address).await?,
            peer_requests: peers,
        })
    }

    /// Formats the bound addresses as key=value pairs.
    pub fn addresses(&self) -> String {
        let display = |address: io::Result<SocketAddr>| {
            address.map_or_else(|_| "?".into(), |address| address.to_string())
        };
        format!(
            "callers={} ready={} metrics={} words={}",
            display(self.callers.local_addr()),
            display(self.ready.local_addr()),
            display(self.metrics.local_addr()),
            display(self.peer_datagrams.local_addr()),
        )
    }
}

/// Serves until `stop` completes and the requests in progress have ended.
///
/// Must run within a [`tokio::task::LocalSet`]. `reload_signals` makes it
/// check the settings `file` again.
pub async fn run<S>(
    settings: Settings,
    file: PathBuf,
    listeners: Listeners,
    stop: S,
    reload_signals: Signal,
) where
    S: Future<Output = ()>,
{
    let own = listeners.peer_datagrams.local_addr();
    let own = own.unwrap_or(settings.gateway.peer_listen);
    let gateway = Rc::new(Gateway::new(settings, own));
    let version = env!("CARGO_PKG_VERSION");
    info!(
        "event=started role=gateway version={version} room={} store={}",
        gateway.settings.process.failure_domain, gateway.settings.store.address
    );
    follower::start(&gateway);
    let internal = [listeners.ready, listeners.metrics, listeners.peer_requests];
    for listener in internal {
        tokio::task::spawn_local(internal_server::serve(gateway.clone(), listener));
    }
    tokio::task::spawn_local(caller_server::serve(gateway.clone(), listeners.callers));
    tokio::task::spawn_local(gossip::run(gateway.clone(), listeners.peer_datagrams));
    tokio::task::spawn_local(config_fetch::run(gateway.clone()));
    tokio::task::spawn_local(rollout_recorder::run(gateway.clone()));
    tokio::task::spawn_local(quarantine::evaluate(gateway.clone()));
    tokio::task::spawn_local(quarantine::refresh(gateway.clone()));
    tokio::task::spawn_local(quarantine::record(gateway.clone()));
    tokio::task::spawn_local(check_settings(file, reload_signals));
    stop.await;
    gateway.start_draining();
    info!(
        "event=stopping requests={} connections={}",
        gateway.stats.requests_open.get(),
        gateway.caller_connections.open()
    );
    caller_server::wait_drained(&gateway).await;
    info!("event=stopped");
}

/// Validates the settings file again at each signal.
///
/// A changed file takes effect only at the next start, since the listening addresses
/// cannot change while the process runs. An invalid file is reported immediately.
async fn check_settings(file: PathBuf, mut reload_signals: Signal) {
    while reload_signals.recv().await.is_some() {
        match Settings::load(Role::Gateway, &file) {
            Ok(_) => info!("event=settings_checked takes_effect=next_start"),
            Err(faults) => log::warn!("event=settings_faulty reason=\"{faults}\""),
        }
    }
}
