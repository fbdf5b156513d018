//! State and background tasks that entries and agents have in common.
//!
//! A [`Node`] follows the configuration and tracks its age, exchanges heartbeats
//! with peers, and appends claims and bills to the log.  See
//! `docs/design/state.md`.

mod bills;
mod claims;
mod health;
mod heartbeat;
mod peers;
mod subset;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use bill::BillBuffer;
use clock::{Clock, Millis, SystemClock};
use settings::{Settings, StoreOutage};
use store::{ConfigHealth, ConfigUpdate, ConfigView, Store};
use telemetry::Metrics;
use wire::{Hello, Hub};

pub use claims::{ClaimError, ClaimLog};
pub use health::{ConfigState, PeerLogAge, assess};
pub use heartbeat::HeartbeatResult;
pub use peers::{Peer, Peers};
pub use subset::{entries_for_agent, heartbeat_targets};

/// Kind of process that a node is part of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NodeKind {
    /// Accepts requests from callers.
    Entry,
    /// Runs next to an endpoint and forwards requests to it.
    Agent,
}

/// State and services that an entry and an agent share.
#[derive(Debug)]
pub struct Node {
    /// Kind of process.
    pub kind: NodeKind,
    /// Id of this instance, new at each start.
    pub instance: String,
    /// Address at which peers reach this process.
    pub address: SocketAddr,
    /// All settings.
    pub settings: Settings,
    /// The machine's clocks.
    pub clock: SystemClock,
    /// Client of the platform's log and live list.
    pub store: Store,
    /// Current configuration.
    pub view: Arc<ConfigView>,
    /// Connections to other processes.
    pub hub: Hub,
    /// Claims and session bindings.
    pub claims: ClaimLog,
    /// Counters and timings.
    pub metrics: Metrics,
    bills: Mutex<BillBuffer>,
    peers: Mutex<Peers>,
    draining: AtomicBool,
}

impl Node {
    /// Creates a node; [`Node::run`] starts its tasks.
    pub fn new(kind: NodeKind, address: SocketAddr, settings: Settings) -> Arc<Node> {
        let store_settings = &settings.store;
        let store = Store::new(
            store_settings.address,
            store_settings.live_address,
            store_settings.timeout_ms,
        );
        let metrics = settings
            .log
            .metrics_address
            .and_then(|address| Metrics::to_address(address).ok())
            .unwrap_or_default();
        let bills_max = match kind {
            NodeKind::Entry => settings.entry.bills_max,
            NodeKind::Agent => settings.agent.bills_max,
        };
        Arc::new(Node {
            kind,
            instance: instance_id(&settings),
            address,
            clock: SystemClock::default(),
            store,
            view: Arc::new(ConfigView::default()),
            hub: Hub::start(settings.entry.silence_ms),
            claims: ClaimLog::new(store_settings.claim_partitions),
            metrics,
            bills: Mutex::new(BillBuffer::new(bills_max)),
            peers: Mutex::new(Peers::default()),
            draining: AtomicBool::new(false),
            settings,
        })
    }

    /// Spawns the background tasks; must be called within a Tokio runtime.
    ///
    /// `on_result` is called for each reply to a heartbeat, and when heartbeats
    /// to a process end.
    pub fn run<H>(self: &Arc<Self>, on_result: H)
    where
        H: Fn(HeartbeatResult) + Send + Sync + 'static,
    {
        let clock = Arc::new(self.clock.clone());
        tokio::spawn(store::follow_config(
            self.store.clone(),
            self.view.clone(),
            self.settings.store.poll_wait_ms,
            clock,
        ));
        if self.needs_claims() {
            claims::spawn(self);
        }
        tokio::spawn(bills::run(self.clone()));
        tokio::spawn(heartbeat::run(self.clone(), on_result));
    }

    /// Whether this process needs the claim log.  An agent of a model engine
    /// does not.
    fn needs_claims(&self) -> bool {
        self.kind == NodeKind::Entry || !self.settings.agent.service.is_empty()
    }

