//! Many clients that send requests at once and keep their connections open.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{io::AsyncWriteExt, net::TcpStream, task::JoinSet, time::timeout};

use super::{
    gateway_harness::{Reply, read_reply},
    process_stats::queued_bytes,
};

/// Time without progress after which a client sends nothing more.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval of looks at what the kernel holds of the group's bytes.
const SETTLE_INTERVAL: Duration = Duration::from_millis(100);

/// Number of looks without a change after which nothing more is read.
const SETTLE_LOOKS: u32 = 20;

/// Bytes that a client writes at a time.
const WRITE_BYTES: usize = 64 * 1024;

/// One client of a group, with its open connection.
#[derive(Debug)]
pub struct Client {
    /// Its number; the request that it sent has the id `c` and this number.
    pub number: usize,
    stream: TcpStream,
}

impl Client {
    /// Id of its request.
    pub fn request_id(&self) -> String {
        request_id(self.number)
    }

    /// Reads the answer to its request, or the end of its connection.
    pub async fn reply(&mut self) -> Reply {
        read_reply(&mut self.stream).await
    }
}

fn request_id(number: usize) -> String {
    format!("c{number}")
}

/// Clients whose connections are open until it is dropped.
#[derive(Debug, Default)]
pub struct ClientGroup {
    pub clients: Vec<Client>,
}

impl ClientGroup {
    /// Connects `count` clients at once; each sends the head for its request id, then
    /// `body`, until it has sent everything, its connection is closed, or nothing more is
    /// taken.
    pub async fn send<F>(
        address: SocketAddr,
        count: usize,
        head: F,
        body: Vec<u8>,
    ) -> ClientGroup
    where
        F: Fn(&str) -> String,
    {
        let body = Arc::new(body);
        let mut sending = JoinSet::new();
        for number in 0..count {
            let head = head(&request_id(number));
            sending.spawn(send_one(address, number, head, body.clone()));
        }
        let mut group = ClientGroup::default();
        while let Some(sent) = sending.join_next().await {
            group.clients.extend(sent.expect("the client ends"));
        }
        group.clients.sort_by_key(|client| client.number);
        wait_settled(address).await;
        group
    }
}

/// Waits until the listener has read all that was sent to it, or reads nothing more.
async fn wait_settled(listener: SocketAddr) {
    let mut queued = queued_bytes(listener);
    let mut looks = 0;
    while queued.unsent + queued.unread > 0 && looks < SETTLE_LOOKS {
        tokio::time::sleep(SETTLE_INTERVAL).await;
        let now = queued_bytes(listener);
        looks = if now == queued { looks + 1 } else { 0 };
        queued = now;
    }
}

/// Returns `None` if the connection could not be opened.
async fn send_one(
    address: SocketAddr,
    number: usize,
    head: String,
    body: Arc<Vec<u8>>,
) -> Option<Client> {
    let connecting = timeout(STALL_TIMEOUT, TcpStream::connect(address));
    let mut stream = connecting.await.ok()?.ok()?;
    let pieces = std::iter::once(head.as_bytes()).chain(body.chunks(WRITE_BYTES));
    for piece in pieces {
        let written = timeout(STALL_TIMEOUT, stream.write_all(piece)).await;
        if !matches!(written, Ok(Ok(()))) {
            break;
        }
    }
    Some(Client { number, stream })
}

/// Encodes `len` bytes of a body in chunks of `chunk_len` bytes, without the last chunk.
pub fn chunks(len: usize, chunk_len: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut left = len;
    while left > 0 {
        let now = left.min(chunk_len);
        bytes.extend_from_slice(format!("{now:x}\r\n").as_bytes());
        bytes.resize(bytes.len() + now, b'd');
        bytes.extend_from_slice(b"\r\n");
        left -= now;
    }
    bytes
}
