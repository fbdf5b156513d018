//! Accepts connections within a bound.

use std::{io, net::SocketAddr, time::Duration};

use log::warn;
use telemetry::Occasional;
use tokio::net::{TcpListener, TcpStream};

use crate::{Connection, Connections};

/// Delay after a connection could not be accepted, ms.
const ACCEPT_PAUSE_MS: u64 = 50;

/// What came of a connection that a client opened.
#[derive(Debug)]
pub enum Accepted {
    /// It is served.
    Admitted {
        /// The connection's socket.
        stream: TcpStream,
        /// Address of the client.
        peer: SocketAddr,
        /// Its place among the open connections.
        place: Connection,
    },
    /// It was closed, since every other one has a request in progress.
    Rejected,
}

/// A listener whose connections are bounded.
///
/// It goes on after a failed accept. Clients can cause failures and rejections at will, so
/// of each at most one a second is logged.
#[derive(Debug)]
pub struct Listener {
    name: &'static str,
    listener: TcpListener,
    connections: Connections,
    failures: Occasional,
    rejections: Occasional,
}

impl Listener {
    /// Bounds the connections of `listener`, which log lines call `name`.
    pub fn new(
        name: &'static str,
        listener: TcpListener,
        connections: Connections,
    ) -> Self {
        Listener {
            name,
            listener,
            connections,
            failures: Occasional::default(),
            rejections: Occasional::default(),
        }
    }

    /// Waits for the next connection.
    pub async fn accept(&mut self) -> Accepted {
        loop {
            match self.listener.accept().await {
                Ok((stream, peer)) => return self.admit(stream, peer),
                Err(err) => self.log_failure(&err),
            }
            tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
        }
    }

    fn admit(&self, stream: TcpStream, peer: SocketAddr) -> Accepted {
        match self.connections.admit() {
            Some(place) => Accepted::Admitted {
                stream,
                peer,
                place,
            },
            None => {
                self.log_rejection();
                Accepted::Rejected
            }
        }
    }

    fn log_failure(&self, err: &io::Error) {
        if let Some(count) = self.failures.due(self.connections.now()) {
            warn!(
                "event=accept_failed listener={} count={count} reason=\"{err}\"",
                self.name
            );
        }
    }

    fn log_rejection(&self) {
        if let Some(count) = self.rejections.due(self.connections.now()) {
            warn!(
                "event=connection_rejected listener={} count={count} connections={}",
                self.name,
                self.connections.open()
            );
        }
    }
}
