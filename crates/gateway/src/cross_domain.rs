//! Records what is sent to other failure domains, where that has a price.

use std::{cell::RefCell, collections::HashMap};

use log::info;
use route::{Pick, PickRequest};

use crate::state::Gateway;

/// Assumed size of an answer of a route that has not answered yet, bytes: about 100
/// events of 55 to 330 bytes.
const ANSWER_BYTES: f64 = 20_000.0;

/// Weight of one answer in the moving average of a route.
const ANSWER_WEIGHT: f64 = 0.05;

/// Maximum number of routes whose answers are averaged.
const ROUTES_MAX: usize = 1_024;

/// Moving average of the sizes of answers, bytes, by route.
#[derive(Debug, Default)]
pub(crate) struct AnswerSizes {
    means: RefCell<HashMap<String, f64>>,
}

impl AnswerSizes {
    /// Returns the expected size of an answer, bytes.
    pub fn expected(&self, route: &str) -> u64 {
        let means = self.means.borrow();
        means.get(route).copied().unwrap_or(ANSWER_BYTES) as u64
    }

    /// Records a complete answer.
    pub fn record(&self, route: &str, bytes: u64) {
        let bytes = bytes as f64;
        let mut means = self.means.borrow_mut();
        if let Some(mean) = means.get_mut(route) {
            *mean += ANSWER_WEIGHT * (bytes - *mean);
        } else if means.len() < ROUTES_MAX {
            means.insert(route.to_owned(), bytes);
        }
    }
}

impl Gateway {
    /// Records a request with a body of `body_bytes` that is sent to the picked endpoint.
    pub fn record_domains(
        &self,
        request: &PickRequest<'_>,
        pick: &Pick,
        body_bytes: usize,
    ) {
        let Some(offers) = &pick.offers else {
            return;
        };
        if let Some(reason) = pick.cross_domain {
            self.stats.count("cross_domain", reason.as_str());
            let bytes = body_bytes as u64;
            self.stats.add("cross_domain_bytes", "sent", bytes);
        }
        let now = self.now();
        let mut pool = self.pool.borrow_mut();
        for change in pool.record_offers(request, offers, now) {
            info!(
                "event=domain_share service={} domain={} before={:.2} share={:.2}",
                change.service, change.domain, change.before, change.share
            );
        }
    }

    /// Records a part of an answer.
    pub fn record_answer_part(&self, pick: &Pick, bytes: usize) {
        if pick.cross_domain.is_some() {
            let bytes = bytes as u64;
            self.stats.add("cross_domain_bytes", "received", bytes);
        }
    }
}
