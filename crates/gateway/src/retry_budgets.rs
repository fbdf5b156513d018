//! Charges the retries of each service to its budget, and reports denials.

use std::{cell::RefCell, collections::HashMap};

use clock::Millis;
use log::warn;
use rand::RngExt;
use route::{FleetView, RetryBudget, RetryLimits};

use crate::state::Gateway;

/// Fraction of the allowed retries that a gateway uses, since retries bunch up between
/// the charge and the endpoint.
const RETRY_MARGIN: f64 = 0.99;

/// Minimum interval of the log lines on denied retries of a service, ms.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// Retry budgets by service.
#[derive(Debug, Default)]
pub(crate) struct RetryBudgets {
    by_service: RefCell<HashMap<String, ServiceBudget>>,
}

/// The budget of one service, with the denials that were not logged yet.
#[derive(Debug)]
struct ServiceBudget {
    budget: RetryBudget,
    /// Retries denied since the last log line.
    denied: u64,
    /// Time of the last log line.
    reported_at: Option<Millis>,
}

/// A retry that was charged to the budget of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryCharge {
    at: Millis,
}

impl Gateway {
    /// Returns the time by which retries are counted: the platform counts them while this
    /// gateway is suspended, too.
    fn retry_clock(&self) -> Millis {
        self.clock.since_boot()
    }

    /// Counts a first attempt at a service.
    pub fn count_first_attempt(&self, service: &str) {
        let now = self.retry_clock();
        self.stats.count("first_attempts", service);
        self.with_service_budget(service, |service| {
            service.budget.record_first_attempt(now);
        });
    }

    /// Charges one retry to the service's budget; returns `None` if it is exhausted.
    ///
    /// A retry counts in the window in which it is charged, so that it must be sent soon
    /// after, or returned.
    pub fn try_retry(&self, service: &str) -> Option<RetryCharge> {
        let now = self.retry_clock();
        let fleet = FleetView {
            processes: self.peers.borrow().known_gateways(),
            uptime_ms: self.uptime_ms(),
        };
        let granted = self.with_service_budget(service, |service| {
            service.budget.try_retry(&fleet, now)
        });
        if !granted {
            self.stats.count("retries_denied", service);
            self.report_denied_retry(service, now);
            return None;
        }
        self.stats.count("retries", service);
        Some(RetryCharge { at: now })
    }

    /// Returns a charged retry that was not sent.
    pub fn return_retry(&self, service: &str, charge: RetryCharge) {
        self.stats.count("retries_returned", service);
        self.with_service_budget(service, |service| {
            service.budget.return_retry(charge.at);
        });
    }

    /// Logs the denials since the last line, unless that is too recent.
    fn report_denied_retry(&self, name: &str, now: Millis) {
        let window_ms = self.retry_window_ms();
        let uptime_ms = self.uptime_ms();
        self.with_service_budget(name, |service| {
            service.denied += 1;
            let is_recent = service
                .reported_at
                .is_some_and(|at| now.since(at) < REPORT_INTERVAL_MS);
            if is_recent {
                return;
            }
            service.reported_at = Some(now);
            let denied = std::mem::take(&mut service.denied);
            let usage = service.budget.usage(now);
            warn!(
                "event=retry_denied service={name} denied={denied} retries={} first_attempts={} window_ms={window_ms} uptime_ms={uptime_ms}",
                usage.retries, usage.first_attempts,
            );
        });
    }

    fn retry_window_ms(&self) -> u64 {
        (self.settings.gateway.retry_window_s * 1_000.0) as u64
    }

    fn with_service_budget<T, F>(&self, service: &str, act: F) -> T
    where
        F: FnOnce(&mut ServiceBudget) -> T,
    {
        let mut budgets = self.retry_budgets.by_service.borrow_mut();
        if let Some(budget) = budgets.get_mut(service) {
            return act(budget);
        }
        let settings = &self.settings.gateway;
        let limits = RetryLimits {
            share: settings.retry_share * RETRY_MARGIN,
            slack: settings.retry_slack,
            window_ms: self.retry_window_ms(),
        };
        let budget = RetryBudget::new(limits, rand::rng().random());
        act(budgets.entry(service.to_owned()).or_insert(ServiceBudget {
            budget,
            denied: 0,
            reported_at: None,
        }))
    }
}
