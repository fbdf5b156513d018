//! The body of a caller's request.

use std::time::Duration;

use clock::Millis;
use http::StatusCode;
use hyper::body::{Body, Incoming};
use ingress::{BodyError, HeldBody, ReadError};

use crate::{
    refusal::{Refusal, refusal},
    state::Gateway,
};

/// Interval of checks whether the stop of this gateway cuts a body off, ms.
const STOP_CHECK_MS: u64 = 250;

/// Maximum length of a body that is discarded without closing its connection, bytes.
const SHORT_BODY_BYTES: u64 = 64 * 1024;

/// The bodies of other requests leave no room for this one.
const BODY_NO_ROOM: Refusal = refusal(StatusCode::SERVICE_UNAVAILABLE, "body_no_room");
/// The body gave way to others while it was waited for.
const BODY_GAVE_WAY: Refusal =
    refusal(StatusCode::SERVICE_UNAVAILABLE, "body_gave_way");
const BODY_TOO_LONG: Refusal = refusal(StatusCode::PAYLOAD_TOO_LARGE, "body_too_long");
const BODY_BROKEN: Refusal = refusal(StatusCode::BAD_REQUEST, "body_broken");
/// The deadline passed before the end of the body, so no endpoint can get the request.
const BODY_TOO_SLOW: Refusal = refusal(StatusCode::REQUEST_TIMEOUT, "body_too_slow");
/// The stop of this gateway could cut the request off.
pub(crate) const STOPPING: Refusal =
    refusal(StatusCode::SERVICE_UNAVAILABLE, "stopping");

/// The body of a caller's request, until it has been read.
#[derive(Debug)]
pub(crate) struct CallerBody {
    incoming: Incoming,
    is_read: bool,
}

impl CallerBody {
    pub fn new(incoming: Incoming) -> Self {
        CallerBody {
            incoming,
            is_read: false,
        }
    }

    /// Whether a part of the body has not been read.
    pub fn is_unread(&self) -> bool {
        !self.is_read && !self.incoming.is_end_stream()
    }

    /// Whether the body declares a length that is read at once, so that its connection can
    /// take another request.
    pub fn is_short(&self) -> bool {
        let declared = self.incoming.size_hint().exact();
        declared.is_some_and(|len| len <= SHORT_BODY_BYTES)
    }

    /// Returns the rest of the body, which is to be discarded.
    pub fn into_rest(self) -> Incoming {
        self.incoming
    }

    /// Reads the whole body, or returns why its request is refused.
    ///
    /// The wait for a body that stops short ends with the request's deadline, or when the
    /// stop of the gateway would cut the request off.
    pub async fn read(
        &mut self,
        gateway: &Gateway,
        deadline: Millis,
    ) -> Result<HeldBody, Refusal> {
        let max_bytes = gateway.limits().body_max_bytes;
        let reading = gateway.bodies.read(&mut self.incoming, max_bytes, deadline);
        let read = tokio::select! {
            read = reading => read.map_err(refusal_of),
            () = stop_reached(gateway, deadline) => Err(STOPPING),
        };
        self.is_read = read.is_ok();
        read
    }
}

fn refusal_of(err: ReadError) -> Refusal {
    match err {
        ReadError::Body(BodyError::TooLong) => BODY_TOO_LONG,
        ReadError::Body(BodyError::Broken) => BODY_BROKEN,
        ReadError::NoRoom => BODY_NO_ROOM,
        ReadError::GaveWay => BODY_GAVE_WAY,
        ReadError::TooSlow => BODY_TOO_SLOW,
    }
}

/// Waits until this gateway is stopping and takes no request with this deadline.
async fn stop_reached(gateway: &Gateway, deadline: Millis) {
    loop {
        tokio::time::sleep(Duration::from_millis(STOP_CHECK_MS)).await;
        let left_ms = deadline.since(gateway.now());
        let is_taken = gateway
            .stopping()
            .is_none_or(|stopping| stopping.takes_request(left_ms));
        if !is_taken {
            return;
        }
    }
}
