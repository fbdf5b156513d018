//! Orders to the engine: loads and unloads versions as the endpoint's placement
//! says.
//!
//! An order carries the placement's revision as its fencing number.  Engines
//! that ignore it have only this agent between them and an old order: it
//! acts on nothing older than it acted on before, and looks at the log's end
//! at the last instant, since it may have been paused while an operator
//! changed the placement.  See `docs/design/orders.md`.

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

/// Time between two looks at the placement, ms.
const LOOK_MS: u64 = 200;

/// Longest time from a decision to its order, ms; a paused agent decides anew.
const ACT_WITHIN_MS: u64 = 1_000;

/// Longest wait for the engine to carry out an order, ms.
const ORDER_TIMEOUT_MS: u64 = 60_000;

/// Least pause after an order that was not carried out, ms.
const AGAIN_MS: u64 = 500;

#[derive(Clone, Debug, Serialize)]
struct Order {
    fence: u64,
    order: &'static str,
    version: String,
}

/// Carries out the endpoint's placement for ever.
pub(crate) async fn run(agent: Rc<Agent>) {
    if !agent.node.settings.agent.service.is_empty() {
        return;
    }
    let mut acted_on = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        if next_order(&agent, acted_on).is_none() {
            continue;
        }
        let decided_at = agent.now();
        // The load that was polled may lag behind an order just carried out.
        if engine::refresh_load(&agent).await.is_err() {
            continue;
        }
        let Some(order) = next_order(&agent, acted_on) else {
            continue;
        };
        let engine_checks = agent.node.settings.agent.checks_fencing;
        if !engine_checks && !is_current(&agent, &order).await {
            continue;
        }
        if agent.now().since(decided_at) > ACT_WITHIN_MS {
            continue;
        }
        acted_on = order.fence;
        if !send(&agent, &order).await {
            // The weight store is rate-limited, and many engines may ask.
            let pause_ms = rand::rng().random_range(AGAIN_MS..2 * AGAIN_MS);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }
}

/// The next order that brings the engine closer to its placement, if any.
fn next_order(agent: &Agent, acted_on: u64) -> Option<Order> {
    // While the log is down nobody knows whether the placement still holds.
    if agent.node.health() != ConfigHealth::Fresh {
        return None;
    }
    let config = agent.node.view.current();
    let placement = config.placements.get(&agent.node.settings.agent.endpoint)?;
    let fence = placement.revision;
    if fence < acted_on {
        return None;
    }
    let wanted: BTreeSet<&String> = placement.value.versions.iter().collect();
    let load = agent.load.borrow();
    let missing = wanted
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
    // What runs is not cut off by an order.
    let idle = |version: &&String| agent.gate.borrow().running_on(version) == 0;
    let mut surplus = load
        .versions
        .iter()
        .filter(|version| !wanted.contains(version));
    let version = surplus.find(idle)?.clone();
    Some(Order {
        fence,
        order: "unload",
        version,
    })
}

/// Whether the log holds nothing that this agent has not folded, and the
/// placement still says so.
async fn is_current(agent: &Agent, order: &Order) -> bool {
    let next = agent.node.view.offset();
    let read = agent.node.store.read(CONFIG_STREAM, next, 1, 0).await;
    let at_end = read.is_ok_and(|page| page.records.is_empty());
    let config = agent.node.view.current();
    let placement = config.placements.get(&agent.node.settings.agent.endpoint);
    at_end && placement.is_some_and(|placement| placement.revision == order.fence)
}

/// Gives an order; tells whether the engine carried it out.
async fn send(agent: &Agent, order: &Order) -> bool {
    let address = agent.node.settings.agent.endpoint_address;
    let body = serde_json::to_vec(order).expect("an order always encodes");
    let request = agent
        .client
        .post(format!("http://{address}/v1/orders"))
        .body(Body::from(Bytes::from(body)));
    let limit = Duration::from_millis(ORDER_TIMEOUT_MS);
    let sent: Result<Result<Response, _>, _> =
        tokio::time::timeout(limit, request.send()).await;
    let event = Event::new("order")
        .with("order", order.order)
        .with("version", &order.version)
        .with("fence", order.fence);
    match sent {
        Ok(Ok(response)) if response.status().is_success() => {
            info!("{event}");
            return true;
        }
        Ok(Ok(response)) if response.status() == StatusCode::CONFLICT => {
            warn!(
                "{}",
                event.with("refused", "the engine has seen a newer fence")
            );
        }
        Ok(Ok(response)) => warn!("{}", event.with("refused", response.status())),
        Ok(Err(err)) => warn!("{}", event.with("failed", err)),
        Err(_) => warn!("{}", event.with("failed", "no answer in time")),
    }
    false
}
