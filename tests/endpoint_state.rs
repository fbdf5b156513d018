//! Endpoints that say in their responses that they are draining, or that they want
//! no requests for some time.

use std::time::{Duration, Instant};

use clock::Millis;
use http::{HeaderMap, HeaderValue, header};
use platform::RetryAfter;
use proptest::prelude::*;
use route::{
    AnnouncedAt, Costs, HealthSample, PickRequest, Pool, WaitBounds, is_worth_waiting,
};
use standin::{Action, ScriptedEndpoint};

use crate::util::{
    endpoints::endpoint,
    gateway_harness::{GatewayProcess, TestPlatform, configuration, request, send},
};

const DRAFT_HEADERS: &str =
    "x-model: *\r\nx-token-usage: 100,40\r\nx-prompt-prefix: a1:60,b2:40\r\n";

fn get(id: &str) -> String {
    request("GET", "/safe/", id, "", "")
}

fn draft(id: &str) -> String {
    request("POST", "/draft/", id, DRAFT_HEADERS, "x")
}

/// A platform with two endpoints of `service` and a gateway.
async fn two_endpoints(
    service: &str,
    act: Action,
) -> (TestPlatform, [ScriptedEndpoint; 2], GatewayProcess) {
    let platform = TestPlatform::start().await;
    let endpoints = [
        ScriptedEndpoint::start(act).await,
        ScriptedEndpoint::start(act).await,
    ];
    platform.announce("p1", service, &endpoints[0]);
    platform.announce("p2", service, &endpoints[1]);
    let gateway = platform.gateway("").await;
    gateway.wait_logged("endpoint=p2").await;
    (platform, endpoints, gateway)
}

#[tokio::test]
async fn endpoint_that_says_it_is_draining_gets_nothing_more() {
    for act in [Action::Answer, Action::Fail, Action::Refuse] {
        let (_platform, [first, second], gateway) =
            two_endpoints("plain", Action::Answer).await;
        first.start_draining();
        first.queue(&[act]);
        let mut sent = 0;
        while first.received().is_empty() {
            send(gateway.callers, &get(&format!("r{sent}"))).await;
            sent += 1;
        }
        gateway
            .wait_logged("event=endpoint_draining endpoint=p1 source=response")
            .await;
        let before = second.received().len();
        for n in 0..10 {
            let reply = send(gateway.callers, &get(&format!("s{n}"))).await;
            assert_eq!(reply.status, 200, "{act:?}");
        }
        assert_eq!(first.received().len(), 1, "{act:?}");
        assert_eq!(second.received().len(), before + 10, "{act:?}");
    }
}

#[tokio::test]
async fn stream_is_not_resumed_at_a_draining_endpoint() {
    let platform = TestPlatform::start().await;
    let engine = ScriptedEndpoint::start(Action::BreakStream(2)).await;
    platform.announce("e1", "engine", &engine);
    let gateway = platform.gateway("").await;
    engine.start_draining();
    let reply = send(gateway.callers, &draft("r1")).await;
    assert!(!reply.is_whole());
    assert_eq!(engine.received().len(), 1);
    assert_eq!(send(gateway.callers, &draft("r2")).await.status, 503);
    assert_eq!(engine.received().len(), 1);
}

/// The log still lists the endpoint as ready; only a new incarnation is used again.
#[tokio::test]
async fn draining_endpoint_is_used_again_as_a_new_incarnation() {
    let platform = TestPlatform::start().await;
    let endpoint = ScriptedEndpoint::start(Action::Answer).await;
    platform.announce("p1", "plain", &endpoint);
    let gateway = platform.gateway("").await;
    endpoint.start_draining();
    send(gateway.callers, &get("r1")).await;
    platform.announce("p1", "plain", &endpoint);
    let marker = ScriptedEndpoint::start(Action::Answer).await;
    platform.announce("e9", "engine", &marker);
    gateway.wait_logged("endpoint=e9").await;
    assert_eq!(send(gateway.callers, &get("r2")).await.status, 503);
    platform.announce_incarnation("p1", "plain", endpoint.address, 9);
    gateway.wait_logged("born_ms=9").await;
    assert_eq!(send(gateway.callers, &get("r3")).await.status, 200);
}

