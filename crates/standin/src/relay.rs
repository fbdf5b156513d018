//! A byte relay that can go silent for good.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

/// Bytes read at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// What the relay does with the bytes of a connection.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RelayMode {
    /// Passes them on.
    #[default]
    Forward,
    /// Connections that are open now go silent in both directions for good;
    /// new ones work.
    BlackholeOpen,
    /// All connections are silent, and new ones are refused.
    Partition,
    /// Bytes from the server are withheld; those from the client pass.
    BlackholeReplies,
    /// Bytes wait this many ms on the way to the server.
    DelayRequests(u64),
}

/// A relay in this process, before one server.
#[derive(Clone, Debug)]
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    mode: Arc<watch::Sender<(u64, RelayMode)>>,
}

impl Relay {
    /// Starts a relay before `server`.
    pub async fn start(server: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a relay can listen");
        let address = listener.local_addr().expect("a listener has an address");
        let mode = Arc::new(watch::Sender::new((0, RelayMode::Forward)));
        tokio::spawn(accept(listener, server, mode.clone()));
        Relay { address, mode }
    }

    /// Changes what the relay does.
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
        tokio::spawn(pump(from_client, to_server, mode.subscribe(), epoch, true));
        tokio::spawn(pump(from_server, to_client, mode.subscribe(), epoch, false));
    }
}

/// Copies one direction; a silent one holds its sockets open for ever, as a
/// lost entry in a middlebox does.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<(u64, RelayMode)>,
    born: u64,
    to_server: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut deaf = false;
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            changed = mode.changed() => {
                if changed.is_err() {
                    return;
                }
                let (epoch, current) = *mode.borrow_and_update();
                deaf |= silences(current, epoch > born, to_server);
                continue;
            }
        };
        let Ok(count @ 1..) = read else {
            if deaf {
                std::future::pending::<()>().await;
            }
            return;
        };
        let (epoch, current) = *mode.borrow();
        deaf |= silences(current, epoch > born, to_server);
        if deaf || (current == RelayMode::BlackholeReplies && !to_server) {
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

fn silences(mode: RelayMode, older: bool, to_server: bool) -> bool {
    match mode {
        RelayMode::BlackholeOpen | RelayMode::Partition => older,
        RelayMode::BlackholeReplies => older && !to_server,
        RelayMode::Forward | RelayMode::DelayRequests(_) => false,
    }
}
