//! Follows the log's topics to keep the configuration, the endpoints and the
//! rollouts current.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use clock::Millis;
use log::{info, warn};
use platform::{
    Announcement, CATALOG_KEY, ENDPOINT_TOPIC, EVACUATION_KEY_PREFIX, LogClient,
    OPERATOR_TOPIC, ORDER_KEY_PREFIX, QUARANTINE_KEY_PREFIX, STATUS_TOPIC,
};
use route::AnnouncedAt;
use store::{FollowOptions, KeyedChange, KeyedEvent, LogPosition, follow_keyed};
use tokio::sync::Notify;

use crate::{datagram::LogPositions, state::Gateway};

/// Interval of checks for lagging topics and expired entries, ms.
const TICK_MS: u64 = 250;

/// Delay after a change of endpoints in which further changes are collected,
/// ms. A leaving endpoint keeps serving for several times that.
const ENDPOINT_BATCH_MS: u64 = 200;

/// Time for which peers must be ahead on a topic before it is read again, ms, since
/// the log does not answer all gateways at the same time.
const LAG_MIN_MS: u64 = 300;

/// Minimum interval of such reads, ms, since a peer may report wrong offsets.
const REREAD_INTERVAL_MS: u64 = 1_500;

/// Starts a follower for each topic, and the periodic checks.
pub(crate) fn start(gateway: &Rc<Gateway>) {
    for topic in [OPERATOR_TOPIC, ENDPOINT_TOPIC, STATUS_TOPIC] {
        tokio::task::spawn_local(follow(gateway.clone(), topic));
    }
    tokio::task::spawn_local(tick(gateway.clone()));
}

async fn follow(gateway: Rc<Gateway>, topic: &'static str) {
    let settings = &gateway.settings.store;
    let client = LogClient::new(settings.address, settings.timeout_ms);
    let on_event = |event| apply_event(&gateway, topic, event);
    let never = Notify::new();
    let (pause_ms, stale, pacing) = match topic {
        OPERATOR_TOPIC => (0, &gateway.operator_stale, &gateway.pacing),
        ENDPOINT_TOPIC => {
            (ENDPOINT_BATCH_MS, &gateway.endpoints_stale, &gateway.pacing)
        }
        _ => (0, &never, &gateway.status_pacing),
    };
    let wait_ms = pacing.longest_wait_ms();
    info!(
        "event=following topic={topic} wait_ms={wait_ms} timeout_ms={} pause_ms={pause_ms}",
        settings.timeout_ms
    );
    let follow = FollowOptions {
        topic,
        pacing,
        batch_delay_ms: pause_ms,
        restart_read: stale,
    };
    follow_keyed(client, follow, &gateway.clock, on_event).await;
}

/// How long this gateway has lagged behind its peers on a topic.
#[derive(Debug, Default)]
struct TopicLag {
    since: Option<Millis>,
    /// When the topic was last read again for this reason.
    read_at: Option<Millis>,
}

impl TopicLag {
    /// Whether the topic is to be read again. `own` is the position up to which this
    /// gateway has read it, `furthest` the furthest one of its peers.
    fn is_due(&mut self, own: LogPosition, furthest: LogPosition, now: Millis) -> bool {
        if !own.is_behind(furthest) {
            self.since = None;
            return false;
        }
        let since = *self.since.get_or_insert(now);
        let interval_over = self
            .read_at
            .is_none_or(|at| now.since(at) >= REREAD_INTERVAL_MS);
        let due = interval_over && now.since(since) >= LAG_MIN_MS;
        if due {
            self.read_at = Some(now);
        }
        due
    }
}

async fn tick(gateway: Rc<Gateway>) {
    let mut operator = TopicLag::default();
    let mut endpoints = TopicLag::default();
    let mut nudged = Millis::default();
    loop {
        tokio::time::sleep(Duration::from_millis(TICK_MS)).await;
        let now = gateway.now();
        restart_slow_reads(&gateway, &mut nudged, now);
        let own = gateway.log_positions.get();
        let furthest = gateway.peers.borrow().furthest_log_positions(now);
        if operator.is_due(own.operator, furthest.operator, now) {
            gateway.operator_stale.notify_one();
        }
        if endpoints.is_due(own.endpoints, furthest.endpoints, now) {
            gateway.endpoints_stale.notify_one();
        }
        gateway.idle_connections.borrow_mut().expire(now);
        gateway.apply_evacuations(now);
        gateway.log_warmups(now);
        let expired = gateway.pool.borrow_mut().expire(now);
        for id in expired {
            info!("event=endpoint_gone endpoint={id} reason=lapsed");
        }
    }
}

/// Adapts the pace of the calls to the number of peers, and ends waits that are too
/// long: for a fleet that has become smaller, or after an outage that is over for the
/// peers.
fn restart_slow_reads(gateway: &Gateway, nudged: &mut Millis, now: Millis) {
    let (heard, log_is_back) = {
        let peers = gateway.peers.borrow();
        let heard = peers.fresh_statuses(now).count();
        let readers = peers.fresh_statuses(now).filter(|(_, s)| s.can_read_log);
        (heard, gateway.log_lost.get() && readers.count() > 0)
    };
    gateway.status_pacing.set_peers(heard);
    let too_long = gateway.pacing.set_peers(heard);
    let due = log_is_back && now.since(*nudged) >= REREAD_INTERVAL_MS;
    if too_long || due {
        *nudged = now;
        gateway.operator_stale.notify_one();
        gateway.endpoints_stale.notify_one();
    }
}

