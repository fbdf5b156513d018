//! Takes the configuration from a peer while the log cannot be read.
//!
//! The log may turn some gateways away and serve the others.  Each word tells
//! its sender's version, so that a gateway knows what it lacks.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use link::Connection;
use log::warn;

use crate::state::Gateway;

/// Path under which a gateway serves its configuration to others.
pub(crate) const PATH: &str = "/configuration";

/// Time between looks at what peers have, ms.
const LOOK_MS: u64 = 200;

/// Longest wait for a peer's answer, ms.
const FETCH_TIMEOUT_MS: u64 = 800;

/// Largest configuration that is taken, bytes.
const RECORD_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Asks peers for what is newer, for good.
pub(crate) async fn look_after(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
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
    let mut link = Connection::open(peer, FETCH_TIMEOUT_MS).await.ok()?;
    let request = Request::get(PATH)
        .header(header::HOST, peer.to_string())
        .body(Full::default())
        .ok()?;
    let response = link.send(request).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let body = Limited::new(response.into_body(), RECORD_MAX_BYTES);
    Some(body.collect().await.ok()?.to_bytes())
}
