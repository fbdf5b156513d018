//! Writes a log line for each decision on a request.

use std::{cell::RefCell, rc::Rc};

use clock::Millis;
use log::{info, warn};

use crate::state::Gateway;

/// Logs the end of a request exactly once. A request that is dropped before
/// its end was abandoned by its caller.
pub(crate) struct RequestLog {
    gateway: Rc<Gateway>,
    started: Millis,
    fields: RefCell<Fields>,
}

#[derive(Clone, Debug, Default)]
struct Fields {
    id: String,
    route: String,
    team: String,
    service: String,
    endpoint: String,
    model: String,
    attempts: u32,
    config: u64,
    ended: bool,
}

impl RequestLog {
    pub fn new(gateway: &Rc<Gateway>, id: &str, started: Millis) -> Self {
        RequestLog {
            gateway: gateway.clone(),
            started,
            fields: RefCell::new(Fields {
                id: id.to_owned(),
                ..Fields::default()
            }),
        }
    }

    /// Records the route, the team, the service and the configuration's
    /// version.
    pub fn routed(&self, route: &str, team: &str, service: &str, config: u64) {
        let mut fields = self.fields.borrow_mut();
        fields.route = route.to_owned();
        fields.team = team.to_owned();
        fields.service = service.to_owned();
        fields.config = config;
    }

    /// Records the endpoint and the model of an attempt.
    pub fn attempted(&self, endpoint: &str, model: &str) {
        let mut fields = self.fields.borrow_mut();
        fields.endpoint = endpoint.to_owned();
        fields.model = model.to_owned();
        fields.attempts += 1;
    }

    /// Logs that an attempt did not complete the request.
    pub fn attempt_failed(&self, reason: &str) {
        let fields = self.fields.borrow();
        let ms = self.gateway.now().since(self.started);
        self.gateway.stats.count("attempt_failed", reason);
        info!(
            "event=attempt_failed request={} endpoint={} model={} attempt={} reason={reason} ms={ms}",
            fields.id, fields.endpoint, fields.model, fields.attempts
        );
    }

    /// Logs that the request waits because all its endpoints asked for a pause.
    pub fn waits_for_pause(&self, wait_ms: u64) {
        let fields = self.fields.borrow();
        let ms = self.gateway.now().since(self.started);
        self.gateway.stats.count("waited", "endpoints_paused");
        info!(
            "event=request_waits request={} reason=endpoints_paused wait_ms={wait_ms} ms={ms}",
            fields.id
        );
    }

    /// Logs that the request is not sent, since endpoints are assumed to crash on it.
    pub fn held_back(&self, review_at: Millis) {
        let fields = self.fields.borrow();
        let review_in_ms = review_at.since(self.gateway.now());
        self.gateway.stats.count("held_back", &fields.service);
        info!(
            "event=request_held_back request={} service={} attempts={} review_in_ms={review_in_ms}",
            fields.id, fields.service, fields.attempts
        );
    }

    /// Logs that the low-confidence answer of `endpoint` is forwarded, because no
    /// better one is available.
    pub fn fell_back(&self, endpoint: &str) {
        let mut fields = self.fields.borrow_mut();
        fields.endpoint = endpoint.to_owned();
        self.gateway.stats.count("fell_back", "unsure_answer");
        info!(
            "event=fell_back request={} endpoint={endpoint} attempts={}",
            fields.id, fields.attempts
        );
    }

    /// Logs the request's end.
    pub fn ended(&self, status: u16, outcome: &str) {
        let mut fields = self.fields.borrow_mut();
        if std::mem::replace(&mut fields.ended, true) {
            return;
        }
        let ms = self.gateway.now().since(self.started);
        let stats = &self.gateway.stats;
        stats.count("requests", outcome);
        stats.time("request_ms", &fields.route, ms);
        let line = format!(
            "event=request request={} status={status} outcome={outcome} ms={ms} route={} team={} service={} endpoint={} model={} attempts={} config={}",
            fields.id,
            fields.route,
            fields.team,
            fields.service,
            fields.endpoint,
            fields.model,
            fields.attempts,
            fields.config,
        );
        if outcome == "answered" {
            info!("{line}");
        } else {
            warn!("{line}");
        }
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        self.ended(0, "caller_left");
    }
}
