//! State of a caller's connection.

use std::{cell::Cell, rc::Rc};

use catalog::Limits;
use clock::Millis;
use ingress::{Connection, StreamObserver};

use crate::state::Gateway;

/// Time after the start of draining in which idle connections may still send a
/// request, ms.
const IDLE_DRAIN_MS: u64 = 1_500;

/// State of a caller's connection.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    pub gateway: Rc<Gateway>,
    /// Its place among the open connections.
    place: Connection,
    busy: Cell<bool>,
    /// Whether the rest of a refused body is being discarded.
    discarding: Cell<bool>,
    head_since: Cell<Option<Millis>>,
    idle_since: Cell<Millis>,
}

/// What to do with a connection after a check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Check {
    Keep,
    HeadTooSlow,
    IdleTooLong,
    Stop,
}

impl ConnectionState {
    pub fn new(gateway: Rc<Gateway>, place: Connection) -> Self {
        let idle_since = Cell::new(gateway.now());
        ConnectionState {
            gateway,
            place,
            busy: Cell::default(),
            discarding: Cell::default(),
            head_since: Cell::default(),
            idle_since,
        }
    }

    /// Waits until the connection has to be closed for a new one.
    pub async fn evicted(&self) {
        self.place.evicted().await;
    }

    /// Records that a request's head is complete; returns the time.
    ///
    /// The request's deadline counts from here and not from its first byte, since
    /// a caller may send the beginning of a head long before the rest.
    pub fn request_started(&self) -> Millis {
        self.busy.set(true);
        self.head_since.set(None);
        let open = &self.gateway.stats.requests_open;
        open.set(open.get() + 1);
        self.gateway.now()
    }

    /// Records that the request arrived as a whole, so that its caller now waits for the
    /// gateway.
    pub fn request_received(&self) {
        self.place.request_received();
    }

    /// Records that an answer was sent or abandoned.
    pub fn request_ended(&self) {
        self.idle_since.set(self.gateway.now());
        self.place.answered();
        if self.busy.replace(false) {
            let open = &self.gateway.stats.requests_open;
            open.set(open.get() - 1);
        }
    }

    /// Records that the rest of a refused body is discarded until the result is dropped.
    pub fn start_discarding(self: &Rc<Self>) -> Discarding {
        self.discarding.set(true);
        Discarding(self.clone())
    }

    /// Decides whether the connection stays open.
    pub fn check(&self, limits: &Limits) -> Check {
        let now = self.gateway.now();
        let draining_since = self.gateway.draining_since();
        if self.busy.get() {
            return if draining_since.is_some() {
                Check::Stop
            } else {
                Check::Keep
            };
        }
        if self.discarding.get() {
            return Check::Keep;
        }
        if let Some(since) = self.head_since.get() {
            let late = now.since(since) > limits.head_timeout_ms;
            return if late {
                Check::HeadTooSlow
            } else {
                Check::Keep
            };
        }
        if draining_since.is_some_and(|since| now.since(since) > IDLE_DRAIN_MS) {
            return Check::Stop;
        }
        if now.since(self.idle_since.get()) > limits.idle_timeout_ms {
            return Check::IdleTooLong;
        }
        Check::Keep
    }
}

impl StreamObserver for ConnectionState {
    fn bytes_received(&self) {
        self.place.heard();
        let is_body = self.busy.get() || self.discarding.get();
        if !is_body && self.head_since.get().is_none() {
            self.head_since.set(Some(self.gateway.now()));
        }
    }
}

impl Drop for ConnectionState {
    fn drop(&mut self) {
        self.request_ended();
    }
}

/// The discarding of a refused body's rest on a connection, until it is dropped.
#[derive(Debug)]
pub(crate) struct Discarding(Rc<ConnectionState>);

impl Drop for Discarding {
    fn drop(&mut self) {
        self.0.discarding.set(false);
        self.0.idle_since.set(self.0.gateway.now());
    }
}
