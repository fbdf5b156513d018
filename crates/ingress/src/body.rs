//! Reads the body of a request, or of an answer that is passed on whole.

use bytes::Bytes;
use displaydoc::Display;
use http_body::Body;
use http_body_util::BodyExt;

/// Size of the first buffer of a body without a declared length, bytes.
const FIRST_BUFFER_BYTES: usize = 8 * 1024;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum BodyError {
    /// the body is longer than the limit; send less
    TooLong,
    /// the connection failed or the framing is invalid before the end of the body; send the request again
    Broken,
}

impl std::error::Error for BodyError {}

/// Reads a body of at most `max_bytes` into one buffer.
///
/// The content is copied from the pieces in which it arrives: a piece costs tens of bytes
/// besides its content and keeps the buffer of its read alive, while a sender may make
/// pieces of one byte.
///
/// # Errors
///
/// [`BodyError::TooLong`], before anything is read if the body declares its length;
/// [`BodyError::Broken`] if it ends early.
pub async fn read_body<B>(body: &mut B, max_bytes: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let declared = body.size_hint().exact();
    if declared.is_some_and(|len| len > max_bytes as u64) {
        return Err(BodyError::TooLong);
    }
    let mut buffer = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Broken)?;
        let Ok(piece) = frame.into_data() else {
            continue;
        };
        let len = buffer.len() + piece.len();
        if len > max_bytes {
            return Err(BodyError::TooLong);
        }
        if len > buffer.capacity() {
            let capacity = next_capacity(len, declared, max_bytes);
            buffer.reserve_exact(capacity - buffer.len());
        }
        buffer.extend_from_slice(&piece);
    }
    Ok(Bytes::from(buffer))
}

/// Returns the capacity of a buffer that must hold `len` bytes.
fn next_capacity(len: usize, declared: Option<u64>, max_bytes: usize) -> usize {
    match declared {
        Some(declared) => declared as usize,
        None => len.next_power_of_two().clamp(FIRST_BUFFER_BYTES, max_bytes),
    }
}