fn apply_event(gateway: &Gateway, topic: &str, event: KeyedEvent) {
    match event {
        KeyedEvent::Changed {
            changes,
            end,
            fresh,
        } => {
            if topic == OPERATOR_TOPIC {
                gateway.log_lost.set(false);
            }
            for change in changes {
                apply_change(gateway, topic, change, fresh);
            }
            if topic == OPERATOR_TOPIC {
                gateway.record_evacuations_read(end);
            }
            let positions = gateway.log_positions.get();
            match topic {
                STATUS_TOPIC => gateway.status_end.set(end),
                OPERATOR_TOPIC => gateway.log_positions.set(LogPositions {
                    operator: end,
                    ..positions
                }),
                _ => gateway.log_positions.set(LogPositions {
                    endpoints: end,
                    ..positions
                }),
            }
        }
        KeyedEvent::Restored { .. } => {
            gateway.stats.count("log_restored", topic);
            if topic == ENDPOINT_TOPIC {
                // Endpoints that the copy does not list announce themselves again.
                gateway.pool.borrow_mut().discovery_restored(gateway.now());
            }
            if topic == OPERATOR_TOPIC {
                gateway.evacuations.borrow_mut().log_restored();
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

fn apply_change(gateway: &Gateway, topic: &str, change: KeyedChange, fresh: bool) {
    match (topic, change) {
        (
            ENDPOINT_TOPIC,
            KeyedChange::Put {
                key,
                value,
                position,
            },
        ) => apply_endpoint(gateway, &key, &value, position.epoch),
        (ENDPOINT_TOPIC, KeyedChange::Removed { key }) => {
            let removed = gateway.pool.borrow_mut().unlist(&key, gateway.now());
            let event = if removed {
                "endpoint_gone"
            } else {
                "endpoint_kept"
            };
            info!("event={event} endpoint={key} reason=unlisted");
        }
        (
            OPERATOR_TOPIC,
            KeyedChange::Put {
                key,
                value,
                position,
            },
        ) => apply_operator_record(gateway, &key, &value, position, fresh),
        (OPERATOR_TOPIC, KeyedChange::Removed { key })
            if key.starts_with(EVACUATION_KEY_PREFIX) =>
        {
            let domain = &key[EVACUATION_KEY_PREFIX.len()..];
            gateway.evacuations.borrow_mut().record_removal(domain);
        }
        (STATUS_TOPIC, KeyedChange::Put { key, value, .. }) => {
            apply_status(gateway, &key, Some(&value));
        }
        (STATUS_TOPIC, KeyedChange::Removed { key }) => {
            apply_status(gateway, &key, None);
        }
        (topic, KeyedChange::Removed { key }) => {
            info!("event=record_dropped topic={topic} key=\"{key}\"");
        }
        (topic, KeyedChange::Put { key, .. }) => {
            info!("event=record_ignored topic={topic} key=\"{key}\"");
        }
    }
}

fn apply_endpoint(gateway: &Gateway, id: &str, bytes: &[u8], epoch: u64) {
    let Announcement { endpoint, sequence } = match platform::decode_endpoint(id, bytes)
    {
        Ok(announcement) => announcement,
        Err(err) => {
            warn!("event=endpoint_skipped endpoint=\"{id}\" reason=\"{err}\"");
            gateway.pool.borrow_mut().unlist(id, gateway.now());
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
    let announced = AnnouncedAt { epoch, sequence };
    let changed = {
        let mut pool = gateway.pool.borrow_mut();
        let changed = pool.announce(endpoint, announced);
        pool.record_announcement_read(id, gateway.now());
        changed
    };
    gateway.tell_announced_warmup(id);
    if changed {
        info!("event=endpoint endpoint={id} count={sequence} {line}");
    }
}

fn apply_operator_record(
    gateway: &Gateway,
    key: &str,
    bytes: &Bytes,
    position: LogPosition,
    fresh: bool,
) {
    if key == CATALOG_KEY {
        gateway.install(bytes, "log");
        return;
    }
    if let Some(domain) = key.strip_prefix(EVACUATION_KEY_PREFIX) {
        let mut evacuations = gateway.evacuations.borrow_mut();
        evacuations.record_request(domain, position.offset);
        return;
    }
    if !key.starts_with(ORDER_KEY_PREFIX) {
        info!("event=record_ignored topic={OPERATOR_TOPIC} key=\"{key}\"");
        return;
    }
    match platform::decode_order(bytes) {
        Ok(order) => gateway.accept_order(order, position, fresh),
        Err(err) => warn!("event=rollout_skipped at={position} reason=\"{err}\""),
    }
}

/// Applies the status that the log holds under `key`; `None` if it holds none.
fn apply_status(gateway: &Gateway, key: &str, bytes: Option<&[u8]>) {
    if key.starts_with(QUARANTINE_KEY_PREFIX) {
        match bytes {
            Some(bytes) => gateway.apply_quarantine_record(key, bytes),
            None => gateway.lose_quarantine_record(key),
        }
        return;
    }
    let Some(service) = key.strip_prefix(ORDER_KEY_PREFIX) else {
        info!("event=record_ignored topic={STATUS_TOPIC} key=\"{key}\"");
        return;
    };
    match bytes.map(platform::decode_status).transpose() {
        Ok(Some(status)) => {
            info!(
                "event=rollout_status service={service} state={} target={}",
                status.state, status.target
            );
            gateway.record_logged_status(service, Some(status));
        }
        Ok(None) => {
            info!("event=rollout_status_lost service={service}");
            gateway.record_logged_status(service, None);
        }
        Err(err) => warn!("event=status_skipped key=\"{key}\" reason=\"{err}\""),
    }
}
