//! Fetches the configuration from a peer that has a newer one than the log gives.
//!
//! The log may be unreachable for some gateways only, and after it was restored from
//! an older copy, a gateway that starts finds an outdated configuration there. Each
//! status includes its sender's configuration version, which shows a gateway whether
//! its own is outdated.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use clock::Millis;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use link::Connection;
use log::warn;

use crate::state::Gateway;

/// Path under which a gateway serves its configuration to peers.
pub(crate) const PATH: &str = "/configuration";

/// Interval of checks for a peer with a newer configuration, ms.
const POLL_INTERVAL_MS: u64 = 200;

/// Timeout for a peer's answer, ms.
const FETCH_TIMEOUT_MS: u64 = 800;

/// Time for which a peer must have a newer configuration than the log gives before it
/// is fetched from there although the log can be read, ms. The log does not answer all
/// gateways at the same time.
const LAG_MIN_MS: u64 = 600;

/// Maximum size of a configuration, bytes.
const RECORD_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Fetches newer configurations from peers, for as long as the process runs.
pub(crate) async fn run(gateway: Rc<Gateway>) {
    let mut behind_since: Option<Millis> = None;
    loop {
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        let version = gateway.catalog().map_or(0, |catalog| catalog.version);
        let now = gateway.now();
        let peer = gateway.peers.borrow().newer_catalog(version, now);
        let Some(peer) = peer else {
            behind_since = None;
            continue;
        };
        let since = *behind_since.get_or_insert(now);
        if !gateway.log_lost.get() && now.since(since) < LAG_MIN_MS {
            continue;
        }
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
    let mut body = response.into_body();
    ingress::read_body(&mut body, RECORD_MAX_BYTES).await.ok()
}
