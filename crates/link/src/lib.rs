//! HTTP/1.1 connections to endpoints, to the platform and between gateways.
//!
//! A connection carries one request at a time.  Dropping a [`Connection`] closes
//! its socket immediately, which cancels an abandoned request at its endpoint.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpListener, TcpStream},
    task::AbortHandle,
};

/// Idle time after which TCP keepalive probes are sent, ms.
///
/// Without probes, a request would keep waiting for a peer that crashed or became
/// unreachable without closing the connection; such a peer answers no probe.
const KEEPALIVE_TIME_MS: u64 = 1_000;

/// Interval of keepalive probes, ms.
const KEEPALIVE_INTERVAL_MS: u64 = 1_000;

/// Number of unanswered probes after which the connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// Maximum time that sent bytes may remain unacknowledged, ms.
const USER_TIMEOUT_MS: u64 = 3_000;

/// Maximum size of a response head and of the read buffer for a body, bytes.
const BUFFER_MAX_BYTES: usize = 64 * 1024;

/// Error of opening a connection or of sending a request on it.
#[derive(Debug, Display)]
pub enum ConnectionError {
    /// no connection within {0} ms and nothing was sent; check that the peer is up and reachable
    ConnectTimeout(u64),
    /// cannot connect ({0}) and nothing was sent; check that the peer is listening
    Connect(io::Error),
    /// the connection closed before the request was sent; retry on a new connection
    Unsent,
    /// the connection failed after the request was sent ({0}); the peer may have processed it, so retry only if that is safe
    Lost(hyper::Error),
}

impl std::error::Error for ConnectionError {}

impl ConnectionError {
    /// Whether the peer cannot have received the request.
    pub fn is_unsent(&self) -> bool {
        !matches!(self, ConnectionError::Lost(_))
    }
}

/// A client connection, which is closed when it is dropped.
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
    /// Opens a connection to `peer` within `timeout_ms`.
    ///
    /// # Errors
    ///
    /// Every error is one for which [`ConnectionError::is_unsent`] holds.
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
        // An error of the connection is also returned to the caller of `send`.
        let driver = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            driver: driver.abort_handle(),
        })
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::Lost`] if the peer may have received the request, else
    /// [`ConnectionError::Unsent`].
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

    /// Whether the connection is ready for another request.
    pub fn is_idle(&self) -> bool {
        self.sender.is_ready()
    }
}

/// Configures a socket so that the kernel detects an unresponsive peer.
///
/// Enables TCP keepalive, `TCP_USER_TIMEOUT` and `TCP_NODELAY`.  It applies to
/// accepted connections as well as to outgoing ones.
///
/// # Errors
///
/// Returns the error of the system call that sets an option.
pub fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(Duration::from_millis(KEEPALIVE_TIME_MS))
        .with_interval(Duration::from_millis(KEEPALIVE_INTERVAL_MS))
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(Duration::from_millis(USER_TIMEOUT_MS)))
}

/// Limits the receive buffers of the connections that `listener` accepts from now on; the
/// kernel keeps up to about `bytes` of what the process has not read.
///
/// # Errors
///
/// Returns the error of the system call that sets the option.
pub fn limit_receive_buffer(listener: &TcpListener, bytes: usize) -> io::Result<()> {
    SockRef::from(listener).set_recv_buffer_size(bytes)
}
