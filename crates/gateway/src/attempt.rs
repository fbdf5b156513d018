//! One attempt: a request to one endpoint, and the head of its answer.

use std::{
    pin::{Pin, pin},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use clock::Millis;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use link::{Connection, ConnectionError};
use route::{HealthSample, Pick, PickRequest};

use crate::{job::Job, state::Gateway};

/// Longest wait for a new connection to an endpoint, ms.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// Rank of requests that name none, in the middle of an engine's ten.
const PRIORITY_MAX: u8 = 9;

/// Why an attempt gave no answer to pass on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    /// Nothing was sent.
    Unsent(&'static str),
    /// The endpoint says that it did not run the request.
    NotRun(&'static str),
    /// It may have run.
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

/// What to send besides the caller's own request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Extra<'a> {
    /// Model, where the gateway names it.
    pub model: Option<&'a str>,
    /// Last event that the caller has, where a stream goes on.
    pub last_event: Option<&'a Bytes>,
}

/// A request under way at an endpoint, for the number of those; the endpoint
/// counts as free again when this is dropped.
pub(crate) struct Running {
    gateway: Rc<Gateway>,
    pub pick: Pick,
    pace: f64,
    reading: bool,
}

impl Running {
    pub fn new(gateway: &Rc<Gateway>, pick: Pick, ask: &PickRequest<'_>) -> Self {
        let now = gateway.now();
        let id = &pick.endpoint.id;
        let mut pool = gateway.pool.borrow_mut();
        let sent = pool.record_dispatch(id, ask, pick.uncached_tokens, now);
        drop(pool);
        if sent.is_some_and(|sent| gateway.peers.borrow_mut().note_sent(sent)) {
            gateway.news.notify_one();
        }
        Running {
            gateway: gateway.clone(),
            pace: ask.pace,
            pick,
            reading: true,
        }
    }

    /// Takes that the endpoint has read the prompt.
    pub fn read(&mut self) {
        if std::mem::replace(&mut self.reading, false) {
            let mut pool = self.gateway.pool.borrow_mut();
            pool.record_prefill_end(
                &self.pick.endpoint.id,
                self.pick.uncached_tokens,
                self.pace,
            );
        }
    }

    /// Takes that the endpoint gave a sign of life.
    pub fn heard(&self) {
        let now = self.gateway.now();
        let mut pool = self.gateway.pool.borrow_mut();
        pool.record_activity(&self.pick.endpoint.id, now);
    }

    /// When the endpoint last gave a sign of life.
    pub fn last_heard(&self) -> Millis {
        let pool = self.gateway.pool.borrow();
        let heard = pool.last_activity(&self.pick.endpoint.id);
        heard.unwrap_or_default()
    }

    /// Takes how the attempt went.
    pub fn judge(&self, verdict: HealthSample, reason: &str) {
        let now = self.gateway.now();
        let id = &self.pick.endpoint.id;
        let out_ms = self
            .gateway
            .pool
            .borrow_mut()
            .record_health(id, verdict, now);
        if let Some(out_ms) = out_ms {
            self.gateway.stats.count("endpoint_out", reason);
            log::warn!(
                "event=endpoint_out endpoint={id} reason={reason} out_ms={out_ms}"
            );
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.read();
        self.gateway
            .pool
            .borrow_mut()
            .record_end(&self.pick.endpoint.id);
    }
}

/// The head of an endpoint's answer, and what its body comes on.
pub(crate) struct Answer {
    pub response: Response<Incoming>,
    pub link: Connection,
    pub running: Running,
}

impl Answer {
    /// Gives the connection back for another request, once the body has been
    /// read to its end.
    pub fn release(gateway: &Gateway, running: &Running, link: Connection, kept: Kept) {
        let Kept::For(stated_s) = kept else {
            return;
        };
        let now = gateway.now();
        let address = running.pick.endpoint.address;
        let mut links = gateway.links.borrow_mut();
        links.keep(address, link, stated_s, now);
    }
}

/// Whether an endpoint keeps its connection open after an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kept {
    /// It closes it.
    Closed,
    /// It keeps it, for so many seconds where it says so.
    For(Option<u64>),
}

impl Kept {
    pub fn of(headers: &HeaderMap) -> Self {
        let connection = headers.get(header::CONNECTION);
        let connection = connection.and_then(|value| value.to_str().ok());
        if connection.is_some_and(|value| value.to_ascii_lowercase().contains("close"))
        {
            return Kept::Closed;
        }
        let stated = headers
            .get("keep-alive")
            .and_then(|value| value.to_str().ok());
        let stated = stated.and_then(|value| {
            let mut items = value.split(',').map(str::trim);
            items.find_map(|item| item.strip_prefix("timeout=")?.trim().parse().ok())
        });
        Kept::For(stated)
    }
}

/// Sends the request and waits for the answer's head.
///
/// An endpoint that has given no sign of life, on any request, for
/// `patience_ms` is given up.  One that answers others has this request in its
/// queue, where it would only lose its place by going elsewhere.
pub(crate) async fn attempt(
    gateway: &Rc<Gateway>,
    job: &Job,
    running: Running,
    extra: Extra<'_>,
    patience_ms: u64,
) -> Result<Answer, Failure> {
    let sent = {
        let sending = pin!(send(gateway, job, &running, extra));
        match answer_in_time(gateway, job, &running, sending, patience_ms).await {
            Some(sent) => sent,
            None => {
                running.judge(HealthSample::Failure, "silent");
                return Err(Failure::MayHaveRun("silent"));
            }
        }
    };
    if !matches!(sent, Err(Failure::Unsent(_))) {
        running.heard();
    }
    let (response, link) = sent.inspect_err(|failure| {
        let verdict = match failure {
            Failure::Unsent(_) => HealthSample::Unreachable,
            Failure::NotRun(_) => HealthSample::Full,
            Failure::MayHaveRun(_) => HealthSample::Failure,
        };
        running.judge(verdict, failure.reason());
    })?;
    check(gateway, job, &response, &running)?;
    Ok(Answer {
        response,
        link,
        running,
    })
}

/// The answer, or `None` once its endpoint is given up.
async fn answer_in_time<F>(
    gateway: &Gateway,
    job: &Job,
    running: &Running,
    mut sending: Pin<&mut F>,
    patience_ms: u64,
) -> Option<F::Output>
where
    F: Future,
{
    let mut since = gateway.now();
    let last = last_moment(job);
    loop {
        let until = since.plus(patience_ms).min(last);
        let wait_ms = until.since(gateway.now());
        let limit = Duration::from_millis(wait_ms);
        if let Ok(sent) = tokio::time::timeout(limit, sending.as_mut()).await {
            return Some(sent);
        }
        let heard = running.last_heard();
        if until >= last || !job.repeat().is_stream() || heard <= since {
            return None;
        }
        since = heard;
    }
}

async fn send(
    gateway: &Gateway,
    job: &Job,
    running: &Running,
    extra: Extra<'_>,
) -> Result<(Response<Incoming>, Connection), Failure> {
    let endpoint = &running.pick.endpoint;
    // What runs once gets a connection of its own: on a kept one that fails,
    // nobody could tell whether it ran.
    let kept = if job.repeat().is_retryable() {
        let mut links = gateway.links.borrow_mut();
        links.take(endpoint.address, gateway.now())
    } else {
        None
    };
    if let Some(mut link) = kept {
        let request = request(gateway, job, running, &extra);
        match link.send(request).await {
            Ok(response) if echoes(gateway, job, response.headers()) => {
                return Ok((response, link));
            }
            // A late second answer to what was asked before, or the endpoint
            // closed meanwhile: says nothing of it, and a fresh one tells.
            Ok(_) => gateway.stats.count("kept_link", "foreign_answer"),
            Err(err) if err.is_unsent() => gateway.stats.count("kept_link", "closed"),
            Err(_) => gateway.stats.count("kept_link", "lost"),
        }
        // It may have arrived, so that another send counts as a repeat.
        if !gateway.take_retry(&endpoint.service) {
            return Err(Failure::MayHaveRun("kept_link_lost"));
        }
    }
    gateway.stats.count("connect", &endpoint.service);
    let mut link = Connection::open(endpoint.address, CONNECT_TIMEOUT_MS)
        .await
        .map_err(|err| Failure::Unsent(unsent_reason(&err)))?;
    let request = request(gateway, job, running, &extra);
    match link.send(request).await {
        Ok(response) => Ok((response, link)),
        Err(err) if err.is_unsent() => Err(Failure::Unsent(unsent_reason(&err))),
        Err(_) => Err(Failure::MayHaveRun("connection_lost")),
    }
}

fn unsent_reason(err: &ConnectionError) -> &'static str {
    match err {
        ConnectionError::ConnectTimeout(_) => "connect_timeout",
        ConnectionError::Connect(_) => "connect_refused",
        ConnectionError::Unsent | ConnectionError::Lost(_) => "closed_unsent",
    }
}

fn request(
    gateway: &Gateway,
    job: &Job,
    running: &Running,
    extra: &Extra<'_>,
) -> Request<Full<Bytes>> {
    let names = &gateway.names;
    let mut headers = job.headers.clone();
    let left_ms = job.left_ms(gateway.now());
    headers.insert(names.deadline_ms.clone(), HeaderValue::from(left_ms));
    if let Ok(id) = HeaderValue::from_str(&running.pick.endpoint.id) {
        headers.insert(names.endpoint_id.clone(), id);
    }
    if let Some(team) = &job.team {
        headers.insert(names.team.clone(), team.clone());
    }
    if let Some(model) = extra.model.and_then(|m| HeaderValue::from_str(m).ok()) {
        headers.insert(names.model.clone(), model);
    }
    let last_event = extra.last_event;
    if let Some(id) = last_event.and_then(|id| HeaderValue::from_bytes(id).ok()) {
        headers.insert(names.last_event_id.clone(), id);
    }
    if job.repeat().is_stream() {
        let priority = job.priority.min(PRIORITY_MAX);
        headers.insert(
            names.priority.clone(),
            HeaderValue::from(u16::from(priority)),
        );
    }
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.target.parse().unwrap_or_default();
    *request.headers_mut() = headers;
    request
}

fn echoes(gateway: &Gateway, job: &Job, headers: &HeaderMap) -> bool {
    headers.get(&gateway.names.request_id) == Some(&job.id)
}

/// Whether a head is the answer to this request, and says that it ran.
fn check(
    gateway: &Gateway,
    job: &Job,
    response: &Response<Incoming>,
    running: &Running,
) -> Result<(), Failure> {
    let names = &gateway.names;
    let status = response.status();
    let headers = response.headers();
    if headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST
    {
        if status == StatusCode::MISDIRECTED_REQUEST {
            running.judge(HealthSample::Unreachable, "other_endpoint");
            return Err(Failure::NotRun("other_endpoint"));
        }
        running.judge(HealthSample::Full, "full");
        return Err(Failure::NotRun("full"));
    }
    if !echoes(gateway, job, headers) {
        running.judge(HealthSample::Failure, "foreign_answer");
        return Err(Failure::MayHaveRun("foreign_answer"));
    }
    if status.is_success() && !headers.contains_key(&names.signature) {
        running.judge(HealthSample::Failure, "unsigned_answer");
        return Err(Failure::MayHaveRun("unsigned_answer"));
    }
    Ok(())
}

/// Time for an answer that its endpoint gives at the deadline itself, ms.
const ANSWER_SLACK_MS: u64 = 100;

/// When the wait for an answer ends.
pub(crate) fn last_moment(job: &Job) -> Millis {
    job.deadline.plus(ANSWER_SLACK_MS)
}
