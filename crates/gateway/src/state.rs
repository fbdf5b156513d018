//! What one gateway knows.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use catalog::{Catalog, Limits, RolloutStatus};
use clock::{Clock, Millis, SystemClock};
use log::{info, warn};
use platform::HeaderNames;
use route::{Costs, FirstSize, Pool, RetryBudget, SizeSettings, digest_text};
use settings::{FirstModel, Settings};
use tokio::sync::Notify;

use crate::{
    idle::IdleLinks, peers::Peers, stats::Stats, upgrades::Rollout, usual::UsualTimes,
    words::LogEnds,
};

/// Part of the allowed repeats that a gateway takes: what it has counted as a
/// first attempt may never have arrived.
const RETRY_MARGIN: f64 = 0.9;

/// Time between looks for a first configuration and endpoints, ms.
const BELIEFS_LOOK_MS: u64 = 5;

/// Sessions that are remembered.
const SESSIONS_MAX: usize = 20_000;

/// State of a gateway; everything runs on one thread.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub settings: Settings,
    pub names: HeaderNames,
    pub clock: SystemClock,
    pub sizes: SizeSettings,
    pub pool: RefCell<Pool>,
    pub links: RefCell<IdleLinks>,
    pub stats: Stats,
    pub peers: RefCell<Peers>,
    /// Told when there is something that the peers are to hear at once.
    pub news: Notify,
    pub usual: UsualTimes,
    /// Roll-outs by service.
    pub rollouts: RefCell<HashMap<String, Rollout>>,
    /// Recorded status by service.
    pub statuses: RefCell<HashMap<String, RolloutStatus>>,
    /// Offset up to which the recorded status is known.
    pub status_end: Cell<u64>,
    /// Offsets up to which the followed topics are known.
    pub ends: Cell<LogEnds>,
    /// Told when peers know more of the operators' topic.
    pub operator_stale: Notify,
    /// Told when peers know more of the endpoints.
    pub endpoints_stale: Notify,
    /// Version of each session, as a digest, and when it was last on it.
    sessions: RefCell<HashMap<u64, (u64, Millis)>>,
    born_ms: u64,
    /// Told once when a stop begins.
    pub stopping: Notify,
    /// The record that the configuration in force was decoded from.
    pub catalog_record: RefCell<Bytes>,
    /// Whether the operators' topic can be read.
    pub log_lost: Cell<bool>,
    catalog: RefCell<Option<Rc<Catalog>>>,
    budgets: RefCell<HashMap<String, RetryBudget>>,
    draining_since: Cell<Option<Millis>>,
}

impl Gateway {
    /// A gateway whose peers reach it at `own`.
    pub fn new(settings: Settings, own: SocketAddr) -> Self {
        let clock = SystemClock::default();
        let born_ms = clock.wall().0;
        let peers = Peers::new(own, &settings.process.peers);
        let place = settings.place;
        let sizes = SizeSettings {
            paces: [place.pace_smallest, place.pace_middle, place.pace_largest],
            first: match place.first_model {
                FirstModel::Smallest => FirstSize::Smallest,
                FirstModel::Middle => FirstSize::Middle,
                FirstModel::Largest => FirstSize::Largest,
            },
            confidence_min: place.confidence_min,
            late_fraction: f64::from(place.late_percent) / 100.0,
            ..SizeSettings::default()
        };
        let pool = Pool::new(Costs {
            prefill_tokens_per_ms: place.prefill_tokens_per_ms,
            running_ms: f64::from(place.running_us) / 1_000.0,
            read_weight: f64::from(place.read_weight_percent) / 100.0,
        });
        Gateway {
            settings,
            names: platform::header_names(),
            clock,
            sizes,
            pool: RefCell::new(pool),
            links: RefCell::default(),
            stats: Stats::default(),
            peers: RefCell::new(peers),
            news: Notify::new(),
            usual: UsualTimes::default(),
            rollouts: RefCell::default(),
            statuses: RefCell::default(),
            status_end: Cell::default(),
            ends: Cell::default(),
            operator_stale: Notify::new(),
            endpoints_stale: Notify::new(),
            sessions: RefCell::default(),
            born_ms,
            stopping: Notify::new(),
            catalog_record: RefCell::default(),
            log_lost: Cell::new(true),
            catalog: RefCell::default(),
            budgets: RefCell::default(),
            draining_since: Cell::default(),
        }
    }

    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// The configuration in force.
    pub fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// What callers may send, by the configuration in force.
    pub fn limits(&self) -> Limits {
        let catalog = self.catalog.borrow();
        catalog.as_ref().map_or_else(Limits::default, |c| c.limits)
    }

