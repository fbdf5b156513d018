//! What every process of the system does.
//!
//! A [`Node`] follows the configuration, knows how fresh it is, exchanges
//! heartbeats, gathers claims and bills for the log and reads them back.  The
//! entry and the agent build on it.  See `docs/design/state.md`.

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

pub use claims::{ClaimBook, ClaimError};
pub use health::{Fold, PeerNews, judge};
pub use heartbeat::Heard;
pub use peers::{Peer, Peers};
pub use subset::{entries_for_agent, subset};

/// What kind of process a node is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A front.
    Entry,
    /// The process beside an endpoint.
    Agent,
}

/// The parts that an entry and an agent share.
#[derive(Debug)]
pub struct Node {
    /// Entry or agent.
    pub kind: Kind,
    /// Id of this instance, new at each start.
    pub instance: String,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// All settings.
    pub settings: Settings,
    /// The machine's clocks.
    pub clock: SystemClock,
    /// The platform's services.
    pub store: Store,
    /// The configuration in force.
    pub view: Arc<ConfigView>,
    /// Connections to other processes.
    pub hub: Hub,
    /// Claims and session bindings.
    pub claims: ClaimBook,
    /// Counters and timings.
    pub metrics: Metrics,
    bills: Mutex<BillBuffer>,
    peers: Mutex<Peers>,
    leaving: AtomicBool,
}

impl Node {
    /// Puts a node together; [`Node::run`] starts it.
    pub fn new(kind: Kind, address: SocketAddr, settings: Settings) -> Arc<Node> {
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
            Kind::Entry => settings.entry.bills_max,
            Kind::Agent => settings.agent.bills_max,
        };
        Arc::new(Node {
            kind,
            instance: instance_id(&settings),
            address,
            clock: SystemClock::default(),
            store,
            view: Arc::new(ConfigView::default()),
            hub: Hub::start(settings.entry.silence_ms),
            claims: ClaimBook::new(store_settings.claim_partitions),
            metrics,
            bills: Mutex::new(BillBuffer::new(bills_max)),
            peers: Mutex::new(Peers::default()),
            leaving: AtomicBool::new(false),
            settings,
        })
    }

    /// Starts the background work; needs a Tokio runtime.  `heard` is told of
    /// each heartbeat that was answered or not.
    pub fn run<H>(self: &Arc<Self>, heard: H)
    where
        H: Fn(Heard) + Send + Sync + 'static,
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
        tokio::spawn(heartbeat::run(self.clone(), heard));
    }

    /// Whether this process judges or shows claims and bindings: an agent
    /// beside an engine never does.
    fn needs_claims(&self) -> bool {
        self.kind == Kind::Entry || !self.settings.agent.service.is_empty()
    }

    /// Now, on this process's clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// The bills that this process holds.
    pub fn bills(&self) -> MutexGuard<'_, BillBuffer> {
        self.bills.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The processes that this one heard.
    pub fn peers(&self) -> MutexGuard<'_, Peers> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes no new work from now on, and says so in heartbeats.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether it takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// How fresh the configuration is, and so whether work may be admitted.
    pub fn health(&self) -> ConfigHealth {
        let now = self.now();
        let news = self.peers().news(now, self.settings.entry.silence_ms);
        let config = self.view.current();
        let fold = if config.blocked_at.is_some() {
            Fold::Blocked
        } else if config.offset == 0 {
            Fold::Empty
        } else {
            Fold::Ready
        };
        let health = judge(
            &self.settings.process.room,
            fold,
            self.view.log_age_ms(now),
            &news,
            &self.settings.store,
        );
        let refuses = self.settings.store.outage == StoreOutage::Refuse;
        if health == ConfigHealth::StoreDown && refuses {
            ConfigHealth::CutOff
        } else {
            health
        }
    }

    /// What this process says of itself.
    pub fn hello(&self) -> Hello {
        Hello {
            instance: self.instance.clone(),
            failure_domain: self.settings.process.room.clone(),
            region: self.settings.process.region.clone(),
            address: self.address.to_string(),
            config_offset: self.view.offset(),
            log_age_ms: self.view.log_age_ms(self.now()),
            leaving: self.is_leaving(),
            endpoint: match self.kind {
                Kind::Entry => String::new(),
                Kind::Agent => self.settings.agent.endpoint.clone(),
            },
            ..Hello::default()
        }
    }

    /// Takes what a peer said of itself, and fetches its configuration if
    /// that is newer.
    ///
    /// `asked_at` is when the question went out that this answers, if it is an
    /// answer.  The age of the peer's news counts from then: an age that came
    /// with an unknown delay would make old news look younger at each exchange,
    /// and two processes could keep each other fresh for ever.
    pub async fn take_hello(&self, from: &Hello, asked_at: Option<Millis>) {
        let Ok(address) = from.address.parse::<SocketAddr>() else {
            return;
        };
        let now = self.now();
        self.peers().heard(address, from.clone(), now);
        if from.config_offset > self.view.offset() {
            self.catch_up(address).await;
        }
        let known = from.config_offset <= self.view.offset();
        if let Some(asked_at) = asked_at
            && known
            && from.log_age_ms != u64::MAX
        {
            self.view.mark_fresh(asked_at.minus(from.log_age_ms));
        }
    }

    /// Fetches a peer's configuration if it is newer than this process's.
    pub async fn catch_up(&self, peer: SocketAddr) {
        let have = self.view.offset();
        if let Ok(Some((offset, body))) = self.hub.fetch_config(peer, have).await
            && let Ok(news) = serde_json::from_str::<ConfigUpdate>(&body)
        {
            self.view.apply_update(news);
            log::info!("event=config_from_peer peer={peer} had={have} offset={offset}");
        }
    }

    /// What a peer that has `have` lacks of the configuration.
    pub fn config_for(&self, have: u64) -> Option<(u64, String)> {
        let news = self.view.update_since(have)?;
        let body = serde_json::to_string(&news).expect("news always encode");
        Some((self.view.offset(), body))
    }

    /// Waits until the fold reached `offset`, at most `wait_ms`.
    pub async fn wait_for_config(&self, offset: u64, wait_ms: u64) -> bool {
        let mut watch = self.view.watch();
        let reached = watch.wait_for(|next| *next >= offset);
        let limit = std::time::Duration::from_millis(wait_ms);
        matches!(tokio::time::timeout(limit, reached).await, Ok(Ok(_)))
    }
}

fn instance_id(settings: &Settings) -> String {
    let fresh: u64 = rand::random();
    if settings.process.instance.is_empty() {
        return format!("i-{fresh:016x}");
    }
    // A restart under the same name is another holder of claims.
    format!("{}-{fresh:016x}", settings.process.instance)
}
