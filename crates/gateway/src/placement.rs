//! Chooses the endpoint, the model and the timeout of each attempt.

use catalog::RetrySafety;
use clock::Millis;
use route::{
    PickRequest, VersionFilter, WaitBounds, escalation_size, is_worth_escalating,
    is_worth_waiting,
};

use crate::{
    attempt::{Answer, InFlight, answer_deadline},
    dispatch::{Dispatch, id_str},
    quarantine::Hold,
    retry_budgets::RetryCharge,
};

/// Maximum number of endpoints that are asked a grant for, one after the other, before
/// the attempt goes to one that needs none. Those that were denied are left out until
/// their next grant, so that few requests ask that many.
const LIMITED_PICKS_MAX: usize = 32;

/// Maximum time for these questions, ms: four that are not answered.
const LIMITED_PICKS_MS: u64 = 60;

/// A step to a larger model.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Escalation {
    /// Index of the model among the route's candidates.
    pub size: usize,
    /// The retry for it, which is charged before the answer at hand is set aside.
    pub charge: RetryCharge,
}

impl Dispatch {
    /// Picks an endpoint, unless the request is held back; a resumed stream requires one
    /// of `version`.
    pub async fn pick_endpoint(&self, version: Option<&str>) -> Option<InFlight> {
        let request = self.pick_request(self.size, self.versions(version));
        // A trial of a request that is held back would be used up without an endpoint.
        if self.gateway.pool.borrow().finds_only_evacuated(&request) {
            return None;
        }
        if let Hold::HeldUntil(review_at) = self.gateway.check_hold(&self.req) {
            self.log.held_back(review_at);
            return None;
        }
        let loads = self.gateway.ask_loads(&request).await;
        let asked_at = self.gateway.now();
        for _ in 0..LIMITED_PICKS_MAX {
            if self.gateway.now().since(asked_at) >= LIMITED_PICKS_MS {
                break;
            }
            let pick = {
                let pool = self.gateway.pool.borrow();
                pool.pick_tracked(&request, &loads, self.gateway.now())?
            };
            if self.gateway.may_send(&pick.endpoint.id).await {
                return Some(InFlight::new(
                    &self.gateway,
                    pick,
                    &request,
                    &self.req.components,
                ));
            }
        }
        // Others may take the request at once, however many endpoints need a grant.
        let tried = [
            &self.tried[..],
            &self.gateway.ids_that_need_grants(&self.req),
        ];
        let tried = tried.concat();
        let request = PickRequest {
            tried: &tried,
            ..request
        };
        let pick = {
            let pool = self.gateway.pool.borrow();
            pool.pick_tracked(&request, &loads, self.gateway.now())?
        };
        let components = &self.req.components;
        Some(InFlight::new(&self.gateway, pick, &request, components))
    }

    /// Returns the versions that may serve an attempt: that of a resumed stream, or those
    /// of the assignment.
    fn versions<'a>(&'a self, resumed: Option<&'a str>) -> VersionFilter<'a> {
        match resumed {
            Some(version) => VersionFilter::Only(version),
            None => self.assignment.versions(),
        }
    }

    /// Returns when the first of the endpoints that asked for a pause takes this
    /// request again; `None` if none of them is paused.
    pub fn earliest_pause_end(&self) -> Option<Millis> {
        let request = self.pick_request(self.size, self.assignment.versions());
        let pool = self.gateway.pool.borrow();
        pool.earliest_pause_end(&request, self.gateway.now())
    }

    /// Returns whether endpoints that match the request are left out since their failure
    /// domain is evacuated.
    pub fn leaves_out_evacuated(&self) -> bool {
        let request = self.pick_request(self.size, self.assignment.versions());
        self.gateway.pool.borrow().leaves_out_evacuated(&request)
    }

    /// Counts an attempt for which no endpoint was found, if all that match are in
    /// evacuated failure domains; a resumed stream requires one of `version`.
    pub fn count_evacuated(&self, version: Option<&str>) {
        let request = self.pick_request(self.size, self.versions(version));
        if self.gateway.pool.borrow().finds_only_evacuated(&request) {
            self.gateway.stats.count("evacuated", &self.req.service);
        }
    }

    /// Whether the request can wait until `pause_end` and still be answered in time.
    pub fn can_wait_until(&self, pause_end: Millis) -> bool {
        let bounds = WaitBounds {
            started: self.req.started,
            objective_ms: self.req.route().objective_ms,
            service_ms: self
                .gateway
                .latency_baselines
                .head_ms(&self.req.route().name, self.model().unwrap_or("")),
            deadline: self.req.deadline,
        };
        is_worth_waiting(&bounds, pause_end)
    }

    /// Whether the stream could be resumed at another endpoint.
    pub fn can_fail_over(&self, in_flight: &InFlight) -> bool {
        let route = self.req.route();
        let endpoint = &in_flight.pick.endpoint;
        let versions = VersionFilter::Only(&endpoint.version);
        let tried = [&self.tried[..], std::slice::from_ref(&endpoint.id)].concat();
        let request = PickRequest {
            tried: &tried,
            ..self.pick_request(self.size, versions)
        };
        let pool = self.gateway.pool.borrow();
        route.retry_safety.is_retryable()
            && self.attempts < route.attempts_max
            && pool.pick(&request, self.gateway.now()).is_some()
    }

