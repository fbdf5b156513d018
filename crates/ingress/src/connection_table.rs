//! Decides which connections of callers stay open.
//!
//! The load pattern is many clients that open connections and stay, with as much of
//! a request as each has sent. The descriptors that they take are missing for ordinary
//! callers, and for the way to endpoints, the log and peers. A connection on which the
//! process waits for its caller can be closed without harm to any request that has run,
//! so the one that was silent longest gives way to a new one.

use std::collections::BTreeMap;

use clock::Millis;

/// Identifies a connection in a table.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ConnectionId(u64);

/// What a connection is waiting for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Activity {
    /// For its caller, who was heard last at this time.
    Caller(Millis),
    /// For the answer to a request that has arrived as a whole.
    Answer,
}

/// What happens to a new connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It stays open.
    Admitted(ConnectionId),
    /// It stays open, and the others have to be closed.
    Replaced(ConnectionId, Vec<ConnectionId>),
    /// It has to be closed, since every other one has a request in progress.
    Rejected,
}

/// The open connections of a listener.
#[derive(Debug)]
pub struct ConnectionTable {
    open_max: usize,
    connections: BTreeMap<ConnectionId, Activity>,
    next_id: u64,
}

impl ConnectionTable {
    /// Creates a table of at most `open_max` connections.
    pub fn new(open_max: usize) -> Self {
        ConnectionTable {
            open_max,
            connections: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Changes the number of connections that may be open. None is closed for that until
    /// the next new one.
    pub fn set_open_max(&mut self, open_max: usize) {
        self.open_max = open_max;
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.connections.len()
    }

    /// Adds a new connection if it can stay open.
    pub fn admit(&mut self, now: Millis) -> Admission {
        if self.open() < self.open_max {
            return Admission::Admitted(self.add(now));
        }
        let mut victims = Vec::new();
        while self.open() >= self.open_max {
            let Some(victim) = self.longest_silent() else {
                break;
            };
            self.connections.remove(&victim);
            victims.push(victim);
        }
        if victims.is_empty() {
            return Admission::Rejected;
        }
        Admission::Replaced(self.add(now), victims)
    }

    fn add(&mut self, now: Millis) -> ConnectionId {
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        self.connections.insert(id, Activity::Caller(now));
        id
    }

    fn longest_silent(&self) -> Option<ConnectionId> {
        let silent = self.connections.iter().filter_map(|(id, activity)| {
            let Activity::Caller(since) = activity else {
                return None;
            };
            Some((*since, *id))
        });
        silent.min().map(|(_, id)| id)
    }

    /// Records that the caller sent something.
    pub fn heard(&mut self, id: ConnectionId, now: Millis) {
        if let Some(Activity::Caller(since)) = self.connections.get_mut(&id) {
            *since = now;
        }
    }

    /// Records that a request has arrived as a whole.
    pub fn request_received(&mut self, id: ConnectionId) {
        if let Some(activity) = self.connections.get_mut(&id) {
            *activity = Activity::Answer;
        }
    }

    /// Records that an answer has ended.
    pub fn answered(&mut self, id: ConnectionId, now: Millis) {
        if let Some(activity) = self.connections.get_mut(&id) {
            *activity = Activity::Caller(now);
        }
    }

    /// Removes a connection that is closed, if it is still in the table.
    pub fn close(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }
}
