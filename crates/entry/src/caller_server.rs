//! Serves callers' connections.

use std::{
    convert::Infallible,
    net::SocketAddr,
    pin::{Pin, pin},
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use ::http::{Request, Response};
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use ingress::{Accepted, Connection, Listener, ObservedStream, StreamObserver};
use log::info;
use motore::service::Service;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};
use volo::net::Address;
use volo_http::{context::ServerContext, server::Router};

use crate::Entry;

/// Maximum size of the head of a request and of the read buffer for a body, bytes.
pub(crate) const BUFFER_MAX_BYTES: usize = 64 * 1024;

/// Time after the last request in progress in which idle connections may still send one,
/// which is refused, ms.
const IDLE_DRAIN_MS: u64 = 2_000;

/// Maximum time for the connections to end during a graceful shutdown, ms.
const CLOSE_TIMEOUT_MS: u64 = 28_000;

/// Interval at which open connections are polled during a graceful shutdown, ms.
const CLOSE_POLL_INTERVAL_MS: u64 = 20;

type CallersRouter = Router<volo_http::body::Body, Infallible>;

/// Serves callers until `drained` completes, then closes their connections.
pub(crate) async fn run<F>(
    entry: &Arc<Entry>,
    router: CallersRouter,
    listener: TcpListener,
    drained: F,
) where
    F: Future<Output = ()>,
{
    let (close, closing) = watch::channel(false);
    let server = Arc::new(Server {
        entry: entry.clone(),
        router,
        closing,
    });
    tokio::select! {
        () = accept(&server, listener) => {}
        () = drained => {}
    }
    if entry.connections.open() > 0 {
        tokio::time::sleep(Duration::from_millis(IDLE_DRAIN_MS)).await;
    }
    close.send_replace(true);
    let closed = wait_closed(entry);
    let limit = Duration::from_millis(CLOSE_TIMEOUT_MS);
    if tokio::time::timeout(limit, closed).await.is_err() {
        let open = entry.connections.open();
        info!("event=connections_left count={open}");
    }
}

async fn wait_closed(entry: &Entry) {
    while entry.connections.open() > 0 {
        tokio::time::sleep(Duration::from_millis(CLOSE_POLL_INTERVAL_MS)).await;
    }
}

/// What the connections share.
struct Server {
    entry: Arc<Entry>,
    router: CallersRouter,
    /// Whether the connections are to be closed.
    closing: watch::Receiver<bool>,
}

async fn accept(server: &Arc<Server>, listener: TcpListener) {
    let entry = &server.entry;
    let mut listener = Listener::new("callers", listener, entry.connections.clone());
    loop {
        match listener.accept().await {
            Accepted::Admitted {
                stream,
                peer,
                place,
            } => {
                tokio::spawn(serve_one(server.clone(), stream, peer, place));
            }
            Accepted::Rejected => entry.node.metrics.count("connection_rejected"),
        }
    }
}

/// Tells a caller's place among the open connections what it does.
struct CallerObserver(Arc<Connection>);

impl StreamObserver for CallerObserver {
    fn bytes_received(&self) {
        self.0.heard();
    }
}

async fn serve_one(
    server: Arc<Server>,
    stream: TcpStream,
    peer: SocketAddr,
    place: Connection,
) {
    let place = Arc::new(place);
    let stream = ObservedStream::new(stream, CallerObserver(place.clone()));
    let answer = service_fn({
        let (server, place) = (server.clone(), place.clone());
        move |request| answer(server.clone(), peer, place.clone(), request)
    });
    let connection = http1::Builder::new()
        .max_headers(server.entry.node.settings.entry.headers_max)
        .max_buf_size(BUFFER_MAX_BYTES)
        .serve_connection(TokioIo::new(stream), answer);
    let mut connection = pin!(connection);
    let mut closing = server.closing.clone();
    tokio::select! {
        // The end of each request has been logged already.
        _ = &mut connection => return,
        () = place.evicted() => {
            server.entry.node.metrics.count("connection_evicted");
            return;
        }
        _ = closing.wait_for(|is_closing| *is_closing) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

async fn answer(
    server: Arc<Server>,
    peer: SocketAddr,
    place: Arc<Connection>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let mut context = ServerContext::new(Address::from(peer));
    let max_bytes = server.entry.node.settings.entry.body_max_bytes;
    let request = request.map(|body| {
        let body = RequestBody::new(body, place.clone(), max_bytes);
        volo_http::body::Body::from_body(body)
    });
    let response = server.router.call(&mut context, request).await?;
    Ok(response.map(|body| AnswerBody { body, place }))
}

/// The body of a request, which tells the connection's place what has arrived.
///
/// What is not read of it is discarded, so that its client can read the answer.
struct RequestBody {
    /// `None` once it has ended.
    body: Option<Incoming>,
    place: Arc<Connection>,
    max_bytes: usize,
}

impl RequestBody {
    fn new(body: Incoming, place: Arc<Connection>, max_bytes: usize) -> Self {
        let mut body = RequestBody {
            body: Some(body),
            place,
            max_bytes,
        };
        if body.is_end_stream() {
            body.ended();
        }
        body
    }

    fn ended(&mut self) {
        self.body = None;
        self.place.request_received();
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        if let Some(rest) = self.body.take() {
            tokio::spawn(ingress::discard(rest, self.max_bytes));
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Some(body) = &mut self.body else {
            return Poll::Ready(None);
        };
        let frame = Pin::new(body).poll_frame(cx);
        match &frame {
            Poll::Ready(Some(Err(_))) => self.body = None,
            Poll::Ready(None) => self.ended(),
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let body = self.body.as_ref();
        body.map_or(SizeHint::with_exact(0), Body::size_hint)
    }
}

/// The body of an answer. The connection waits for its caller again once it is dropped.
struct AnswerBody {
    body: volo_http::body::Body,
    place: Arc<Connection>,
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.place.answered();
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = <volo_http::body::Body as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