#[tokio::test]
async fn peers_stop_using_a_draining_endpoint() {
    let (platform, [first, second], gateway) =
        two_endpoints("plain", Action::Answer).await;
    let peers = format!("[peers]\naddresses = {}\n", gateway.peer_address);
    let peer = GatewayProcess::start(&platform.dir, platform.log.address, &peers);
    peer.wait_ready().await;
    peer.wait_logged("endpoint=p2").await;
    gateway.wait_logged("event=peer_heard").await;
    peer.wait_logged("event=peer_heard").await;
    first.start_draining();
    let mut sent = 0;
    while first.received().is_empty() {
        send(gateway.callers, &get(&format!("r{sent}"))).await;
        sent += 1;
    }
    peer.wait_logged("event=endpoint_draining endpoint=p1 source=peer")
        .await;
    for n in 0..10 {
        send(peer.callers, &get(&format!("s{n}"))).await;
    }
    assert_eq!(first.received().len(), 1);
    assert!(second.received().len() >= 10);
}

#[tokio::test]
async fn paused_endpoint_gets_nothing_until_its_pause_ends() {
    let (_platform, [first, second], gateway) =
        two_endpoints("plain", Action::Answer).await;
    first.queue(&[Action::RefuseFor("1.5")]);
    let mut sent = 0;
    while first.received().is_empty() {
        send(gateway.callers, &get(&format!("r{sent}"))).await;
        sent += 1;
    }
    let paused = Instant::now();
    gateway
        .wait_logged("event=endpoint_paused endpoint=p1 pause_ms=1500")
        .await;
    // The other endpoint fails every request, and is the only one to be ejected.
    second.queue(&[Action::Fail; 8]);
    for n in 0..8 {
        send(gateway.callers, &get(&format!("s{n}"))).await;
    }
    if paused.elapsed() < Duration::from_millis(1_400) {
        assert_eq!(first.received().len(), 1);
    }
    while first.received().len() == 1 {
        assert!(paused.elapsed() < Duration::from_secs(20));
        send(gateway.callers, &get("t")).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(paused.elapsed() >= Duration::from_millis(1_400));
}

/// All endpoints of a small service are full and ask for a longer pause than the
/// request's objective allows.
#[tokio::test]
async fn request_is_refused_at_once_if_all_endpoints_are_paused_for_long() {
    let (_platform, [first, second], gateway) =
        two_endpoints("plain", Action::RefuseFor("30")).await;
    let reply = send(gateway.callers, &get("r1")).await;
    assert_eq!(reply.status, 503, "{reply:?}");
    let after_s: f64 = reply.header("retry-after").unwrap().parse().unwrap();
    assert!(after_s > 25.0 && after_s < 32.0, "{after_s}");
    gateway.wait_logged("outcome=endpoints_paused").await;
    let reply = send(gateway.callers, &get("r2")).await;
    assert_eq!(reply.status, 503);
    assert_eq!((first.received().len(), second.received().len()), (1, 1));
}

#[tokio::test]
async fn request_waits_for_a_pause_that_ends_in_time() {
    let platform = TestPlatform::start().await;
    let slow = configuration(2).replace("\"slo_ms\":300", "\"slo_ms\":1900");
    platform.log.put("keyed.op", "config", &slow);
    let endpoint = ScriptedEndpoint::start(Action::Answer).await;
    platform.announce("p1", "plain", &endpoint);
    let gateway = platform.gateway("").await;
    endpoint.queue(&[Action::RefuseFor("0.2")]);
    let reply = send(gateway.callers, &get("r1")).await;
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(endpoint.received().len(), 2);
    gateway.wait_logged("event=request_waits request=r1").await;
}

#[tokio::test]
async fn malformed_pause_is_ignored_and_any_other_bounded() {
    let platform = TestPlatform::start().await;
    let endpoint = ScriptedEndpoint::start(Action::Answer).await;
    platform.announce("p1", "plain", &endpoint);
    let gateway = platform.gateway("").await;
    endpoint.queue(&[Action::RefuseFor("soon")]);
    send(gateway.callers, &get("r1")).await;
    gateway
        .wait_logged("event=endpoint_pause_malformed endpoint=p1")
        .await;
    for (text, pause_ms) in [("-3", 0), ("99999999999", 600_000)] {
        endpoint.queue(&[Action::RefuseFor(text)]);
        send(gateway.callers, &get("r2")).await;
        gateway
            .wait_logged(&format!("endpoint=p1 pause_ms={pause_ms} "))
            .await;
    }
}

fn retry_after(text: &str) -> RetryAfter {
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_str(text).unwrap();
    headers.insert(header::RETRY_AFTER, value);
    RetryAfter::from_headers(&headers, Millis(784_111_777_000))
}

#[test]
fn retry_after_is_decoded() {
    let cases = [
        ("2", RetryAfter::Delay(2_000)),
        ("0.25", RetryAfter::Delay(250)),
        ("0", RetryAfter::Delay(0)),
        ("-5", RetryAfter::Delay(0)),
        ("1e300", RetryAfter::Delay(u64::MAX)),
        ("nan", RetryAfter::Malformed),
        ("", RetryAfter::Malformed),
        ("in a while", RetryAfter::Malformed),
        ("Sun, 06 Nov 1994 08:49:39 GMT", RetryAfter::Delay(2_000)),
        ("Sun, 06 Nov 1994 08:49:30 GMT", RetryAfter::Delay(0)),
        ("Sun, 66 Nov 1994 08:49:30 GMT", RetryAfter::Malformed),
    ];
    for (text, expected) in cases {
        assert_eq!(retry_after(text), expected, "{text:?}");
    }
    let absent = RetryAfter::from_headers(&HeaderMap::new(), Millis(0));
    assert_eq!(absent, RetryAfter::Absent);
}

/// A burst fills a service whose answers take 20 ms: a request waits for a pause that
/// leaves it that time, and no other.
#[test]
fn request_waits_only_if_it_meets_its_objective() {
    let bounds = WaitBounds {
        started: Millis(1_000),
        objective_ms: 100,
        service_ms: 20,
        deadline: Millis(2_000),
    };
    assert!(is_worth_waiting(&bounds, Millis(1_080)));
    assert!(!is_worth_waiting(&bounds, Millis(1_081)));
    let short = WaitBounds {
        deadline: Millis(1_050),
        ..bounds
    };
    assert!(!is_worth_waiting(&short, Millis(1_031)));
}

#[derive(Clone, Copy, Debug)]
enum PoolStep {
    Advance(u64),
    Announce(u64),
    Pause(u64, u64),
    Drain(u64),
    PeerDrain(u64),
    Fail(u64),
    Pick,
}

fn pool_step() -> impl Strategy<Value = PoolStep> {
    let id = || 0_u64..3;
    prop_oneof![
        1 => (0_u64..2_000).prop_map(PoolStep::Advance),
        1 => id().prop_map(PoolStep::Announce),
        1 => (id(), 0_u64..5_000).prop_map(|(id, ms)| PoolStep::Pause(id, ms)),
        1 => id().prop_map(PoolStep::Drain),
        1 => id().prop_map(PoolStep::PeerDrain),
        1 => id().prop_map(PoolStep::Fail),
        3 => Just(PoolStep::Pick),
    ]
}

proptest! {
    /// Whatever else happens, an endpoint that is draining or paused gets nothing,
    /// and another one is found if there is any.
    #[test]
    fn draining_and_paused_endpoints_are_never_picked(
        steps in proptest::collection::vec(pool_step(), 1..80),
    ) {
        let mut pool = Pool::new(Costs::default());
        for id in 0..3 {
            pool.announce(endpoint(&format!("e{id}")), AnnouncedAt::default());
        }
        let mut now = Millis(10_000);
        let mut paused_until = [Millis(0); 3];
        let mut draining = [false; 3];
        for step in steps {
            match step {
                PoolStep::Advance(ms) => now = now.plus(ms),
                PoolStep::Announce(id) => {
                    pool.announce(endpoint(&format!("e{id}")), AnnouncedAt::default());
                }
                PoolStep::Pause(id, ms) => {
                    pool.pause(&format!("e{id}"), now.plus(ms));
                    let until = &mut paused_until[id as usize];
                    *until = now.plus(ms).max(*until);
                }
                PoolStep::Drain(id) => {
                    pool.record_draining(&format!("e{id}"), 1);
                    draining[id as usize] = true;
                }
                PoolStep::PeerDrain(id) => {
                    let notice = route::DrainNotice {
                        endpoint_digest: route::digest_text(&format!("e{id}")),
                        born_ms: 1,
                    };
                    pool.record_peer_draining(&notice, now);
                }
                PoolStep::Fail(id) => {
                    let sample = HealthSample::Unreachable;
                    pool.record_health(&format!("e{id}"), sample, now);
                }
                PoolStep::Pick => {
                    let request = PickRequest {
                        service: "s",
                        failure_domain: "a",
                        pace: 1.0,
                        ..PickRequest::default()
                    };
                    let usable: Vec<String> = (0..3)
                        .filter(|id| !draining[*id] && paused_until[*id] <= now)
                        .map(|id| format!("e{id}"))
                        .collect();
                    let pick = pool.pick(&request, now);
                    prop_assert_eq!(pick.is_some(), !usable.is_empty());
                    if let Some(pick) = pick {
                        prop_assert!(usable.contains(&pick.endpoint.id));
                    }
                }
            }
        }
    }
}
