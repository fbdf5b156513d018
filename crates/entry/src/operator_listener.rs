//! Accepts operators' connections within a bound.

use std::io;

use ingress::{Accepted, Connection, Connections, Listener};
use log::warn;
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream, UnixStream},
};
use volo::net::{
    Address,
    conn::{Conn, ConnInfo, ConnStream},
    incoming::{Incoming, MakeIncoming},
};

/// Accepts operators' connections; a new one replaces the oldest if there are too many.
///
/// The gRPC server hides when a connection ends, so each one is passed on through a pair
/// of local sockets, one of which is kept here.
#[derive(Debug)]
pub(crate) struct OperatorListener {
    listener: Listener,
}

impl OperatorListener {
    pub fn new(listener: TcpListener, connections: Connections) -> Self {
        OperatorListener {
            listener: Listener::new("operators", listener, connections),
        }
    }
}

impl MakeIncoming for OperatorListener {
    type Incoming = OperatorListener;

    async fn make_incoming(self) -> io::Result<OperatorListener> {
        Ok(self)
    }
}

impl Incoming for OperatorListener {
    /// Waits for the next connection; the server ends for good if this ever fails.
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        loop {
            let accepted = self.listener.accept().await;
            let Accepted::Admitted {
                stream,
                peer,
                place,
            } = accepted
            else {
                continue;
            };
            let (kept, passed) = match UnixStream::pair() {
                Ok(pair) => pair,
                Err(err) => {
                    warn!("event=operator_rejected reason=\"{err}\"");
                    continue;
                }
            };
            tokio::spawn(relay(stream, kept, place));
            return Ok(Some(Conn {
                stream: ConnStream::Unix(passed),
                info: ConnInfo {
                    peer_addr: Some(Address::from(peer)),
                },
            }));
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
