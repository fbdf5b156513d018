//! State that all parts of a gateway share.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use catalog::{Catalog, Limits};
use clock::{Clock, Millis, SystemClock};
use ingress::{Bodies, Connections, InstanceShares};
use log::{info, warn};
use platform::HeaderNames;
use route::{
    Costs, Evacuations, FirstSize, Pool, RolloutStatuses, SizeSettings,
    StoppingGateway, digest_text,
};
use settings::{FirstModel, Settings};
use store::{LogPosition, ReadPacing};
use tokio::sync::Notify;

use crate::{
    datagram::LogPositions,
    idle_connections::{IdleConnections, idle_max},
    latency::LatencyBaselines,
    load_query::LoadExchange,
    peers::Peers,
    quarantine::QuarantineExchange,
    request_limits::LimitExchange,
    retry_budgets::RetryBudgets,
    rollouts::Rollout,
    stats::Stats,
};

/// Interval of the first checks for a configuration and endpoints, ms.
const INITIAL_STATE_POLL_MS: u64 = 5;

/// Interval of later checks, ms: hundreds of requests may wait while the log is away.
const INITIAL_STATE_POLL_MAX_MS: u64 = 80;

/// Factor by which a read of the status topic waits longer than the others.
///
/// A dead connection is detected only when its read times out, so the wait bounds
/// how outdated a gateway's state can be while the log is available. A delayed
/// status only prolongs a rollout, so its topic can wait longer.
const STATUS_WAIT_FACTOR: u64 = 5;

/// Maximum number of sessions whose version is tracked.
const SESSIONS_MAX: usize = 20_000;

/// State of a gateway; it runs on one thread.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub settings: Settings,
    /// Names of the platform's headers.
    pub names: HeaderNames,
    pub clock: SystemClock,
    /// Memory and descriptors of the instance.
    pub shares: InstanceShares,
    /// Open connections of callers.
    pub caller_connections: Connections,
    /// Bodies of callers' requests.
    pub bodies: Bodies,
    /// Settings of the choice among a route's candidate models.
    pub sizes: SizeSettings,
    pub pool: RefCell<Pool>,
    /// Exchange of the endpoints' load with the gateways that track it.
    pub load: LoadExchange,
    /// Exchange on the limits that endpoints name.
    pub limits_exchange: LimitExchange,
    /// Crashes, and the requests that are held back because of them.
    pub quarantine: QuarantineExchange,
    /// Failure domains that the operators empty.
    pub evacuations: RefCell<Evacuations>,
    pub idle_connections: RefCell<IdleConnections>,
    pub stats: Stats,
    pub peers: RefCell<Peers>,
    /// Notified when an update for the peers is queued.
    pub update_pending: Notify,
    /// Notified when the peers are to hear of a change of this gateway's status at once.
    pub status_changed: Notify,
    pub latency_baselines: LatencyBaselines,
    /// Rollouts by service.
    pub rollouts: RefCell<HashMap<String, Rollout>>,
    /// Recorded states of the rollouts.
    pub statuses: RefCell<RolloutStatuses>,
    /// Position up to which the status topic has been read.
    pub status_end: Cell<LogPosition>,
    /// Positions up to which the operators' and the endpoints' topics have been read.
    pub log_positions: Cell<LogPositions>,
    /// Times between the calls to the log.
    pub pacing: ReadPacing,
    /// Like [`Gateway::pacing`], for the status topic.
    pub status_pacing: ReadPacing,
    /// Notified when peers are ahead on the operators' topic.
    pub operator_stale: Notify,
    /// Notified when peers are ahead on the endpoints' topic.
    pub endpoints_stale: Notify,
    /// Digest of each session's version, and when it was last used.
    sessions: RefCell<HashMap<u64, (u64, Millis)>>,
    incarnation_ms: u64,
    /// When this process started.
    started: Millis,
    /// Notified once when draining starts.
    pub drain_started: Notify,
    /// The record that the current configuration was decoded from.
    pub catalog_record: RefCell<Bytes>,
    /// Whether the operators' topic cannot be read; true until it has been
    /// read once.
    pub log_lost: Cell<bool>,
    catalog: RefCell<Option<Rc<Catalog>>>,
    /// Budgets of the retries at each service.
    pub retry_budgets: RetryBudgets,
    draining_since: Cell<Option<Millis>>,
}

