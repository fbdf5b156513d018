//! Runs a caller's request: its attempts, retries and final answer.

use std::{pin::pin, rc::Rc, time::Duration};

use bytes::Bytes;
use catalog::Endpoint;
use clock::Millis;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use ingress::BodyError;
use route::{HealthSample, Sampling, first_size};

use crate::{
    attempt::{Answer, ExtraHeaders, Failure, InFlight, KeepAlive, attempt, is_framed},
    body::ResponseBody,
    caller_body::CallerBody,
    caller_connection::ConnectionState,
    caller_request::{CallerRequest, read_request, request_id, strip_connection},
    placement::Escalation,
    refusal::{Refusal, refuse},
    relay::Relay,
    request_log::RequestLog,
    retry_budgets::RetryCharge,
    rollouts::{Quality, RolloutAssignment},
    state::Gateway,
};

/// Maximum size of a buffered answer, bytes.
const BUFFERED_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Minimum time left until the deadline for starting an attempt, ms; with less, the
/// endpoint's work would be wasted.
const ATTEMPT_MIN_MS: u64 = 20;

/// Maximum number of refusals after which a request is still retried. Refusals do
/// not count towards `attempts_max`, since a refused attempt did not run.
const REFUSALS_MAX: u32 = 3;

/// Time for which a low-confidence answer is kept while a larger model is tried,
/// ms; equals the connect timeout of an endpoint.
const FALLBACK_HOLD_MS: u64 = 300;

/// Serves one request from its head to its answer.
pub(crate) async fn handle(
    connection: &Rc<ConnectionState>,
    request: Request<Incoming>,
    started: Millis,
) -> Response<ResponseBody> {
    let gateway = &connection.gateway;
    let id = request_id(gateway, &request);
    let logged_id = id.as_deref().unwrap_or("-");
    let log = RequestLog::new(gateway, logged_id, started);
    let (head, incoming) = request.into_parts();
    let mut body = CallerBody::new(incoming);
    let read = match id {
        Ok(_) => read_request(gateway, head, &mut body, started).await,
        Err(refusal) => Err(refusal),
    };
    match read {
        Ok(req) => {
            connection.request_received();
            Dispatch::new(gateway, req, log).run().await
        }
        Err(refusal) => refuse_caller(connection, &log, refusal, body),
    }
}

/// Refuses a request, and reads the rest of its body without keeping it.
fn refuse_caller(
    connection: &Rc<ConnectionState>,
    log: &RequestLog,
    refusal: Refusal,
    body: CallerBody,
) -> Response<ResponseBody> {
    let mut response = refuse(log, refusal);
    if body.is_unread() {
        let is_slow = refusal.status == StatusCode::REQUEST_TIMEOUT;
        if is_slow || !body.is_short() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        let max_bytes = connection.gateway.limits().body_max_bytes;
        let discarding = connection.start_discarding();
        tokio::task::spawn_local(async move {
            ingress::discard(body.into_rest(), max_bytes).await;
            drop(discarding);
        });
    }
    response
}

/// The state of one request across its attempts.
pub(crate) struct Dispatch {
    pub gateway: Rc<Gateway>,
    pub req: CallerRequest,
    pub log: RequestLog,
    /// Ids of the endpoints that are excluded from the next attempt.
    pub tried: Vec<String>,
    /// Number of attempts that count towards the route's `attempts_max`: streams,
    /// attempts to resume one, and failures after which the request may have run.
    pub attempts: u32,
    /// Number of attempts that failed without running the request.
    refusal_count: u32,
    /// Number of attempts of any result, without those that resume a stream.
    sent_count: u32,
    /// Whether an endpoint may have received any attempt. Attempts after that are retries.
    has_arrived: bool,
    /// Whether any attempt may have run.
    may_have_run: bool,
    /// The retry for the next attempt, if it has been charged already.
    reserved_retry: Option<RetryCharge>,
    /// Index of the model among the route's candidates, smallest first.
    pub size: usize,
    /// Assignment by the service's rollout, as of the last attempt.
    pub assignment: RolloutAssignment,
    /// Version of the endpoint that answered last.
    version: Option<String>,
}

