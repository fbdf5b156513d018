//! Serves callers' connections.

use std::{
    cell::Cell,
    convert::Infallible,
    io,
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use catalog::Limits;
use clock::Millis;
use http::Request;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use log::{info, warn};
use tokio::{
    io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf},
    net::{TcpListener, TcpStream},
};

use crate::{dispatch, state::Gateway};

/// Interval of checks of a connection's idle and head timeouts, ms.
const CHECK_INTERVAL_MS: u64 = 500;

/// Delay after a connection could not be accepted, ms.
const ACCEPT_PAUSE_MS: u64 = 50;

/// Time after the start of draining in which idle connections may still send a
/// request, ms.
const IDLE_DRAIN_MS: u64 = 1_500;

/// Minimum duration of draining, ms.
const DRAIN_MIN_MS: u64 = 3_500;

/// Interval of checks on the progress of draining, ms.
const DRAIN_POLL_MS: u64 = 50;

/// Minimum size of the read buffer that hyper accepts, bytes.
const BUFFER_MIN_BYTES: usize = 8 * 1024;

/// Bytes that are read beyond the maximum size of a head, so that a longer head
/// reaches the check that refuses it.
const HEAD_SLACK_BYTES: usize = 1024;

const HEAD_TOO_SLOW: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// State of a caller's connection.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    pub gateway: Rc<Gateway>,
    busy: Cell<bool>,
    /// Whether the rest of a refused body is being discarded.
    discarding: Cell<bool>,
    head_since: Cell<Option<Millis>>,
    idle_since: Cell<Millis>,
}

impl ConnectionState {
    fn new(gateway: Rc<Gateway>) -> Self {
        let idle_since = Cell::new(gateway.now());
        let open = &gateway.stats.connections_open;
        open.set(open.get() + 1);
        ConnectionState {
            gateway,
            busy: Cell::default(),
            discarding: Cell::default(),
            head_since: Cell::default(),
            idle_since,
        }
    }

    /// Records that a request's head is complete; returns the time.
    ///
    /// The request's deadline counts from here and not from its first byte, since
    /// a caller may send the beginning of a head long before the rest.
    pub fn request_started(&self) -> Millis {
        self.busy.set(true);
        self.head_since.set(None);
        let open = &self.gateway.stats.requests_open;
        open.set(open.get() + 1);
        self.gateway.now()
    }

    /// Records that an answer was sent or abandoned.
    pub fn request_ended(&self) {
        self.idle_since.set(self.gateway.now());
        if self.busy.replace(false) {
            let open = &self.gateway.stats.requests_open;
            open.set(open.get() - 1);
        }
    }

    /// Records that the rest of a refused body is discarded until the result is dropped.
    pub fn start_discarding(self: &Rc<Self>) -> Discarding {
        self.discarding.set(true);
        Discarding(self.clone())
    }

    fn bytes_received(&self) {
        let is_body = self.busy.get() || self.discarding.get();
        if !is_body && self.head_since.get().is_none() {
            self.head_since.set(Some(self.gateway.now()));
        }
    }
}

impl Drop for ConnectionState {
    fn drop(&mut self) {
        self.request_ended();
        let open = &self.gateway.stats.connections_open;
        open.set(open.get() - 1);
    }
}

/// The discarding of a refused body's rest on a connection, until it is dropped.
#[derive(Debug)]
pub(crate) struct Discarding(Rc<ConnectionState>);

impl Drop for Discarding {
    fn drop(&mut self) {
        self.0.discarding.set(false);
        self.0.idle_since.set(self.0.gateway.now());
    }
}

/// A caller's socket that records when bytes arrive.
struct CallerStream {
    stream: TcpStream,
    state: Rc<ConnectionState>,
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.state.bytes_received();
        }
        read
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Accepts callers' connections until another gateway takes them over; see
/// [`route::StoppingGateway`].
pub(crate) async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    // Created once, outside the loop: the notification that it waits for comes once.
    let mut closed = pin!(accept_window_closed(&gateway));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut closed => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_one(gateway.clone(), stream));
            }
            Err(err) => {
                warn!("event=accept_failed listener=callers reason=\"{err}\"");
                tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
    }
}

async fn accept_window_closed(gateway: &Gateway) {
    gateway.drain_started.notified().await;
    let takes_connections =
        || gateway.stopping().is_none_or(|own| own.takes_connections());
    while takes_connections() {
        tokio::time::sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
    }
    info!("event=accept_stopped");
}

/// What to do with a connection after a check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Check {
    Keep,
    HeadTooSlow,
    IdleTooLong,
    Stop,
}

fn check(state: &ConnectionState, limits: &Limits) -> Check {
    let now = state.gateway.now();
    let draining_since = state.gateway.draining_since();
    if state.busy.get() {
        return if draining_since.is_some() {
            Check::Stop
        } else {
            Check::Keep
        };
    }
    if state.discarding.get() {
        return Check::Keep;
    }
    if let Some(since) = state.head_since.get() {
        let late = now.since(since) > limits.head_timeout_ms;
        return if late {
            Check::HeadTooSlow
        } else {
            Check::Keep
        };
    }
    if draining_since.is_some_and(|since| now.since(since) > IDLE_DRAIN_MS) {
        return Check::Stop;
    }
    if now.since(state.idle_since.get()) > limits.idle_timeout_ms {
        return Check::IdleTooLong;
    }
    Check::Keep
}

async fn serve_one(gateway: Rc<Gateway>, stream: TcpStream) {
    if let Err(err) = link::configure_socket(&stream) {
        warn!("event=caller_failed reason=\"{err}\"");
        return;
    }
    let state = Rc::new(ConnectionState::new(gateway.clone()));
    let limits = gateway.limits();
    let answer = {
        let state = state.clone();
        service_fn(move |request: Request<Incoming>| {
            let state = state.clone();
            async move {
                let started = state.request_started();
                let response = dispatch::handle(&state, request, started).await;
                Ok::<_, Infallible>(response.map(|body| body.for_connection(state)))
            }
        })
    };
    let io = TokioIo::new(CallerStream {
        stream,
        state: state.clone(),
    });
    let head_max = limits.head_max_bytes + HEAD_SLACK_BYTES;
    let mut connection = http1::Builder::new()
        .auto_date_header(false)
        .max_header_size(head_max)
        .max_buf_size(head_max.max(BUFFER_MIN_BYTES))
        .serve_connection(io, answer);
    loop {
        let pause = tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS));
        tokio::select! {
            // A request that its caller abandoned has been logged already.
            _ = &mut connection => return,
            () = pause => {}
        }
        match check(&state, &gateway.limits()) {
            Check::Keep => {}
            Check::Stop => Pin::new(&mut connection).graceful_shutdown(),
            Check::IdleTooLong => return,
            Check::HeadTooSlow => {
                info!("event=head_too_slow");
                gateway.stats.count("refused", "head_too_slow");
                let mut stream = connection.into_parts().io.into_inner().stream;
                // Ignored: the caller may have closed the connection.
                let _ = stream.write_all(HEAD_TOO_SLOW).await;
                return;
            }
        }
    }
}

/// Waits until draining may end: no request is in progress and no new one can
/// arrive.
pub(crate) async fn wait_drained(gateway: &Gateway) {
    let since = gateway.draining_since().unwrap_or_default();
    loop {
        tokio::time::sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
        let waited_ms = gateway.now().since(since);
        let busy = gateway.stats.requests_open.get() > 0;
        if !busy && waited_ms >= DRAIN_MIN_MS {
            return;
        }
    }
}
