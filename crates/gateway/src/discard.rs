//! Discards the rest of a body whose request was refused.
//!
//! A connection that is closed with bytes unread is reset, and a client that is still
//! sending may then never read why it was refused. The rest is therefore read for a while
//! after the answer, and nothing of it is kept.

use std::{rc::Rc, time::Duration};

use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::caller_connection::ConnectionState;

/// Maximum time for which the rest of a body is read, ms.
const DISCARD_MS: u64 = 1_000;

/// Reads at most about `max_bytes` of the rest of a body, while the connection's answer is
/// written. If the body does not end by then, the connection is closed.
pub(crate) fn discard(
    connection: &Rc<ConnectionState>,
    body: Incoming,
    max_bytes: usize,
) {
    let discarding = connection.start_discarding();
    tokio::task::spawn_local(async move {
        let limit = Duration::from_millis(DISCARD_MS);
        // Past the limit the connection is closed, which needs nothing more from here.
        let _ = tokio::time::timeout(limit, read_up_to(body, max_bytes)).await;
        drop(discarding);
    });
}

async fn read_up_to(mut body: Incoming, max_bytes: usize) {
    let mut read_bytes = 0;
    while read_bytes <= max_bytes {
        let Some(Ok(frame)) = body.frame().await else {
            return;
        };
        read_bytes += frame.data_ref().map_or(0, |piece| piece.len());
    }
}
