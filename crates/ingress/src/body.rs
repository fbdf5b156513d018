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
/// # Errors
///
/// [`BodyError::TooLong`], before anything is read if the body declares its length;
/// [`BodyError::Broken`] if it ends early.
pub async fn read_body<B>(body: &mut B, max_bytes: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let declared = declared_len(body, max_bytes)?;
    let mut buffer = BodyBuffer::new(declared, max_bytes);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Broken)?;
        if let Ok(piece) = frame.into_data() {
            let capacity = buffer.capacity_with(&piece)?;
            buffer.push(&piece, capacity);
        }
    }
    Ok(buffer.into_bytes())
}

/// Returns the length that a body declares, if it does, or an error if it is over the
/// limit.
pub(crate) fn declared_len<B>(
    body: &B,
    max_bytes: usize,
) -> Result<Option<usize>, BodyError>
where
    B: Body,
{
    let Some(declared) = body.size_hint().exact() else {
        return Ok(None);
    };
    match usize::try_from(declared) {
        Ok(len) if len <= max_bytes => Ok(Some(len)),
        _ => Err(BodyError::TooLong),
    }
}

/// The part of a body that has arrived, in one buffer.
///
/// The content is copied from the pieces in which it arrives: a piece costs tens of bytes
/// besides its content and keeps the buffer of its read alive, while a sender may make
/// pieces of one byte.
#[derive(Debug)]
pub(crate) struct BodyBuffer {
    bytes: Vec<u8>,
    declared: Option<usize>,
    max_bytes: usize,
}

impl BodyBuffer {
    pub fn new(declared: Option<usize>, max_bytes: usize) -> Self {
        BodyBuffer {
            bytes: Vec::new(),
            declared,
            max_bytes,
        }
    }

    /// Returns the capacity that the first piece needs at most.
    pub fn first_capacity(&self) -> usize {
        self.declared
            .unwrap_or(FIRST_BUFFER_BYTES.min(self.max_bytes))
    }

    /// Returns the capacity to which the buffer must grow to take `piece`, if it must, or
    /// an error if the body becomes too long.
    pub fn capacity_with(&self, piece: &[u8]) -> Result<Option<usize>, BodyError> {
        let len = self.bytes.len() + piece.len();
        if len > self.max_bytes {
            return Err(BodyError::TooLong);
        }
        if len <= self.bytes.capacity() {
            return Ok(None);
        }
        let doubled = len.next_power_of_two().min(self.max_bytes);
        Ok(Some(doubled.max(self.first_capacity())))
    }

    /// Appends `piece`, after growing to `capacity` if there is one.
    pub fn push(&mut self, piece: &[u8], capacity: Option<usize>) {
        if let Some(capacity) = capacity {
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(piece);
    }

    pub fn into_bytes(self) -> Bytes {
        Bytes::from(self.bytes)
    }
}
