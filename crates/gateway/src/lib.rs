//! Forwards callers' HTTP to endpoints of the users' platform.
//!
//! A gateway keeps nothing: the configuration, the endpoints and the roll-outs
//! come from the platform's log.  All of it runs on one thread, so that its
//! state needs no locks.  See `docs/design/deployment.md`.

mod attempt;
mod body;
mod choice;
mod dispatch;
mod events;
mod fetch;
mod follow;
mod idle;
mod job;
mod peers;
mod probe;
mod record;
mod relay;
mod server;
mod state;
mod stats;
mod talk;
mod upgrades;
mod usual;
mod words;

use std::{io, net::SocketAddr, path::PathBuf, rc::Rc};

use log::info;
use settings::{Role, Settings};
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::Signal,
};

pub use events::EventCutter;
use state::Gateway;
pub use words::{Datagram, LogEnds, News, UpgradeWord, Word, decode};

/// Where a gateway listens.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub callers: TcpListener,
    /// For the platform's question whether it takes callers.
    pub ready: TcpListener,
    /// For metrics.
    pub metrics: TcpListener,
    /// For other gateways' datagrams.
    pub words: UdpSocket,
    /// For other gateways that ask for the configuration; the same address.
    pub peers: TcpListener,
}

impl Listeners {
    /// Binds what the settings name.
    pub async fn bind(settings: &Settings) -> io::Result<Self> {
        let gateway = &settings.gateway;
        let peers = TcpListener::bind(gateway.peer_listen).await?;
        let peer_address = peers.local_addr()?;
        Ok(Listeners {
            callers: TcpListener::bind(gateway.listen).await?,
            ready: TcpListener::bind(gateway.ready_listen).await?,
            metrics: TcpListener::bind(gateway.metrics_listen).await?,
            words: UdpSocket::bind(peer_address).await?,
            peers,
        })
    }

    /// The addresses as key=value pairs.
    pub fn addresses(&self) -> String {
        let shown = |address: io::Result<SocketAddr>| {
            address.map_or_else(|_| "?".into(), |address| address.to_string())
        };
        format!(
            "callers={} ready={} metrics={} words={}",
            shown(self.callers.local_addr()),
            shown(self.ready.local_addr()),
            shown(self.metrics.local_addr()),
            shown(self.words.local_addr()),
        )
    }
}

/// Serves until `stop` is done and the work in progress has ended.
///
/// It must run within a [`tokio::task::LocalSet`].
pub async fn run<S>(
    settings: Settings,
    file: PathBuf,
    listeners: Listeners,
    stop: S,
    reloads: Signal,
) where
    S: Future<Output = ()>,
{
    let own = listeners.words.local_addr();
    let own = own.unwrap_or(settings.gateway.peer_listen);
    let gateway = Rc::new(Gateway::new(settings, own));
    let version = env!("CARGO_PKG_VERSION");
    info!(
        "event=started role=gateway version={version} room={} store={}",
        gateway.settings.process.failure_domain, gateway.settings.store.address
    );
    follow::start(&gateway);
    let probes = [listeners.ready, listeners.metrics, listeners.peers];
    for listener in probes {
        tokio::task::spawn_local(probe::serve(gateway.clone(), listener));
    }
    tokio::task::spawn_local(server::serve(gateway.clone(), listeners.callers));
    tokio::task::spawn_local(talk::talk(gateway.clone(), listeners.words));
    tokio::task::spawn_local(fetch::look_after(gateway.clone()));
    tokio::task::spawn_local(upgrades::look_after(gateway.clone()));
    tokio::task::spawn_local(reload(file, reloads));
    stop.await;
    gateway.start_draining();
    info!(
        "event=stopping requests={} connections={}",
        gateway.stats.requests_open.get(),
        gateway.stats.connections_open.get()
    );
    server::drained(&gateway).await;
    info!("event=stopped");
}

/// Checks the settings file again at each signal.
///
/// Addresses hold for as long as the process runs, so that a changed file
/// takes effect at the next start; a faulty one is told now.
async fn reload(file: PathBuf, mut reloads: Signal) {
    while reloads.recv().await.is_some() {
        match Settings::load(Role::Gateway, &file) {
            Ok(_) => info!("event=settings_checked takes_effect=next_start"),
            Err(faults) => log::warn!("event=settings_faulty reason=\"{faults}\""),
        }
    }
}
