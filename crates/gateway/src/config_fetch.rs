//! Fetches the configuration from a peer while the log cannot be read.
//!
//! The log may be unreachable for some gateways only. Each status includes its
//! sender's configuration version, which shows a gateway whether its own is
//! outdated.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use link::Connection;
use log::warn;

use crate::state::Gateway;

/// Path under which a gateway serves its configuration to peers.
pub(crate) const PATH: &str = "/configuration";

/// Interval of checks for a peer with a newer configuration, ms.
const POLL_INTERVAL_MS: u64 = 200;

/// Timeout for a peer's answer, ms.
const FETCH_TIMEOUT_MS: u64 = 800;

/// Maximum size of a configuration, bytes.
const RECORD_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Fetches newer configurations from peers, for as long as the process runs.
pub(crate) async fn run(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        if !gateway.log_lost.get() {
            continue;
        }
        let version = gateway.catalog().map_or(0, |catalog| catalog.version);
        let now = gateway.now();
        let peer = gateway.peers.borrow().newer_catalog(version, now);
        let Some(peer) = peer else {
            continue;
        };
        let limit = Duration::from_millis(FETCH_TIMEOUT_MS);
        match tokio::time::timeout(limit, fetch(peer)).await {
            Ok(Some(record)) => gateway.install(&record, "peer"),
            Ok(None) | Err(_) => warn!("event=config_fetch_failed peer={peer}"),
        }
    }
}

async fn fetch(peer: SocketAddr) -> Option<Bytes> {
    let mut connection = Connection::open(peer, FETCH_TIMEOUT_MS).await.ok()?;
    let request = Request::get(PATH)
        .header(header::HOST, peer.to_string())
        .body(Full::default())
        .ok()?;
    let response = connection.send(request).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let body = Limited::new(response.into_body(), RECORD_MAX_BYTES);
    Some(body.collect().await.ok()?.to_bytes())
}