impl Drop for Dispatch {
    /// Records the session's version again, since a session keeps its version for
    /// a period that starts at the end of its last request.
    fn drop(&mut self) {
        if let (Some(session), Some(version)) = (self.req.session, &self.version) {
            self.gateway
                .record_session(&self.req.service, session, version);
        }
    }
}

pub(crate) fn id_str(id: &HeaderValue) -> &str {
    id.to_str().unwrap_or_default()
}

/// A low-confidence answer that is forwarded if the attempt with a larger model
/// fails before `until`; after that it is dropped.
struct FallbackAnswer {
    answer: Box<Answer>,
    size: usize,
    until: Millis,
}

/// The outcome of one attempt.
enum AttemptOutcome {
    /// A fully buffered answer.
    Complete(Response<ResponseBody>),
    /// A stream to forward as it arrives.
    Stream(Box<Answer>),
    /// A low-confidence answer, and the step to a larger model.
    Escalate(Escalation, Box<Answer>),
    /// No answer that can be forwarded.
    Failed(Failure),
}

/// What an attempt costs.
#[derive(Clone, Copy, Debug)]
enum Charge {
    /// Nothing, since no endpoint has received the request yet.
    First,
    /// A retry.
    Retry(RetryCharge),
}

impl Dispatch {
    fn new(gateway: &Rc<Gateway>, req: CallerRequest, log: RequestLog) -> Self {
        let team = req.team.as_ref().and_then(|team| team.to_str().ok());
        log.routed(
            &req.route().name,
            team.unwrap_or("-"),
            &req.service,
            req.catalog.version,
        );
        let left_ms = req.left_ms(gateway.now());
        let sizes = req.route().candidate_models.len();
        let size = if req.retry_safety().is_retryable() {
            first_size(sizes, left_ms, &gateway.sizes)
        } else {
            // An at-most-once request is not retried, so it starts with the
            // largest model.
            sizes.saturating_sub(1)
        };
        Dispatch {
            gateway: gateway.clone(),
            req,
            log,
            tried: Vec::new(),
            attempts: 0,
            refusal_count: 0,
            sent_count: 0,
            has_arrived: false,
            may_have_run: false,
            reserved_retry: None,
            size,
            assignment: RolloutAssignment::default(),
            version: None,
        }
    }

    async fn run(mut self) -> Response<ResponseBody> {
        self.gateway.count_first_attempt(&self.req.service);
        let mut fallback: Option<FallbackAnswer> = None;
        loop {
            // A caller that can have an answer now does not wait for a better one.
            let may_wait = fallback.is_none();
            let Some((in_flight, charge)) = self.next_attempt(may_wait).await else {
                return match fallback {
                    Some(fallback) => self.relay_fallback(fallback),
                    None => self.fail(),
                };
            };
            self.sent_count += 1;
            let sent_at = self.gateway.now();
            let pick = in_flight.pick.clone();
            let endpoint = &pick.endpoint;
            let sent = self.send(in_flight, &mut fallback).await;
            if sent.is_ok() {
                self.set_version(&endpoint.version);
            }
            match &sent {
                Err(Failure::Unsent(_)) => self.return_charge(charge),
                _ => self.has_arrived = true,
            }
            let head_ms = self.gateway.now().since(sent_at);
            self.record_quality(endpoint, &sent, head_ms);
            log::debug!(
                "event=attempt_head request={} endpoint={} route={} session={} version={} tokens_in={} model={} uncached={} running={} elsewhere={} predicted_ms={} head_ms={head_ms} good={}",
                id_str(&self.req.id),
                endpoint.id,
                self.req.route().name,
                self.req
                    .session
                    .map_or("-".into(), |session| format!("{session:x}")),
                endpoint.version,
                self.req.prompt.tokens_in,
                self.size,
                pick.uncached_tokens,
                pick.running,
                pick.peer_requests,
                pick.wait_ms,
                sent.is_ok()
            );
            let outcome = match sent {
                Ok(answer) => self.classify(answer).await,
                Err(failure) => AttemptOutcome::Failed(failure),
            };
            let failure = match outcome {
                AttemptOutcome::Complete(response) => return self.finish(response),
                AttemptOutcome::Stream(answer) => return self.relay(*answer),
                AttemptOutcome::Escalate(step, answer) => {
                    self.log.attempt_failed("unsure");
                    fallback = Some(FallbackAnswer {
                        answer,
                        size: self.size,
                        until: self.gateway.now().plus(FALLBACK_HOLD_MS),
                    });
                    self.may_have_run = true;
                    self.reserved_retry = Some(step.charge);
                    self.size = step.size;
                    self.tried.clear();
                    continue;
                }
                AttemptOutcome::Failed(failure) => failure,
            };
            self.log.attempt_failed(failure.reason());
            self.exclude(pick.endpoint.id, &failure);
            if failure.may_have_run() {
                self.attempts += 1;
                self.may_have_run = true;
                if !self.req.retry_safety().is_retryable() {
                    return self.fail();
                }
            } else {
                self.refusal_count += 1;
            }
        }
    }

