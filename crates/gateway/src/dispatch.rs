//! From a caller's request to the answer that it gets.

use std::{pin::pin, rc::Rc, time::Duration};

use bytes::Bytes;
use clock::Millis;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use rand::RngExt;
use route::{HealthSample, first_size};

use crate::{
    attempt::{Answer, Extra, Failure, Kept, Running, attempt, last_moment},
    body::Outgoing,
    job::{Job, Refusal, read_job, request_id, strip_connection},
    record::RequestRecord,
    relay::Relay,
    state::Gateway,
    upgrades::{Quality, Track},
};

/// Largest answer that is read whole before it is passed on, bytes.
const WHOLE_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Time left below which an attempt is not worth its endpoint's work, ms.
const ATTEMPT_MIN_MS: u64 = 20;

/// Endpoints that may refuse a request, beyond its attempts that may run.
const REFUSALS_MAX: u32 = 3;

/// Time in which refused callers come back, spread evenly, s.
const RETRY_AFTER_S: std::ops::Range<f64> = 0.3..1.2;

/// Time for which an unsure answer is kept while a larger model is asked, ms:
/// as long as a connection to its endpoint may take.
const HELD_MS: u64 = 300;

/// Serves one request.
pub(crate) async fn handle(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
    started: Millis,
) -> Response<Outgoing> {
    let id = request_id(gateway, &request);
    let shown = id.as_deref().unwrap_or("-");
    let record = RequestRecord::new(gateway, shown, started);
    let read = match id {
        Ok(_) => read_job(gateway, request, started).await,
        Err(refusal) => Err(refusal),
    };
    match read {
        Ok(job) => Dispatch::new(gateway, job, record).run().await,
        Err(refusal) => refuse(&record, refusal),
    }
}

