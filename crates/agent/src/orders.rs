//! Orders that make the engine load and unload versions until it matches the
//! endpoint's placement.
//!
//! An order carries the placement's revision as its fencing token.  For engines
//! that do not check it, only this agent prevents a stale order: it never acts
//! on a revision older than the last one it acted on, and it checks the end of
//! the log immediately before it sends an order, because the process may have
//! been paused while an operator changed the placement.  See
//! `docs/design/orders.md`.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use bytes::Bytes;
use http::StatusCode;
use log::{info, warn};
use rand::RngExt;
use serde::Serialize;
use store::{CONFIG_STREAM, ConfigHealth};
use telemetry::Event;
use volo_http::{body::Body, response::Response};

use crate::{Agent, engine};

/// Interval between comparisons of the placement with the engine, ms.
const CHECK_INTERVAL_MS: u64 = 200;

/// Maximum age of a decision when its order is sent, ms.  An agent that was
/// paused for longer decides again.
const DECISION_AGE_MAX_MS: u64 = 1_000;

/// Timeout for the engine to execute an order, ms.
const ORDER_TIMEOUT_MS: u64 = 60_000;

/// Minimum delay after a failed order, ms; the maximum is twice as long.
const RETRY_DELAY_MIN_MS: u64 = 500;

#[derive(Clone, Debug, Serialize)]
struct Order {
    fence: u64,
    order: &'static str,
    version: String,
}

/// Sends orders forever to make the engine match the endpoint's placement.
/// Returns at once for a plain service, which has no versions to load.
pub(crate) async fn reconcile_placement(agent: Rc<Agent>) {
    if !agent.node.settings.agent.service.is_empty() {
        return;
    }
    let mut last_fence = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        if next_order(&agent, last_fence).is_none() {
            continue;
        }
        let decided_at = agent.now();
        // The polled load may be older than the last executed order.
        if engine::refresh_load(&agent).await.is_err() {
            continue;
        }
        let Some(order) = next_order(&agent, last_fence) else {
            continue;
        };
        let engine_checks_fence = agent.node.settings.agent.checks_fencing;
        if !engine_checks_fence && !is_current(&agent, &order).await {
            continue;
        }
        if agent.now().since(decided_at) > DECISION_AGE_MAX_MS {
            continue;
        }
        last_fence = order.fence;
        if !send_order(&agent, &order).await {
            // The store of model weights is rate-limited; random delays spread
            // the retries of many engines.
            let delay_ms =
                rand::rng().random_range(RETRY_DELAY_MIN_MS..2 * RETRY_DELAY_MIN_MS);
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }
}

/// Returns the next order that brings the engine closer to its placement, if any.
fn next_order(agent: &Agent, last_fence: u64) -> Option<Order> {
    // While the log is unavailable, the placement may be out of date.
    if agent.node.health() != ConfigHealth::Fresh {
        return None;
    }
    let config = agent.node.view.current();
    let placement = config.placements.get(&agent.node.settings.agent.endpoint)?;
    let fence = placement.revision;
    if fence < last_fence {
        return None;
    }
    let desired: BTreeSet<&String> = placement.value.versions.iter().collect();
    let load = agent.load.borrow();
    let missing = desired
        .iter()
        .find(|version| !load.versions.contains(**version));
    if let Some(version) = missing {
        let version = (*version).clone();
        return Some(Order {
            fence,
            order: "load",
            version,
        });
    }
    // A version is unloaded only after its attempts have ended.
    let is_idle = |version: &&String| agent.gate.borrow().running_on(version) == 0;
    let mut unwanted = load
        .versions
        .iter()
        .filter(|version| !desired.contains(version));
    let version = unwanted.find(is_idle)?.clone();
    Some(Order {
        fence,
        order: "unload",
        version,
    })
}

/// Returns whether this agent has applied the whole log and the placement still
/// has the order's revision.
async fn is_current(agent: &Agent, order: &Order) -> bool {
    let next_offset = agent.node.view.offset();
    let page = agent
        .node
        .store
        .read(CONFIG_STREAM, next_offset, 1, 0)
        .await;
    let at_end = page.is_ok_and(|page| page.records.is_empty());
    let config = agent.node.view.current();
    let placement = config.placements.get(&agent.node.settings.agent.endpoint);
    at_end && placement.is_some_and(|placement| placement.revision == order.fence)
}

/// Sends an order and returns whether the engine executed it.
async fn send_order(agent: &Agent, order: &Order) -> bool {
    let address = agent.node.settings.agent.endpoint_address;
    let body = serde_json::to_vec(order).expect("an order always encodes");
    let request = agent
        .client
        .post(format!("http://{address}/v1/orders"))
        .body(Body::from(Bytes::from(body)));
    let limit = Duration::from_millis(ORDER_TIMEOUT_MS);
    let result: Result<Result<Response, _>, _> =
        tokio::time::timeout(limit, request.send()).await;
    let event = Event::new("order")
        .with("order", order.order)
        .with("version", &order.version)
        .with("fence", order.fence);
    match result {
        Ok(Ok(response)) if response.status().is_success() => {
            info!("{event}");
            return true;
        }
        Ok(Ok(response)) if response.status() == StatusCode::CONFLICT => {
            warn!(
                "{}",
                event.with("refused", "the engine has seen a newer fencing token")
            );
        }
        Ok(Ok(response)) => warn!("{}", event.with("refused", response.status())),
        Ok(Err(err)) => warn!("{}", event.with("failed", err)),
        Err(_) => warn!("{}", event.with("failed", "timed out")),
    }
    false
}
