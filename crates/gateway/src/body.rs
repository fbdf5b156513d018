//! Bodies of the answers to callers.

use std::{
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::Bytes;
use displaydoc::Display;
use futures::Stream;
use http_body::{Body, Frame, SizeHint};

use crate::caller_connection::ConnectionState;

/// Why an answer ends early. The caller sees its connection close before the
/// end of the body.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum StreamError {
    /// the endpoint failed before the end of its answer; send the request again if it may run twice
    Endpoint,
    /// the deadline passed before the end of the answer; send the request again with more time
    Timeout,
}

impl std::error::Error for StreamError {}

/// The chunks of an answer as they arrive.
pub(crate) type ByteStream = Pin<Box<dyn Stream<Item = Result<Bytes, StreamError>>>>;

enum Content {
    Buffered(Option<Bytes>),
    Stream(ByteStream),
}

/// Body of an answer. The caller's connection is marked busy until it is dropped.
pub(crate) struct ResponseBody {
    content: Content,
    connection: Option<Rc<ConnectionState>>,
}

impl ResponseBody {
    pub fn buffered(bytes: Bytes) -> Self {
        ResponseBody {
            content: Content::Buffered(Some(bytes).filter(|bytes| !bytes.is_empty())),
            connection: None,
        }
    }

    pub fn stream(stream: ByteStream) -> Self {
        ResponseBody {
            content: Content::Stream(stream),
            connection: None,
        }
    }

    /// Marks `connection` idle once this body has been sent or dropped.
    pub fn for_connection(mut self, connection: Rc<ConnectionState>) -> Self {
        self.connection = Some(connection);
        self
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.request_ended();
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        match &mut self.content {
            Content::Buffered(bytes) => {
                Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b))))
            }
            Content::Stream(stream) => stream
                .as_mut()
                .poll_next(cx)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Content::Stream(_) => SizeHint::default(),
        }
    }
}