    /// Excludes an endpoint from the next attempts, unless it only asked for a pause:
    /// it then takes the request after that.
    fn exclude(&mut self, id: String, failure: &Failure) {
        let pool = self.gateway.pool.borrow();
        let paused = pool.is_paused(&id, self.gateway.now());
        if failure.may_have_run() || !paused {
            self.tried.push(id);
        }
    }

    /// Sends the request. A fallback answer is dropped if no answer starts
    /// before it expires.
    async fn send(
        &self,
        in_flight: InFlight,
        fallback: &mut Option<FallbackAnswer>,
    ) -> Result<Answer, Failure> {
        let mut sending = pin!(self.attempt(in_flight, None, self.head_timeout_ms()));
        if let Some(held) = fallback {
            let left_ms = held.until.since(self.gateway.now());
            let limit = Duration::from_millis(left_ms);
            if let Ok(sent) = tokio::time::timeout(limit, sending.as_mut()).await {
                return sent;
            }
        }
        *fallback = None;
        sending.await
    }

    /// Makes one attempt; a resumed stream passes the id of the last event
    /// that the caller has.
    pub async fn attempt(
        &self,
        in_flight: InFlight,
        last_event: Option<&Bytes>,
        head_timeout_ms: u64,
    ) -> Result<Answer, Failure> {
        let model = self.model();
        let endpoint = &in_flight.pick.endpoint.id;
        self.log.attempted(endpoint, model.unwrap_or("-"));
        let extra = ExtraHeaders { model, last_event };
        attempt(&self.gateway, &self.req, in_flight, extra, head_timeout_ms).await
    }

    /// Decides how to handle an answer whose head has arrived.
    async fn classify(&mut self, answer: Answer) -> AttemptOutcome {
        let streams = self.req.retry_safety().is_stream();
        if !streams || !answer.response.status().is_success() {
            return self.read_complete(answer).await;
        }
        self.attempts += 1;
        match self.escalation(&answer).await {
            Some(step) => AttemptOutcome::Escalate(step, Box::new(answer)),
            None => AttemptOutcome::Stream(Box::new(answer)),
        }
    }

    fn finish(self, response: Response<ResponseBody>) -> Response<ResponseBody> {
        let status = response.status();
        let outcome = if status.is_success() {
            "answered"
        } else {
            "endpoint_error"
        };
        self.log.ended(status.as_u16(), outcome);
        response
    }

    /// Records the version that serves the request, and so its session.
    fn set_version(&mut self, version: &str) {
        self.version = Some(version.to_owned());
        if let Some(session) = self.req.session {
            self.gateway
                .record_session(&self.req.service, session, version);
        }
    }

    /// Counts an answer's head, or a failure, as rollout evidence on its
    /// version.
    ///
    /// Only the first attempt counts: some requests fail at every endpoint, so a
    /// retry is no independent evidence. An endpoint that has just started is slow
    /// whatever its version.
    fn record_quality(
        &self,
        endpoint: &Endpoint,
        sent: &Result<Answer, Failure>,
        head_ms: u64,
    ) {
        if self.sent_count > 1 {
            return;
        }
        let quality = match sent {
            Ok(answer) if answer.response.status().is_server_error() => Quality::Failed,
            Ok(_) => {
                let model = self.model().unwrap_or("");
                let baselines = &self.gateway.latency_baselines;
                baselines.observe(self.req.route(), model, head_ms)
            }
            Err(Failure::MayHaveRun(_)) => Quality::Failed,
            Err(_) => return,
        };
        let starting = endpoint.warmup_left_ms > 0;
        if !(starting && quality == Quality::Slow) {
            self.gateway
                .record_outcome(&self.req, &endpoint.version, quality);
        }
    }

