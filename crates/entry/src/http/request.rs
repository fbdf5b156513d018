//! What the headers and the body of a request say.

use std::time::Duration;

use ::http::{HeaderMap, header};
use bytes::Bytes;
use config::TeamSpec;
use http_body_util::{BodyExt, Limited};
use store::ConfigHealth;
use volo_http::body::Body;

use crate::{Entry, RequestError, Stage, chat::RequestHead, session::SessionState};

/// Header with the caller's own request id.
pub(super) const REQUEST_ID: &str = "x-request-id";

/// Header with the session's name.
const SESSION_ID: &str = "x-session-id";

/// Header with the session's ticket.
pub(super) const SESSION_TICKET: &str = "x-session-ticket";

/// Header with the time that the caller waits, ms.
const DEADLINE_MS: &str = "x-deadline-ms";

/// Header with the request's priority, 0 to 9.
const PRIORITY: &str = "x-priority";

/// Header with the key of non-idempotent work.
pub(super) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Longest id that a caller may give, bytes.
const ID_MAX_BYTES: usize = 128;

/// Highest priority that a caller may give.
const PRIORITY_MAX: u64 = 9;

/// A header's text; one that is not plain ASCII is refused.
fn text<'a>(
    headers: &'a HeaderMap,
    name: &str,
) -> Result<Option<&'a str>, RequestError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| {
        Stage::BadRequest(format!("header {name} is not plain ASCII; correct it"))
    })?;
    Ok(Some(text))
}

/// An id that a caller chose: short, and safe in logs and paths.
pub(super) fn id<'a>(
    headers: &'a HeaderMap,
    name: &str,
) -> Result<&'a str, RequestError> {
    let Some(text) = text(headers, name)? else {
        return Ok("");
    };
    let plain =
        |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-' | b':');
    if text.is_empty() || text.len() > ID_MAX_BYTES || !text.bytes().all(plain) {
        return Err(Stage::BadRequest(format!(
            "header {name} must be 1 to {ID_MAX_BYTES} letters, digits, '.', '_', '-' or ':'"
        ))
        .into());
    }
    Ok(text)
}

fn number(
    headers: &HeaderMap,
    name: &str,
    min: u64,
    max: u64,
) -> Result<Option<u64>, RequestError> {
    let Some(text) = text(headers, name)? else {
        return Ok(None);
    };
    match text.parse::<u64>() {
        Ok(number) if (min..=max).contains(&number) => Ok(Some(number)),
        _ => Err(Stage::BadRequest(format!(
            "header {name} must be a whole number from {min} to {max}"
        ))
        .into()),
    }
}

pub(super) fn bearer(
    entry: &Entry,
    headers: &HeaderMap,
) -> Result<TeamSpec, RequestError> {
    let value = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let token = value.and_then(|value| value.strip_prefix("Bearer "));
    let team = token.and_then(|token| entry.authenticate(token));
    team.ok_or_else(|| Stage::Unauthorized.into())
}

/// What must hold before any request is looked at.
pub(super) fn check_ready(entry: &Entry) -> Result<(), RequestError> {
    if entry.node.is_draining() {
        return Err(Stage::Leaving.into());
    }
    match entry.node.health() {
        ConfigHealth::Fresh | ConfigHealth::StoreDown => Ok(()),
        ConfigHealth::Empty | ConfigHealth::CutOff => Err(Stage::NotReady.into()),
    }
}

pub(super) fn read_head(
    entry: &Entry,
    headers: &HeaderMap,
    request_id: &str,
) -> Result<RequestHead, RequestError> {
    check_ready(entry)?;
    let team = bearer(entry, headers)?;
    let settings = &entry.node.settings.entry;
    let deadline_ms = number(headers, DEADLINE_MS, 1, settings.deadline_max_ms)?;
    let ticket = text(headers, SESSION_TICKET)?;
    let session = id(headers, SESSION_ID)?;
    let session = SessionState::read(entry, &team.name, session, ticket)?;
    let priority = number(headers, PRIORITY, 0, PRIORITY_MAX)?.unwrap_or(0);
    let started = entry.node.now();
    Ok(RequestHead {
        request_id: request_id.to_owned(),
        client_id: id(headers, REQUEST_ID)?.to_owned(),
        deadline: started.plus(deadline_ms.unwrap_or(settings.deadline_ms)),
        session,
        team,
        started,
        priority: priority as u8,
    })
}

pub(super) async fn read_body(
    entry: &Entry,
    body: Body,
) -> Result<Bytes, RequestError> {
    let settings = &entry.node.settings.entry;
    let max = settings.body_max_bytes;
    let limit = Duration::from_millis(settings.body_timeout_ms);
    let collected =
        tokio::time::timeout(limit, Limited::new(body, max).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => {
            Err(Stage::BodyTooLarge(max).into())
        }
        Ok(Err(_)) | Err(_) => Err(Stage::BodyBroken.into()),
    }
}
