//! The open connections of a listener, shared by the tasks that serve them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use clock::{Clock, Millis, SystemClock};
use tokio::sync::Notify;

use crate::{Admission, ConnectionId, ConnectionTable, evictions::Evictions};

/// The open connections of a listener; clones share them.
#[derive(Clone, Debug)]
pub struct Connections {
    shared: Arc<Mutex<Shared>>,
    clock: SystemClock,
}

#[derive(Debug)]
struct Shared {
    table: ConnectionTable,
    evictions: Evictions<ConnectionId>,
}

impl Connections {
    /// Creates a set of at most `open_max` connections.
    pub fn new(open_max: usize, clock: SystemClock) -> Self {
        let shared = Shared {
            table: ConnectionTable::new(open_max),
            evictions: Evictions::default(),
        };
        Connections {
            shared: Arc::new(Mutex::new(shared)),
            clock,
        }
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.lock().table.open()
    }

    /// Changes the number of connections that may be open.
    pub fn set_open_max(&self, open_max: usize) {
        self.lock().table.set_open_max(open_max);
    }

    /// Returns the current time of the clock that the connections go by.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Adds a connection that was accepted; `None` if it has to be closed. Another one
    /// may have to be closed for it; see [`ConnectionTable`].
    pub fn admit(&self) -> Option<Connection> {
        let now = self.clock.now();
        let mut shared = self.lock();
        let id = match shared.table.admit(now) {
            Admission::Admitted(id) => id,
            Admission::Replaced(id, victims) => {
                shared.evictions.evict(&victims);
                id
            }
            Admission::Rejected => return None,
        };
        let eviction = shared.evictions.add(id);
        Some(Connection {
            connections: self.clone(),
            id,
            eviction,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An open connection, until it is dropped.
#[derive(Debug)]
pub struct Connection {
    connections: Connections,
    id: ConnectionId,
    eviction: Arc<Notify>,
}

impl Connection {
    /// Waits until the connection has to be closed for a new one.
    pub async fn evicted(&self) {
        self.eviction.notified().await;
    }

    /// Records that the caller sent something.
    pub fn heard(&self) {
        let now = self.connections.clock.now();
        self.connections.lock().table.heard(self.id, now);
    }

    /// Records that a request has arrived as a whole.
    pub fn request_received(&self) {
        self.connections.lock().table.request_received(self.id);
    }

    /// Records that an answer has ended.
    pub fn answered(&self) {
        let now = self.connections.clock.now();
        self.connections.lock().table.answered(self.id, now);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut shared = self.connections.lock();
        shared.table.close(self.id);
        shared.evictions.remove(self.id);
    }
}
