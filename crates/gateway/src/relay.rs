//! Passes a stream of events on, and goes on elsewhere if it breaks off.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use link::Connection;
use log::info;
use route::HealthSample;

use crate::{
    attempt::{Answer, Kept, Running, last_moment},
    body::{Cut, Pieces},
    dispatch::Dispatch,
    events::EventCutter,
    upgrades::Quality,
};

/// A silent stream is given up after this many of its route's longest pauses.
const SILENT_PAUSES: u64 = 3;

/// Silence after which a stream is given up whose route names no pause, ms.
const SILENT_MS: u64 = 5_000;

/// What the next look at a stream brought.
enum Next {
    Events(Bytes),
    End,
    Broken(&'static str),
    Late,
}

/// The place where a stream comes from now.
struct Source {
    body: Incoming,
    link: Connection,
    running: Running,
    kept: Kept,
}

/// A stream under way.
pub(crate) struct Relay {
    dispatch: Dispatch,
    source: Option<Source>,
    cutter: EventCutter,
}

impl Relay {
    pub fn new(
        dispatch: Dispatch,
        body: Incoming,
        link: Connection,
        running: Running,
        kept: Kept,
    ) -> Self {
        let source = Source {
            body,
            link,
            running,
            kept,
        };
        Relay {
            dispatch,
            source: Some(source),
            cutter: EventCutter::default(),
        }
    }

    /// The events, as they come.
    pub fn into_pieces(self) -> Pieces {
        Box::pin(futures::stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Some(Ok(events)) => Some((Ok(events), Some(relay))),
                Some(Err(cut)) => Some((Err(cut), None)),
                None => None,
            }
        }))
    }

    async fn next(&mut self) -> Option<Result<Bytes, Cut>> {
        loop {
            match self.look().await {
                Next::Events(events) => return Some(Ok(events)),
                Next::End => {
                    self.end();
                    return None;
                }
                Next::Late => {
                    self.dispatch.record.ended(200, "stream_timeout");
                    return Some(Err(Cut::Timeout));
                }
                Next::Broken(reason) => {
                    if !self.go_on_elsewhere(reason).await {
                        self.dispatch.record.ended(200, "stream_broken");
                        return Some(Err(Cut::Endpoint));
                    }
                }
            }
        }
    }

    async fn look(&mut self) -> Next {
        let silent_ms = match self.dispatch.job.route().pause_objective_ms {
            0 => SILENT_MS,
            pause_ms => pause_ms * SILENT_PAUSES,
        };
        loop {
            let Some(source) = &mut self.source else {
                return Next::Broken("no_source");
            };
            if let Some(events) = self.cutter.take() {
                source.running.read();
                return Next::Events(events);
            }
            let asked_at = self.dispatch.gateway.now();
            let left_ms = last_moment(&self.dispatch.job).since(asked_at);
            if left_ms == 0 {
                return Next::Late;
            }
            let limit = Duration::from_millis(silent_ms.min(left_ms));
            let frame = match tokio::time::timeout(limit, source.body.frame()).await {
                Ok(frame) => frame,
                Err(_) if left_ms <= silent_ms => return Next::Late,
                // An endpoint that answers others has only put this one back,
                // and where nobody else can go on, it is waited for.
                Err(_) if source.running.last_heard() > asked_at => continue,
                Err(_) if !self.dispatch.can_move(&source.running) => continue,
                Err(_) => return Next::Broken("silent"),
            };
            match frame {
                Some(Ok(frame)) => {
                    source.running.heard();
                    let bytes = frame.into_data().unwrap_or_default();
                    if !self.cutter.push(&bytes) {
                        return Next::Broken("event_too_long");
                    }
                }
                Some(Err(_)) => return Next::Broken("connection_lost"),
                None if self.cutter.is_torn() => return Next::Broken("torn_event"),
                None => return Next::End,
            }
        }
    }

    fn end(&mut self) {
        if let Some(source) = self.source.take() {
            source.running.judge(HealthSample::Success, "answered");
            let gateway = &self.dispatch.gateway;
            Answer::release(gateway, &source.running, source.link, source.kept);
        }
        self.dispatch.record.ended(200, "answered");
    }

    /// Goes on at another endpoint of the same version with the same model.
    ///
    /// The broken connection is closed first, so that the run before ends.
    async fn go_on_elsewhere(&mut self, reason: &'static str) -> bool {
        let Some(source) = self.source.take() else {
            return false;
        };
        source.running.judge(HealthSample::Failure, reason);
        let endpoint = source.running.pick.endpoint.clone();
        let gateway = &self.dispatch.gateway;
        gateway.see_answer(&self.dispatch.job, &endpoint.version, Quality::Bad);
        drop(source);
        self.dispatch.record.attempt_failed(reason);
        self.dispatch.tried.push(endpoint.id);
        self.cutter.drop_torn();
        let dispatch = &mut self.dispatch;
        loop {
            let route = dispatch.job.route();
            let may = route.retry_safety.is_retryable()
                && dispatch.attempts < route.attempts_max
                && dispatch.gateway.take_retry(&dispatch.job.service);
            let left_ms = last_moment(&dispatch.job).since(dispatch.gateway.now());
            if !may || left_ms == 0 {
                return false;
            }
            let Some(running) = dispatch.place(Some(&endpoint.version)) else {
                return false;
            };
            let id = running.pick.endpoint.id.clone();
            dispatch.attempts += 1;
            let last_event = self.cutter.last_id();
            match dispatch.attempt(running, last_event, left_ms).await {
                Ok(answer) if answer.response.status() == StatusCode::OK => {
                    info!("event=stream_resumed endpoint={id} reason={reason}");
                    let (head, body) = answer.response.into_parts();
                    self.source = Some(Source {
                        body,
                        link: answer.link,
                        running: answer.running,
                        kept: Kept::of(&head.headers),
                    });
                    return true;
                }
                Ok(answer) => {
                    answer.running.judge(HealthSample::Failure, "error_status");
                    dispatch.record.attempt_failed("error_status");
                }
                Err(failure) => dispatch.record.attempt_failed(failure.reason()),
            }
            dispatch.tried.push(id);
        }
    }
}
