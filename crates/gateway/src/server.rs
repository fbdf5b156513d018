//! Callers' connections.

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

/// Time between looks at a connection's idle and head times, ms.
const LOOK_MS: u64 = 500;

/// Pause after a connection could not be accepted, ms.
const ACCEPT_PAUSE_MS: u64 = 50;

/// Time after the start of a stop in which idle callers may still send, ms.
const IDLE_STOP_MS: u64 = 1_500;

/// Time after the start of a stop in which new callers are still taken, ms:
/// the balancer notices only at its second question that none are welcome.
/// What comes later could not be finished before the process is killed.
const ACCEPT_STOP_MS: u64 = 2_500;

/// Least time between the start of a stop and the end, ms.
const STOP_MIN_MS: u64 = 3_500;

/// Time between looks at whether all work has ended, ms.
const STOP_LOOK_MS: u64 = 50;

/// Smallest buffer for a head that the HTTP library takes, bytes.
const BUFFER_MIN_BYTES: usize = 8 * 1024;

/// Head bytes that are read to say that a head is too long.
const HEAD_SLACK_BYTES: usize = 1024;

const HEAD_TOO_SLOW: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// What a caller's connection is doing.
#[derive(Debug)]
pub(crate) struct CallerState {
    gateway: Rc<Gateway>,
    busy: Cell<bool>,
    head_since: Cell<Option<Millis>>,
    idle_since: Cell<Millis>,
}

impl CallerState {
    fn new(gateway: Rc<Gateway>) -> Self {
        let idle_since = Cell::new(gateway.now());
        let open = &gateway.stats.connections_open;
        open.set(open.get() + 1);
        CallerState {
            gateway,
            busy: Cell::default(),
            head_since: Cell::default(),
            idle_since,
        }
    }

    /// Takes that a head is whole; returns when.
    ///
    /// A request's time begins here and not with its first byte: a caller may
    /// send the beginning of a head long before it sends the request.
    pub fn request_started(&self) -> Millis {
        self.busy.set(true);
        self.head_since.set(None);
        let open = &self.gateway.stats.requests_open;
        open.set(open.get() + 1);
        self.gateway.now()
    }

    /// Takes that an answer was sent or given up.
    pub fn request_ended(&self) {
        self.idle_since.set(self.gateway.now());
        if self.busy.replace(false) {
            let open = &self.gateway.stats.requests_open;
            open.set(open.get() - 1);
        }
    }

    fn bytes_came(&self) {
        if !self.busy.get() && self.head_since.get().is_none() {
            self.head_since.set(Some(self.gateway.now()));
        }
    }
}

impl Drop for CallerState {
    fn drop(&mut self) {
        self.request_ended();
        let open = &self.gateway.stats.connections_open;
        open.set(open.get() - 1);
    }
}

/// A caller's socket that notes when bytes come.
struct CallerStream {
    stream: TcpStream,
    caller: Rc<CallerState>,
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
            self.caller.bytes_came();
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

/// Takes callers' connections until some time into a stop.
pub(crate) async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    // One future for all turns: it must not start over with each caller.
    let mut ends = pin!(accepting_ends(&gateway));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut ends => return,
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

async fn accepting_ends(gateway: &Gateway) {
    gateway.stopping.notified().await;
    tokio::time::sleep(Duration::from_millis(ACCEPT_STOP_MS)).await;
}

/// What a look at a connection says is to be done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Look {
    Keep,
    HeadTooSlow,
    IdleTooLong,
    Stop,
}

fn look(caller: &CallerState, limits: &Limits) -> Look {
    let now = caller.gateway.now();
    let stopping = caller.gateway.draining_since();
    if caller.busy.get() {
        return if stopping.is_some() {
            Look::Stop
        } else {
            Look::Keep
        };
    }
    if let Some(since) = caller.head_since.get() {
        let late = now.since(since) > limits.head_timeout_ms;
        return if late { Look::HeadTooSlow } else { Look::Keep };
    }
    if stopping.is_some_and(|since| now.since(since) > IDLE_STOP_MS) {
        return Look::Stop;
    }
    if now.since(caller.idle_since.get()) > limits.idle_timeout_ms {
        return Look::IdleTooLong;
    }
    Look::Keep
}

async fn serve_one(gateway: Rc<Gateway>, stream: TcpStream) {
    if let Err(err) = link::configure_socket(&stream) {
        warn!("event=caller_failed reason=\"{err}\"");
        return;
    }
    let caller = Rc::new(CallerState::new(gateway.clone()));
    let limits = gateway.limits();
    let answer = {
        let caller = caller.clone();
        service_fn(move |request: Request<Incoming>| {
            let caller = caller.clone();
            async move {
                let started = caller.request_started();
                let gateway = caller.gateway.clone();
                let response = dispatch::handle(&gateway, request, started).await;
                Ok::<_, Infallible>(response.map(|body| body.for_caller(caller)))
            }
        })
    };
    let io = TokioIo::new(CallerStream {
        stream,
        caller: caller.clone(),
    });
    let head_max = limits.head_max_bytes + HEAD_SLACK_BYTES;
    let mut connection = http1::Builder::new()
        .auto_date_header(false)
        .max_header_size(head_max)
        .max_buf_size(head_max.max(BUFFER_MIN_BYTES))
        .serve_connection(io, answer);
    loop {
        let pause = tokio::time::sleep(Duration::from_millis(LOOK_MS));
        tokio::select! {
            // A caller that breaks off has been logged with its request.
            _ = &mut connection => return,
            () = pause => {}
        }
        match look(&caller, &gateway.limits()) {
            Look::Keep => {}
            Look::Stop => Pin::new(&mut connection).graceful_shutdown(),
            Look::IdleTooLong => return,
            Look::HeadTooSlow => {
                info!("event=head_too_slow");
                gateway.stats.count("refused", "head_too_slow");
                let mut stream = connection.into_parts().io.into_inner().stream;
                // The caller may be gone; there is nothing more to tell it.
                let _ = stream.write_all(HEAD_TOO_SLOW).await;
                return;
            }
        }
    }
}

/// Waits until a stop may end: no work is left, and no more can come.
pub(crate) async fn drained(gateway: &Gateway) {
    let since = gateway.draining_since().unwrap_or_default();
    loop {
        tokio::time::sleep(Duration::from_millis(STOP_LOOK_MS)).await;
        let waited_ms = gateway.now().since(since);
        let busy = gateway.stats.requests_open.get() > 0;
        if !busy && waited_ms >= STOP_MIN_MS {
            return;
        }
    }
}
