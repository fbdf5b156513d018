//! Endpoints that are warming up: what this gateway learns of them and tells its peers.
//!
//! The requests to them are granted by [`Gateway::may_send`].

use std::net::SocketAddr;

use catalog::Endpoint;
use clock::Millis;
use log::{info, warn};
use platform::ColdTime;
use route::{WarmupRule, digest_text};

use crate::{
    attempt::InFlight,
    caller_request::CallerRequest,
    datagram::{Datagram, WARMUPS_MAX, WarmupNotice, WarmupReason},
    state::Gateway,
};

impl Gateway {
    /// Returns how the endpoints of a service warm up.
    fn warmup_rule(&self, service: &str) -> WarmupRule {
        let catalog = self.catalog();
        let service = catalog
            .as_ref()
            .and_then(|catalog| catalog.service(service));
        service.map_or_else(WarmupRule::default, |service| WarmupRule {
            cold_ms: service.cold_ms,
            cold_per_s: service.cold_per_s,
        })
    }

    /// Returns the requests a second that `id` takes from all gateways since it is
    /// warming up; `None` if it is not.
    pub fn cold_per_s(&self, id: &str, now: Millis) -> Option<f64> {
        let pool = self.pool.borrow();
        let rule = self.warmup_rule(&pool.get(id)?.service);
        pool.is_warming(id, rule, now).then_some(rule.cold_per_s)
    }

    /// Returns the endpoints of the request's service to which nothing may be sent
    /// without a grant.
    pub fn ids_that_need_grants(&self, req: &CallerRequest) -> Vec<String> {
        let now = self.now();
        let rule = self.warmup_rule(&req.service);
        let pool = self.pool.borrow();
        pool.ids_where(&req.service, |id| {
            pool.limit_of(id).is_some() || pool.is_warming(id, rule, now)
        })
    }

    /// Records that an endpoint answered, and for how long it said that it is cold.
    pub fn record_answer_warmup(&self, in_flight: &InFlight, cold: ColdTime) {
        let endpoint = &in_flight.pick.endpoint;
        if cold == ColdTime::Malformed {
            warn!("event=endpoint_cold_malformed endpoint={}", endpoint.id);
        }
        let rule = self.warmup_rule(&endpoint.service);
        if rule.cold_per_s <= 0.0 {
            return;
        }
        let now = self.now();
        let mut pool = self.pool.borrow_mut();
        let Some(warmup) = pool.warmup_mut(&endpoint.id, endpoint.born_ms) else {
            return;
        };
        let returned = warmup.record_answer(now);
        let reported_ms = match cold {
            ColdTime::Left(left_ms) => Some(left_ms),
            ColdTime::Absent | ColdTime::Malformed => None,
        };
        let reported_ms = reported_ms.filter(|ms| warmup.record_report(*ms, now));
        drop(pool);
        if returned {
            self.tell_warmup(endpoint, rule.cold_ms, WarmupReason::Returned);
        }
        if let Some(left_ms) = reported_ms {
            self.tell_warmup(endpoint, left_ms, WarmupReason::Reported);
        }
    }

    /// Records that an endpoint cannot be reached: it may be cold when it can be again.
    pub fn record_unreachable(&self, endpoint: &Endpoint) {
        let rule = self.warmup_rule(&endpoint.service);
        if rule.cold_per_s <= 0.0 {
            return;
        }
        let now = self.now();
        let is_news = {
            let mut pool = self.pool.borrow_mut();
            let warmup = pool.warmup_mut(&endpoint.id, endpoint.born_ms);
            warmup.is_some_and(|warmup| warmup.record_unreachable(rule.cold_ms, now))
        };
        if is_news {
            self.tell_warmup(endpoint, rule.cold_ms, WarmupReason::Assumed);
        }
    }

    fn tell_warmup(&self, endpoint: &Endpoint, left_ms: u64, reason: WarmupReason) {
        let notice = WarmupNotice::new(endpoint, left_ms, reason);
        let datagram = Datagram::Warmups(vec![notice]);
        for peer in self.peers.borrow().addresses() {
            self.send_now(peer, &datagram);
        }
    }

