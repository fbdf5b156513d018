//! Discards the rest of a body whose request was refused.
//!
//! A connection that is closed with bytes unread is reset, and a client that is still
//! sending may then never read why it was refused. The rest is therefore read for a while
//! after the answer, and nothing of it is kept.

use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;

/// Maximum time for which the rest of a body is read, ms.
const DISCARD_MS: u64 = 3_000;

/// Factor of the longest legal body up to which the rest of a body is read, so that a
/// client that is not far over the limit is told.
const DISCARD_FACTOR: usize = 2;

/// Reads the rest of a body while its connection's answer is written, up to a multiple of
/// the longest legal body. If the body has not ended by then, dropping it closes the
/// connection.
pub async fn discard<B>(body: B, body_max_bytes: usize)
where
    B: Body<Data = Bytes> + Unpin,
{
    let limit = Duration::from_millis(DISCARD_MS);
    let max_bytes = body_max_bytes.saturating_mul(DISCARD_FACTOR);
    // Past the limit the body is dropped, as it is at its end.
    let _ = tokio::time::timeout(limit, read_up_to(body, max_bytes)).await;
}

async fn read_up_to<B>(mut body: B, max_bytes: usize)
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut read_bytes = 0;
    while read_bytes <= max_bytes {
        let Some(Ok(frame)) = body.frame().await else {
            return;
        };
        read_bytes += frame.data_ref().map_or(0, Bytes::len);
    }
}
