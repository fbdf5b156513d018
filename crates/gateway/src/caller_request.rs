//! Reads and checks a caller's request.

use std::rc::Rc;

use catalog::{Catalog, RetrySafety, Route};
use clock::Millis;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, header};
use ingress::HeldBody;
use platform::Prompt;
use route::{StartWait, digest_text, prefix_digests};

use crate::{
    caller_body::{CallerBody, STOPPING},
    quarantine::{Components, RequestContent},
    refusal::{Refusal, refusal},
    state::Gateway,
};

/// Maximum length of a request id, bytes.
const ID_MAX_BYTES: usize = 128;

/// Hop-by-hop headers, which are not forwarded.
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

/// No request can be checked before the first configuration.
const NOT_READY: Refusal = refusal(StatusCode::SERVICE_UNAVAILABLE, "no_configuration");
const BAD_ID: Refusal = refusal(StatusCode::BAD_REQUEST, "bad_request_id");
const HEAD_TOO_LONG: Refusal =
    refusal(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "head_too_long");
const NO_ROUTE: Refusal = refusal(StatusCode::NOT_FOUND, "no_route");
const NO_KEY: Refusal = refusal(StatusCode::UNAUTHORIZED, "unknown_key");

/// A checked request, ready to be sent to endpoints.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub id: HeaderValue,
    pub method: Method,
    /// Path and query.
    pub target: String,
    pub headers: HeaderMap,
    pub body: HeldBody,
    pub catalog: Rc<Catalog>,
    route_index: usize,
    /// Service that the route selects for this request.
    pub service: String,
    /// Name of the team; `None` if no team was identified.
    pub team: Option<HeaderValue>,
    /// Priority of the team or the route; 0 is the most urgent.
    pub priority: u8,
    /// Time at which the head was complete.
    pub started: Millis,
    /// Earlier of the caller's deadline and the end of the route's timeout.
    pub deadline: Millis,
    /// For each part of the prompt: digest of the prompt up to and including the
    /// part, and the number of tokens in the part.
    pub parts: Vec<(u64, u32)>,
    /// Digests of what the request holds that may crash endpoints.
    pub components: Rc<Components>,
    pub prompt: Prompt,
    /// Whether the caller leaves the choice of the model to the gateway.
    pub any_model: bool,
    /// Digest of the session's id.
    pub session: Option<u64>,
}

impl CallerRequest {
    pub fn route(&self) -> &Route {
        &self.catalog.routes[self.route_index]
    }

    pub fn retry_safety(&self) -> RetrySafety {
        self.route().retry_safety
    }

    /// Returns the time left until the deadline, ms.
    pub fn left_ms(&self, now: Millis) -> u64 {
        self.deadline.since(now)
    }
}

/// Returns the request id, or a refusal if it is missing, too long, or contains
/// characters that would corrupt a log line.
pub(crate) fn request_id<B>(
    gateway: &Gateway,
    request: &Request<B>,
) -> Result<String, Refusal> {
    let id = request.headers().get(&gateway.names.request_id);
    let id = id.and_then(|id| id.to_str().ok()).ok_or(BAD_ID)?;
    let plain = |c: char| c.is_ascii_graphic() && !matches!(c, '"' | '=' | '\\');
    let fits = !id.is_empty() && id.len() <= ID_MAX_BYTES;
    if fits && id.chars().all(plain) {
        Ok(id.to_owned())
    } else {
        Err(BAD_ID)
    }
}

/// Reads the body and determines the route, the team and the service. Returns a
/// refusal if the request is not allowed.
pub(crate) async fn read_request(
    gateway: &Gateway,
    head: http::request::Parts,
    body: &mut CallerBody,
    started: Millis,
) -> Result<CallerRequest, Refusal> {
    let deadline_ms = deadline_ms(gateway, &head.headers);
    let is_started = gateway.has_initial_state();
    let routed = is_started.then(|| route_head(gateway, &head));
    // A request that is refused for its head takes no memory for its body.
    let routed = routed.transpose()?;
    let body_deadline = body_deadline(gateway, routed.as_ref(), deadline_ms, started);
    // Read before a wait for the configuration, since callers give up a request that
    // nobody reads.
    let body = body.read(gateway, body_deadline).await?;
    let routed = match routed {
        Some(routed) => routed,
        None => route_at_start(gateway, &head, deadline_ms).await?,
    };
    let Routed {
        catalog,
        route_index,
        team,
        priority,
    } = routed;
    let route = &catalog.routes[route_index];

    let names = &gateway.names;
    let text = |name: &HeaderName| head.headers.get(name).and_then(|v| v.to_str().ok());
    let deadline = started.plus(kept_ms(route, deadline_ms));
    let prompt = Prompt::from_headers(&head.headers, names);
    let parts = prompt.parts.iter().map(|part| (part.id, part.tokens));
    let any_model = !route.candidate_models.is_empty()
        && text(&names.model) == Some(names.any_model);
    let session = text(&names.session).map(digest_text);
    let id = head.headers.get(&names.request_id).cloned().ok_or(BAD_ID)?;
    let split_key =
        session.unwrap_or_else(|| digest_text(id.to_str().unwrap_or_default()));
    let service = route.service_for(split_key).ok_or(NO_ROUTE)?.to_owned();
    let priority = priority.unwrap_or(route.priority);
    let target = head.uri.path_and_query();
    let target = target.map_or("/", |target| target.as_str()).to_owned();
    let content = RequestContent {
        service: &service,
        method: &head.method,
        target: &target,
        team: team.as_ref(),
        body: &body,
        prompt: &prompt,
    };
    let components = Rc::new(content.components());
    let left_ms = deadline.since(gateway.now());
    if let Some(stopping) = gateway.stopping()
        && !stopping.takes_request(left_ms)
    {
        return Err(STOPPING);
    }
    Ok(CallerRequest {
        id,
        method: head.method,
        target,
        parts: prefix_digests(parts),
        components,
        headers: forwarded_headers(&head.headers, &names.reserved),
        body,
        route_index,
        service,
        team,
        priority,
        started,
        deadline,
        prompt,
        any_model,
        session,
        catalog,
    })
}

