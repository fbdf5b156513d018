//! Parses and validates request headers and bodies.

use ::http::{HeaderMap, header};
use clock::Millis;
use config::TeamSpec;
use ingress::{BodyError, HeldBody, ReadError};
use store::ConfigHealth;
use volo_http::body::Body;

use crate::{
    Entry, ErrorKind, RequestError, chat::RequestContext, session::SessionState,
};

/// Header with the caller's request id.
pub(super) const REQUEST_ID: &str = "x-request-id";

/// Header with the session name.
const SESSION_ID: &str = "x-session-id";

/// Header with the session ticket.
pub(super) const SESSION_TICKET: &str = "x-session-ticket";

/// Header with the request's deadline, ms from its arrival.
const DEADLINE_MS: &str = "x-deadline-ms";

/// Header with the request's priority, 0 to 9.
const PRIORITY: &str = "x-priority";

/// Header with the idempotency key of a service call.
pub(super) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Maximum length of an id chosen by a caller, bytes.
const ID_MAX_BYTES: usize = 128;

/// Highest priority a caller can set.
const PRIORITY_MAX: u64 = 9;

/// Returns the text of a header. Values other than visible ASCII are rejected.
fn header_text<'a>(
    headers: &'a HeaderMap,
    name: &str,
) -> Result<Option<&'a str>, RequestError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| {
        ErrorKind::BadRequest(format!("header {name} is not plain ASCII; correct it"))
    })?;
    Ok(Some(text))
}

/// Returns an id chosen by the caller, or an empty string. Restricted to
/// characters that are safe in logs and paths.
pub(super) fn header_id<'a>(
    headers: &'a HeaderMap,
    name: &str,
) -> Result<&'a str, RequestError> {
    let Some(text) = header_text(headers, name)? else {
        return Ok("");
    };
    let is_allowed =
        |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-' | b':');
    if text.is_empty() || text.len() > ID_MAX_BYTES || !text.bytes().all(is_allowed) {
        return Err(ErrorKind::BadRequest(format!(
            "header {name} must be 1 to {ID_MAX_BYTES} letters, digits, '.', '_', '-' or ':'"
        ))
        .into());
    }
    Ok(text)
}

fn header_number(
    headers: &HeaderMap,
    name: &str,
    min: u64,
    max: u64,
) -> Result<Option<u64>, RequestError> {
    let Some(text) = header_text(headers, name)? else {
        return Ok(None);
    };
    match text.parse::<u64>() {
        Ok(number) if (min..=max).contains(&number) => Ok(Some(number)),
        _ => Err(ErrorKind::BadRequest(format!(
            "header {name} must be a whole number from {min} to {max}"
        ))
        .into()),
    }
}

pub(super) fn authenticate(
    entry: &Entry,
    headers: &HeaderMap,
) -> Result<TeamSpec, RequestError> {
    let value = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let token = value.and_then(|value| value.strip_prefix("Bearer "));
    let team = token.and_then(|token| entry.authenticate(token));
    team.ok_or_else(|| ErrorKind::Unauthorized.into())
}

/// Checks that this entry accepts requests: it is not shutting down and its
/// configuration is usable.
pub(super) fn check_ready(entry: &Entry) -> Result<(), RequestError> {
    if entry.node.is_draining() {
        return Err(ErrorKind::Draining.into());
    }
    match entry.node.health() {
        ConfigHealth::Fresh | ConfigHealth::StoreDown => Ok(()),
        ConfigHealth::Empty | ConfigHealth::CutOff => Err(ErrorKind::NotReady.into()),
    }
}

pub(super) fn read_context(
    entry: &Entry,
    headers: &HeaderMap,
    request_id: &str,
) -> Result<RequestContext, RequestError> {
    check_ready(entry)?;
    let team = authenticate(entry, headers)?;
    let settings = &entry.node.settings.entry;
    let deadline_ms = header_number(headers, DEADLINE_MS, 1, settings.deadline_max_ms)?;
    let ticket = header_text(headers, SESSION_TICKET)?;
    let session = header_id(headers, SESSION_ID)?;
    let session = SessionState::from_headers(entry, &team.name, session, ticket)?;
    let priority = header_number(headers, PRIORITY, 0, PRIORITY_MAX)?.unwrap_or(0);
    let started = entry.node.now();
    Ok(RequestContext {
        request_id: request_id.to_owned(),
        caller_request_id: header_id(headers, REQUEST_ID)?.to_owned(),
        deadline: started.plus(deadline_ms.unwrap_or(settings.deadline_ms)),
        session,
        team,
        started,
        priority: priority as u8,
    })
}

/// Reads a body until its timeout or the request's deadline, whichever is first.
pub(super) async fn read_body(
    entry: &Entry,
    mut body: Body,
    deadline: Millis,
) -> Result<HeldBody, RequestError> {
    let settings = &entry.node.settings.entry;
    let max = settings.body_max_bytes;
    let timeout = entry.node.now().plus(settings.body_timeout_ms);
    let read = entry.bodies.read(&mut body, max, deadline.min(timeout));
    read.await.map_err(|err| {
        let kind = match err {
            ReadError::Body(BodyError::TooLong) => ErrorKind::BodyTooLarge(max),
            ReadError::Body(BodyError::Broken) | ReadError::TooSlow => {
                ErrorKind::BodyIncomplete
            }
            ReadError::NoRoom | ReadError::GaveWay => ErrorKind::BodyNoRoom,
        };
        kind.into()
    })
}
