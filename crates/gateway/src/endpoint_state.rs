//! What endpoints say about themselves in their responses: that they are draining,
//! that they want no requests for some time, how many they take, or that they are cold.

use std::rc::Rc;

use clock::Clock;
use http::{HeaderMap, StatusCode};
use log::{info, warn};
use platform::{ColdTime, NamedLimit, RetryAfter};

use crate::{attempt::InFlight, state::Gateway};

/// Maximum pause that an endpoint can ask for, ms.  A response with a damaged
/// header must not exclude an endpoint for longer.
const PAUSE_MAX_MS: u64 = 600_000;

/// Records what the head of a response says about the endpoint that sent it.
///
/// Only a response that `is_own`, one to this request, tells of a limit or its end: a
/// late one to another request may be older than what is known.
pub(crate) fn record(
    gateway: &Rc<Gateway>,
    in_flight: &InFlight,
    is_own: bool,
    status: StatusCode,
    headers: &HeaderMap,
) {
    // Another endpoint listens at this address now.
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    if is_own {
        gateway.record_named_limit(in_flight, NamedLimit::from_headers(headers));
    }
    gateway.record_answer_warmup(in_flight, ColdTime::from_headers(headers));
    if gateway.names.is_draining(headers) {
        record_draining(gateway, in_flight);
    }
    if status == StatusCode::SERVICE_UNAVAILABLE {
        record_pause(gateway, in_flight, headers);
    }
}

fn record_draining(gateway: &Gateway, in_flight: &InFlight) {
    let endpoint = &in_flight.pick.endpoint;
    let mut pool = gateway.pool.borrow_mut();
    let Some(notice) = pool.record_draining(&endpoint.id, endpoint.born_ms) else {
        return;
    };
    info!(
        "event=endpoint_draining endpoint={} source=response",
        endpoint.id
    );
    gateway.stats.count("endpoint_draining", &endpoint.service);
    gateway.peers.borrow_mut().queue_draining(notice);
    gateway.update_pending.notify_one();
}

fn record_pause(gateway: &Gateway, in_flight: &InFlight, headers: &HeaderMap) {
    let endpoint = &in_flight.pick.endpoint;
    let asked_ms = match RetryAfter::from_headers(headers, gateway.clock.wall()) {
        RetryAfter::Absent => return,
        RetryAfter::Delay(asked_ms) => asked_ms,
        RetryAfter::Malformed => {
            warn!("event=endpoint_pause_malformed endpoint={}", endpoint.id);
            return;
        }
    };
    let pause_ms = asked_ms.min(PAUSE_MAX_MS);
    info!(
        "event=endpoint_paused endpoint={} pause_ms={pause_ms} asked_ms={asked_ms}",
        endpoint.id
    );
    gateway.stats.count("endpoint_paused", &endpoint.service);
    let until = gateway.now().plus(pause_ms);
    gateway.pool.borrow_mut().pause(&endpoint.id, until);
}
