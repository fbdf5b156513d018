//! Serves callers' connections.

use std::{
    convert::Infallible,
    pin::{Pin, pin},
    rc::Rc,
    time::Duration,
};

use http::Request;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use ingress::{Accepted, Listener, ObservedStream};
use log::{info, warn};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
};

use crate::{
    caller_connection::{Check, ConnectionState},
    dispatch,
    state::Gateway,
};

/// Interval of checks of a connection's idle and head timeouts, ms.
const CHECK_INTERVAL_MS: u64 = 500;

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

/// Accepts callers' connections until another gateway takes them over; see
/// [`route::StoppingGateway`].
pub(crate) async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    // Created once, outside the loop: the notification that it waits for comes once.
    let mut closed = pin!(accept_window_closed(&gateway));
    let connections = gateway.caller_connections.clone();
    let mut listener = Listener::new("callers", listener, connections);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut closed => return,
        };
        match accepted {
            Accepted::Admitted { stream, place, .. } => {
                let state = ConnectionState::new(gateway.clone(), place);
                tokio::task::spawn_local(serve_one(Rc::new(state), stream));
            }
            Accepted::Rejected => gateway.stats.count("refused", "no_connection_left"),
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

async fn serve_one(state: Rc<ConnectionState>, stream: TcpStream) {
    let gateway = state.gateway.clone();
    if let Err(err) = link::configure_socket(&stream) {
        warn!("event=caller_failed reason=\"{err}\"");
        return;
    }
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
    let io = TokioIo::new(ObservedStream::new(stream, state.clone()));
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
            () = state.evicted() => {
                gateway.stats.count("refused", "connection_evicted");
                return;
            }
            () = pause => {}
        }
        match state.check(&gateway.limits()) {
            Check::Keep => {}
            Check::Stop => Pin::new(&mut connection).graceful_shutdown(),
            Check::IdleTooLong => return,
            Check::HeadTooSlow => {
                info!("event=head_too_slow");
                gateway.stats.count("refused", "head_too_slow");
                let mut stream = connection.into_parts().io.into_inner().into_inner();
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
