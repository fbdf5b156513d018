//! What an entry knows.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
};

use config::{Config, TeamSpec};
use node::{Heard, Node};
use rand::{SeedableRng, rngs::StdRng};
use route::{
    Admission, BalancePolicy, CascadePolicy, Locality, PassRates, PickSettings,
    PoolCapacity, Report, RetryBudget, RolloutGate, Runners, Target, TicketKeys,
};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use volo_http::client::{Client, ClientBuilder};
use wire::Hello;

use crate::outcomes::Outcomes;

/// An entry's state, shared by its requests.
pub struct Entry {
    /// The shared parts of every process.
    pub node: Arc<Node>,
    pub(crate) tickets: TicketKeys,
    pub(crate) pick: PickSettings,
    pub(crate) cascade: CascadePolicy,
    pub(crate) client: Client,
    runners: Mutex<Runners>,
    admission: Mutex<Admission>,
    retries: Mutex<RetryBudget>,
    rates: Mutex<PassRates>,
    gates: Mutex<HashMap<(String, String), RolloutGate>>,
    outcomes: Mutex<Outcomes>,
    rng: Mutex<StdRng>,
    in_progress: AtomicUsize,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Entry {
    /// An entry that has seen nothing yet.
    pub fn new(node: Arc<Node>) -> Self {
        let settings = &node.settings;
        let here = Locality {
            failure_domain: settings.process.room.clone(),
            region: settings.process.region.clone(),
        };
        let pick = PickSettings {
            balance: BalancePolicy::from_setting(&settings.entry.balance),
            locality: here,
            silence_ms: settings.entry.silence_ms,
            entries: 1,
        };
        Entry {
            tickets: TicketKeys::new(&settings.secrets.ticket_keys),
            pick,
            cascade: CascadePolicy::from_setting(&settings.entry.cascade),
            client: ClientBuilder::new()
                .build()
                .expect("a client without TLS always builds"),
            runners: Mutex::default(),
            admission: Mutex::new(Admission::new(settings.entry.streams_max)),
            retries: Mutex::new(RetryBudget::new(
                f64::from(settings.entry.retry_percent) / 100.0,
            )),
            rates: Mutex::default(),
            gates: Mutex::default(),
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

    pub(crate) fn retries(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.retries)
    }

    pub(crate) fn rates(&self) -> MutexGuard<'_, PassRates> {
        lock(&self.rates)
    }

    /// Evidence on roll-outs, by model and the version it moves to.
    pub(crate) fn gates(
        &self,
    ) -> MutexGuard<'_, HashMap<(String, String), RolloutGate>> {
        lock(&self.gates)
    }

    pub(crate) fn outcomes(&self) -> MutexGuard<'_, Outcomes> {
        lock(&self.outcomes)
    }

    pub(crate) fn rng(&self) -> MutexGuard<'_, StdRng> {
        lock(&self.rng)
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<Config> {
        self.node.view.current()
    }

    /// Requests whose answers have not ended.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Counts a request until the guard is dropped, with its answer's body.
    pub(crate) fn begin(self: &Arc<Self>) -> InProgress {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        InProgress(self.clone())
    }

    /// Takes what came of a heartbeat.
    pub(crate) fn take_heard(&self, heard: Heard) {
        match heard {
            Heard::Reply(address, hello) => self.take_report(address, &hello),
            Heard::Gone(address) => self.runners().remove(address),
        }
    }

    /// Takes what an agent says of itself.
    pub(crate) fn take_report(&self, address: SocketAddr, hello: &Hello) {
        if hello.endpoint.is_empty() {
            return;
        }
        let report = Report {
            instance: hello.instance.clone(),
            locality: Locality {
                failure_domain: hello.failure_domain.clone(),
                region: hello.region.clone(),
            },
            leaving: hello.leaving,
            service: hello.service.clone(),
            versions: hello.versions.iter().cloned().collect(),
            running: hello.running,
            queued: hello.queued,
            slots: hello.slots,
        };
        self.runners()
            .record_report(address, report, self.node.now());
    }

    /// The team whose token this is.  All digests are compared, so that the
    /// time tells nothing.
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

    /// What the choice of a runner goes by now.
    pub(crate) fn pick_settings(&self) -> PickSettings {
        let now = self.node.now();
        let others = self.node.peers().live_entries(now, self.pick.silence_ms);
        PickSettings {
            entries: 1 + others,
            ..self.pick.clone()
        }
    }

    /// This entry's part of what all entries share.
    pub(crate) fn share(&self, target: Option<Target<'_>>) -> PoolCapacity {
        let now = self.node.now();
        let silence_ms = self.pick.silence_ms;
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

/// A request whose answer has not ended.
pub(crate) struct InProgress(Arc<Entry>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}
