//! Sends one attempt to one endpoint and waits for the head of its answer.

use std::{
    cell::Cell,
    pin::{Pin, pin},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use clock::Millis;
use http::{HeaderMap, Response, StatusCode, header};
use hyper::body::Incoming;
use link::Connection;
use route::{HealthSample, Pick, PickRequest, Pool, RunKey, digest_text};

use crate::{
    caller_request::CallerRequest,
    datagram::RunEvent,
    endpoint_state,
    quarantine::{Components, RequestTrace},
    send::send,
    state::Gateway,
};

/// Why an attempt returned no answer that can be forwarded. The text is the reason
/// in logs and metrics.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    /// The request was not sent.
    Unsent(&'static str),
    /// The endpoint reported that it did not run the request.
    NotRun(&'static str),
    /// The endpoint may have run the request.
    MayHaveRun(&'static str),
}

impl Failure {
    pub fn reason(&self) -> &'static str {
        match self {
            Failure::Unsent(reason)
            | Failure::NotRun(reason)
            | Failure::MayHaveRun(reason) => reason,
        }
    }

    pub fn may_have_run(&self) -> bool {
        matches!(self, Failure::MayHaveRun(_))
    }
}

/// Reason of an attempt that is given up because the endpoint sends nothing.
pub(crate) const SILENT: &str = "silent";

/// The endpoint closed the connection after the request was sent.
pub(crate) const CONNECTION_LOST: Failure = Failure::MayHaveRun("connection_lost");

/// The endpoint closed a kept connection after the request was sent, and accepts no new
/// one.
pub(crate) const ENDPOINT_GONE: Failure = Failure::MayHaveRun("endpoint_gone");

/// Headers that an attempt adds to the caller's request.
#[derive(Clone, Debug, Default)]
pub(crate) struct ExtraHeaders<'a> {
    /// Model to request; `None` if the caller chose it.
    pub model: Option<&'a str>,
    /// Id of the last event forwarded to the caller, if a stream is resumed.
    pub last_event: Option<&'a Bytes>,
}

/// A request in progress at an endpoint. It counts towards the endpoint's load
/// until it is dropped.
pub(crate) struct InFlight {
    gateway: Rc<Gateway>,
    pub pick: Pick,
    /// When the endpoint was picked.
    pub started: Millis,
    pace: f64,
    prefilling: bool,
    /// Digest of the endpoint's id.
    endpoint_digest: u64,
    /// Identifies the run at the endpoint's tracker; `None` if it is not tracked.
    run: Option<RunKey>,
    /// See [`CallerRequest::components`].
    components: Rc<Components>,
    /// Whether it is known what became of the request at the endpoint.
    is_settled: Cell<bool>,
}

impl InFlight {
    pub fn new(
        gateway: &Rc<Gateway>,
        pick: Pick,
        request: &PickRequest<'_>,
        components: &Rc<Components>,
    ) -> Self {
        let now = gateway.now();
        let id = &pick.endpoint.id;
        let mut pool = gateway.pool.borrow_mut();
        let sent = pool.record_dispatch(id, request, pick.uncached_tokens, now);
        let endpoint_digest = pool.digest_of(id).unwrap_or_default();
        drop(pool);
        let run = (!request.parts.is_empty()).then(|| gateway.load.next_run());
        if let Some(key) = run {
            let event = RunEvent::Started {
                tokens: (f64::from(pick.uncached_tokens) * request.pace) as u32,
                prefixes: Pool::shared_prefixes(request),
            };
            gateway.report_run(endpoint_digest, key, event);
        }
        if sent.is_some_and(|sent| gateway.peers.borrow_mut().queue_dispatch(sent)) {
            gateway.update_pending.notify_one();
        }
        gateway.stats.start_in_domain(&pick.endpoint.failure_domain);
        InFlight {
            gateway: gateway.clone(),
            started: now,
            pace: request.pace,
            pick,
            prefilling: true,
            endpoint_digest,
            run,
            components: components.clone(),
            is_settled: Cell::new(false),
        }
    }

    /// Returns what the endpoint got and when its work on it ended, for reports on
    /// crashes.
    pub fn trace(&self, at: Millis) -> RequestTrace {
        let endpoint = &self.pick.endpoint;
        RequestTrace {
            service: digest_text(&endpoint.service),
            version: digest_text(&endpoint.version),
            endpoint: self.endpoint_digest,
            born_ms: endpoint.born_ms,
            components: self.components.clone(),
            at,
        }
    }

    /// Returns the gateway that sent the request.
    pub fn gateway(&self) -> &Gateway {
        &self.gateway
    }

    /// Records that the endpoint has processed the prompt; only the first call has
    /// an effect.
    pub fn record_prefill_end(&mut self) {
        if std::mem::replace(&mut self.prefilling, false) {
            let mut pool = self.gateway.pool.borrow_mut();
            pool.record_prefill_end(
                &self.pick.endpoint.id,
                self.pick.uncached_tokens,
                self.pace,
            );
            drop(pool);
            if let Some(key) = self.run {
                let gateway = &self.gateway;
                gateway.report_run(self.endpoint_digest, key, RunEvent::PrefillEnded);
            }
        }
    }

    /// Records that the endpoint has just sent data.
    pub fn record_activity(&self) {
        let now = self.gateway.now();
        let mut pool = self.gateway.pool.borrow_mut();
        pool.record_activity(&self.pick.endpoint.id, now);
    }

    /// Returns when the endpoint last sent data for any request.
    pub fn last_activity(&self) -> Millis {
        let pool = self.gateway.pool.borrow();
        let heard = pool.last_activity(&self.pick.endpoint.id);
        heard.unwrap_or_default()
    }

    /// Returns the time since the endpoint was picked, ms.
    pub fn since_start_ms(&self) -> u64 {
        self.gateway.now().since(self.started)
    }

    /// Adds the attempt's result to the endpoint's health. `reason` is logged if the
    /// endpoint is taken out of use.
    pub fn record_health(&self, sample: HealthSample, reason: &str) {
        self.is_settled.set(true);
        if sample == HealthSample::Unreachable {
            self.gateway.report_crash(self);
            self.gateway.record_unreachable(&self.pick.endpoint);
        }
        self.add_health(sample, reason);
    }

    /// Like [`InFlight::record_health`] for an endpoint that has sent nothing for too
    /// long: it may still be at work on the request, or crash under it.
    pub fn record_silence(&self) {
        self.add_health(HealthSample::Failure, SILENT);
    }

    fn add_health(&self, sample: HealthSample, reason: &str) {
        let now = self.gateway.now();
        let id = &self.pick.endpoint.id;
        let out_ms = self
            .gateway
            .pool
            .borrow_mut()
            .record_health(id, sample, now);
        if let Some(out_ms) = out_ms {
            self.gateway.stats.count("endpoint_out", reason);
            log::warn!(
                "event=endpoint_out endpoint={id} reason={reason} out_ms={out_ms}"
            );
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        // The end implies that of the prefill for the tracker.
        let run = self.run.take();
        self.record_prefill_end();
        if let Some(key) = run {
            let gateway = &self.gateway;
            gateway.report_run(self.endpoint_digest, key, RunEvent::Ended);
        }
        self.gateway
            .pool
            .borrow_mut()
            .record_end(&self.pick.endpoint.id);
        let domain = &self.pick.endpoint.failure_domain;
        self.gateway.stats.end_in_domain(domain);
        if !self.is_settled.get() {
            self.gateway.remember_abandoned(self);
        }
    }
}

/// The head of an endpoint's answer, with the connection that carries its
/// body.
pub(crate) struct Answer {
    pub response: Response<Incoming>,
    pub connection: Connection,
    pub in_flight: InFlight,
}

impl Answer {
    /// Returns a connection whose response body has been read to its end to the
    /// idle connections, unless the endpoint closes it.
    pub fn release_connection(
        gateway: &Gateway,
        in_flight: &InFlight,
        connection: Connection,
        keep_alive: KeepAlive,
    ) {
        let KeepAlive::Open(timeout_s) = keep_alive else {
            return;
        };
        let now = gateway.now();
        let address = in_flight.pick.endpoint.address;
        let mut connections = gateway.idle_connections.borrow_mut();
        let idle_max = gateway.idle_max(&in_flight.pick.endpoint.service);
        connections.keep(address, connection, idle_max, timeout_s, now);
    }
}

/// Returns whether the body of an answer tells its own end, by a length or in chunks.
/// Another one ends with its connection, which may also mean that the endpoint crashed.
pub(crate) fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Whether an endpoint keeps its connection open after an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum KeepAlive {
    /// The endpoint closes the connection.
    Closed,
    /// The endpoint keeps it open, for this many seconds if it states a
    /// timeout.
    Open(Option<u64>),
}

impl KeepAlive {
    pub fn of(headers: &HeaderMap) -> Self {
        let connection = headers.get(header::CONNECTION);
        let connection = connection.and_then(|value| value.to_str().ok());
        if connection.is_some_and(|value| value.to_ascii_lowercase().contains("close"))
        {
            return KeepAlive::Closed;
        }
        let timeout_s = headers
            .get("keep-alive")
            .and_then(|value| value.to_str().ok());
        let timeout_s = timeout_s.and_then(|value| {
            let mut items = value.split(',').map(str::trim);
            items.find_map(|item| item.strip_prefix("timeout=")?.trim().parse().ok())
        });
        KeepAlive::Open(timeout_s)
    }
}

/// Sends the request and waits for the head of the answer.
///
/// Fails if the endpoint has sent no data for any request for `head_timeout_ms`. An
/// endpoint that answers other requests has queued this one, and a retry at another
/// endpoint would only lose its position in the queue.
pub(crate) async fn attempt(
    gateway: &Rc<Gateway>,
    req: &CallerRequest,
    in_flight: InFlight,
    extra: ExtraHeaders<'_>,
    head_timeout_ms: u64,
) -> Result<Answer, Failure> {
    let sent = {
        let sending = pin!(send(gateway, req, &in_flight, extra));
        match wait_for_answer(gateway, req, &in_flight, sending, head_timeout_ms).await
        {
            Some(sent) => sent,
            None => {
                in_flight.record_silence();
                return Err(Failure::MayHaveRun(SILENT));
            }
        }
    };
    if sent.is_ok() {
        in_flight.record_activity();
    }
    let (response, connection) = sent.inspect_err(|failure| {
        let sample = match failure {
            Failure::Unsent(_) | &ENDPOINT_GONE => HealthSample::Unreachable,
            Failure::NotRun(_) => HealthSample::Full,
            Failure::MayHaveRun(_) => HealthSample::Failure,
        };
        in_flight.record_health(sample, failure.reason());
        if matches!(failure, &CONNECTION_LOST | &ENDPOINT_GONE) {
            in_flight.record_cut(req, failure.reason());
        }
    })?;
    let headers = response.headers();
    let is_own = echoes_request_id(gateway, req, headers);
    endpoint_state::record(gateway, &in_flight, is_own, response.status(), headers);
    check_answer(gateway, req, &response, &in_flight)?;
    Ok(Answer {
        response,
        connection,
        in_flight,
    })
}

/// Waits for the answer; returns `None` if it times out.
async fn wait_for_answer<F>(
    gateway: &Gateway,
    req: &CallerRequest,
    in_flight: &InFlight,
    mut sending: Pin<&mut F>,
    head_timeout_ms: u64,
) -> Option<F::Output>
where
    F: Future,
{
    let mut since = gateway.now();
    let last = answer_deadline(req);
    loop {
        let until = since.plus(head_timeout_ms).min(last);
        let wait_ms = until.since(gateway.now());
        let limit = Duration::from_millis(wait_ms);
        if let Ok(sent) = tokio::time::timeout(limit, sending.as_mut()).await {
            return Some(sent);
        }
        let last_activity = in_flight.last_activity();
        if until >= last || last_activity <= since {
            return None;
        }
        since = last_activity;
    }
}

pub(crate) fn echoes_request_id(
    gateway: &Gateway,
    req: &CallerRequest,
    headers: &HeaderMap,
) -> bool {
    headers.get(&gateway.names.request_id) == Some(&req.id)
}

/// Whether callers take the status as a promise that their request did not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Checks that the response belongs to this request, is signed if successful, and
/// does not report that the request did not run.
fn check_answer(
    gateway: &Gateway,
    req: &CallerRequest,
    response: &Response<Incoming>,
    in_flight: &InFlight,
) -> Result<(), Failure> {
    let names = &gateway.names;
    let status = response.status();
    let headers = response.headers();
    // A refusal too may be one of an earlier request, written once more.
    if !echoes_request_id(gateway, req, headers) {
        in_flight.record_health(HealthSample::Failure, "foreign_answer");
        return Err(Failure::MayHaveRun("foreign_answer"));
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        in_flight.record_health(HealthSample::Unreachable, "other_endpoint");
        return Err(Failure::NotRun("other_endpoint"));
    }
    if headers.contains_key(&names.not_run) {
        in_flight.record_health(HealthSample::Full, "full");
        return Err(Failure::NotRun("full"));
    }
    // The status would promise the caller that the request did not run, which the endpoint
    // did not say. One that may be repeated is safe with that.
    if !req.retry_safety().is_retryable() && promises_not_run(status) {
        in_flight.record_health(HealthSample::Failure, "false_refusal");
        return Err(Failure::MayHaveRun("false_refusal"));
    }
    if status.is_success() && !headers.contains_key(&names.signature) {
        in_flight.record_health(HealthSample::Failure, "unsigned_answer");
        return Err(Failure::MayHaveRun("unsigned_answer"));
    }
    Ok(())
}

/// Time after the deadline for which an answer is still accepted, ms, since an
/// endpoint may answer exactly at the deadline.
const ANSWER_GRACE_MS: u64 = 100;

/// Returns when the wait for an answer ends.
pub(crate) fn answer_deadline(req: &CallerRequest) -> Millis {
    req.deadline.plus(ANSWER_GRACE_MS)
}