    /// Waits, for a moment, until a process that has just started knows a
    /// configuration and endpoints: both are a few calls to the log away, and a
    /// caller that is turned away comes back only after many times that.
    pub async fn first_beliefs(&self) {
        if self.has_beliefs() {
            return;
        }
        let limit = Duration::from_millis(self.settings.gateway.start_wait_ms);
        let known = async {
            while !self.has_beliefs() {
                tokio::time::sleep(Duration::from_millis(BELIEFS_LOOK_MS)).await;
            }
        };
        if tokio::time::timeout(limit, known).await.is_err() {
            self.stats.count("first_beliefs", "missing");
        }
    }

    /// Whether a configuration and endpoints are known.
    fn has_beliefs(&self) -> bool {
        self.catalog.borrow().is_some() && !self.pool.borrow().is_empty()
    }

    /// Decodes a configuration and puts it in force unless a newer one is.
    pub fn install(&self, record: &Bytes, source: &str) {
        let catalog = match platform::decode_catalog(record) {
            Ok(catalog) => catalog,
            Err(err) => {
                warn!("event=config_skipped source={source} reason=\"{err}\"");
                return;
            }
        };
        let held = self.catalog.borrow().as_ref().map(|held| held.version);
        if held.is_some_and(|held| held >= catalog.version) {
            return;
        }
        info!(
            "event=config_in_force version={} before={} routes={} teams={} source={source}",
            catalog.version,
            held.unwrap_or(0),
            catalog.routes.len(),
            catalog.teams.len(),
        );
        *self.catalog.borrow_mut() = Some(Rc::new(catalog));
        *self.catalog_record.borrow_mut() = record.clone();
    }

    /// Counts a first attempt at a service.
    pub fn count_first(&self, service: &str) {
        let now = self.now();
        self.budget(service, |budget| budget.record_first_attempt(now));
    }

    /// Takes one further attempt from the service's budget.
    pub fn take_retry(&self, service: &str) -> bool {
        let now = self.now();
        self.budget(service, |budget| budget.try_retry(now))
    }

    fn budget<T, F>(&self, service: &str, act: F) -> T
    where
        F: FnOnce(&mut RetryBudget) -> T,
    {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.to_owned()).or_insert_with(|| {
            let settings = &self.settings.gateway;
            let share = settings.retry_share * RETRY_MARGIN;
            let window_ms = (settings.retry_window_s * 1_000.0) as u64;
            RetryBudget::new(share).with_window_ms(window_ms)
        });
        act(budget)
    }

    /// Version that `session` was on, if it went on within the time in which
    /// it is to keep it.
    pub fn last_version(&self, session: u64, now: Millis) -> Option<u64> {
        let sessions = self.sessions.borrow();
        let (version, at) = sessions.get(&session)?;
        let kept = now.since(*at) <= self.session_ms();
        kept.then_some(*version)
    }

    fn session_ms(&self) -> u64 {
        (self.settings.gateway.session_s * 1_000.0) as u64
    }

    /// Notes that `session` is on `version` of `service` now.
    pub fn note_session(&self, service: &str, session: u64, version: &str) {
        let version = digest_text(version);
        self.hold_session(session, version);
        if self.is_told(service, session) {
            self.peers.borrow_mut().note_session(session, version);
            self.news.notify_one();
        }
    }

    /// Takes that `session` is on a version, by its digest.
    pub fn hold_session(&self, session: u64, version: u64) {
        let mut sessions = self.sessions.borrow_mut();
        if sessions.len() < SESSIONS_MAX || sessions.contains_key(&session) {
            sessions.insert(session, (version, self.now()));
        }
    }

    /// Forgets sessions that may change their version.
    pub fn forget_sessions(&self, now: Millis) {
        let kept_ms = self.session_ms();
        let mut sessions = self.sessions.borrow_mut();
        sessions.retain(|_, (_, at)| now.since(*at) <= kept_ms);
    }

    /// Takes what the peers run into account.
    pub fn take_elsewhere(&self, now: Millis) {
        let peers = self.peers.borrow();
        let mut pool = self.pool.borrow_mut();
        pool.set_peer_load(&peers.running(now));
        pool.set_peer_coverage(peers.hearing());
    }

    /// Start of this process, ms since 1970.
    pub fn born_ms(&self) -> u64 {
        self.born_ms
    }

    pub fn start_draining(&self) {
        self.draining_since.set(Some(self.now()));
        self.stopping.notify_one();
    }

    /// Since when no new work is to come.
    pub fn draining_since(&self) -> Option<Millis> {
        self.draining_since.get()
    }

    /// Whether new callers are welcome.
    pub fn is_ready(&self) -> bool {
        self.has_beliefs() && self.draining_since().is_none()
    }
}
