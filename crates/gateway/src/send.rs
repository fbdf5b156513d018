//! Sends a request to an endpoint, on an idle connection or a new one.

use bytes::Bytes;
use http::{HeaderValue, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use link::{Connection, ConnectionError};

use crate::{
    attempt::{
        CONNECTION_LOST, ENDPOINT_GONE, ExtraHeaders, Failure, InFlight,
        echoes_request_id,
    },
    caller_request::CallerRequest,
    state::Gateway,
};

/// Timeout for a new connection to an endpoint, ms.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// Maximum priority sent to an engine, which has ten priorities, 0 to 9.
const PRIORITY_MAX: u8 = 9;

/// A kept connection was lost with the request, which is not sent again.
const KEPT_CONNECTION_LOST: Failure = Failure::MayHaveRun("kept_link_lost");

/// Sends the request and waits for the head of its answer, on an idle connection if the
/// request may be sent again, else on a new one.
pub(crate) async fn send(
    gateway: &Gateway,
    req: &CallerRequest,
    in_flight: &InFlight,
    extra: ExtraHeaders<'_>,
) -> Result<(Response<Incoming>, Connection), Failure> {
    let kept = send_on_kept(gateway, req, in_flight, &extra).await;
    let is_lost = matches!(kept, KeptOutcome::Lost);
    match kept {
        KeptOutcome::Answered(answered) => return Ok(*answered),
        KeptOutcome::NotSent => {}
        KeptOutcome::Foreign | KeptOutcome::Lost => {
            may_send_again(gateway, req, in_flight).await?
        }
    }
    let sent = send_on_new(gateway, req, in_flight, &extra).await;
    match sent {
        // It may have been the request that ended the endpoint.
        Err(Failure::Unsent(_)) if is_lost => Err(ENDPOINT_GONE),
        sent => sent,
    }
}

/// Charges the retry of a request that may have arrived on a kept connection; fails if
/// there is none left, the endpoint takes no request or does not get another one while
/// it warms up, or this one is held back.
async fn may_send_again(
    gateway: &Gateway,
    req: &CallerRequest,
    in_flight: &InFlight,
) -> Result<(), Failure> {
    let endpoint = &in_flight.pick.endpoint;
    // The endpoint may have said something else to another request meanwhile.
    let takes_requests = {
        let pool = gateway.pool.borrow();
        pool.takes_requests(&endpoint.id, gateway.now())
            && pool.limit_of(&endpoint.id).is_none()
    };
    let is_held = gateway.held_until(req).is_some();
    if !takes_requests || is_held {
        return Err(KEPT_CONNECTION_LOST);
    }
    let service = &endpoint.service;
    let charge = gateway.try_retry(service).ok_or(KEPT_CONNECTION_LOST)?;
    if gateway.may_send(&endpoint.id).await {
        Ok(())
    } else {
        gateway.return_retry(service, charge);
        Err(KEPT_CONNECTION_LOST)
    }
}

/// What became of a request on a kept connection.
#[derive(Debug)]
enum KeptOutcome {
    /// The endpoint answered it.
    Answered(Box<(Response<Incoming>, Connection)>),
    /// There was no connection, the endpoint had closed it, or the request is not one to
    /// send on it.
    NotSent,
    /// A late answer to an earlier request was on it.
    Foreign,
    /// The endpoint closed the connection after the request was sent.
    Lost,
}

async fn send_on_kept(
    gateway: &Gateway,
    req: &CallerRequest,
    in_flight: &InFlight,
    extra: &ExtraHeaders<'_>,
) -> KeptOutcome {
    // An at-most-once request gets a new connection: after a failure on a
    // reused one, it is unknown whether the request ran.
    if !req.retry_safety().is_retryable() {
        return KeptOutcome::NotSent;
    }
    let address = in_flight.pick.endpoint.address;
    let idle = {
        let mut connections = gateway.idle_connections.borrow_mut();
        connections.take(address, gateway.now())
    };
    let Some(mut connection) = idle else {
        return KeptOutcome::NotSent;
    };
    let request = build_request(gateway, req, in_flight, extra);
    let (outcome, label) = match connection.send(request).await {
        Ok(response) if echoes_request_id(gateway, req, response.headers()) => {
            return KeptOutcome::Answered(Box::new((response, connection)));
        }
        // None of these is evidence about the endpoint's health, so the request is sent
        // on a new connection.
        Ok(_) => (KeptOutcome::Foreign, "foreign_answer"),
        Err(err) if err.is_unsent() => (KeptOutcome::NotSent, "closed"),
        Err(_) => (KeptOutcome::Lost, "lost"),
    };
    gateway.stats.count("kept_link", label);
    outcome
}

async fn send_on_new(
    gateway: &Gateway,
    req: &CallerRequest,
    in_flight: &InFlight,
    extra: &ExtraHeaders<'_>,
) -> Result<(Response<Incoming>, Connection), Failure> {
    let endpoint = &in_flight.pick.endpoint;
    gateway.stats.count("connect", &endpoint.service);
    let mut connection = Connection::open(endpoint.address, CONNECT_TIMEOUT_MS)
        .await
        .map_err(|err| Failure::Unsent(unsent_reason(&err)))?;
    let request = build_request(gateway, req, in_flight, extra);
    match connection.send(request).await {
        Ok(response) => Ok((response, connection)),
        Err(err) if err.is_unsent() => Err(Failure::Unsent(unsent_reason(&err))),
        Err(_) => Err(CONNECTION_LOST),
    }
}

fn unsent_reason(err: &ConnectionError) -> &'static str {
    match err {
        ConnectionError::ConnectTimeout(_) => "connect_timeout",
        ConnectionError::Connect(_) => "connect_refused",
        ConnectionError::Unsent | ConnectionError::Lost(_) => "closed_unsent",
    }
}

fn build_request(
    gateway: &Gateway,
    req: &CallerRequest,
    in_flight: &InFlight,
    extra: &ExtraHeaders<'_>,
) -> Request<Full<Bytes>> {
    let names = &gateway.names;
    let mut headers = req.headers.clone();
    let left_ms = req.left_ms(gateway.now());
    headers.insert(names.deadline_ms.clone(), HeaderValue::from(left_ms));
    if let Ok(id) = HeaderValue::from_str(&in_flight.pick.endpoint.id) {
        headers.insert(names.endpoint_id.clone(), id);
    }
    if let Some(team) = &req.team {
        headers.insert(names.team.clone(), team.clone());
    }
    if let Some(model) = extra.model.and_then(|m| HeaderValue::from_str(m).ok()) {
        headers.insert(names.model.clone(), model);
    }
    let last_event = extra.last_event;
    if let Some(id) = last_event.and_then(|id| HeaderValue::from_bytes(id).ok()) {
        headers.insert(names.last_event_id.clone(), id);
    }
    if req.retry_safety().is_stream() {
        let priority = req.priority.min(PRIORITY_MAX);
        headers.insert(
            names.priority.clone(),
            HeaderValue::from(u16::from(priority)),
        );
    }
    let mut request = Request::new(Full::new(Bytes::clone(&req.body)));
    *request.method_mut() = req.method.clone();
    *request.uri_mut() = req.target.parse().unwrap_or_default();
    *request.headers_mut() = headers;
    request
}
