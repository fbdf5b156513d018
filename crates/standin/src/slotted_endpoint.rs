//! A plain endpoint of the users' platform that runs few requests at once.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};

use crate::scripted_endpoint::{read_request, response};

/// What the endpoint has done so far.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SlottedCounts {
    /// Requests that ran, by team.
    pub ran: BTreeMap<String, u32>,
    /// Requests that were refused since the queue was full.
    pub refused: u32,
    /// Highest number of requests that ran or waited at once.
    pub held_most: usize,
    held: usize,
}

/// A handle to an endpoint that runs in this process.
#[derive(Clone, Debug)]
pub struct SlottedEndpoint {
    /// Address that it listens on.
    pub address: SocketAddr,
    slots: Arc<Semaphore>,
    held_max: usize,
    work: Duration,
    counts: Arc<Mutex<SlottedCounts>>,
}

impl SlottedEndpoint {
    /// Starts an endpoint with `slots` that runs each request for `work`, queues
    /// `queue_max` and refuses beyond that.
    pub async fn start(slots: usize, queue_max: usize, work: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("cannot listen on a loopback address");
        let address = listener.local_addr().expect("the listener has an address");
        let endpoint = SlottedEndpoint {
            address,
            slots: Arc::new(Semaphore::new(slots)),
            held_max: slots + queue_max,
            work,
            counts: Arc::default(),
        };
        let served = endpoint.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let served = served.clone();
                tokio::spawn(async move { served.serve(stream).await });
            }
        });
        endpoint
    }

    fn lock(&self) -> MutexGuard<'_, SlottedCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what the endpoint has done so far.
    pub fn counts(&self) -> SlottedCounts {
        self.lock().clone()
    }

    /// Takes a place in the queue, if there is one.
    fn try_hold(&self) -> bool {
        let mut counts = self.lock();
        if counts.held >= self.held_max {
            counts.refused += 1;
            return false;
        }
        counts.held += 1;
        counts.held_most = counts.held_most.max(counts.held);
        true
    }

    async fn serve(&self, mut stream: TcpStream) {
        while let Some(request) = read_request(&mut stream).await {
            let id = request.header("x-request-id").unwrap_or_default();
            let team = request.header("x-tenant").unwrap_or_default();
            let text = if self.try_hold() {
                let permit = self.slots.acquire().await;
                tokio::time::sleep(self.work).await;
                drop(permit);
                let mut counts = self.lock();
                counts.held -= 1;
                *counts.ran.entry(team.to_owned()).or_default() += 1;
                response("200 OK", id, "x-server-seal: s1\r\n", "ran")
            } else {
                let unrun = "x-not-executed: 1\r\n";
                response("503 Service Unavailable", id, unrun, "")
            };
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}
