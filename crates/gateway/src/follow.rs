//! Keeps the configuration, the endpoints and the roll-outs current.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use clock::Millis;
use log::{info, warn};
use platform::{
    Announcement, CATALOG_KEY, ENDPOINT_TOPIC, LogClient, OPERATOR_TOPIC,
    ORDER_KEY_PREFIX, STATUS_TOPIC,
};
use store::{FollowOptions, KeyedChange, KeyedEvent, follow_keyed};
use tokio::sync::Notify;

use crate::{state::Gateway, words::LogEnds};

/// Time between the systems' ticks over the tables, ms.
const TICK_MS: u64 = 250;

/// How long a read of recorded roll-outs waits, in waits of the others.
///
/// A connection that went silent is noticed only when its read's time is over,
/// so that the wait bounds how old a belief can be while the log is well.  A
/// record is late by that at most, which only prolongs a roll-out.
const STATUS_WAITS: u64 = 5;

/// Pause after news of endpoints, in which more of it gathers, ms.  A leaving
/// endpoint serves on for several times that.
const ENDPOINT_PAUSE_MS: u64 = 200;

/// Time for which peers know more of a topic before it is read anew, ms: one
/// gateway's read is answered a little later than another's.
const BEHIND_MS: u64 = 300;

/// Least time between two such reads, ms: what a peer says may be wrong.
const READ_AGAIN_MS: u64 = 1_500;

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
    let client = LogClient::new(settings.address, settings.timeout_ms);
    let tell = |news| take_news(&gateway, topic, news);
    let never = Notify::new();
    let (pause_ms, stale) = match topic {
        OPERATOR_TOPIC => (0, &gateway.operator_stale),
        ENDPOINT_TOPIC => (ENDPOINT_PAUSE_MS, &gateway.endpoints_stale),
        _ => (0, &never),
    };
    info!(
        "event=following topic={topic} wait_ms={wait_ms} timeout_ms={} pause_ms={pause_ms}",
        settings.timeout_ms
    );
    let follow = FollowOptions {
        topic,
        wait_ms,
        batch_delay_ms: pause_ms,
        restart_read: stale,
    };
    follow_keyed(client, follow, &gateway.clock, tell).await;
}

/// How far a topic is behind what peers know.
#[derive(Debug, Default)]
struct Behind {
    since: Option<Millis>,
    /// When it was read anew last.
    read_at: Option<Millis>,
}

impl Behind {
    /// Whether the topic, known up to `own`, is to be read anew.
    fn is_due(&mut self, own: u64, told: u64, now: Millis) -> bool {
        if told <= own {
            self.since = None;
            return false;
        }
        let since = *self.since.get_or_insert(now);
        let rested = self.read_at.is_none_or(|at| now.since(at) >= READ_AGAIN_MS);
        let due = rested && now.since(since) >= BEHIND_MS;
        if due {
            self.read_at = Some(now);
        }
        due
    }
}

async fn tick(gateway: Rc<Gateway>) {
    let mut operator = Behind::default();
    let mut endpoints = Behind::default();
    loop {
        tokio::time::sleep(Duration::from_millis(TICK_MS)).await;
        let now = gateway.now();
        let own = gateway.ends.get();
        let told = gateway.peers.borrow().ends(now);
        if operator.is_due(own.operator, told.operator, now) {
            gateway.operator_stale.notify_one();
        }
        if endpoints.is_due(own.endpoints, told.endpoints, now) {
            gateway.endpoints_stale.notify_one();
        }
        gateway.links.borrow_mut().expire(now);
        let gone = gateway.pool.borrow_mut().expire(now);
        for id in gone {
            info!("event=endpoint_gone endpoint={id} reason=lapsed");
        }
    }
}

fn take_news(gateway: &Gateway, topic: &str, news: KeyedEvent) {
    match news {
        KeyedEvent::Changed {
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
            let ends = gateway.ends.get();
            match topic {
                STATUS_TOPIC => gateway.status_end.set(end),
                OPERATOR_TOPIC => gateway.ends.set(LogEnds {
                    operator: end,
                    ..ends
                }),
                _ => gateway.ends.set(LogEnds {
                    endpoints: end,
                    ..ends
                }),
            }
        }
        KeyedEvent::Lost { .. } if topic == OPERATOR_TOPIC => {
            gateway.log_lost.set(true)
        }
        KeyedEvent::Lost { .. } if topic == ENDPOINT_TOPIC => {
            gateway.pool.borrow_mut().discovery_lost();
        }
        KeyedEvent::Recovered { .. } if topic == ENDPOINT_TOPIC => {
            gateway.pool.borrow_mut().discovery_restored(gateway.now());
        }
        KeyedEvent::Lost { .. } | KeyedEvent::Recovered { .. } => {}
    }
}

fn take_change(gateway: &Gateway, topic: &str, change: KeyedChange, fresh: bool) {
    match (topic, change) {
        (ENDPOINT_TOPIC, KeyedChange::Put { key, value, .. }) => {
            take_endpoint(gateway, &key, &value);
        }
        (ENDPOINT_TOPIC, KeyedChange::Removed { key }) => {
            info!("event=endpoint_gone endpoint={key} reason=unlisted");
            gateway.pool.borrow_mut().withdraw(&key, gateway.now());
        }
        (OPERATOR_TOPIC, KeyedChange::Put { key, value, offset }) => {
            take_operator_record(gateway, &key, &value, offset, fresh);
        }
        (STATUS_TOPIC, KeyedChange::Put { key, value, .. }) => {
            take_status(gateway, &key, &value);
        }
        (topic, KeyedChange::Removed { key }) => {
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
        endpoint.failure_domain,
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