    /// Tells the peers that cannot read the log that an endpoint announced to be cold:
    /// they would take a new incarnation for the one that they know. One gateway does so
    /// for all.
    pub fn tell_announced_warmup(&self, id: &str) {
        let now = self.now();
        let endpoint = self.pool.borrow().get(id).cloned();
        let Some(endpoint) = endpoint.filter(|e| e.warmup_left_ms > 0) else {
            return;
        };
        let peers = self.peers.borrow();
        if !peers.is_leader(now) {
            return;
        }
        let left_ms = endpoint.warmup_left_ms;
        let notice = WarmupNotice::new(&endpoint, left_ms, WarmupReason::Reported);
        let datagram = Datagram::Warmups(vec![notice]);
        let unable = peers.fresh_statuses(now).filter(|(_, s)| !s.can_read_log);
        for (peer, _) in unable {
            self.send_now(peer, &datagram);
        }
    }

    /// Whether any endpoint is warming up.
    pub fn has_warmups(&self) -> bool {
        let pool = self.pool.borrow();
        let warming = pool.warming(|service| self.warmup_rule(service), self.now());
        !warming.is_empty()
    }

    /// Tells a peer that is new of all endpoints that are warming up.
    pub fn announce_known_warmups(&self, peer: SocketAddr) {
        let pool = self.pool.borrow();
        let warming = pool.warming(|service| self.warmup_rule(service), self.now());
        let mut notices = Vec::new();
        for (endpoint, reported_left_ms, left_ms) in warming {
            if reported_left_ms > 0 {
                let reason = WarmupReason::Reported;
                notices.push(WarmupNotice::new(endpoint, reported_left_ms, reason));
            }
            if left_ms > reported_left_ms {
                let reason = WarmupReason::Assumed;
                notices.push(WarmupNotice::new(endpoint, left_ms, reason));
            }
        }
        for part in notices.chunks(WARMUPS_MAX) {
            self.send_now(peer, &Datagram::Warmups(part.to_vec()));
        }
    }

    /// Records what a peer says of endpoints that are warming up.
    pub fn record_peer_warmups(&self, notices: &[WarmupNotice], now: Millis) {
        let mut pool = self.pool.borrow_mut();
        for notice in notices {
            let id = pool.id_of(notice.endpoint).map(str::to_owned);
            let Some(id) = id else {
                continue;
            };
            let service = pool.get(&id).map(|endpoint| endpoint.service.as_str());
            let cold_ms = self.warmup_rule(service.unwrap_or_default()).cold_ms;
            let Some(warmup) = pool.warmup_mut(&id, notice.born_ms) else {
                continue;
            };
            let left_ms = notice.left_ms;
            match notice.reason {
                WarmupReason::Reported => warmup.record_peer_report(left_ms, now),
                WarmupReason::Assumed => {
                    warmup.record_peer(left_ms, cold_ms, false, now);
                }
                WarmupReason::Returned => {
                    warmup.record_peer(left_ms, cold_ms, true, now);
                }
            }
        }
    }

    /// Logs the endpoints that began or ceased to warm up.
    pub fn log_warmups(&self, now: Millis) {
        let mut pool = self.pool.borrow_mut();
        let changes = pool.warmup_changes(|service| self.warmup_rule(service), now);
        for (id, warming) in changes {
            match warming {
                Some((grounds, left_ms)) => info!(
                    "event=endpoint_warming endpoint={id} left_ms={left_ms} source={}",
                    grounds.as_str()
                ),
                None => info!("event=endpoint_warm endpoint={id}"),
            }
        }
    }
}

impl WarmupNotice {
    fn new(endpoint: &Endpoint, left_ms: u64, reason: WarmupReason) -> Self {
        WarmupNotice {
            endpoint: digest_text(&endpoint.id),
            born_ms: endpoint.born_ms,
            left_ms,
            reason,
        }
    }
}