impl Gateway {
    /// Creates the state of a gateway that its peers reach at `own`.
    pub fn new(settings: Settings, own: SocketAddr) -> Self {
        let clock = SystemClock::default();
        let incarnation_ms = clock.wall().0;
        let process = &settings.process;
        let shares = InstanceShares::read(process.memory_mb, process.descriptors_max);
        let started = clock.now();
        let peers = Peers::new(own, &settings.process.peers);
        let routing = settings.routing;
        let sizes = SizeSettings {
            paces: [
                routing.pace_smallest,
                routing.pace_middle,
                routing.pace_largest,
            ],
            first: match routing.first_model {
                FirstModel::Smallest => FirstSize::Smallest,
                FirstModel::Middle => FirstSize::Middle,
                FirstModel::Largest => FirstSize::Largest,
            },
            confidence_min: routing.confidence_min,
            late_fraction: f64::from(routing.late_percent) / 100.0,
            ..SizeSettings::default()
        };
        let pool = Pool::new(Costs {
            prefill_tokens_per_ms: routing.prefill_tokens_per_ms,
            running_ms: f64::from(routing.running_us) / 1_000.0,
            prefill_weight: f64::from(routing.read_weight_percent) / 100.0,
            stalled_weight: f64::from(routing.stalled_weight_percent) / 100.0,
        });
        let wait_ms = settings.store.poll_wait_ms;
        Gateway {
            settings,
            pacing: ReadPacing::new(wait_ms),
            status_pacing: ReadPacing::new(wait_ms * STATUS_WAIT_FACTOR),
            names: platform::header_names(),
            shares,
            caller_connections: Connections::new(
                shares.connections(Limits::default().head_max_bytes),
                clock.clone(),
            ),
            bodies: Bodies::new(shares.bodies_bytes(), clock.clone()),
            clock,
            sizes,
            pool: RefCell::new(pool),
            load: LoadExchange::new(routing.prefill_tokens_per_ms),
            limits_exchange: LimitExchange::default(),
            quarantine: QuarantineExchange::default(),
            evacuations: RefCell::default(),
            idle_connections: RefCell::default(),
            stats: Stats::default(),
            peers: RefCell::new(peers),
            update_pending: Notify::new(),
            status_changed: Notify::new(),
            latency_baselines: LatencyBaselines::default(),
            rollouts: RefCell::default(),
            statuses: RefCell::default(),
            status_end: Cell::default(),
            log_positions: Cell::default(),
            operator_stale: Notify::new(),
            endpoints_stale: Notify::new(),
            sessions: RefCell::default(),
            incarnation_ms,
            started,
            drain_started: Notify::new(),
            catalog_record: RefCell::default(),
            log_lost: Cell::new(true),
            catalog: RefCell::default(),
            retry_budgets: RetryBudgets::default(),
            draining_since: Cell::default(),
        }
    }

    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns the current configuration.
    pub fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Returns the limits on callers' requests in the current configuration.
    pub fn limits(&self) -> Limits {
        let catalog = self.catalog.borrow();
        catalog.as_ref().map_or_else(Limits::default, |c| c.limits)
    }

    /// Waits up to `limit_ms` until a process that has just started has a configuration
    /// and endpoints; see [`route::StartWait`].
    pub async fn wait_for_initial_state(&self, limit_ms: u64) {
        let limit = Duration::from_millis(limit_ms);
        let known = async {
            let mut poll_ms = INITIAL_STATE_POLL_MS;
            while !self.has_initial_state() {
                tokio::time::sleep(Duration::from_millis(poll_ms)).await;
                poll_ms = (poll_ms * 2).min(INITIAL_STATE_POLL_MAX_MS);
            }
        };
        if tokio::time::timeout(limit, known).await.is_err() {
            self.stats.count("first_beliefs", "missing");
        }
    }

    /// Whether a configuration and endpoints are known.
    pub fn has_initial_state(&self) -> bool {
        self.catalog.borrow().is_some() && !self.pool.borrow().is_empty()
    }

