//! Forwards a stream of events, and resumes it at another endpoint if it
//! breaks.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use link::Connection;
use log::info;
use route::HealthSample;

use crate::{
    attempt::{
        Answer, Failure, InFlight, KeepAlive, SILENT, answer_deadline, is_framed,
    },
    body::{ByteStream, StreamError},
    dispatch::Dispatch,
    event_framer::{EventFramer, OutOfOrder},
    rollouts::Quality,
};

/// A stream counts as stalled after a silence of this multiple of its route's
/// `pause_objective_ms`.
const STALL_PAUSES: u64 = 3;

/// Silence after which a stream counts as stalled if its route has no
/// `pause_objective_ms`, ms.
const STALL_DEFAULT_MS: u64 = 5_000;

/// The result of one read of a stream.
enum Step {
    Events(Bytes),
    End,
    Broken(&'static str),
    DeadlinePassed,
}

/// The endpoint's answer that a stream is read from.
struct Source {
    body: Incoming,
    connection: Connection,
    in_flight: InFlight,
    keep_alive: KeepAlive,
    is_framed: bool,
    has_sent_events: bool,
}

/// A stream that is being forwarded.
pub(crate) struct Relay {
    dispatch: Dispatch,
    source: Option<Source>,
    framer: EventFramer,
    /// Content type that the caller was told.
    content_type: Option<HeaderValue>,
}

/// Whether an answer may go on with a stream of this content type: an error must not be
/// forwarded in the middle of it.
fn continues(content_type: Option<&HeaderValue>, answer: &Answer) -> bool {
    let response = &answer.response;
    response.status() == StatusCode::OK
        && response.headers().get(header::CONTENT_TYPE) == content_type
}

impl Relay {
    pub fn new(
        dispatch: Dispatch,
        body: Incoming,
        connection: Connection,
        in_flight: InFlight,
        head: &HeaderMap,
    ) -> Self {
        let source = Source {
            body,
            connection,
            in_flight,
            keep_alive: KeepAlive::of(head),
            is_framed: is_framed(head),
            has_sent_events: false,
        };
        Relay {
            dispatch,
            source: Some(source),
            framer: EventFramer::default(),
            content_type: head.get(header::CONTENT_TYPE).cloned(),
        }
    }