/// An answer of our own to a request that has not run and will not.
fn refuse(record: &RequestRecord, refusal: Refusal) -> Response<Outgoing> {
    record.ended(refusal.status.as_u16(), refusal.reason);
    let mut response = own_answer(refusal.status);
    let again = matches!(
        refusal.status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    let headers = response.headers_mut();
    if again {
        let after_s = rand::rng().random_range(RETRY_AFTER_S);
        if let Ok(value) = HeaderValue::from_str(&format!("{after_s:.2}")) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    // The rest of a body that was not read must not be taken for a request.
    if refusal.status == StatusCode::PAYLOAD_TOO_LARGE {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn own_answer(status: StatusCode) -> Response<Outgoing> {
    let mut response = Response::new(Outgoing::whole(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// The attempts of one request.
pub(crate) struct Dispatch {
    pub gateway: Rc<Gateway>,
    pub job: Job,
    pub record: RequestRecord,
    pub tried: Vec<String>,
    /// Attempts that may have run.
    pub attempts: u32,
    refusals: u32,
    sends: u32,
    /// Whether some attempt may have run.
    may_have_run: bool,
    /// Whether the next attempt was taken from the budget already.
    retry_taken: bool,
    /// Place of the model among the route's sizes.
    pub size: usize,
    /// Where it goes by the roll-out of its service, as of the last attempt.
    pub track: Track,
    /// Version that it ran on last.
    version: Option<String>,
}

impl Drop for Dispatch {
    /// A session keeps its version for some time from its request's end on.
    fn drop(&mut self) {
        if let (Some(session), Some(version)) = (self.job.session, &self.version) {
            self.gateway
                .note_session(&self.job.service, session, version);
        }
    }
}

pub(crate) fn shown_id(id: &HeaderValue) -> &str {
    id.to_str().unwrap_or_default()
}

/// An unsure answer that is passed on if there is no better one soon.
struct Held {
    answer: Box<Answer>,
    size: usize,
    until: Millis,
}

/// What an attempt came to.
enum Step {
    /// The answer, read to its end.
    Done(Response<Outgoing>),
    /// A stream to pass on.
    Relay(Box<Answer>),
    /// An answer to replace by one of the model of this size.
    Larger(usize, Box<Answer>),
    /// No answer to pass on.
    Failed(Failure),
}

impl Dispatch {
    fn new(gateway: &Rc<Gateway>, job: Job, record: RequestRecord) -> Self {
        let team = job.team.as_ref().and_then(|team| team.to_str().ok());
        record.routed(
            &job.route().name,
            team.unwrap_or("-"),
            &job.service,
            job.catalog.version,
        );
        let left_ms = job.left_ms(gateway.now());
        let sizes = job.route().candidate_models.len();
        let size = if job.repeat().is_retryable() {
            first_size(sizes, left_ms, &gateway.sizes)
        } else {
            // What runs once has no second try: the surest model is asked.
            sizes.saturating_sub(1)
        };
        Dispatch {
            gateway: gateway.clone(),
            job,
            record,
            tried: Vec::new(),
            attempts: 0,
            refusals: 0,
            sends: 0,
            may_have_run: false,
            retry_taken: false,
            size,
            track: Track::default(),
            version: None,
        }
    }

    async fn run(mut self) -> Response<Outgoing> {
        self.gateway.count_first(&self.job.service);
        let mut held: Option<Held> = None;
        loop {
            let Some(running) = self.next() else {
                return match held {
                    Some(held) => self.relay_held(held),
                    None => self.give_up(),
                };
            };
            self.sends += 1;
            let sent_at = self.gateway.now();
            let pick = running.pick.clone();
            let endpoint = &pick.endpoint;
            let sent = self.send(running, &mut held).await;
            if sent.is_ok() {
                self.on_version(&endpoint.version);
            }
            let head_ms = self.gateway.now().since(sent_at);
            self.see(&endpoint.version, &sent, head_ms);
            log::debug!(
                "event=attempt_head request={} endpoint={} route={} session={} version={} tokens_in={} model={} uncached={} running={} elsewhere={} predicted_ms={} head_ms={head_ms} good={}",
                shown_id(&self.job.id),
                endpoint.id,
                self.job.route().name,
                self.job
                    .session
                    .map_or("-".into(), |session| format!("{session:x}")),
                endpoint.version,
                self.job.prompt.tokens_in,
                self.size,
                pick.uncached_tokens,
                pick.running,
                pick.peer_requests,
                pick.wait_ms,
                sent.is_ok()
            );
            let step = match sent {
                Ok(answer) => self.weigh(answer).await,
                Err(failure) => Step::Failed(failure),
            };
            let failure = match step {
                Step::Done(response) => return self.done(response),
                Step::Relay(answer) => return self.relay(*answer),
                Step::Larger(size, answer) => {
                    self.record.attempt_failed("unsure");
                    held = Some(Held {
                        answer,
                        size: self.size,
                        until: self.gateway.now().plus(HELD_MS),
                    });
                    self.may_have_run = true;
                    self.retry_taken = true;
                    self.size = size;
                    self.tried.clear();
                    continue;
                }
                Step::Failed(failure) => failure,
            };
            self.record.attempt_failed(failure.reason());
            self.tried.push(pick.endpoint.id);
            if failure.may_have_run() {
                self.attempts += 1;
                self.may_have_run = true;
                if !self.job.repeat().is_retryable() {
                    return self.give_up();
                }
            } else {
                self.refusals += 1;
            }
        }
    }

    /// Sends the request; an unsure answer is given up once its time is over.
    async fn send(
        &self,
        running: Running,
        held: &mut Option<Held>,
    ) -> Result<Answer, Failure> {
        let mut sending = pin!(self.attempt(running, None, self.patience_ms()));
        if let Some(kept) = held {
            let held_ms = kept.until.since(self.gateway.now());
            let limit = Duration::from_millis(held_ms);
            if let Ok(sent) = tokio::time::timeout(limit, sending.as_mut()).await {
                return sent;
            }
        }
        *held = None;
        sending.await
    }

    /// Makes one attempt, after `last_event` where a stream goes on.
    pub async fn attempt(
        &self,
        running: Running,
        last_event: Option<&Bytes>,
        patience_ms: u64,
    ) -> Result<Answer, Failure> {
        let model = self.model();
        let endpoint = &running.pick.endpoint.id;
        self.record.attempted(endpoint, model.unwrap_or("-"));
        let extra = Extra { model, last_event };
        attempt(&self.gateway, &self.job, running, extra, patience_ms).await
    }

    /// Decides what to do with an answer whose head came.
    async fn weigh(&mut self, answer: Answer) -> Step {
        let streams = self.job.repeat().is_stream();
        if !streams || !answer.response.status().is_success() {
            return self.whole(answer).await;
        }
        self.attempts += 1;
        match self.larger_size(&answer) {
            Some(size) => Step::Larger(size, Box::new(answer)),
            None => Step::Relay(Box::new(answer)),
        }
    }

    fn done(self, response: Response<Outgoing>) -> Response<Outgoing> {
        let status = response.status();
        let outcome = if status.is_success() {
            "answered"
        } else {
            "endpoint_error"
        };
        self.record.ended(status.as_u16(), outcome);
        response
    }

    /// Notes the version that the request, and so its session, is on.
    fn on_version(&mut self, version: &str) {
        self.version = Some(version.to_owned());
        if let Some(session) = self.job.session {
            self.gateway
                .note_session(&self.job.service, session, version);
        }
    }

    /// Counts an answer's head, or a failure, for its version.
    fn see(&self, version: &str, sent: &Result<Answer, Failure>, head_ms: u64) {
        let quality = match sent {
            Ok(answer) if answer.response.status().is_server_error() => Quality::Bad,
            Ok(_) => {
                let model = self.model().unwrap_or("");
                let usual = &self.gateway.usual;
                usual.judge(&self.job.route().name, model, head_ms)
            }
            Err(Failure::MayHaveRun(_)) => Quality::Bad,
            Err(_) => return,
        };
        self.gateway.see_answer(&self.job, version, quality);
    }

    /// The next endpoint, or `None` if there is no use in another attempt.
    fn next(&mut self) -> Option<Running> {
        let now = self.gateway.now();
        let route = self.job.route();
        if self.job.left_ms(now) < ATTEMPT_MIN_MS
            || self.attempts >= route.attempts_max
            || self.refusals > REFUSALS_MAX
        {
            return None;
        }
        let taken = std::mem::take(&mut self.retry_taken);
        let first = self.sends == 0;
        if !first && !taken && !self.gateway.take_retry(&self.job.service) {
            return None;
        }
        // Anew for each attempt: an order may have come since, and a version
        // may have been found bad.
        let job = &self.job;
        self.track = self.gateway.track(&job.service, job.session, job.draw);
        self.place(None)
    }

    /// Reads an answer to its end, so that it can be replaced by another if it
    /// breaks off.
    async fn whole(&mut self, answer: Answer) -> Step {
        let Answer {
            response,
            link,
            mut running,
        } = answer;
        let (mut head, body) = response.into_parts();
        let kept = Kept::of(&head.headers);
        let left_ms = last_moment(&self.job).since(self.gateway.now());
        let limit = Duration::from_millis(left_ms);
        let reading = Limited::new(body, WHOLE_MAX_BYTES).collect();
        let read = tokio::time::timeout(limit, reading).await;
        let Ok(Ok(body)) = read else {
            running.judge(HealthSample::Failure, "answer_broken");
            return Step::Failed(Failure::MayHaveRun("answer_broken"));
        };
        running.read();
        Answer::release(&self.gateway, &running, link, kept);
        let failed = head.status.is_server_error();
        let verdict = if failed {
            HealthSample::Failure
        } else {
            HealthSample::Success
        };
        running.judge(verdict, "error_status");
        let route = self.job.route();
        let again = failed
            && self.job.repeat().is_retryable()
            && self.attempts + 1 < route.attempts_max
            && self.job.left_ms(self.gateway.now()) >= ATTEMPT_MIN_MS;
        if again {
            return Step::Failed(Failure::MayHaveRun("endpoint_error"));
        }
        strip_connection(&mut head.headers);
        Step::Done(Response::from_parts(head, Outgoing::whole(body.to_bytes())))
    }

    /// Passes an unsure answer on, since there is no better one.
    fn relay_held(mut self, held: Held) -> Response<Outgoing> {
        let endpoint = &held.answer.running.pick.endpoint;
        let version = endpoint.version.clone();
        self.record.fell_back(&endpoint.id);
        self.size = held.size;
        self.on_version(&version);
        self.relay(*held.answer)
    }

    /// Passes a stream on as it comes.
    fn relay(self, answer: Answer) -> Response<Outgoing> {
        let Answer {
            response,
            link,
            running,
        } = answer;
        let (mut head, body) = response.into_parts();
        let kept = Kept::of(&head.headers);
        strip_connection(&mut head.headers);
        let relay = Relay::new(self, body, link, running, kept);
        Response::from_parts(head, Outgoing::pieces(relay.into_pieces()))
    }

    fn give_up(self) -> Response<Outgoing> {
        let late = self.job.left_ms(self.gateway.now()) < ATTEMPT_MIN_MS;
        let (status, reason) = match (self.may_have_run, late) {
            (false, _) => (StatusCode::SERVICE_UNAVAILABLE, "no_endpoint"),
            (true, true) => (StatusCode::GATEWAY_TIMEOUT, "timeout"),
            (true, false) => (StatusCode::BAD_GATEWAY, "endpoints_failed"),
        };
        refuse(&self.record, Refusal { status, reason })
    }
}
