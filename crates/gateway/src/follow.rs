//! Keeps the configuration, the endpoints and the roll-outs current.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use log::{info, warn};
use platform::{
    Announcement, CATALOG_KEY, ENDPOINT_TOPIC, LogClient, OPERATOR_TOPIC,
    ORDER_KEY_PREFIX, STATUS_TOPIC,
};
use store::{KeyedChange, KeyedNews, follow_keyed};

use crate::state::Gateway;

/// Time between the systems' ticks over the tables, ms.
const TICK_MS: u64 = 250;

/// How long a read of recorded roll-outs waits, in waits of the others.
///
/// A connection that went silent is noticed only when its read's time is over,
/// so that the wait bounds how old a belief can be while the log is well.  A
/// record is late by that at most, which only prolongs a roll-out.
const STATUS_WAITS: u64 = 5;

/// Starts the followers and the tick.
pub(crate) fn start(gateway: &Rc<Gateway>) {
    let wait_ms = gateway.settings.store.poll_wait_ms;
    let topics = [
        (OPERATOR_TOPIC, wait_ms),
        (ENDPOINT_TOPIC, wait_ms),
        (STATUS_TOPIC, wait_ms * STATUS_WAITS),
    ];
    for (topic, wait_ms) in topics {
        tokio::task::spawn_local(follow(gateway.clone(), topic, wait_ms));
    }
    tokio::task::spawn_local(tick(gateway.clone()));
}

async fn follow(gateway: Rc<Gateway>, topic: &'static str, wait_ms: u64) {
    let settings = &gateway.settings.store;
    info!(
        "event=following topic={topic} wait_ms={wait_ms} timeout_ms={}",
        settings.timeout_ms
    );
    let client = LogClient::new(settings.address, settings.timeout_ms);
    let tell = |news| take_news(&gateway, topic, news);
    follow_keyed(client, topic, wait_ms, &gateway.clock, tell).await;
}

async fn tick(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(Duration::from_millis(TICK_MS)).await;
        let now = gateway.now();
        gateway.links.borrow_mut().expire(now);
        let gone = gateway.pool.borrow_mut().expire(now);
        for id in gone {
            info!("event=endpoint_gone endpoint={id} reason=lapsed");
        }
    }
}

fn take_news(gateway: &Gateway, topic: &str, news: KeyedNews) {
    match news {
        KeyedNews::Changed {
            changes,
            end,
            fresh,
        } => {
            if topic == OPERATOR_TOPIC {
                gateway.log_lost.set(false);
            }
            for change in changes {
                take_change(gateway, topic, change, fresh);
            }
            if topic == STATUS_TOPIC {
                gateway.status_end.set(end);
            }
        }
        KeyedNews::Lost { .. } if topic == OPERATOR_TOPIC => gateway.log_lost.set(true),
        KeyedNews::Lost { .. } if topic == ENDPOINT_TOPIC => {
            gateway.pool.borrow_mut().list_lost();
        }
        KeyedNews::Regained { .. } if topic == ENDPOINT_TOPIC => {
            gateway.pool.borrow_mut().list_regained(gateway.now());
        }
        KeyedNews::Lost { .. } | KeyedNews::Regained { .. } => {}
    }
}

fn take_change(gateway: &Gateway, topic: &str, change: KeyedChange, fresh: bool) {
    match (topic, change) {
        (ENDPOINT_TOPIC, KeyedChange::Put { key, value, .. }) => {
            take_endpoint(gateway, &key, &value);
        }
        (ENDPOINT_TOPIC, KeyedChange::Dropped { key }) => {
            info!("event=endpoint_gone endpoint={key} reason=unlisted");
            gateway.pool.borrow_mut().withdraw(&key, gateway.now());
        }
        (OPERATOR_TOPIC, KeyedChange::Put { key, value, offset }) => {
            take_operator_record(gateway, &key, &value, offset, fresh);
        }
        (STATUS_TOPIC, KeyedChange::Put { key, value, .. }) => {
            take_status(gateway, &key, &value);
        }
        (topic, KeyedChange::Dropped { key }) => {
            info!("event=record_dropped topic={topic} key=\"{key}\"");
        }
        (topic, KeyedChange::Put { key, .. }) => {
            info!("event=record_ignored topic={topic} key=\"{key}\"");
        }
    }
}

fn take_endpoint(gateway: &Gateway, id: &str, bytes: &[u8]) {
    let Announcement { endpoint, count } = match platform::decode_endpoint(id, bytes) {
        Ok(announcement) => announcement,
        Err(err) => {
            warn!("event=endpoint_skipped endpoint=\"{id}\" reason=\"{err}\"");
            gateway.pool.borrow_mut().withdraw(id, gateway.now());
            return;
        }
    };
    let line = format!(
        "service={} address={} domain={} version={} state={:?} born_ms={}",
        endpoint.service,
        endpoint.address,
        endpoint.domain,
        endpoint.version,
        endpoint.state,
        endpoint.born_ms,
    );
    if gateway.pool.borrow_mut().announce(endpoint) {
        info!("event=endpoint endpoint={id} count={count} {line}");
    }
}

fn take_operator_record(
    gateway: &Gateway,
    key: &str,
    bytes: &Bytes,
    offset: u64,
    fresh: bool,
) {
    if key == CATALOG_KEY {
        gateway.install(bytes, "log");
        return;
    }
    if !key.starts_with(ORDER_KEY_PREFIX) {
        info!("event=record_ignored topic={OPERATOR_TOPIC} key=\"{key}\"");
        return;
    }
    match platform::decode_order(bytes, offset) {
        Ok(order) => {
            gateway.take_order(order, fresh);
        }
        Err(err) => warn!("event=rollout_skipped offset={offset} reason=\"{err}\""),
    }
}

fn take_status(gateway: &Gateway, key: &str, bytes: &[u8]) {
    let Some(service) = key.strip_prefix(ORDER_KEY_PREFIX) else {
        info!("event=record_ignored topic={STATUS_TOPIC} key=\"{key}\"");
        return;
    };
    match platform::decode_status(bytes) {
        Ok(status) => {
            info!(
                "event=rollout_status service={service} state={} target={}",
                status.state, status.target
            );
            let service = service.to_owned();
            gateway.statuses.borrow_mut().insert(service, status);
        }
        Err(err) => warn!("event=status_skipped key=\"{key}\" reason=\"{err}\""),
    }
}
