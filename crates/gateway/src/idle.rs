//! Connections to endpoints that wait for their next request.

use std::{collections::HashMap, net::SocketAddr};

use clock::Millis;
use link::Connection;

/// Most connections kept for one endpoint.
const KEPT_MAX: usize = 16;

/// Time for which a connection is kept whose endpoint names none, ms.
const KEPT_MS: u64 = 1_500;

/// Time by which a connection is given up before its endpoint would, ms.
const MARGIN_MS: u64 = 500;

#[derive(Debug)]
struct Kept {
    link: Connection,
    until: Millis,
}

/// Idle connections by endpoint.
#[derive(Debug, Default)]
pub(crate) struct IdleLinks {
    kept: HashMap<SocketAddr, Vec<Kept>>,
}

impl IdleLinks {
    /// Takes a connection that can be used at once.
    pub fn take(&mut self, address: SocketAddr, now: Millis) -> Option<Connection> {
        let kept = self.kept.get_mut(&address)?;
        while let Some(newest) = kept.pop() {
            if newest.until > now && newest.link.is_idle() {
                return Some(newest.link);
            }
        }
        self.kept.remove(&address);
        None
    }

    /// Keeps a connection; `stated_s` is how long its endpoint keeps it.
    pub fn keep(
        &mut self,
        address: SocketAddr,
        link: Connection,
        stated_s: Option<u64>,
        now: Millis,
    ) {
        let kept_ms = stated_s.map_or(KEPT_MS, |s| s.saturating_mul(1_000));
        let until = now.plus(kept_ms.saturating_sub(MARGIN_MS));
        let kept = self.kept.entry(address).or_default();
        kept.retain(|kept| kept.until > now);
        if kept.len() < KEPT_MAX && until > now {
            kept.push(Kept { link, until });
        }
    }

    /// Closes what has waited too long.
    pub fn expire(&mut self, now: Millis) {
        self.kept.retain(|_, kept| {
            kept.retain(|kept| kept.until > now);
            !kept.is_empty()
        });
    }
}
