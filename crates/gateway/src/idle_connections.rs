//! Connections to endpoints that wait for their next request.

use std::{collections::HashMap, net::SocketAddr};

use clock::Millis;
use link::Link;

/// Most connections kept for one endpoint.
const PER_ENDPOINT_MAX: usize = 16;

/// Time for which a connection is kept whose endpoint names none, ms.
const KEEP_ALIVE_DEFAULT_MS: u64 = 1_500;

/// Time by which a connection is given up before its endpoint would, ms.
const KEEP_ALIVE_MARGIN_MS: u64 = 500;

#[derive(Debug)]
struct IdleConnection {
    link: Link,
    until: Millis,
}

/// Idle connections by endpoint.
#[derive(Debug, Default)]
pub(crate) struct IdleConnections {
    by_address: HashMap<SocketAddr, Vec<IdleConnection>>,
}

impl IdleConnections {
    /// Takes a connection that can be used at once.
    pub fn take(&mut self, address: SocketAddr, now: Millis) -> Option<Link> {
        let idle = self.by_address.get_mut(&address)?;
        while let Some(newest) = idle.pop() {
            if newest.until > now && newest.link.is_idle() {
                return Some(newest.link);
            }
        }
        self.by_address.remove(&address);
        None
    }

    /// Keeps a connection; `timeout_s` is how long its endpoint keeps it.
    pub fn keep(
        &mut self,
        address: SocketAddr,
        link: Link,
        timeout_s: Option<u64>,
        now: Millis,
    ) {
        let keep_alive_ms =
            timeout_s.map_or(KEEP_ALIVE_DEFAULT_MS, |s| s.saturating_mul(1_000));
        let until = now.plus(keep_alive_ms.saturating_sub(KEEP_ALIVE_MARGIN_MS));
        let idle = self.by_address.entry(address).or_default();
        idle.retain(|idle| idle.until > now);
        if idle.len() < PER_ENDPOINT_MAX && until > now {
            idle.push(IdleConnection { link, until });
        }
    }

    /// Closes what has waited too long.
    pub fn expire(&mut self, now: Millis) {
        self.by_address.retain(|_, idle| {
            idle.retain(|idle| idle.until > now);
            !idle.is_empty()
        });
    }
}
