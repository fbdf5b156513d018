//! Shared state of an entry.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
};

use clock::Millis;
use config::{Config, TeamSpec};
use ingress::{Bodies, Connections, InstanceShares};
use node::{HeartbeatResult, Node};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use route::{
    Admission, BalancePolicy, CascadePolicy, Locality, PassRates, PickSettings,
    PoolCapacity, Report, RetryBudget, RetryLimits, RolloutGate, Runners, Target,
    TicketKeys,
};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use volo_http::client::{Client, ClientBuilder};
use wire::Hello;

use crate::{caller_server::BUFFER_MAX_BYTES, outcomes::Outcomes};

/// How often an entry holds a body: as it arrived, as the text of its prompt, and in the
/// message to an agent.
const BODY_COPIES: u64 = 3;

/// State shared by all requests of an entry.
pub struct Entry {
    /// State and services common to entries and agents.
    pub node: Arc<Node>,
    pub(crate) ticket_keys: TicketKeys,
    pub(crate) pick_settings: PickSettings,
    pub(crate) cascade_policy: CascadePolicy,
    pub(crate) rater_client: Client,
    /// Memory and descriptors of the instance.
    pub(crate) shares: InstanceShares,
    /// Open connections of callers.
    pub(crate) connections: Connections,
    /// Bodies of callers' requests.
    pub(crate) bodies: Bodies,
    runners: Mutex<Runners>,
    admission: Mutex<Admission>,
    retry_budget: Mutex<RetryBudget>,
    /// When this process started.
    pub(crate) started: Millis,
    pass_rates: Mutex<PassRates>,
    rollout_gates: Mutex<HashMap<(String, String), RolloutGate>>,
    outcomes: Mutex<Outcomes>,
    rng: Mutex<StdRng>,
    in_progress: AtomicUsize,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Entry {
    /// Creates an entry without any requests or known runners.
    pub fn new(node: Arc<Node>) -> Self {
        let settings = &node.settings;
        let locality = Locality {
            failure_domain: settings.process.failure_domain.clone(),
            region: settings.process.region.clone(),
        };
        let pick_settings = PickSettings {
            balance: BalancePolicy::from_setting(&settings.entry.balance),
            locality,
            silence_ms: settings.entry.silence_ms,
            entries: 1,
        };
        let process = &settings.process;
        let shares = InstanceShares::read(process.memory_mb, process.descriptors_max);
        let bodies_bytes = shares.bodies_bytes() / BODY_COPIES;
        Entry {
            shares,
            connections: Connections::new(
                shares.connections(BUFFER_MAX_BYTES),
                node.clock.clone(),
            ),
            bodies: Bodies::new(bodies_bytes, node.clock.clone()),
            ticket_keys: TicketKeys::new(&settings.secrets.ticket_keys),
            pick_settings,
            cascade_policy: CascadePolicy::from_setting(&settings.entry.cascade),
            rater_client: ClientBuilder::new()
                .build()
                .expect("building an HTTP client without TLS cannot fail"),
            runners: Mutex::default(),
            admission: Mutex::new(Admission::new(settings.entry.streams_max)),
            retry_budget: Mutex::new(RetryBudget::new(
                RetryLimits {
                    share: f64::from(settings.entry.retry_percent) / 100.0,
                    ..RetryLimits::default()
                },
                rand::rng().random(),
            )),
            started: node.now(),
            pass_rates: Mutex::default(),
            rollout_gates: Mutex::default(),
            outcomes: Mutex::default(),
            rng: Mutex::new(StdRng::from_rng(&mut rand::rng())),
            in_progress: AtomicUsize::new(0),
            node,
        }
    }

    pub(crate) fn runners(&self) -> MutexGuard<'_, Runners> {
        lock(&self.runners)
    }

    pub(crate) fn admission(&self) -> MutexGuard<'_, Admission> {
        lock(&self.admission)
    }

    pub(crate) fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.retry_budget)
    }

    pub(crate) fn pass_rates(&self) -> MutexGuard<'_, PassRates> {
        lock(&self.pass_rates)
    }

    /// Rollout gates, which hold the ratings, by model and target version.
    pub(crate) fn rollout_gates(
        &self,
    ) -> MutexGuard<'_, HashMap<(String, String), RolloutGate>> {
        lock(&self.rollout_gates)
    }

    pub(crate) fn outcomes(&self) -> MutexGuard<'_, Outcomes> {
        lock(&self.outcomes)
    }

    pub(crate) fn rng(&self) -> MutexGuard<'_, StdRng> {
        lock(&self.rng)
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Arc<Config> {
        self.node.view.current()
    }

    /// Returns the number of requests whose responses have not ended.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Counts a request as in progress until the guard is dropped together with
    /// the response body.
    pub(crate) fn track_request(self: &Arc<Self>) -> InProgressGuard {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        InProgressGuard(self.clone())
    }

    /// Updates the runner table after a heartbeat.
    pub(crate) fn handle_heartbeat(&self, result: HeartbeatResult) {
        match result {
            HeartbeatResult::Reply(address, hello) => {
                self.update_runner(address, &hello)
            }
            HeartbeatResult::Removed(address) => self.runners().remove(address),
        }
    }

    /// Updates the runner table from an agent's heartbeat.
    pub(crate) fn update_runner(&self, address: SocketAddr, hello: &Hello) {
        if hello.endpoint.is_empty() {
            return;
        }
        let report = Report {
            instance: hello.instance.clone(),
            locality: Locality {
                failure_domain: hello.failure_domain.clone(),
                region: hello.region.clone(),
            },
            draining: hello.draining,
            service: hello.service.clone(),
            versions: hello.versions.iter().cloned().collect(),
            running: hello.running,
            queued: hello.queued,
            slots: hello.slots,
        };
        self.runners()
            .record_report(address, report, self.node.now());
    }

    /// Returns the team that owns the token. Compares all digests in constant
    /// time, so that the duration does not reveal which one matched.
    pub(crate) fn authenticate(&self, token: &str) -> Option<TeamSpec> {
        let digest = hex::encode(Sha256::digest(token));
        let config = self.config();
        let mut found = None;
        for team in config.teams.values() {
            for known in &team.value.token_digests {
                let known = known.to_ascii_lowercase();
                if bool::from(known.as_bytes().ct_eq(digest.as_bytes())) {
                    found = Some(team.value.clone());
                }
            }
        }
        found
    }

    /// Returns the settings for picking a runner, with the current number of
    /// live entries.
    pub(crate) fn current_pick_settings(&self) -> PickSettings {
        let now = self.node.now();
        let other_entries = self
            .node
            .peers()
            .live_entries(now, self.pick_settings.silence_ms);
        PickSettings {
            entries: 1 + other_entries,
            ..self.pick_settings.clone()
        }
    }

    /// Returns this entry's share of the limits that apply to all entries
    /// together.
    pub(crate) fn pool_capacity(&self, target: Option<Target<'_>>) -> PoolCapacity {
        let now = self.node.now();
        let silence_ms = self.pick_settings.silence_ms;
        let entries = 1 + self.node.peers().live_entries(now, silence_ms);
        let (slots, slots_in_use) = target.map_or((0, 0), |target| {
            self.runners().capacity(target, now, silence_ms)
        });
        PoolCapacity {
            entries,
            slots,
            slots_in_use,
        }
    }
}

/// Counts a request as in progress until dropped.
pub(crate) struct InProgressGuard(Arc<Entry>);

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}
