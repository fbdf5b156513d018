//! HTTP/1.1 connections to endpoints, to the platform and between gateways.
//!
//! One request is under way on a connection at a time.  Dropping a [`Connection`]
//! closes its socket at once, which is how a request that nobody waits for
//! is cancelled at its endpoint.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::AbortHandle};

/// Idle time after which the peer is probed, ms.
///
/// A peer that lost track of a connection answers no probe, and would
/// otherwise be waited for in vain.
const PROBE_AFTER_MS: u64 = 1_000;

/// Time between probes, ms.
const PROBE_EVERY_MS: u64 = 1_000;

/// Probes without an answer after which the connection is given up.
const PROBES_MAX: u32 = 2;

/// Time that sent bytes may stay unacknowledged, ms.
const UNACKED_MAX_MS: u64 = 3_000;

/// Most bytes of a head and of what is read ahead of a body.
const BUFFER_MAX_BYTES: usize = 64 * 1024;

/// Why a request got no answer.
#[derive(Debug, Display)]
pub enum ConnectionError {
    /// no connection within {0} ms; the peer is down or cut off, nothing was sent
    ConnectTimeout(u64),
    /// the connection was refused ({0}); nothing was sent
    Connect(io::Error),
    /// the connection closed before the request was sent
    Unsent,
    /// the connection failed after the request was sent ({0}); it may have run
    Lost(hyper::Error),
}

impl std::error::Error for ConnectionError {}

impl ConnectionError {
    /// Whether the peer cannot have seen the request.
    pub fn is_unsent(&self) -> bool {
        !matches!(self, ConnectionError::Lost(_))
    }
}

/// One connection, closed when it is dropped.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Opens a connection within `timeout_ms`.
    pub async fn open(
        peer: SocketAddr,
        timeout_ms: u64,
    ) -> Result<Self, ConnectionError> {
        let connecting = TcpStream::connect(peer);
        let stream =
            tokio::time::timeout(Duration::from_millis(timeout_ms), connecting)
                .await
                .map_err(|_| ConnectionError::ConnectTimeout(timeout_ms))?
                .map_err(ConnectionError::Connect)?;
        configure_socket(&stream).map_err(ConnectionError::Connect)?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_MAX_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| ConnectionError::Unsent)?;
        // Its failure reaches whoever waits for the answer.
        let driver = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            driver: driver.abort_handle(),
        })
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ConnectionError> {
        if self.sender.ready().await.is_err() {
            return Err(ConnectionError::Unsent);
        }
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut err| match err.take_message() {
            Some(_) => ConnectionError::Unsent,
            None => ConnectionError::Lost(err.into_error()),
        })
    }

    /// Whether the connection can take another request right now.
    pub fn is_idle(&self) -> bool {
        self.sender.is_ready()
    }
}

/// Makes the kernel notice a peer that went silent.
///
/// Used for both directions: for callers' connections too.
pub fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(Duration::from_millis(PROBE_AFTER_MS))
        .with_interval(Duration::from_millis(PROBE_EVERY_MS))
        .with_retries(PROBES_MAX);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(Duration::from_millis(UNACKED_MAX_MS)))
}
