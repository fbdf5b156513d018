//! A path of datagrams between two processes that can be cut.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use tokio::{net::UdpSocket, sync::watch, task::JoinHandle};

/// Larger than any datagram between gateways.
const BUFFER_BYTES: usize = 2_000;

/// Forwards datagrams between two processes, each of which sees one end as the address of
/// the other. The processes' own addresses are learned from what they send.
pub struct DatagramPath {
    /// The address to give to the first process, and to the second one.
    pub ends: [SocketAddr; 2],
    is_cut: Arc<AtomicBool>,
    tasks: [JoinHandle<()>; 2],
}

impl DatagramPath {
    /// Opens a path on free ports of the loopback interface.
    pub async fn open() -> DatagramPath {
        let first = bind().await;
        let second = bind().await;
        let ends = [&first, &second]
            .map(|socket| socket.local_addr().expect("the address of a bound socket"));
        let is_cut = Arc::new(AtomicBool::new(false));
        let (first_known, first_address) = watch::channel(None);
        let (second_known, second_address) = watch::channel(None);
        let tasks = [
            tokio::spawn(forward(
                first.clone(),
                second.clone(),
                first_known,
                second_address,
                is_cut.clone(),
            )),
            tokio::spawn(forward(
                second,
                first,
                second_known,
                first_address,
                is_cut.clone(),
            )),
        ];
        DatagramPath {
            ends,
            is_cut,
            tasks,
        }
    }

    /// Drops all datagrams from now on, in both directions.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::Relaxed);
    }
}

impl Drop for DatagramPath {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn bind() -> Arc<UdpSocket> {
    let socket: io::Result<UdpSocket> = UdpSocket::bind("127.0.0.1:0").await;
    Arc::new(socket.expect("binds a socket"))
}

/// Forwards what arrives at `near` to the process at `far_address`, from `far`.
async fn forward(
    near: Arc<UdpSocket>,
    far: Arc<UdpSocket>,
    near_known: watch::Sender<Option<SocketAddr>>,
    far_address: watch::Receiver<Option<SocketAddr>>,
    is_cut: Arc<AtomicBool>,
) {
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        // An error is an ICMP message about a process that has ended.
        let Ok((length, from)) = near.recv_from(&mut buffer).await else {
            continue;
        };
        near_known.send_replace(Some(from));
        let to = *far_address.borrow();
        if let Some(to) = to.filter(|_| !is_cut.load(Ordering::Relaxed)) {
            let _ = far.send_to(&buffer[..length], to).await;
        }
    }
}