    /// Picks the endpoint of the next attempt; `None` if there is none, or if the
    /// deadline, the attempts or the retry budget are exhausted.
    ///
    /// If all endpoints asked for a pause and the request is one that `may_wait`, it
    /// waits for the end of the first pause, provided that it can then be answered in
    /// time.
    async fn next_attempt(&mut self, may_wait: bool) -> Option<(InFlight, Charge)> {
        loop {
            if !self.may_attempt() {
                return None;
            }
            // Charged again after a wait: requests that waited for the same time are
            // all sent at its end.
            let charge = self.charge_attempt()?;
            if let Some(in_flight) = self.pick_for_attempt().await {
                return Some((in_flight, charge));
            }
            self.return_charge(charge);
            if self.gateway.held_until(&self.req).is_some() {
                return None;
            }
            let Some(pause_end) = self.earliest_pause_end() else {
                self.count_evacuated(None);
                return None;
            };
            if !may_wait || !self.may_attempt() || !self.can_wait_until(pause_end) {
                return None;
            }
            let wait_ms = pause_end.since(self.gateway.now()).max(1);
            self.log.waits_for_pause(wait_ms);
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        }
    }

    /// Picks an endpoint of the version that the request is sampled for, or else of
    /// another one.
    async fn pick_for_attempt(&mut self) -> Option<InFlight> {
        let in_flight = self.assign_and_pick(self.sampling()).await;
        if in_flight.is_none() && self.sampling() == Sampling::Arrival {
            return self.assign_and_pick(Sampling::Retry).await;
        }
        in_flight
    }

    /// Assigns the request to a version and picks an endpoint of it. It is assigned
    /// for each attempt, since a rollout may have started or been halted after the
    /// last one.
    async fn assign_and_pick(&mut self, sampling: Sampling) -> Option<InFlight> {
        self.assignment = self.gateway.assign_rollout(&self.req.service, sampling);
        self.pick_endpoint(None).await
    }

    fn sampling(&self) -> Sampling {
        match self.req.session {
            Some(session) => Sampling::Session(session),
            None if self.sent_count == 0 => Sampling::Arrival,
            None => Sampling::Retry,
        }
    }

    /// Whether the deadline and the numbers of attempts allow another one.
    fn may_attempt(&self) -> bool {
        self.req.left_ms(self.gateway.now()) >= ATTEMPT_MIN_MS
            && self.attempts < self.req.route().attempts_max
            && self.refusal_count <= REFUSALS_MAX
    }

    /// Charges an attempt to the retry budget if an endpoint may have received an earlier
    /// one; returns `None` if the budget is exhausted.
    fn charge_attempt(&mut self) -> Option<Charge> {
        if let Some(charge) = self.reserved_retry.take() {
            return Some(Charge::Retry(charge));
        }
        if !self.has_arrived {
            return Some(Charge::First);
        }
        let charge = self.gateway.try_retry(&self.req.service);
        charge.map(Charge::Retry)
    }

    /// Returns the charge of an attempt that no endpoint received.
    fn return_charge(&self, charge: Charge) {
        if let Charge::Retry(charge) = charge {
            self.gateway.return_retry(&self.req.service, charge);
        }
    }

