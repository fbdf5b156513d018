//! A TCP relay that simulates network faults.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

/// Size of a read buffer, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// How the relay treats traffic.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RelayMode {
    /// Forwards all bytes.
    #[default]
    Forward,
    /// Silently discards all traffic of the currently open connections, for
    /// good; new connections work.
    BlackholeOpen,
    /// Silently discards the traffic of all open connections, and closes new
    /// ones at once.
    Partition,
    /// Discards bytes from the server and forwards those from the client.
    BlackholeReplies,
    /// Delays each read on the way to the server by this many milliseconds.
    DelayRequests(u64),
}

/// A handle to a relay in front of one server.
#[derive(Clone, Debug)]
pub struct Relay {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// The mode and its epoch, which counts the changes of mode.
    mode: Arc<watch::Sender<(u64, RelayMode)>>,
}

impl Relay {
    /// Starts a relay in front of `server`.
    pub async fn start(server: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("cannot listen on a loopback address");
        let address = listener.local_addr().expect("the listener has an address");
        let mode = Arc::new(watch::Sender::new((0, RelayMode::Forward)));
        tokio::spawn(accept(listener, server, mode.clone()));
        Relay { address, mode }
    }

    /// Sets how the relay treats traffic.
    pub fn set_mode(&self, mode: RelayMode) {
        self.mode.send_modify(|(epoch, current)| {
            *epoch += 1;
            *current = mode;
        });
    }
}

async fn accept(
    listener: TcpListener,
    server: SocketAddr,
    mode: Arc<watch::Sender<(u64, RelayMode)>>,
) {
    while let Ok((client, _)) = listener.accept().await {
        let (epoch, current) = *mode.borrow();
        if current == RelayMode::Partition {
            continue;
        }
        let Ok(upstream) = TcpStream::connect(server).await else {
            continue;
        };
        let _ = client.set_nodelay(true);
        let _ = upstream.set_nodelay(true);
        let (from_client, to_client) = client.into_split();
        let (from_server, to_server) = upstream.into_split();
        tokio::spawn(forward(
            from_client,
            to_server,
            mode.subscribe(),
            epoch,
            true,
        ));
        tokio::spawn(forward(
            from_server,
            to_client,
            mode.subscribe(),
            epoch,
            false,
        ));
    }
}

/// Forwards one direction of a connection.  A blackholed direction keeps its
/// sockets open forever, as when a middlebox loses its connection state.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<(u64, RelayMode)>,
    opened_epoch: u64,
    to_server: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut blackholed = false;
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            changed = mode.changed() => {
                if changed.is_err() {
                    return;
                }
                let (epoch, current) = *mode.borrow_and_update();
                blackholed |= blackholes(current, epoch > opened_epoch, to_server);
                continue;
            }
        };
        let Ok(count @ 1..) = read else {
            if blackholed {
                std::future::pending::<()>().await;
            }
            return;
        };
        let (epoch, current) = *mode.borrow();
        blackholed |= blackholes(current, epoch > opened_epoch, to_server);
        if blackholed || (current == RelayMode::BlackholeReplies && !to_server) {
            continue;
        }
        if let (RelayMode::DelayRequests(delay_ms), true) = (current, to_server) {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

/// Whether `mode` blackholes a direction.  `opened_before` says that the
/// connection was opened before the mode was set.
fn blackholes(mode: RelayMode, opened_before: bool, to_server: bool) -> bool {
    match mode {
        RelayMode::BlackholeOpen | RelayMode::Partition => opened_before,
        RelayMode::BlackholeReplies => opened_before && !to_server,
        RelayMode::Forward | RelayMode::DelayRequests(_) => false,
    }
}
