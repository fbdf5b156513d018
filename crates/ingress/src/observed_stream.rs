//! A socket that tells what passes over it.

use std::{
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Is told of what passes over a socket.
pub trait StreamObserver {
    /// The other side sent something.
    fn bytes_received(&self);

    /// Something was sent to the other side.
    fn bytes_sent(&self) {}
}

impl<O> StreamObserver for Rc<O>
where
    O: StreamObserver,
{
    fn bytes_received(&self) {
        self.as_ref().bytes_received();
    }

    fn bytes_sent(&self) {
        self.as_ref().bytes_sent();
    }
}

/// A socket that tells its observer what passes over it.
#[derive(Debug)]
pub struct ObservedStream<O> {
    stream: TcpStream,
    observer: O,
}

impl<O> ObservedStream<O> {
    /// Has `observer` told of what passes over `stream`.
    pub fn new(stream: TcpStream, observer: O) -> Self {
        ObservedStream { stream, observer }
    }

    /// Returns the socket, which is no longer observed.
    pub fn into_inner(self) -> TcpStream {
        self.stream
    }
}

impl<O> AsyncRead for ObservedStream<O>
where
    O: StreamObserver + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.observer.bytes_received();
        }
        read
    }
}

impl<O> AsyncWrite for ObservedStream<O>
where
    O: StreamObserver + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.observer.bytes_sent();
        }
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.observer.bytes_sent();
        }
        written
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
