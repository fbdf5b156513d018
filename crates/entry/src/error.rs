//! Errors returned to callers.

use ::http::StatusCode;
use displaydoc::Display;
use route::{AdmissionError, PickError, SelectionError, TicketError};
use serde::Serialize;
use wire::{Execution, Refusal};

/// Retry delay reported to callers when the entry itself is the cause, ms.
const ENTRY_RETRY_AFTER_MS: u64 = 1_000;

/// Cause of a failed request. The doc comment of a variant is the message that
/// the caller receives.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ErrorKind {
    /// the bearer token is missing or unknown; send `authorization: Bearer TOKEN`
    Unauthorized,
    /// the request body is longer than {0} bytes; shorten it
    BodyTooLarge(usize),
    /// the request body is incomplete or timed out; send it again
    BodyIncomplete,
    /// the bodies of other requests leave no room for this one; retry later
    BodyNoRoom,
    /// {0}
    BadRequest(String),
    /// unknown path; see the guide for callers
    NotFound,
    /// this entry is shutting down; send the request again, and the load balancer selects another
    Draining,
    /// this entry has no current configuration; send the request again, and the load balancer selects another
    NotReady,
    /// the log has been unavailable for too long to hold more bills; retry later
    BillsFull,
    /// {0}
    Admission(AdmissionError),
    /// {0}
    Selection(SelectionError),
    /// {0}
    Ticket(TicketError),
    /// {0}
    NoRunner(PickError),
    /// {remedy}
    Refused {
        /// Reason code from the agent.
        reason: String,
        /// Suggested action.
        remedy: String,
        /// Time to wait before a retry, ms; 0 if none is suggested.
        retry_after_ms: u64,
    },
    /// the deadline passed; use a longer deadline, or query the outcome
    DeadlineExceeded,
    /// the endpoints failed: {0}; check `ran` before sending the request again
    EndpointsFailed(String),
    /// it is not known whether the call ran; query its outcome at {0}
    OutcomeUnknown(String),
}

impl From<Refusal> for ErrorKind {
    fn from(refusal: Refusal) -> Self {
        ErrorKind::Refused {
            reason: refusal.reason,
            remedy: refusal.remedy,
            retry_after_ms: u64::from(refusal.retry_after_ms),
        }
    }
}

/// Error returned to the caller, with what is known about whether the request
/// ran.
#[derive(Clone, Debug, derive_more::Display, Eq, PartialEq)]
#[display("{kind}")]
pub struct RequestError {
    /// Cause of the failure.
    pub kind: ErrorKind,
    /// Whether the request ran.
    pub ran: Execution,
}

impl std::error::Error for RequestError {}

impl From<ErrorKind> for RequestError {
    /// Creates the error of a request that was never sent to an endpoint.
    fn from(kind: ErrorKind) -> Self {
        RequestError {
            kind,
            ran: Execution::NotRun,
        }
    }
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    code: &'a str,
    message: String,
    ran: Execution,
    retry_after_ms: Option<u64>,
    request_id: &'a str,
}

impl RequestError {
    /// Stable error code in the response body.
    pub fn code(&self) -> &str {
        match &self.kind {
            ErrorKind::Unauthorized => "unauthorized",
            ErrorKind::BodyTooLarge(_) => "body_too_large",
            ErrorKind::BodyIncomplete => "body_broken",
            ErrorKind::BodyNoRoom => "body_no_room",
            ErrorKind::BadRequest(_) => "bad_request",
            ErrorKind::NotFound => "not_found",
            ErrorKind::Draining => "entry_leaving",
            ErrorKind::NotReady => "entry_not_ready",
            ErrorKind::BillsFull => "bills_full",
            ErrorKind::Admission(err) => err.code(),
            ErrorKind::Selection(err) => err.code(),
            ErrorKind::Ticket(_) => "bad_ticket",
            ErrorKind::NoRunner(_) => "no_runner",
            ErrorKind::Refused { reason, .. } => reason,
            ErrorKind::DeadlineExceeded => "deadline",
            ErrorKind::EndpointsFailed(_) => "endpoints_failed",
            ErrorKind::OutcomeUnknown(_) => "outcome_unknown",
        }
    }

    /// HTTP status of the response.
    pub fn status(&self) -> StatusCode {
        match &self.kind {
            ErrorKind::Unauthorized => StatusCode::UNAUTHORIZED,
            ErrorKind::BodyTooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            ErrorKind::BodyIncomplete
            | ErrorKind::BadRequest(_)
            | ErrorKind::Ticket(_) => StatusCode::BAD_REQUEST,
            ErrorKind::NotFound => StatusCode::NOT_FOUND,
            ErrorKind::Admission(_) => StatusCode::TOO_MANY_REQUESTS,
            ErrorKind::Selection(err) => selection_status(err),
            ErrorKind::Refused { reason, .. } => refused_status(reason),
            ErrorKind::Draining
            | ErrorKind::NotReady
            | ErrorKind::BodyNoRoom
            | ErrorKind::BillsFull
            | ErrorKind::NoRunner(_) => StatusCode::SERVICE_UNAVAILABLE,
            ErrorKind::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            ErrorKind::EndpointsFailed(_) | ErrorKind::OutcomeUnknown(_) => {
                StatusCode::BAD_GATEWAY
            }
        }
    }

    /// Time to wait before a retry, ms, if a retry can succeed.
    pub fn retry_after_ms(&self) -> Option<u64> {
        match &self.kind {
            ErrorKind::Admission(err) => Some(err.retry_after_ms()),
            ErrorKind::Draining => Some(0),
            ErrorKind::NotReady
            | ErrorKind::BodyNoRoom
            | ErrorKind::BillsFull
            | ErrorKind::NoRunner(_) => Some(ENTRY_RETRY_AFTER_MS),
            ErrorKind::Refused { retry_after_ms, .. } if *retry_after_ms > 0 => {
                Some(*retry_after_ms)
            }
            ErrorKind::EndpointsFailed(_) if self.ran != Execution::Unknown => {
                Some(ENTRY_RETRY_AFTER_MS)
            }
            _ => None,
        }
    }

    /// JSON body of the error response.
    pub fn body(&self, request_id: &str) -> Vec<u8> {
        let error = ErrorDetail {
            code: self.code(),
            message: self.to_string(),
            ran: self.ran,
            retry_after_ms: self.retry_after_ms(),
            request_id,
        };
        serde_json::to_vec(&ErrorBody { error })
            .expect("encoding an error as JSON cannot fail")
    }
}

fn selection_status(err: &SelectionError) -> StatusCode {
    match err {
        SelectionError::UnknownModel(_) | SelectionError::UnknownVersion(_) => {
            StatusCode::NOT_FOUND
        }
        SelectionError::NotAllowed(_) => StatusCode::FORBIDDEN,
        SelectionError::Withdrawn(_) | SelectionError::Retiring(_) => {
            StatusCode::CONFLICT
        }
        SelectionError::NoVersion(_) => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn refused_status(reason: &str) -> StatusCode {
    match reason {
        "not_allowed" => StatusCode::FORBIDDEN,
        "version_withdrawn" | "version_retiring" | "key_taken" => StatusCode::CONFLICT,
        "unknown_version" => StatusCode::NOT_FOUND,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
