//! A peer's socket, which tells what it does to the table of open connections.

use std::{
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use ingress::Connection;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// A peer's socket.
///
/// A peer that was answered speaks the protocol, and is silent for long between its calls,
/// so its connection is not closed for a new one any more.
pub(crate) struct PeerStream {
    stream: TcpStream,
    place: Rc<Connection>,
}

impl PeerStream {
    pub fn new(stream: TcpStream, place: Rc<Connection>) -> Self {
        PeerStream { stream, place }
    }
}

impl AsyncRead for PeerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.place.heard();
        }
        read
    }
}

impl AsyncWrite for PeerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.place.request_received();
        }
        written
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
