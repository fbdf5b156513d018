//! Accepts operators' connections within a bound.

use std::{io, time::Duration};

use ingress::{Connection, Connections};
use log::warn;
use telemetry::Occasional;
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream, UnixStream},
};
use volo::net::{
    Address,
    conn::{Conn, ConnInfo, ConnStream},
    incoming::{Incoming, MakeIncoming},
};

/// Delay after a connection could not be accepted, ms.
const ACCEPT_PAUSE_MS: u64 = 50;

/// Accepts operators' connections; a new one replaces the oldest if there are too many.
///
/// The gRPC server hides when a connection ends, so each one is passed on through a pair
/// of local sockets, one of which is kept here.
#[derive(Debug)]
pub(crate) struct OperatorListener {
    listener: TcpListener,
    connections: Connections,
    failures: Occasional,
}

impl OperatorListener {
    pub fn new(listener: TcpListener, connections: Connections) -> Self {
        OperatorListener {
            listener,
            connections,
            failures: Occasional::default(),
        }
    }

    /// Accepts a connection; `None` if it is not kept.
    async fn accept_one(&mut self) -> io::Result<Option<Conn>> {
        let (stream, peer) = self.listener.accept().await?;
        let Some(place) = self.connections.admit() else {
            return Ok(None);
        };
        let (kept, passed) = UnixStream::pair()?;
        tokio::spawn(relay(stream, kept, place));
        let info = ConnInfo {
            peer_addr: Some(Address::from(peer)),
        };
        let stream = ConnStream::Unix(passed);
        Ok(Some(Conn { stream, info }))
    }
}

impl MakeIncoming for OperatorListener {
    type Incoming = OperatorListener;

    async fn make_incoming(self) -> io::Result<OperatorListener> {
        Ok(self)
    }
}

impl Incoming for OperatorListener {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        loop {
            match self.accept_one().await {
                Ok(Some(conn)) => return Ok(Some(conn)),
                Ok(None) => {}
                Err(err) => {
                    if let Some(count) = self.failures.due(self.connections.now()) {
                        warn!(
                            "event=accept_failed listener=operators count={count} reason=\"{err}\""
                        );
                    }
                    tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
                }
            }
        }
    }
}

/// Passes bytes on until either side closes, or the connection gives way to a new one.
async fn relay(mut stream: TcpStream, mut kept: UnixStream, place: Connection) {
    tokio::select! {
        // An operator whose connection fails sees that at the other end.
        _ = copy_bidirectional(&mut stream, &mut kept) => {}
        () = place.evicted() => {}
    }
}
