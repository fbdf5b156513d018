//! Where a request goes next, with which model, and how long it is waited for.

use catalog::RetrySafety;
use route::{PickRequest, VersionFilter, escalation_size, is_worth_escalating};

use crate::{
    attempt::{Answer, Running, last_moment},
    dispatch::{Dispatch, shown_id},
};

impl Dispatch {
    /// Picks an endpoint, of `version` where a stream has to stay on it.
    pub fn place(&self, version: Option<&str>) -> Option<Running> {
        let versions = match version {
            Some(version) => VersionFilter::Only(version),
            None => self.track.versions(),
        };
        let ask = self.ask(self.size, versions);
        let pick = self.gateway.pool.borrow().pick(&ask, self.gateway.now())?;
        Some(Running::new(&self.gateway, pick, &ask))
    }

    /// Whether a stream at `running` could go on at another endpoint.
    pub fn can_move(&self, running: &Running) -> bool {
        let route = self.job.route();
        let endpoint = &running.pick.endpoint;
        let versions = VersionFilter::Only(&endpoint.version);
        let tried = [&self.tried[..], std::slice::from_ref(&endpoint.id)].concat();
        let ask = PickRequest {
            tried: &tried,
            ..self.ask(self.size, versions)
        };
        let pool = self.gateway.pool.borrow();
        route.retry_safety.is_retryable()
            && self.attempts < route.attempts_max
            && pool.pick(&ask, self.gateway.now()).is_some()
    }

    /// What the model of `size` would ask of an endpoint.
    fn ask<'a>(&'a self, size: usize, versions: VersionFilter<'a>) -> PickRequest<'a> {
        PickRequest {
            service: &self.job.service,
            failure_domain: &self.gateway.settings.process.failure_domain,
            model: self.model_of(size).unwrap_or(""),
            pace: self.pace(size),
            parts: &self.job.parts,
            tokens_in: self.job.prompt.tokens_in,
            tried: &self.tried,
            versions,
        }
    }

    /// Model that the gateway names, if the choice is its.
    pub fn model(&self) -> Option<&str> {
        self.model_of(self.size)
    }

    fn model_of(&self, size: usize) -> Option<&str> {
        if !self.job.any_model {
            return None;
        }
        let sizes = &self.job.route().candidate_models;
        sizes.get(size).map(String::as_str)
    }

    fn pace(&self, size: usize) -> f64 {
        if !self.job.any_model {
            return 1.0;
        }
        let sizes = self.job.route().candidate_models.len();
        self.gateway.sizes.pace(size, sizes)
    }

    /// How long to wait for the head of an answer, ms.
    pub fn patience_ms(&self) -> u64 {
        let now = self.gateway.now();
        let all_ms = last_moment(&self.job).since(now);
        let route = self.job.route();
        let more = self.attempts + 1 < route.attempts_max;
        if !self.job.repeat().is_retryable() || !more {
            return all_ms;
        }
        let patience_ms = match self.job.repeat() {
            // Another endpoint can still answer it within the objective.
            RetrySafety::Idempotent => route.objective_ms / 2,
            _ => route.objective_ms,
        };
        patience_ms.max(1).min(all_ms)
    }

    /// The size to ask instead of passing `answer` on, if any.
    pub fn larger_size(&self, answer: &Answer) -> Option<usize> {
        let route = self.job.route();
        let again =
            route.retry_safety.is_retryable() && self.attempts < route.attempts_max;
        if !self.job.any_model || !again {
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
        let elapsed_ms = now.since(self.job.started);
        let predicted_ms = self.predicted_ms(size);
        let objective_ms = route.objective_ms;
        let left_ms = self.job.left_ms(now);
        let in_time = predicted_ms.is_some_and(|predicted_ms| {
            let answered_ms = elapsed_ms + predicted_ms;
            is_worth_escalating(answered_ms, objective_ms, left_ms, settings)
        });
        // Taken before the answer at hand is given up for a better one.
        let asked = in_time && self.gateway.take_retry(&self.job.service);
        let outcome = match (predicted_ms, in_time, asked) {
            (None, ..) => "no_endpoint",
            (_, false, _) => "too_late",
            (_, _, false) => "no_retry_left",
            _ => "larger_asked",
        };
        log::info!(
            "event=answer_unsure request={} size={} confidence={} wanted={size} tokens_in={} elapsed_ms={elapsed_ms} predicted_ms={} objective_ms={objective_ms} left_ms={left_ms} outcome={outcome}",
            shown_id(&self.job.id),
            self.size,
            confidence.unwrap_or_default(),
            self.job.prompt.tokens_in,
            predicted_ms.unwrap_or_default(),
        );
        asked.then_some(size)
    }

    /// Predicted time to the first event of the model of `size`, ms, if any
    /// endpoint may be asked.
    fn predicted_ms(&self, size: usize) -> Option<u64> {
        let ask = self.ask(size, self.track.versions());
        let pool = self.gateway.pool.borrow();
        let pick = pool.pick(&ask, self.gateway.now());
        pick.map(|pick| pick.wait_ms)
    }
}
