//! A caller's request, read and checked, ready to be sent to endpoints.

use std::rc::Rc;

use bytes::Bytes;
use catalog::{Catalog, RetrySafety, Route};
use clock::Millis;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use platform::Prompt;
use route::{digest_text, prefix_digests};

use crate::state::Gateway;

/// Longest id that is taken, characters.
const ID_MAX_CHARS: usize = 128;

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Why a request is refused before it is routed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Refusal {
    /// Status of the answer.
    pub status: StatusCode,
    /// Name for logs and counters.
    pub reason: &'static str,
}

const fn refusal(status: StatusCode, reason: &'static str) -> Refusal {
    Refusal { status, reason }
}

/// Nothing can be judged before a first configuration.
const NOT_READY: Refusal = refusal(StatusCode::SERVICE_UNAVAILABLE, "no_configuration");
const BAD_ID: Refusal = refusal(StatusCode::BAD_REQUEST, "bad_request_id");
const HEAD_TOO_LONG: Refusal =
    refusal(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "head_too_long");
const BODY_TOO_LONG: Refusal = refusal(StatusCode::PAYLOAD_TOO_LARGE, "body_too_long");
const BODY_BROKEN: Refusal = refusal(StatusCode::BAD_REQUEST, "body_broken");
const NO_ROUTE: Refusal = refusal(StatusCode::NOT_FOUND, "no_route");
const NO_KEY: Refusal = refusal(StatusCode::UNAUTHORIZED, "unknown_key");

/// A request that is to be served.
#[derive(Debug)]
pub(crate) struct Job {
    pub id: HeaderValue,
    pub method: Method,
    pub target: String,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub catalog: Rc<Catalog>,
    route_index: usize,
    pub service: String,
    pub team: Option<HeaderValue>,
    pub priority: u8,
    /// When its head was whole.
    pub started: Millis,
    /// When the caller, or the operator for it, stops waiting.
    pub deadline: Millis,
    pub parts: Vec<(u64, u32)>,
    pub prompt: Prompt,
    /// Whether the gateway names the model.
    pub any_model: bool,
    pub session: Option<u64>,
    /// Digest of the session, or of the request where it has none: what is
    /// drawn for it comes out alike at every gateway.
    pub draw: u64,
}

impl Job {
    pub fn route(&self) -> &Route {
        &self.catalog.routes[self.route_index]
    }

    pub fn repeat(&self) -> RetrySafety {
        self.route().retry_safety
    }

    /// Time left, ms.
    pub fn left_ms(&self, now: Millis) -> u64 {
        self.deadline.since(now)
    }
}

/// The id under which the request is logged, harmless in a log line.
pub(crate) fn request_id<B>(
    gateway: &Gateway,
    request: &Request<B>,
) -> Result<String, Refusal> {
    let id = request.headers().get(&gateway.names.request_id);
    let id = id.and_then(|id| id.to_str().ok()).ok_or(BAD_ID)?;
    let plain = |c: char| c.is_ascii_graphic() && !matches!(c, '"' | '=' | '\\');
    let fits = !id.is_empty() && id.len() <= ID_MAX_CHARS;
    if fits && id.chars().all(plain) {
        Ok(id.to_owned())
    } else {
        Err(BAD_ID)
    }
}