    /// Buffers an answer to its end, so that the request can be retried if the
    /// endpoint fails in the middle of the answer.
    async fn read_complete(&mut self, answer: Answer) -> AttemptOutcome {
        let Answer {
            response,
            connection,
            mut in_flight,
        } = answer;
        let (mut head, mut body) = response.into_parts();
        let keep_alive = KeepAlive::of(&head.headers);
        let limit = Duration::from_millis(self.body_timeout_ms());
        let reading = ingress::read_body(&mut body, BUFFERED_MAX_BYTES);
        let read = tokio::time::timeout(limit, reading).await;
        let Ok(Ok(body)) = read else {
            in_flight.record_health(HealthSample::Failure, "answer_broken");
            if let Ok(Err(BodyError::Broken)) = read {
                in_flight.record_cut(&self.req, "answer_broken");
            }
            return AttemptOutcome::Failed(Failure::MayHaveRun("answer_broken"));
        };
        if body.is_empty() && lacks_end(&self.req, &head) {
            in_flight.record_health(HealthSample::Failure, "answer_broken");
            in_flight.record_cut(&self.req, "answer_broken");
            return AttemptOutcome::Failed(Failure::MayHaveRun("answer_broken"));
        }
        in_flight.record_prefill_end();
        Answer::release_connection(&self.gateway, &in_flight, connection, keep_alive);
        if head.status.is_success() {
            self.gateway
                .record_sound(&self.req, is_framed(&head.headers));
        }
        let failed = head.status.is_server_error();
        let sample = if failed {
            HealthSample::Failure
        } else {
            HealthSample::Success
        };
        in_flight.record_health(sample, "error_status");
        let route = self.req.route();
        let retryable = failed
            && self.req.retry_safety().is_retryable()
            && self.attempts + 1 < route.attempts_max
            && self.req.left_ms(self.gateway.now()) >= ATTEMPT_MIN_MS;
        if retryable {
            return AttemptOutcome::Failed(Failure::MayHaveRun("endpoint_error"));
        }
        strip_connection(&mut head.headers);
        AttemptOutcome::Complete(Response::from_parts(
            head,
            ResponseBody::buffered(body),
        ))
    }

    /// Forwards a low-confidence answer because no better one is available.
    fn relay_fallback(mut self, fallback: FallbackAnswer) -> Response<ResponseBody> {
        let endpoint = &fallback.answer.in_flight.pick.endpoint;
        let version = endpoint.version.clone();
        self.log.fell_back(&endpoint.id);
        self.size = fallback.size;
        self.set_version(&version);
        self.relay(*fallback.answer)
    }

    /// Forwards a stream as it arrives.
    fn relay(self, answer: Answer) -> Response<ResponseBody> {
        let Answer {
            response,
            connection,
            in_flight,
        } = answer;
        let (mut head, body) = response.into_parts();
        let relay = Relay::new(self, body, connection, in_flight, &head.headers);
        strip_connection(&mut head.headers);
        Response::from_parts(head, ResponseBody::stream(relay.into_stream()))
    }

    fn fail(self) -> Response<ResponseBody> {
        let deadline_passed = self.req.left_ms(self.gateway.now()) < ATTEMPT_MIN_MS;
        let held_until = self.gateway.held_until(&self.req);
        let pause_end = held_until.or_else(|| self.earliest_pause_end());
        let (status, reason) = match (self.may_have_run, deadline_passed, pause_end) {
            (false, _, Some(_)) if held_until.is_some() => {
                (StatusCode::SERVICE_UNAVAILABLE, "held_back")
            }
            (false, ..) if self.leaves_out_evacuated() => {
                (StatusCode::SERVICE_UNAVAILABLE, "evacuated")
            }
            (false, _, Some(_)) => {
                (StatusCode::SERVICE_UNAVAILABLE, "endpoints_paused")
            }
            (false, _, None) => (StatusCode::SERVICE_UNAVAILABLE, "no_endpoint"),
            (true, true, _) => (StatusCode::GATEWAY_TIMEOUT, "timeout"),
            (true, false, _) => (StatusCode::BAD_GATEWAY, "endpoints_failed"),
        };
        let refusal = Refusal {
            status,
            reason,
            available_in_ms: pause_end.map(|at| at.since(self.gateway.now())),
        };
        refuse(&self.log, refusal)
    }
}

/// Returns whether a successful answer should have a body and does not tell where it
/// ends, so that an empty one may be the work of a crash.
fn lacks_end(req: &CallerRequest, head: &http::response::Parts) -> bool {
    head.status.is_success()
        && head.status != StatusCode::NO_CONTENT
        && req.method != Method::HEAD
        && !is_framed(&head.headers)
}
