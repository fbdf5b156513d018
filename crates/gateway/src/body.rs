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

use crate::caller_server::CallerState;

/// Why an answer breaks off; the caller sees its connection close before the
/// answer's end.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum Cut {
    /// the endpoint broke its answer off
    Endpoint,
    /// the time for the request is over
    Timeout,
}

impl std::error::Error for Cut {}

/// Pieces of an answer as they come.
pub(crate) type Pieces = Pin<Box<dyn Stream<Item = Result<Bytes, Cut>>>>;

enum Content {
    Whole(Option<Bytes>),
    Pieces(Pieces),
}

/// An answer's body; its connection counts as busy until it is dropped.
pub(crate) struct Outgoing {
    content: Content,
    caller: Option<Rc<CallerState>>,
}

impl Outgoing {
    pub fn whole(bytes: Bytes) -> Self {
        Outgoing {
            content: Content::Whole(Some(bytes).filter(|bytes| !bytes.is_empty())),
            caller: None,
        }
    }

    pub fn pieces(pieces: Pieces) -> Self {
        Outgoing {
            content: Content::Pieces(pieces),
            caller: None,
        }
    }

    /// Marks `caller` idle once this body has been sent.
    pub fn for_caller(mut self, caller: Rc<CallerState>) -> Self {
        self.caller = Some(caller);
        self
    }
}

impl Drop for Outgoing {
    fn drop(&mut self) {
        if let Some(caller) = &self.caller {
            caller.request_ended();
        }
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match &mut self.content {
            Content::Whole(bytes) => {
                Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b))))
            }
            Content::Pieces(pieces) => pieces
                .as_mut()
                .poll_next(cx)
                .map(|piece| piece.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Content::Pieces(_) => SizeHint::default(),
        }
    }
}
