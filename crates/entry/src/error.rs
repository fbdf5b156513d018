//! Answers to callers whose request gave no whole answer.

use ::http::StatusCode;
use displaydoc::Display;
use route::{AdmissionError, PickError, RouteError, TicketError};
use serde::Serialize;
use wire::{Execution, Refusal};

/// Wait that a caller is told where an entry or its view is the reason, ms.
const ENTRY_RETRY_MS: u64 = 1_000;

/// Where a request ended.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Stage {
    /// the bearer token is missing or unknown; send `authorization: Bearer TOKEN`
    Unauthorized,
    /// the request body is longer than {0} bytes; shorten it
    BodyTooLarge(usize),
    /// the request body did not arrive whole; send it again
    BodyBroken,
    /// {0}
    BadRequest(String),
    /// no such path; see the guide for callers
    NotFound,
    /// this entry is leaving; send the request again, and the balancer chooses another
    Leaving,
    /// this entry has no fresh configuration; send the request again, and the balancer chooses another
    NotReady,
    /// the log has been down for so long that no more bills can be held; come back later
    BillsFull,
    /// {0}
    Admission(AdmissionError),
    /// {0}
    Route(RouteError),
    /// {0}
    Ticket(TicketError),
    /// {0}
    NoRunner(PickError),
    /// {remedy}
    Refused {
        /// The agent's reason.
        reason: String,
        /// What to do about it.
        remedy: String,
        /// When to come back, ms.
        retry_after_ms: u64,
    },
    /// the deadline passed; allow more time, or ask for the outcome
    Deadline,
    /// the endpoints failed; {0}
    Failed(String),
    /// what became of the call is not known; ask for the outcome at {0}
    Unknown(String),
}

impl From<Refusal> for Stage {
    fn from(refusal: Refusal) -> Self {
        Stage::Refused {
            reason: refusal.reason,
            remedy: refusal.remedy,
            retry_after_ms: u64::from(refusal.retry_after_ms),
        }
    }
}

/// Why a request got no whole answer, and whether it ran.
#[derive(Clone, Debug, derive_more::Display, Eq, PartialEq)]
#[display("{stage}")]
pub struct RequestError {
    /// Where it ended.
    pub stage: Stage,
    /// Whether it ran.
    pub ran: Execution,
}

impl std::error::Error for RequestError {}

impl From<Stage> for RequestError {
    /// An error of a request that was never sent to an endpoint.
    fn from(stage: Stage) -> Self {
        RequestError {
            stage,
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
    /// Stable code.
    pub fn code(&self) -> &str {
        match &self.stage {
            Stage::Unauthorized => "unauthorized",
            Stage::BodyTooLarge(_) => "body_too_large",
            Stage::BodyBroken => "body_broken",
            Stage::BadRequest(_) => "bad_request",
            Stage::NotFound => "not_found",
            Stage::Leaving => "entry_leaving",
            Stage::NotReady => "entry_not_ready",
            Stage::BillsFull => "bills_full",
            Stage::Admission(err) => err.code(),
            Stage::Route(err) => err.code(),
            Stage::Ticket(_) => "bad_ticket",
            Stage::NoRunner(_) => "no_runner",
            Stage::Refused { reason, .. } => reason,
            Stage::Deadline => "deadline",
            Stage::Failed(_) => "endpoints_failed",
            Stage::Unknown(_) => "outcome_unknown",
        }
    }

    /// HTTP status.
    pub fn status(&self) -> StatusCode {
        match &self.stage {
            Stage::Unauthorized => StatusCode::UNAUTHORIZED,
            Stage::BodyTooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Stage::BodyBroken | Stage::BadRequest(_) | Stage::Ticket(_) => {
                StatusCode::BAD_REQUEST
            }
            Stage::NotFound => StatusCode::NOT_FOUND,
            Stage::Admission(_) => StatusCode::TOO_MANY_REQUESTS,
            Stage::Route(err) => route_status(err),
            Stage::Refused { reason, .. } => refused_status(reason),
            Stage::Leaving
            | Stage::NotReady
            | Stage::BillsFull
            | Stage::NoRunner(_) => StatusCode::SERVICE_UNAVAILABLE,
            Stage::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Stage::Failed(_) | Stage::Unknown(_) => StatusCode::BAD_GATEWAY,
        }
    }

    /// When to come back, ms, where coming back helps.
    pub fn retry_after_ms(&self) -> Option<u64> {
        match &self.stage {
            Stage::Admission(err) => Some(err.retry_after_ms()),
            Stage::Leaving => Some(0),
            Stage::NotReady | Stage::BillsFull | Stage::NoRunner(_) => {
                Some(ENTRY_RETRY_MS)
            }
            Stage::Refused { retry_after_ms, .. } if *retry_after_ms > 0 => {
                Some(*retry_after_ms)
            }
            Stage::Failed(_) if self.ran != Execution::Unknown => Some(ENTRY_RETRY_MS),
            _ => None,
        }
    }

    /// The body of the answer, JSON.
    pub fn body(&self, request_id: &str) -> Vec<u8> {
        let error = ErrorDetail {
            code: self.code(),
            message: self.to_string(),
            ran: self.ran,
            retry_after_ms: self.retry_after_ms(),
            request_id,
        };
        serde_json::to_vec(&ErrorBody { error }).expect("an error always encodes")
    }
}

fn route_status(err: &RouteError) -> StatusCode {
    match err {
        RouteError::UnknownModel(_) | RouteError::UnknownVersion(_) => {
            StatusCode::NOT_FOUND
        }
        RouteError::NotAllowed(_) => StatusCode::FORBIDDEN,
        RouteError::Withdrawn(_) | RouteError::Retiring(_) => StatusCode::CONFLICT,
        RouteError::NoVersion(_) => StatusCode::SERVICE_UNAVAILABLE,
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