/// Waits for the first configuration and endpoints, then does as [`route_head`].
async fn route_at_start(
    gateway: &Gateway,
    head: &http::request::Parts,
    deadline_ms: Option<u64>,
) -> Result<Routed, Refusal> {
    let wait = StartWait::new(deadline_ms, gateway.settings.gateway.start_wait_ms);
    gateway.wait_for_initial_state(wait.wait_ms).await;
    if gateway.catalog().is_none() {
        return Err(Refusal {
            available_in_ms: Some(wait.return_ms),
            ..NOT_READY
        });
    }
    route_head(gateway, head)
}

/// Returns how long the caller waits for its answer, ms, if it says so.
fn deadline_ms(gateway: &Gateway, headers: &HeaderMap) -> Option<u64> {
    let text = headers.get(&gateway.names.deadline_ms)?.to_str().ok()?;
    text.trim().parse().ok()
}

/// Returns how long the caller is kept waiting at most, ms.
fn kept_ms(route: &Route, deadline_ms: Option<u64>) -> u64 {
    let timeout_ms = route.timeout_ms;
    deadline_ms.unwrap_or(timeout_ms).min(timeout_ms)
}

/// Returns until when the body may arrive: until the request's deadline. If the route is
/// not known and the caller names no deadline, it is the time for which it may be idle.
fn body_deadline(
    gateway: &Gateway,
    routed: Option<&Routed>,
    deadline_ms: Option<u64>,
    started: Millis,
) -> Millis {
    let kept_ms = match routed {
        Some(routed) => kept_ms(routed.route(), deadline_ms),
        None => deadline_ms.unwrap_or(gateway.limits().idle_timeout_ms),
    };
    started.plus(kept_ms)
}

/// Route and team of a request in the current configuration.
struct Routed {
    catalog: Rc<Catalog>,
    route_index: usize,
    team: Option<HeaderValue>,
    /// Priority of the team, which overrides the route's.
    priority: Option<u8>,
}

impl Routed {
    fn route(&self) -> &Route {
        &self.catalog.routes[self.route_index]
    }
}

/// Finds the route and the team of a request, or returns why it is refused.
fn route_head(
    gateway: &Gateway,
    head: &http::request::Parts,
) -> Result<Routed, Refusal> {
    let catalog = gateway.catalog().ok_or(NOT_READY)?;
    if head_len(head) > catalog.limits.head_max_bytes {
        return Err(HEAD_TOO_LONG);
    }
    let host = head.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let host = host.rsplit_once(':').map_or(host, |(host, _)| host);
    let path = head.uri.path();
    let route_index = catalog.route_index(host, path).ok_or(NO_ROUTE)?;
    let team = find_team(&catalog, &catalog.routes[route_index], &head.headers)?;
    let priority = team.and_then(|team| team.priority);
    let team = team.and_then(|team| HeaderValue::from_str(&team.name).ok());
    Ok(Routed {
        route_index,
        priority,
        team,
        catalog,
    })
}

fn head_len(head: &http::request::Parts) -> usize {
    /// Colon, space and line end of a header.
    const LINE_OVERHEAD_BYTES: usize = 4;
    let target = head.uri.path_and_query().map_or(1, |t| t.as_str().len());
    let lines = head.headers.iter();
    let headers: usize = lines
        .map(|(name, value)| name.as_str().len() + value.len() + LINE_OVERHEAD_BYTES)
        .sum();
    head.method.as_str().len() + target + headers + 12
}

fn find_team<'a>(
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

/// Returns the headers without hop-by-hop headers and those that only the
/// gateway sets.
fn forwarded_headers(headers: &HeaderMap, reserved: &[HeaderName]) -> HeaderMap {
    let mut passed = headers.clone();
    strip_connection(&mut passed);
    passed.remove(header::EXPECT);
    for name in reserved {
        passed.remove(name);
    }
    passed
}

/// Removes the hop-by-hop headers, the headers that `Connection` names, and
/// `Content-Length`, which is set again for the next connection.
pub(crate) fn strip_connection(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    // A caller must not be able to remove the header that routes the request.
    for name in named.iter().filter(|name| **name != header::HOST) {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}