/// Reads the body and finds route, team and service.
pub(crate) async fn read_job(
    gateway: &Gateway,
    request: Request<Incoming>,
    started: Millis,
) -> Result<Job, Refusal> {
    gateway.first_beliefs().await;
    let (head, body) = request.into_parts();
    let routed = route_head(gateway, &head);
    // Read also where the head is refused: what would come of it later must not
    // be taken for the beginning of the next request.
    let limits = gateway.limits();
    let body = read_body(body, limits.body_max_bytes).await?;
    let Routed {
        catalog,
        route_index,
        team,
        priority,
    } = routed?;
    let route = &catalog.routes[route_index];

    let names = &gateway.names;
    let text = |name: &HeaderName| head.headers.get(name).and_then(|v| v.to_str().ok());
    let wait_ms = text(&names.deadline_ms).and_then(|ms| ms.trim().parse::<u64>().ok());
    let wait_ms = wait_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    let prompt = Prompt::from_headers(&head.headers, names);
    let parts = prompt.parts.iter().map(|part| (part.id, part.tokens));
    let any_model = !route.candidate_models.is_empty()
        && text(&names.model) == Some(names.any_model);
    let session = text(&names.session).map(digest_text);
    let id = head.headers.get(&names.request_id).cloned().ok_or(BAD_ID)?;
    let draw = session.unwrap_or_else(|| digest_text(id.to_str().unwrap_or_default()));
    let service = route.service_for(draw).ok_or(NO_ROUTE)?.to_owned();
    let priority = priority.unwrap_or(route.priority);
    Ok(Job {
        id,
        method: head.method,
        target: head
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str())
            .to_owned(),
        parts: prefix_digests(parts),
        headers: passed_on(&head.headers, &names.reserved),
        body,
        route_index,
        service,
        team,
        priority,
        started,
        deadline: started.plus(wait_ms),
        prompt,
        any_model,
        session,
        draw,
        catalog,
    })
}

/// What a request's head says of where it goes, by the configuration in force.
struct Routed {
    catalog: Rc<Catalog>,
    route_index: usize,
    team: Option<HeaderValue>,
    /// Priority of the team, which goes before the route's.
    priority: Option<u8>,
}

/// Finds route and team of a request, if its head is one that may pass.
fn route_head(
    gateway: &Gateway,
    head: &http::request::Parts,
) -> Result<Routed, Refusal> {
    let catalog = gateway.catalog().ok_or(NOT_READY)?;
    if head_bytes(head) > catalog.limits.head_max_bytes {
        return Err(HEAD_TOO_LONG);
    }
    let host = head.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let host = host.rsplit_once(':').map_or(host, |(host, _)| host);
    let path = head.uri.path();
    let route_index = catalog.route_index(host, path).ok_or(NO_ROUTE)?;
    let team = team(&catalog, &catalog.routes[route_index], &head.headers)?;
    let priority = team.and_then(|team| team.priority);
    let team = team.and_then(|team| HeaderValue::from_str(&team.name).ok());
    Ok(Routed {
        route_index,
        priority,
        team,
        catalog,
    })
}

fn head_bytes(head: &http::request::Parts) -> usize {
    /// Blank, colon and line end of a header; and of the first line.
    const LINE_BYTES: usize = 4;
    let target = head.uri.path_and_query().map_or(1, |t| t.as_str().len());
    let lines = head.headers.iter();
    let headers: usize = lines
        .map(|(name, value)| name.as_str().len() + value.len() + LINE_BYTES)
        .sum();
    head.method.as_str().len() + target + headers + 12
}

fn team<'a>(
    catalog: &'a Catalog,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<&'a catalog::Team>, Refusal> {
    if catalog.teams.is_empty() {
        return Ok(None);
    }
    let bearer = headers.get(header::AUTHORIZATION);
    let bearer = bearer.and_then(|value| value.to_str().ok());
    let key = bearer.and_then(|value| value.split_once(' '));
    let key = key.filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"));
    let team = key.and_then(|(_, key)| catalog.team_by_key(key.trim()));
    if team.is_none() && !route.public {
        return Err(NO_KEY);
    }
    Ok(team)
}

async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, Refusal> {
    let stated = body.size_hint().exact();
    if stated.is_some_and(|bytes| bytes > max_bytes as u64) {
        return Err(BODY_TOO_LONG);
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let collected = Limited::new(body, max_bytes).collect().await;
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(err) if err.is::<http_body_util::LengthLimitError>() => Err(BODY_TOO_LONG),
        Err(_) => Err(BODY_BROKEN),
    }
}

/// The headers without those of one connection and those that are ours to set.
fn passed_on(headers: &HeaderMap, reserved: &[HeaderName]) -> HeaderMap {
    let mut passed = headers.clone();
    strip_connection(&mut passed);
    passed.remove(header::EXPECT);
    for name in reserved {
        passed.remove(name);
    }
    passed
}

/// Removes what concerns one connection, what `Connection` names, and the
/// length, which is stated anew on the next connection.
pub(crate) fn strip_connection(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    // A caller must not have the field removed that routes it.
    for name in named.iter().filter(|name| **name != header::HOST) {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}
