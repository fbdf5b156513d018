//! What one gateway knows.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
};

use catalog::{Catalog, Limits, RolloutOrder, RolloutStatus};
use clock::{Clock, Millis, SystemClock};
use log::info;
use platform::Vocabulary;
use route::{Pool, RetryBudget, SizeSettings, Versions};
use settings::Settings;
use tokio::sync::Notify;

use crate::{idle::IdleLinks, stats::Stats};

/// State of a gateway; everything runs on one thread.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub settings: Settings,
    pub names: Vocabulary,
    pub clock: SystemClock,
    pub sizes: SizeSettings,
    pub pool: RefCell<Pool>,
    pub links: RefCell<IdleLinks>,
    pub stats: Stats,
    /// Orders by service.
    pub orders: RefCell<HashMap<String, RolloutOrder>>,
    /// Recorded status by service.
    pub statuses: RefCell<HashMap<String, RolloutStatus>>,
    /// Told once when a stop begins.
    pub stopping: Notify,
    catalog: RefCell<Option<Rc<Catalog>>>,
    budgets: RefCell<HashMap<String, RetryBudget>>,
    draining_since: Cell<Option<Millis>>,
}

impl Gateway {
    pub fn new(settings: Settings) -> Self {
        Gateway {
            settings,
            names: platform::vocabulary(),
            clock: SystemClock::default(),
            sizes: SizeSettings::default(),
            pool: RefCell::default(),
            links: RefCell::default(),
            stats: Stats::default(),
            orders: RefCell::default(),
            statuses: RefCell::default(),
            stopping: Notify::new(),
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

    /// Puts a configuration in force unless a newer one is.
    pub fn install(&self, catalog: Catalog, source: &str) {
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
    }

    /// Counts a first attempt at a service.
    pub fn count_first(&self, service: &str) {
        let now = self.now();
        self.budget(service, |budget| budget.first_attempt(now));
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
        let percent = self.settings.gateway.retry_percent;
        let budget = budgets
            .entry(service.to_owned())
            .or_insert_with(|| RetryBudget::new(percent));
        act(budget)
    }

    /// Versions of `service` that may take new requests.
    pub fn versions<'a>(
        &self,
        order: Option<&'a RolloutOrder>,
        status: Option<&RolloutStatus>,
    ) -> Versions<'a> {
        let Some(order) = order else {
            return Versions::Any;
        };
        let state = status
            .filter(|status| status.target == order.target)
            .map(|status| status.state);
        match state {
            Some(catalog::RolloutState::Completed) => Versions::Only(&order.target),
            _ => Versions::Not(&order.target),
        }
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
        let catalog = self.catalog.borrow().is_some();
        catalog && !self.pool.borrow().is_empty() && self.draining_since().is_none()
    }
}