    /// Current time of this process's clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Locks the bills that this process holds.
    pub fn bills(&self) -> MutexGuard<'_, BillBuffer> {
        self.bills.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the table of known peers.
    pub fn peers(&self) -> MutexGuard<'_, Peers> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stops accepting new work, and reports so in heartbeats.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Whether this process accepts no new work.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Health of the configuration, which decides whether this process may admit
    /// work.
    pub fn health(&self) -> ConfigHealth {
        let now = self.now();
        let peer_log_ages = self.peers().log_ages(now, self.settings.entry.silence_ms);
        let config = self.view.current();
        let config_state = if config.blocked_at.is_some() {
            ConfigState::Blocked
        } else if config.offset == 0 {
            ConfigState::Empty
        } else {
            ConfigState::Ready
        };
        let health = assess(
            &self.settings.process.failure_domain,
            config_state,
            self.view.log_age_ms(now),
            &peer_log_ages,
            &self.settings.store,
        );
        let refuses = self.settings.store.outage == StoreOutage::Refuse;
        if health == ConfigHealth::StoreDown && refuses {
            ConfigHealth::CutOff
        } else {
            health
        }
    }

    /// State of this process, as sent in heartbeats.
    pub fn hello(&self) -> Hello {
        Hello {
            instance: self.instance.clone(),
            failure_domain: self.settings.process.failure_domain.clone(),
            region: self.settings.process.region.clone(),
            address: self.address.to_string(),
            config_offset: self.view.offset(),
            log_age_ms: self.view.log_age_ms(self.now()),
            draining: self.is_draining(),
            endpoint: match self.kind {
                NodeKind::Entry => String::new(),
                NodeKind::Agent => self.settings.agent.endpoint.clone(),
            },
            ..Hello::default()
        }
    }

    /// Stores the state that a peer reported and fetches its configuration if
    /// that is newer.
    ///
    /// `sent_at` is the time at which the heartbeat was sent that `from` replies
    /// to, or `None` if `from` is not a reply.  The log age of the peer is
    /// counted from that time.  With an unknown transfer delay, the age would
    /// appear lower after each exchange, and two processes could keep each other
    /// fresh indefinitely.
    pub async fn handle_hello(&self, from: &Hello, sent_at: Option<Millis>) {
        let Ok(address) = from.address.parse::<SocketAddr>() else {
            return;
        };
        let now = self.now();
        self.peers().record(address, from.clone(), now);
        if from.config_offset > self.view.offset() {
            self.fetch_config_from(address).await;
        }
        let known = from.config_offset <= self.view.offset();
        if let Some(sent_at) = sent_at
            && known
            && from.log_age_ms != u64::MAX
        {
            self.view.mark_fresh(sent_at.minus(from.log_age_ms));
        }
    }

    /// Fetches the configuration of a peer if it is newer than this process's.
    pub async fn fetch_config_from(&self, peer: SocketAddr) {
        let have = self.view.offset();
        if let Ok(Some((offset, body))) = self.hub.fetch_config(peer, have).await
            && let Ok(update) = serde_json::from_str::<ConfigUpdate>(&body)
        {
            self.view.apply_update(update);
            log::info!("event=config_from_peer peer={peer} had={have} offset={offset}");
        }
    }

    /// The changes that a peer lacks whose configuration ends at offset `have`,
    /// as the offset that they lead to and their JSON.
    pub fn config_since(&self, have: u64) -> Option<(u64, String)> {
        let update = self.view.update_since(have)?;
        let body = serde_json::to_string(&update).expect("an update always encodes");
        Some((self.view.offset(), body))
    }

    /// Waits until the configuration has reached `offset`.
    ///
    /// Returns `false` if it has not within `wait_ms`.
    pub async fn wait_for_config(&self, offset: u64, wait_ms: u64) -> bool {
        let mut watch = self.view.watch();
        let reached = watch.wait_for(|next| *next >= offset);
        let limit = std::time::Duration::from_millis(wait_ms);
        matches!(tokio::time::timeout(limit, reached).await, Ok(Ok(_)))
    }
}

/// Instance id that is unique for each start.
fn instance_id(settings: &Settings) -> String {
    let suffix: u64 = rand::random();
    if settings.process.instance.is_empty() {
        return format!("i-{suffix:016x}");
    }
    // A process that restarts under the same name must not be taken for the
    // previous one, which may hold claims.
    format!("{}-{suffix:016x}", settings.process.instance)
}