    /// Decodes a configuration and makes it the current one if it is newer. `source`
    /// is for log lines.
    pub fn install(&self, record: &Bytes, source: &str) {
        let catalog = match platform::decode_catalog(record) {
            Ok(catalog) => catalog,
            Err(err) => {
                warn!("event=config_skipped source={source} reason=\"{err}\"");
                return;
            }
        };
        let current = self
            .catalog
            .borrow()
            .as_ref()
            .map(|current| current.version);
        if current.is_some_and(|current| current >= catalog.version) {
            return;
        }
        info!(
            "event=config_in_force version={} before={} routes={} teams={} source={source}",
            catalog.version,
            current.unwrap_or(0),
            catalog.routes.len(),
            catalog.teams.len(),
        );
        let open_max = self.shares.connections(catalog.limits.head_max_bytes);
        self.caller_connections.set_open_max(open_max);
        *self.catalog.borrow_mut() = Some(Rc::new(catalog));
        *self.catalog_record.borrow_mut() = record.clone();
    }

    /// Returns how many idle connections this gateway keeps to an endpoint of
    /// `service`.
    pub fn idle_max(&self, service: &str) -> usize {
        let catalog = self.catalog();
        let service = catalog
            .as_ref()
            .and_then(|catalog| catalog.service(service));
        let connections_max = service.map_or(0, |service| service.connections_max);
        let gateways = self.peers.borrow().fresh_statuses(self.now()).count() + 1;
        idle_max(connections_max, gateways)
    }

    /// Returns the digest of the session's version, if it was used within the
    /// time for which a session keeps its version.
    pub fn session_version(&self, session: u64, now: Millis) -> Option<u64> {
        let sessions = self.sessions.borrow();
        let (version, at) = sessions.get(&session)?;
        let kept = now.since(*at) <= self.session_ms();
        kept.then_some(*version)
    }

    fn session_ms(&self) -> u64 {
        (self.settings.gateway.session_s * 1_000.0) as u64
    }

    /// Records that `session` is on `version` of `service`, and announces it
    /// to the peers if they need to know.
    pub fn record_session(&self, service: &str, session: u64, version: &str) {
        let version = digest_text(version);
        self.set_session_version(session, version);
        if self.is_shared_session(service, session) {
            self.peers.borrow_mut().queue_session(session, version);
            self.update_pending.notify_one();
        }
    }

    /// Records the version of `session`, both as digests.
    pub fn set_session_version(&self, session: u64, version: u64) {
        let mut sessions = self.sessions.borrow_mut();
        if sessions.len() < SESSIONS_MAX || sessions.contains_key(&session) {
            sessions.insert(session, (version, self.now()));
        }
    }

    /// Removes sessions whose version has expired.
    pub fn expire_sessions(&self, now: Millis) {
        let kept_ms = self.session_ms();
        let mut sessions = self.sessions.borrow_mut();
        sessions.retain(|_, (_, at)| now.since(*at) <= kept_ms);
    }

    /// Passes the peers' load on to the endpoint pool.
    pub fn update_peer_load(&self, now: Millis) {
        let peers = self.peers.borrow();
        let mut pool = self.pool.borrow_mut();
        pool.set_peer_load(&peers.load(now));
        pool.set_peer_coverage(peers.coverage());
    }

    /// Returns the start time of this process, ms since the Unix epoch.
    pub fn incarnation_ms(&self) -> u64 {
        self.incarnation_ms
    }

    /// Returns the time since this process started, ms.
    pub fn uptime_ms(&self) -> u64 {
        self.now().since(self.started)
    }

    pub fn start_draining(&self) {
        self.draining_since.set(Some(self.now()));
        self.drain_started.notify_one();
        self.status_changed.notify_one();
    }

    /// Returns what this gateway knows of its stop; `None` before the signal.
    pub fn stopping(&self) -> Option<StoppingGateway> {
        let now = self.now();
        let since = self.draining_since()?;
        Some(StoppingGateway {
            stopping_ms: now.since(since),
            grace_ms: (self.settings.gateway.grace_s * 1_000.0) as u64,
            others_take_callers: self.peers.borrow().any_takes_callers(now),
        })
    }

    /// Returns when draining started, if it did.
    pub fn draining_since(&self) -> Option<Millis> {
        self.draining_since.get()
    }

    /// Whether the gateway accepts new callers.
    pub fn is_ready(&self) -> bool {
        self.has_initial_state() && self.draining_since().is_none()
    }
}
