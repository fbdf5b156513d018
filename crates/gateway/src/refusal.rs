//! The gateway's own answers to requests that have not run and will not.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use rand::RngExt;

use crate::{body::ResponseBody, request_log::RequestLog};

/// Range of the `Retry-After` value of refused requests, s, counted from the time at
/// which an endpoint is known to take requests again; it is drawn uniformly, to spread
/// the callers' retries.
const RETRY_AFTER_S: std::ops::Range<f64> = 0.3..1.2;

/// Why the gateway itself refuses a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Refusal {
    /// Status code of the answer.
    pub status: StatusCode,
    /// Reason for logs and metrics.
    pub reason: &'static str,
    /// Time until an endpoint takes requests again, ms, if that is known.
    pub available_in_ms: Option<u64>,
}

/// A refusal that tells no time at which to return.
pub(crate) const fn refusal(status: StatusCode, reason: &'static str) -> Refusal {
    Refusal {
        status,
        reason,
        available_in_ms: None,
    }
}

/// Builds the gateway's own answer to a request that has not run and will not.
pub(crate) fn refuse(log: &RequestLog, refusal: Refusal) -> Response<ResponseBody> {
    log.ended(refusal.status.as_u16(), refusal.reason);
    let mut response = empty_response(refusal.status);
    let retryable = matches!(
        refusal.status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    let headers = response.headers_mut();
    if retryable {
        let available_in_s = refusal.available_in_ms.unwrap_or(0) as f64 / 1_000.0;
        let after_s = available_in_s + rand::rng().random_range(RETRY_AFTER_S);
        set_retry_after(headers, after_s);
    }
    response
}

fn set_retry_after(headers: &mut HeaderMap, after_s: f64) {
    if let Ok(value) = HeaderValue::from_str(&format!("{after_s:.2}")) {
        headers.insert(header::RETRY_AFTER, value);
    }
}

fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::buffered(Bytes::new()));
    *response.status_mut() = status;
    response
}
