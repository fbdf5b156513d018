//! Idle connections to endpoints, kept for later requests.

use std::{collections::HashMap, net::SocketAddr};

use clock::Millis;
use link::Connection;

/// Maximum number of idle connections per endpoint.
const PER_ENDPOINT_MAX: u32 = 16;

/// Fraction of the connections that an endpoint accepts from all gateways which may be
/// idle.  Requests that run at most once always need a new connection, and one beyond
/// the endpoint's limit is reset after the request was sent, so that it may have run.
const IDLE_FRACTION: f64 = 0.4;

/// Returns how many idle connections one of `gateways` keeps to an endpoint that
/// accepts `connections_max` in all; zero stands for no known limit.
pub fn idle_max(connections_max: u32, gateways: usize) -> usize {
    if connections_max == 0 {
        return PER_ENDPOINT_MAX as usize;
    }
    let share = f64::from(connections_max) * IDLE_FRACTION / gateways.max(1) as f64;
    (share as u32).min(PER_ENDPOINT_MAX) as usize
}

/// Time for which a connection is kept if its endpoint states no timeout, ms.
const KEEP_ALIVE_DEFAULT_MS: u64 = 1_500;

/// Time before the endpoint's timeout at which a connection is closed, ms, so that
/// no request is sent on a connection that the endpoint is closing.
const KEEP_ALIVE_MARGIN_MS: u64 = 500;

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    until: Millis,
}

/// Idle connections by the endpoint's address.
#[derive(Debug, Default)]
pub(crate) struct IdleConnections {
    by_address: HashMap<SocketAddr, Vec<IdleConnection>>,
}

impl IdleConnections {
    /// Removes and returns the newest connection that is ready for a request.
    pub fn take(&mut self, address: SocketAddr, now: Millis) -> Option<Connection> {
        let idle = self.by_address.get_mut(&address)?;
        while let Some(newest) = idle.pop() {
            if newest.until > now && newest.connection.is_idle() {
                return Some(newest.connection);
            }
        }
        self.by_address.remove(&address);
        None
    }

    /// Keeps a connection unless `idle_max` are kept; `timeout_s` is the keep-alive
    /// timeout that the endpoint stated.
    pub fn keep(
        &mut self,
        address: SocketAddr,
        connection: Connection,
        idle_max: usize,
        timeout_s: Option<u64>,
        now: Millis,
    ) {
        let keep_alive_ms =
            timeout_s.map_or(KEEP_ALIVE_DEFAULT_MS, |s| s.saturating_mul(1_000));
        let until = now.plus(keep_alive_ms.saturating_sub(KEEP_ALIVE_MARGIN_MS));
        let idle = self.by_address.entry(address).or_default();
        idle.retain(|idle| idle.until > now);
        if idle.len() < idle_max && until > now {
            idle.push(IdleConnection { connection, until });
        }
    }

    /// Closes connections whose keep-alive timeout has passed.
    pub fn expire(&mut self, now: Millis) {
        self.by_address.retain(|_, idle| {
            idle.retain(|idle| idle.until > now);
            !idle.is_empty()
        });
    }
}
