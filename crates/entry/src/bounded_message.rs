//! Reads operators' messages within the account of bodies.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use ::http::{Request, Response};
use bytes::Bytes;
use http_body_util::Full;
use ingress::ReadError;
use tower::{Layer, Service};
use volo_grpc::{
    Status,
    body::{BoxBody, boxed},
};

use crate::Entry;

/// Maximum length of an operator's message, bytes; the longest change is a cascade.
const MESSAGE_MAX_BYTES: usize = 1024 * 1024;

/// Has the whole message read within the account of bodies before it is decoded: the gRPC
/// library would otherwise buffer what a client sends, also one without a token.
#[derive(Clone)]
pub(crate) struct BoundedMessages(pub Arc<Entry>);

impl<S> Layer<S> for BoundedMessages {
    type Service = BoundedMessageService<S>;

    fn layer(&self, inner: S) -> Self::Service {
        BoundedMessageService {
            entry: self.0.clone(),
            inner,
        }
    }
}

/// A service whose requests are read by [`BoundedMessages`].
#[derive(Clone)]
pub(crate) struct BoundedMessageService<S> {
    entry: Arc<Entry>,
    inner: S,
}

impl<S> Service<Request<BoxBody>> for BoundedMessageService<S>
where
    S: Service<Request<BoxBody>, Response = Response<BoxBody>, Error = Status>
        + Clone
        + Send
        + 'static,
    S::Future: Send,
{
    type Response = Response<BoxBody>;
    type Error = Status;
    type Future =
        Pin<Box<dyn Future<Output = Result<Response<BoxBody>, Status>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Status>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: Request<BoxBody>) -> Self::Future {
        let entry = self.entry.clone();
        // The service that is ready is the one that is called.
        let unused = self.inner.clone();
        let mut inner = std::mem::replace(&mut self.inner, unused);
        Box::pin(async move {
            let (head, mut body) = request.into_parts();
            let node = &entry.node;
            let deadline = node.now().plus(node.settings.entry.body_timeout_ms);
            let reading = entry.bodies.read(&mut body, MESSAGE_MAX_BYTES, deadline);
            let held = match reading.await {
                Ok(held) => held,
                // An error would close the connection without telling why.
                Err(err) => return Ok(status_of(err).to_http()),
            };
            let body = boxed(Full::new(Bytes::clone(&held)));
            inner.call(Request::from_parts(head, body)).await
        })
    }
}

fn status_of(err: ReadError) -> Status {
    match err {
        ReadError::NoRoom | ReadError::GaveWay => Status::unavailable(err.to_string()),
        ReadError::Body(_) | ReadError::TooSlow => {
            Status::invalid_argument(err.to_string())
        }
    }
}