    /// Returns the events as they arrive.
    pub fn into_stream(self) -> ByteStream {
        Box::pin(futures::stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Some(Ok(events)) => Some((Ok(events), Some(relay))),
                Some(Err(err)) => Some((Err(err), None)),
                None => None,
            }
        }))
    }

    async fn next(&mut self) -> Option<Result<Bytes, StreamError>> {
        loop {
            match self.step().await {
                Step::Events(events) => return Some(Ok(events)),
                Step::End => {
                    self.finish();
                    return None;
                }
                Step::DeadlinePassed => {
                    self.dispatch.log.ended(200, "stream_timeout");
                    return Some(Err(StreamError::Timeout));
                }
                Step::Broken(reason) => {
                    if !self.fail_over(reason).await {
                        self.dispatch.log.ended(200, "stream_broken");
                        return Some(Err(StreamError::Endpoint));
                    }
                }
            }
        }
    }

    async fn step(&mut self) -> Step {
        let stall_ms = match self.dispatch.req.route().pause_objective_ms {
            0 => STALL_DEFAULT_MS,
            pause_ms => pause_ms * STALL_PAUSES,
        };
        loop {
            let Some(source) = &mut self.source else {
                return Step::Broken("no_source");
            };
            match self.framer.take_events() {
                Some(Ok(events)) => {
                    source.in_flight.record_prefill_end();
                    source.has_sent_events = true;
                    return Step::Events(events);
                }
                Some(Err(OutOfOrder)) => return Step::Broken("out_of_order"),
                None => {}
            }
            let read_at = self.dispatch.gateway.now();
            let left_ms = answer_deadline(&self.dispatch.req).since(read_at);
            if left_ms == 0 {
                return Step::DeadlinePassed;
            }
            let limit = Duration::from_millis(stall_ms.min(left_ms));
            let frame = match tokio::time::timeout(limit, source.body.frame()).await {
                Ok(frame) => frame,
                Err(_) if left_ms <= stall_ms => return Step::DeadlinePassed,
                // An endpoint that answers other requests has only
                // deprioritized this one. If no other endpoint can resume the
                // stream, waiting is the only option.
                Err(_) if source.in_flight.last_activity() > read_at => continue,
                Err(_) if !self.dispatch.can_fail_over(&source.in_flight) => continue,
                Err(_) => return Step::Broken(SILENT),
            };
            match frame {
                Some(Ok(frame)) => {
                    source.in_flight.record_activity();
                    let bytes = frame.into_data().unwrap_or_default();
                    if !self.framer.push(&bytes) {
                        return Step::Broken("event_too_long");
                    }
                }
                Some(Err(_)) => return Step::Broken("connection_lost"),
                None if self.framer.has_partial_event() => {
                    return Step::Broken("torn_event");
                }
                // Nothing tells an end from a crash before the first event.
                None if !source.is_framed && !source.has_sent_events => {
                    return Step::Broken("ended_without_event");
                }
                None => return Step::End,
            }
        }
    }

    fn finish(&mut self) {
        if let Some(source) = self.source.take() {
            source
                .in_flight
                .record_health(HealthSample::Success, "answered");
            let gateway = &self.dispatch.gateway;
            gateway.record_sound(&self.dispatch.req, source.is_framed);
            Answer::release_connection(
                gateway,
                &source.in_flight,
                source.connection,
                source.keep_alive,
            );
        }
        self.dispatch.log.ended(200, "answered");
    }

    /// Resumes at another endpoint of the same version with the same model;
    /// returns false if that is not possible.
    ///
    /// The broken connection is closed first, which cancels the request there.
    async fn fail_over(&mut self, reason: &'static str) -> bool {
        let Some(source) = self.source.take() else {
            return false;
        };
        match reason {
            SILENT => source.in_flight.record_silence(),
            _ => source
                .in_flight
                .record_health(HealthSample::Failure, reason),
        }
        if matches!(
            reason,
            "connection_lost" | "torn_event" | "ended_without_event"
        ) {
            source.in_flight.record_cut(&self.dispatch.req, reason);
        }
        let endpoint = source.in_flight.pick.endpoint.clone();
        let gateway = &self.dispatch.gateway;
        gateway.record_outcome(&self.dispatch.req, &endpoint.version, Quality::Failed);
        drop(source);
        self.dispatch.log.attempt_failed(reason);
        self.dispatch.tried.push(endpoint.id);
        self.framer.resume();
        let dispatch = &mut self.dispatch;
        loop {
            let route = dispatch.req.route();
            let can_retry = route.retry_safety.is_retryable()
                && dispatch.attempts < route.attempts_max;
            let left_ms = answer_deadline(&dispatch.req).since(dispatch.gateway.now());
            if !can_retry || left_ms == 0 {
                return false;
            }
            let service = &dispatch.req.service;
            let Some(charge) = dispatch.gateway.try_retry(service) else {
                return false;
            };
            let Some(in_flight) = dispatch.pick_endpoint(Some(&endpoint.version)).await
            else {
                dispatch.gateway.return_retry(service, charge);
                dispatch.count_evacuated(Some(&endpoint.version));
                return false;
            };
            let id = in_flight.pick.endpoint.id.clone();
            dispatch.attempts += 1;
            let last_event = self.framer.last_event_id();
            match dispatch.attempt(in_flight, last_event, left_ms).await {
                Ok(answer) if continues(self.content_type.as_ref(), &answer) => {
                    info!("event=stream_resumed endpoint={id} reason={reason}");
                    let (head, body) = answer.response.into_parts();
                    self.source = Some(Source {
                        body,
                        connection: answer.connection,
                        in_flight: answer.in_flight,
                        keep_alive: KeepAlive::of(&head.headers),
                        is_framed: is_framed(&head.headers),
                        has_sent_events: false,
                    });
                    return true;
                }
                Ok(answer) => {
                    answer
                        .in_flight
                        .record_health(HealthSample::Failure, "error_status");
                    dispatch.log.attempt_failed("error_status");
                }
                Err(failure) => {
                    if matches!(failure, Failure::Unsent(_)) {
                        let service = &dispatch.req.service;
                        dispatch.gateway.return_retry(service, charge);
                    }
                    dispatch.log.attempt_failed(failure.reason());
                }
            }
            dispatch.tried.push(id);
        }
    }
}