    /// Builds the query for an endpoint that runs the model of `size`.
    fn pick_request<'a>(
        &'a self,
        size: usize,
        versions: VersionFilter<'a>,
    ) -> PickRequest<'a> {
        PickRequest {
            service: &self.req.service,
            failure_domain: &self.gateway.settings.process.failure_domain,
            model: self.model_of(size).unwrap_or(""),
            pace: self.pace(size),
            parts: &self.req.parts,
            tokens_in: self.req.prompt.tokens_in,
            tried: &self.tried,
            versions,
        }
    }

    /// The model to request, if the caller left the choice to the gateway.
    pub fn model(&self) -> Option<&str> {
        self.model_of(self.size)
    }

    fn model_of(&self, size: usize) -> Option<&str> {
        if !self.req.any_model {
            return None;
        }
        let sizes = &self.req.route().candidate_models;
        sizes.get(size).map(String::as_str)
    }

    fn pace(&self, size: usize) -> f64 {
        if !self.req.any_model {
            return 1.0;
        }
        let sizes = self.req.route().candidate_models.len();
        self.gateway.sizes.pace(size, sizes)
    }

    /// Returns the timeout for the rest of a buffered answer after its head, ms: a body
    /// without end must leave time for another endpoint.
    pub fn body_timeout_ms(&self) -> u64 {
        let left_ms = answer_deadline(&self.req).since(self.gateway.now());
        let route = self.req.route();
        let can_retry = self.attempts + 1 < route.attempts_max;
        if !self.req.retry_safety().is_retryable() || !can_retry {
            return left_ms;
        }
        route.objective_ms.max(1).min(left_ms)
    }

    /// Returns the timeout for the head of an answer, ms.
    pub fn head_timeout_ms(&self) -> u64 {
        let now = self.gateway.now();
        let left_ms = answer_deadline(&self.req).since(now);
        let route = self.req.route();
        let can_retry = self.attempts + 1 < route.attempts_max;
        if !self.req.retry_safety().is_retryable() || !can_retry {
            return left_ms;
        }
        let head_timeout_ms = match self.req.retry_safety() {
            // Leaves time for a retry at another endpoint within the objective.
            RetrySafety::Idempotent => route.objective_ms / 2,
            _ => route.objective_ms,
        };
        head_timeout_ms.max(1).min(left_ms)
    }

    /// Returns the larger model to try instead of forwarding `answer`, if any.
    pub async fn escalation(&self, answer: &Answer) -> Option<Escalation> {
        let route = self.req.route();
        let can_retry =
            route.retry_safety.is_retryable() && self.attempts < route.attempts_max;
        if !self.req.any_model || !can_retry {
            return None;
        }
        let settings = &self.gateway.sizes;
        let confidence = answer
            .response
            .headers()
            .get(&self.gateway.names.confidence);
        let confidence = confidence.and_then(|value| value.to_str().ok());
        let confidence = confidence.and_then(|value| value.trim().parse::<f64>().ok());
        let confidence = confidence.map(|value| value.clamp(0.0, 100.0) as u8);
        let sizes = route.candidate_models.len();
        let size = escalation_size(self.size, sizes, confidence, settings)?;
        let now = self.gateway.now();
        let elapsed_ms = now.since(self.req.started);
        let predicted_ms = self.predicted_ms(size).await;
        let objective_ms = route.objective_ms;
        let left_ms = self.req.left_ms(now);
        let in_time = predicted_ms.is_some_and(|predicted_ms| {
            let answered_ms = elapsed_ms + predicted_ms;
            is_worth_escalating(answered_ms, objective_ms, left_ms, settings)
        });
        let service = &self.req.service;
        let charge = in_time.then(|| self.gateway.try_retry(service)).flatten();
        let outcome = match (predicted_ms, in_time, charge) {
            (None, ..) => "no_endpoint",
            (_, false, _) => "too_late",
            (_, _, None) => "no_retry_left",
            _ => "larger_asked",
        };
        log::info!(
            "event=answer_unsure request={} size={} confidence={} wanted={size} tokens_in={} elapsed_ms={elapsed_ms} predicted_ms={} objective_ms={objective_ms} left_ms={left_ms} outcome={outcome}",
            id_str(&self.req.id),
            self.size,
            confidence.unwrap_or_default(),
            self.req.prompt.tokens_in,
            predicted_ms.unwrap_or_default(),
        );
        charge.map(|charge| Escalation { size, charge })
    }

    /// Predicts the time to the first event of the model of `size`, ms; `None`
    /// if no endpoint is available.
    async fn predicted_ms(&self, size: usize) -> Option<u64> {
        let request = self.pick_request(size, self.assignment.versions());
        let loads = self.gateway.ask_loads(&request).await;
        let pool = self.gateway.pool.borrow();
        let pick = pool.pick_tracked(&request, &loads, self.gateway.now());
        pick.map(|pick| pick.wait_ms)
    }
}
